#pragma once

#include "logposition.h"
#include "term.h"

#include <compare>

namespace lavenderdale {

/// A point in a group's history. Positions of different terms are ordered by
/// term first; whether the older one survived is answered by Lineage.
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

} // namespace lavenderdale
