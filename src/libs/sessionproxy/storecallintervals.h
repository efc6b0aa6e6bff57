#pragma once

#include <chrono>
#include <cstddef>

namespace lavenderdale {

/// Intervals at which each host calls the store. The limit on calls holds for
/// all hosts together, so the intervals grow with the size of the fleet. A
/// change ends a watch at once, so a longer watch only delays the detection of
/// a dead connection. The comments on the members say what limits the effect.
struct StoreCallIntervals {
  /// Duration of a watch of the catalogue. A host that misses a version learns
  /// of it, and of the age of the last confirmation, from reports of others.
  std::chrono::milliseconds CatalogueWait{};
  /// The same for the hosts that confirm the catalogue for all others. A change
  /// ends the watches of all hosts at the same moment, so without such hosts
  /// nobody would confirm it until all long watches end.
  std::chrono::milliseconds ConfirmingWait{};
  /// Duration of a watch of the upstreams. Together with the timeout of a watch
  /// without an answer, it is well below the time within which hosts must
  /// stop using a leaving upstream.
  std::chrono::milliseconds UpstreamWait{};
  /// Pause after a change of an upstream, so that one call returns several
  /// changes: at a start, all upstreams register within seconds.
  std::chrono::milliseconds ChangePause{};
  /// Interval at which the registered hosts are listed. Hosts also become known
  /// through their reports.
  std::chrono::milliseconds HostInterval{};
  /// Duration of a watch of the evacuated failure domains. Hosts also learn of
  /// an order from reports of others, within a report interval. In a small
  /// fleet, shorter than the time in which an order must take effect.
  std::chrono::milliseconds EvacuationWait{};
};

/// Returns the intervals for a fleet of \p Hosts hosts.
StoreCallIntervals storeCallIntervals(std::size_t Hosts);

} // namespace lavenderdale
