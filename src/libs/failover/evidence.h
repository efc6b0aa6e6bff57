#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"

#include <map>
#include <string>
#include <vector>

namespace lavenderdale {

/// A host that watches a group's primary, and its failure domain.
struct Watcher {
  std::string Host;
  std::string FailureDomain;
};

/// Whether one watcher suspects a group's primary.
struct Evidence {
  std::string Host;
  Term Current; ///< The term whose primary is meant.
  bool Suspects = false;
  TimePoint RequestedAt; ///< When it was requested, by the local clock.
};

/// Collects the evidence of a group's watchers and decides whether it suffices
/// to replace the primary.
class EvidenceAggregator {
public:
  /// Stores \p Report. It is ignored if newer evidence of its host is known.
  void record(const Evidence &Report);

  /// Whether a majority of \p Watchers suspects the primary of \p Current by
  /// evidence younger than EvidenceLifetime. They have to be in at least two
  /// failure domains, unless all watchers are in one.
  bool hasQuorum(const std::vector<Watcher> &Watchers, Term Current,
                 TimePoint Now) const;

private:
  std::map<std::string, Evidence> Newest; ///< By host.
};

} // namespace lavenderdale
