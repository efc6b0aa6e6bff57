#pragma once

#include "placement.h"

#include <span>

namespace lavenderdale {

/// Gives each host that does not declare its capacity the smallest declared
/// one, so that it takes part like the least of the others; if none declares
/// one, all capacities become equal.
///
/// Hosts of an older version do not declare theirs. All hosts that know the
/// same declarations fill them in alike.
void fillCapacities(std::span<PlacementHost> Hosts);

/// Returns \p Capacity if it is a usable number of cores, otherwise 0 for "not
/// declared". Other hosts may report anything.
double usableCapacity(double Capacity);

} // namespace lavenderdale
