#pragma once

#include "base/result.h"
#include "limits/ratemessages.h"

#include <json/value.h>

namespace lavenderdale {

/// \file
/// Converts rate messages to JSON and back. Unknown or missing members and
/// wrong types are refused with BadRequest.

Json::Value toJson(const GrantRequest &Request);
Json::Value toJson(const GrantAnswer &Answer);
Json::Value toJson(const LoanRequest &Request);
Json::Value toJson(const LoanAnswer &Answer);

Result<GrantRequest> grantRequestFromJson(const Json::Value &Value);
Result<GrantAnswer> grantAnswerFromJson(const Json::Value &Value);
Result<LoanRequest> loanRequestFromJson(const Json::Value &Value);
Result<LoanAnswer> loanAnswerFromJson(const Json::Value &Value);

} // namespace lavenderdale
