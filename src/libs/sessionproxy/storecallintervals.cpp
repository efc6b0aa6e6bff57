#include "storecallintervals.h"

#include "hostreport.h"

#include <algorithm>

namespace lavenderdale {

StoreCallIntervals storeCallIntervals(std::size_t Hosts) {
  using std::chrono::milliseconds;
  // Shorter than the 3.5 s for which a confirmation of the catalogue is valid
  // (ProxyState::CatalogueConfirmationLifetime).
  constexpr milliseconds MinCatalogueWait{2600};
  constexpr milliseconds MaxCatalogueWait{20000};
  constexpr milliseconds MinUpstreamWait{4500};
  constexpr milliseconds MaxUpstreamWait{7000};
  constexpr milliseconds MinPause{150};
  constexpr milliseconds MaxPause{1000};
  constexpr milliseconds MinHostInterval{5000};
  constexpr milliseconds MaxHostInterval{15000};
  constexpr milliseconds MinEvacuationWait{2000};
  constexpr milliseconds MaxEvacuationWait{20000};
  const auto Scaled = [Hosts](milliseconds Min, milliseconds Max) {
    return std::min<milliseconds>(
        Min * std::max(Hosts, SmallFleet) / SmallFleet, Max);
  };
  return {Scaled(MinCatalogueWait, MaxCatalogueWait),
          MinCatalogueWait,
          Scaled(MinUpstreamWait, MaxUpstreamWait),
          Scaled(MinPause, MaxPause),
          Scaled(MinHostInterval, MaxHostInterval),
          Scaled(MinEvacuationWait, MaxEvacuationWait)};
}

} // namespace lavenderdale
