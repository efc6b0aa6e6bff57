#include "hostcapacity.h"

#include <algorithm>
#include <cmath>

namespace lavenderdale {

void fillCapacities(std::span<PlacementHost> Hosts) {
  double Smallest = 0;
  for (const PlacementHost &Each : Hosts)
    if (Each.Capacity > 0)
      Smallest =
          Smallest > 0 ? std::min(Smallest, Each.Capacity) : Each.Capacity;
  for (PlacementHost &Each : Hosts)
    if (Each.Capacity <= 0)
      Each.Capacity = Smallest > 0 ? Smallest : 1;
}

double usableCapacity(double Capacity) {
  constexpr double MaxCapacity = 1024; // Cores; no host has more.
  return std::isfinite(Capacity) && Capacity > 0 && Capacity <= MaxCapacity
             ? Capacity
             : 0;
}

} // namespace lavenderdale
