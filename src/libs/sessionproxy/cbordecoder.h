#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace lavenderdale {

/// Levels of arrays and objects in a message; those between hosts need six.
constexpr std::size_t MaxCborNesting = 32;

/// Decodes a message of another host. The decoder recurses for each level of
/// nesting, so a message of megabytes could otherwise exhaust the stack.
/// \throws std::exception if \p Bytes is not CBOR or is nested deeper than
///         MaxCborNesting.
nlohmann::json decodeCbor(std::string_view Bytes);

} // namespace lavenderdale
