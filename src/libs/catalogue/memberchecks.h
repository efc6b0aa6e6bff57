#pragma once

#include "base/objectreader.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale::detail {

/// Lowest and highest TCP port that an object may name.
inline constexpr std::uint64_t MinPort = 1;
inline constexpr std::uint64_t MaxPort = 65535;

/// Each reads a required string member and notes a fault when it is not an
/// object name, an IP address, a TCP port or lowercase hex digits.
std::string requiredName(ObjectReader &Reader, const char *Name);
std::string requiredAddress(ObjectReader &Reader, const char *Name);
std::uint16_t requiredPort(ObjectReader &Reader, const char *Name);
std::string requiredHex(ObjectReader &Reader, const char *Name,
                        std::size_t MinDigits, std::size_t MaxDigits);

bool isAddress(const std::string &Text);
bool isLowerHex(std::string_view Text);

/// Writes whole numbers without a decimal point, so that they are read back in
/// the form in which operators write them.
Json::Value numberValue(double Number);

/// The path of an array's item, for example "spec.upstreams[2]".
std::string itemPath(const ObjectReader &Reader, const char *Name,
                     Json::ArrayIndex Index);

/// Reads an optional member that is one of \p Names; the index of the name is
/// the value of the enumeration.
template <typename Enum, std::size_t Size>
std::optional<Enum>
optionalEnum(ObjectReader &Reader, const char *Name,
             const std::array<std::string_view, Size> &Names) {
  if (!Reader.has(Name)) {
    Reader.optionalAny(Name);
    return std::nullopt;
  }
  const Json::Value &Value = Reader.optionalAny(Name);
  std::string Expected;
  for (std::size_t I = 0; I < Size; ++I) {
    if (Value.isString() && Value.asString() == Names[I])
      return static_cast<Enum>(I);
    Expected += (I == 0 ? "\"" : " or \"") + std::string(Names[I]) + "\"";
  }
  Reader.reject(Name, Expected);
  return std::nullopt;
}

/// As optionalEnum(), with a fault when the member is missing.
template <typename Enum, std::size_t Size>
Enum requiredEnum(ObjectReader &Reader, const char *Name,
                  const std::array<std::string_view, Size> &Names) {
  if (!Reader.has(Name))
    Reader.requiredString(Name);
  return optionalEnum<Enum>(Reader, Name, Names).value_or(Enum{});
}

} // namespace lavenderdale::detail
