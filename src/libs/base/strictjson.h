#pragma once

#include "result.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace lavenderdale {

/// Parses \p Text as one JSON value. Comments, doubled members, trailing text
/// and deep nesting are errors.
/// \returns the value, or BadRequest with the position of the fault.
Result<Json::Value> parseStrictJson(std::string_view Text);

/// Writes \p Value on one line without spaces.
std::string writeCompactJson(const Json::Value &Value);

} // namespace lavenderdale
