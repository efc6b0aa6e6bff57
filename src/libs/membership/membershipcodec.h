#pragma once

#include "base/result.h"
#include "membershipmessages.h"

#include <json/value.h>

namespace lavenderdale {

/// Conversion of the membership messages to and from JSON. Parsing is strict:
/// unknown or missing fields, wrong types and lists that exceed their limits
/// are BadRequest errors.

Json::Value toJson(const Heartbeat &Message);
Json::Value toJson(const HeartbeatAnswer &Message);
Json::Value toJson(const RemovalRequest &Message);
Json::Value toJson(const RemovalAnswer &Message);
/// Also the format of the host set's `spec` on the platform.
Json::Value toJson(const MemberSet &Set);

Result<Heartbeat> heartbeatFromJson(const Json::Value &Value);
Result<HeartbeatAnswer> heartbeatAnswerFromJson(const Json::Value &Value);
Result<RemovalRequest> removalRequestFromJson(const Json::Value &Value);
Result<RemovalAnswer> removalAnswerFromJson(const Json::Value &Value);
Result<MemberSet> memberSetFromJson(const Json::Value &Value);

} // namespace lavenderdale
