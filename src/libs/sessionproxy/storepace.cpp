#include "storepace.h"

#include "hostreport.h"

#include <algorithm>

namespace lavenderdale {

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
    return std::min<milliseconds>(
        Shortest * std::max(Hosts, SmallFleet) / SmallFleet, Longest);
  };
  return {Scaled(ShortestCatalogueWait, LongestCatalogueWait),
          Scaled(ShortestUpstreamWait, LongestUpstreamWait),
          Scaled(ShortestPause, LongestPause),
          Scaled(ShortestHostInterval, LongestHostInterval)};
}

} // namespace lavenderdale
