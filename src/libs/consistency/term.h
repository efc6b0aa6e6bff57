#pragma once

#include <compare>
#include <cstdint>

namespace lavenderdale {

/// The number of a term, which starts with each change of primary, or of a
/// PostgreSQL timeline. In Position and Lineage it is a timeline. Zero means
/// unknown.
struct Term {
  std::uint64_t Value = 0;

  Term next() const { return Term{this->Value + 1}; }
  bool operator==(const Term &) const = default;
  friend auto operator<=>(const Term &A, const Term &B) {
    return A.Value <=> B.Value;
  }
};

} // namespace lavenderdale
