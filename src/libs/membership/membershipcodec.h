#pragma once

#include "base/result.h"
#include "membershipmessages.h"

#include <json/value.h>

namespace lavenderdale {

/// JSON forms of the membership messages. Reading is strict: unknown or
/// missing members, wrong types and lists beyond their bounds are BadRequest.

Json::Value toJson(const Heartbeat &Message);
Json::Value toJson(const HeartbeatAnswer &Message);
Json::Value toJson(const RemovalQuestion &Message);
Json::Value toJson(const RemovalAnswer &Message);
/// Also the form of the host set's `spec` on the platform.
Json::Value toJson(const MemberSet &Set);

Result<Heartbeat> heartbeatFromJson(const Json::Value &Value);
Result<HeartbeatAnswer> heartbeatAnswerFromJson(const Json::Value &Value);
Result<RemovalQuestion> removalQuestionFromJson(const Json::Value &Value);
Result<RemovalAnswer> removalAnswerFromJson(const Json::Value &Value);
Result<MemberSet> memberSetFromJson(const Json::Value &Value);

} // namespace lavenderdale
