#pragma once

#include <chrono>
#include <cstddef>

namespace lavenderdale {

/// How often each of \p Hosts hosts calls the store for a collection. Calls
/// are counted over all hosts, so each host of a large fleet waits longer. A
/// change ends a wait at once; only a watch whose connection went silent is
/// noticed later, and what it misses is bounded by other means.
struct StorePace {
  /// For the catalogue: a host that misses a version hears of it in reports,
  /// and takes the age of the last confirmation from them.
  std::chrono::milliseconds CatalogueWait{};
  /// For upstreams: with the time that a silent watch takes to be given up,
  /// well below the time in which a leaving upstream has to be left alone.
  std::chrono::milliseconds UpstreamWait{};
  /// Pause after a change of an upstream, so that one call brings several:
  /// all upstreams announce themselves within seconds at a start.
  std::chrono::milliseconds ChangePause{};
  /// Between lists of the registered hosts, which are also heard of by their
  /// reports.
  std::chrono::milliseconds HostInterval{};
};

StorePace storePace(std::size_t Hosts);

} // namespace lavenderdale
