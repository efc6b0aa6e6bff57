#pragma once

#include "result.h"

#include <json/value.h>

#include <cstddef>
#include <span>
#include <string_view>

namespace lavenderdale {

/// A JSON value of which parts may be missing.
struct SalvagedJson {
  Json::Value Value;
  std::size_t Unreadable = 0; ///< Parts that were replaced by null.
};

/// Parses \p Text like parseStrictJson(). If that fails, the value is split
/// into its parts, and those that cannot be parsed are replaced by null: one
/// part of another writer, such as a number that is too large, deep nesting or
/// half of a surrogate pair, must not hide all others.
///
/// \param Containers names of members that are split further, with each element
///        of their arrays. All other members are kept or lost as a whole.
/// \returns the value, or BadRequest if not even its structure can be read.
Result<SalvagedJson>
parseSalvagedJson(std::string_view Text,
                  std::span<const std::string_view> Containers);

} // namespace lavenderdale
