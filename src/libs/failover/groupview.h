#pragma once

#include "consistency/term.h"

#include <string>
#include <vector>

namespace lavenderdale {

/// The current term of a group, its primary and all members by name, the
/// primary included.
struct GroupView {
  Term Current;
  std::string Primary;
  std::vector<std::string> Members;
  Term Timeline; ///< Of the primary; 0 while its promotion is not complete.

  bool operator==(const GroupView &) const = default;
};

} // namespace lavenderdale
