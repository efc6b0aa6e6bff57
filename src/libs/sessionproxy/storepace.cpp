#include "storepace.h"

#include <algorithm>

namespace lavenderdale {
namespace {

constexpr std::size_t SmallFleet = 12; // Hosts that need no longer waits.

} // namespace

StorePace storePace(std::size_t Hosts) {
  using std::chrono::milliseconds;
  // Catalogues are confirmed in less than the 3.5 s that a missing key counts.
  constexpr milliseconds ShortestCatalogueWait{2600};
  constexpr milliseconds LongestCatalogueWait{20000};
  constexpr milliseconds ShortestUpstreamWait{4500};
  constexpr milliseconds LongestUpstreamWait{7000};
  constexpr milliseconds ShortestPause{150};
  constexpr milliseconds LongestPause{1000};
  constexpr milliseconds ShortestHostInterval{5000};
  constexpr milliseconds LongestHostInterval{15000};
  const auto Scaled = [Hosts](milliseconds Shortest, milliseconds Longest) {
    const std::size_t Counted = Hosts < SmallFleet ? SmallFleet : Hosts;
    return std::min<milliseconds>(Shortest * Counted / SmallFleet, Longest);
  };
  return {Scaled(ShortestCatalogueWait, LongestCatalogueWait),
          Scaled(ShortestUpstreamWait, LongestUpstreamWait),
          Scaled(ShortestPause, LongestPause),
          Scaled(ShortestHostInterval, LongestHostInterval)};
}

} // namespace lavenderdale
