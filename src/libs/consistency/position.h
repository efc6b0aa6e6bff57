#pragma once

#include "logposition.h"
#include "term.h"

#include <compare>
#include <string>

namespace lavenderdale {

/// A position in the log of one of a group's terms. Ordered by term, then by
/// log position. Whether a write at a position of an older term survived can be
/// told only from the Lineage.
struct Position {
  Term InTerm;
  LogPosition Log;

  bool operator==(const Position &) const = default;
  friend std::strong_ordering operator<=>(const Position &A,
                                          const Position &B) {
    const std::strong_ordering ByTerm = A.InTerm <=> B.InTerm;
    return ByTerm != std::strong_ordering::equal ? ByTerm : A.Log <=> B.Log;
  }
};

/// \returns \p At as TERM.NUMBER, both decimal.
inline std::string toString(const Position &At) {
  return std::to_string(At.InTerm.Value) + "." + std::to_string(At.Log.Value);
}

} // namespace lavenderdale
