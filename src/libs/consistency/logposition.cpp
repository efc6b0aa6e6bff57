#include "logposition.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace lavenderdale {
namespace {

constexpr std::size_t MaxHalfDigits = 8;
constexpr unsigned HalfBits = 32;

/// Parses one half of the notation.
/// \returns false if it is not 1 to 8 hexadecimal digits.
bool parseHalf(std::string_view Digits, std::uint64_t &Value) {
  if (Digits.empty() || Digits.size() > MaxHalfDigits)
    return false;
  const char *End = Digits.data() + Digits.size();
  const auto Parsed = std::from_chars(Digits.data(), End, Value, 16);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

Result<LogPosition> LogPosition::parse(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  if (Slash == std::string_view::npos ||
      !parseHalf(Text.substr(0, Slash), High) ||
      !parseHalf(Text.substr(Slash + 1), Low))
    return failure(ErrorKind::BadRequest,
                   "expected a log position such as 0/16B3748");
  return LogPosition{(High << HalfBits) | Low};
}

std::string LogPosition::toString() const {
  std::array<char, 2 * MaxHalfDigits + 2> Text{};
  const auto High = static_cast<unsigned>(this->Value >> HalfBits);
  const auto Low = static_cast<unsigned>(this->Value);
  std::snprintf(Text.data(), Text.size(), "%X/%X", High, Low);
  return Text.data();
}

} // namespace lavenderdale
