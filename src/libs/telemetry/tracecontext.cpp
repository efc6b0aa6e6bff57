#include "tracecontext.h"

#include <algorithm>
#include <array>

namespace lavenderdale {
namespace {

constexpr std::size_t HeaderLength = 55; // "00-" trace "-" span "-" flags
constexpr std::size_t SpanDigits = 16;
constexpr std::size_t VersionAt = 0;
constexpr std::size_t TraceAt = 3;
constexpr std::size_t SpanAt = 36;
constexpr std::size_t FlagsAt = 53;
constexpr std::array<std::size_t, 3> DashesAt = {2, 35, 52};
constexpr std::uint64_t SampledFlag = 1;
constexpr std::uint64_t ForbiddenVersion = 0xff;

// The recommendation allows lower-case digits only.
std::optional<std::uint64_t> parseHex(std::string_view Digits) {
  std::uint64_t Value = 0;
  for (const char Digit : Digits) {
    const bool Decimal = Digit >= '0' && Digit <= '9';
    if (!Decimal && (Digit < 'a' || Digit > 'f'))
      return std::nullopt;
    Value = Value << 4U | static_cast<std::uint64_t>(
                              Decimal ? Digit - '0' : Digit - 'a' + 10);
  }
  return Value;
}

std::string formatHex(std::uint64_t Value) {
  std::string Digits(SpanDigits, '0');
  for (auto Digit = Digits.rbegin(); Digit != Digits.rend(); ++Digit) {
    *Digit = "0123456789abcdef"[Value & 0xfU];
    Value >>= 4U;
  }
  return Digits;
}

std::uint64_t randomId(std::mt19937_64 &Random) {
  std::uint64_t Id = 0;
  while (Id == 0) // The zero id is not valid.
    Id = Random();
  return Id;
}

bool hasValidShape(std::string_view Header, std::uint64_t Version) {
  if (Version == ForbiddenVersion)
    return false;
  // Later versions may append fields.
  if (Header.size() > HeaderLength &&
      (Version == 0 || Header[HeaderLength] != '-'))
    return false;
  return std::ranges::all_of(
      DashesAt, [Header](std::size_t At) { return Header[At] == '-'; });
}

} // namespace

TraceContext TraceContext::startTrace(std::mt19937_64 &Random,
                                      double SampleRatio) {
  TraceContext Root;
  Root.TraceHigh = randomId(Random);
  Root.TraceLow = randomId(Random);
  Root.Span = randomId(Random);
  Root.Sampled =
      std::uniform_real_distribution<double>(0, 1)(Random) < SampleRatio;
  return Root;
}

std::optional<TraceContext> TraceContext::parse(std::string_view Header) {
  if (Header.size() < HeaderLength)
    return std::nullopt;
  const auto Version = parseHex(Header.substr(VersionAt, 2));
  if (!Version || !hasValidShape(Header, *Version))
    return std::nullopt;
  const auto High = parseHex(Header.substr(TraceAt, SpanDigits));
  const auto Low = parseHex(Header.substr(TraceAt + SpanDigits, SpanDigits));
  const auto Span = parseHex(Header.substr(SpanAt, SpanDigits));
  const auto Flags = parseHex(Header.substr(FlagsAt, 2));
  if (!High || !Low || !Span || !Flags)
    return std::nullopt;
  if ((*High == 0 && *Low == 0) || *Span == 0)
    return std::nullopt;
  TraceContext Context;
  Context.TraceHigh = *High;
  Context.TraceLow = *Low;
  Context.Span = *Span;
  Context.Sampled = (*Flags & SampledFlag) != 0;
  return Context;
}

TraceContext TraceContext::accept(std::string_view Header,
                                  std::mt19937_64 &Random, double SampleRatio) {
  const std::optional<TraceContext> Caller = parse(Header);
  return Caller ? Caller->child(Random) : startTrace(Random, SampleRatio);
}

TraceContext TraceContext::child(std::mt19937_64 &Random) const {
  TraceContext Child = *this;
  Child.Parent = this->Span;
  Child.Span = randomId(Random);
  return Child;
}

std::string TraceContext::format() const {
  return "00-" + this->traceId() + "-" + this->spanId() +
         (this->Sampled ? "-01" : "-00");
}

std::string TraceContext::traceId() const {
  return formatHex(this->TraceHigh) + formatHex(this->TraceLow);
}

std::string TraceContext::spanId() const { return formatHex(this->Span); }

std::string TraceContext::parentId() const {
  return this->Parent == 0 ? std::string() : formatHex(this->Parent);
}

} // namespace lavenderdale
