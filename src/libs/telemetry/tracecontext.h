#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace lavenderdale {

/// Identifies one span of a trace, as in the W3C Trace Context
/// recommendation.
class TraceContext {
public:
  /// Starts a trace.
  /// \param SampleRatio share of traces, from 0 to 1, that are written.
  static TraceContext startTrace(std::mt19937_64 &Random, double SampleRatio);

  /// Reads a `traceparent` header.
  /// \returns the caller's span, or nothing if the header is not valid.
  static std::optional<TraceContext> parse(std::string_view Header);

  /// The span in which a request with \p Header is served: a child of the
  /// caller's span, or a new trace if the header is empty or not valid.
  static TraceContext accept(std::string_view Header, std::mt19937_64 &Random,
                             double SampleRatio);

  /// A new span whose parent is this one.
  TraceContext child(std::mt19937_64 &Random) const;

  /// The `traceparent` header of this span.
  std::string format() const;

  std::string traceId() const;  ///< 32 hex digits.
  std::string spanId() const;   ///< 16 hex digits.
  std::string parentId() const; ///< 16 hex digits, or empty.
  bool isSampled() const { return this->Sampled; }

private:
  std::uint64_t TraceHigh = 0;
  std::uint64_t TraceLow = 0;
  std::uint64_t Span = 0;
  std::uint64_t Parent = 0;
  bool Sampled = false;
};

} // namespace lavenderdale
