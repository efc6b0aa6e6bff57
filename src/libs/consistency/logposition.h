#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderdale {

/// A byte position in the write-ahead log (a PostgreSQL LSN).
struct LogPosition {
  std::uint64_t Value = 0;

  bool operator==(const LogPosition &) const = default;
  friend auto operator<=>(const LogPosition &A, const LogPosition &B) {
    return A.Value <=> B.Value;
  }

  /// Parses PostgreSQL's notation: two hexadecimal numbers of 1 to 8 digits,
  /// separated by a slash.
  /// \returns the position, or BadRequest.
  static Result<LogPosition> parse(std::string_view Text);

  /// PostgreSQL's notation, for example "0/16B3748".
  std::string toString() const;
};

} // namespace lavenderdale
