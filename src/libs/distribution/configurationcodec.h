#pragma once

#include "base/result.h"
#include "configurationmessages.h"

#include <json/value.h>

namespace lavenderdale {

/// Conversion of the configuration messages to and from JSON. Parsing is
/// strict: unknown or missing fields, wrong types and lists that exceed their
/// limits are BadRequest errors.

Json::Value toJson(const PullRequest &Message);
Json::Value toJson(const PullAnswer &Message);
Json::Value toJson(const VersionReport &Message);

Result<PullRequest> pullRequestFromJson(const Json::Value &Value);
Result<PullAnswer> pullAnswerFromJson(const Json::Value &Value);
Result<VersionReport> versionReportFromJson(const Json::Value &Value);

} // namespace lavenderdale
