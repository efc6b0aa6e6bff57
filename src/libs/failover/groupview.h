#pragma once

#include "consistency/term.h"

#include <string>
#include <vector>

namespace lavenderdale {

/// The current term of a group and the names of its primary and of all members,
/// including the primary.
struct GroupView {
  Term Current;
  std::string Primary;
  std::vector<std::string> Members;
  Term Timeline; ///< Of the primary; 0 until its promotion is complete.

  bool operator==(const GroupView &) const = default;
};

} // namespace lavenderdale
