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

  auto operator<=>(const Position &) const = default;
};

} // namespace lavenderdale
