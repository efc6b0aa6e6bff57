#include "memberchecks.h"

#include "catalogueobject.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>

namespace lavenderdale::detail {

// Doubles hold whole numbers exactly up to 2^53.
constexpr double MaxExactWhole = 9007199254740992.0;

bool isAddress(const std::string &Text) {
  in6_addr Buffer{};
  return inet_pton(AF_INET, Text.c_str(), &Buffer) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Buffer) == 1;
}

bool isLowerHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
}

std::string requiredName(ObjectReader &Reader, const char *Name) {
  std::string Value = Reader.requiredString(Name);
  if (!isObjectName(Value))
    Reader.reject(Name, "a name of 1 to 63 of a-z, 0-9, '-' and '.'");
  return Value;
}

std::string requiredAddress(ObjectReader &Reader, const char *Name) {
  std::string Value = Reader.requiredString(Name);
  if (!isAddress(Value))
    Reader.reject(Name, "an IP address");
  return Value;
}

std::uint16_t requiredPort(ObjectReader &Reader, const char *Name) {
  return static_cast<std::uint16_t>(
      Reader.requiredUnsigned(Name, MinPort, MaxPort));
}

std::string requiredHex(ObjectReader &Reader, const char *Name,
                        std::size_t MinDigits, std::size_t MaxDigits) {
  std::string Value = Reader.requiredString(Name);
  if (Value.size() >= MinDigits && Value.size() <= MaxDigits &&
      Value.size() % 2 == 0 && isLowerHex(Value))
    return Value;
  if (Reader.has(Name))
    Reader.reject(Name, std::to_string(MinDigits) + " to " +
                            std::to_string(MaxDigits) +
                            " lowercase hex digits");
  return {};
}

Json::Value numberValue(double Number) {
  if (std::trunc(Number) == Number && std::fabs(Number) < MaxExactWhole)
    return static_cast<Json::Int64>(Number);
  return Number;
}

std::string itemPath(const ObjectReader &Reader, const char *Name,
                     Json::ArrayIndex Index) {
  return Reader.pathOf(Name) + "[" + std::to_string(Index) + "]";
}

} // namespace lavenderdale::detail
