#pragma once

#include "base/result.h"
#include "configurationmessages.h"

#include <json/value.h>

namespace lavenderdale {

/// JSON forms of the configuration messages. Reading is strict: unknown or
/// missing members, wrong types and lists beyond their bounds are BadRequest.

Json::Value toJson(const PullRequest &Message);
Json::Value toJson(const PullAnswer &Message);
Json::Value toJson(const VersionReport &Message);

Result<PullRequest> pullRequestFromJson(const Json::Value &Value);
Result<PullAnswer> pullAnswerFromJson(const Json::Value &Value);
Result<VersionReport> versionReportFromJson(const Json::Value &Value);

} // namespace lavenderdale
