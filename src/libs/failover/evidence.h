#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"

#include <map>
#include <string>
#include <vector>

namespace lavenderdale {

/// A watcher of a group and the failure domain that it runs in.
struct Watcher {
  std::string Host;
  std::string FailureDomain;
};

/// One watcher's opinion.
struct Evidence {
  std::string Host;
  Term Current; ///< The term whose primary it is about.
  bool Suspects = false;
  TimePoint AskedAt; ///< When it was requested, on the local clock.
};

/// Combines the opinions of a group's watchers.
class EvidenceBoard {
public:
  /// Takes an opinion; an older one than the known one is ignored.
  void record(const Evidence &Opinion);

  /// Whether a majority of \p Watchers, in at least two failure domains if
  /// they have that many, freshly suspect the primary of \p Current.
  bool agrees(const std::vector<Watcher> &Watchers, Term Current,
              TimePoint Now) const;

private:
  std::map<std::string, Evidence> Opinions;
};

} // namespace lavenderdale
