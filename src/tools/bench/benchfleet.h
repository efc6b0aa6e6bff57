#pragma once

#include "placement/placement.h"
#include "sessionproxy/fleetview.h"
#include "sessionproxy/hostreport.h"
#include "sessionproxy/sessioncatalogue.h"
#include "sessionproxy/upstreamentry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderdale::bench {

/// Size of a fleet to measure.
struct FleetShape {
  std::size_t Hosts = 0;
  std::size_t Upstreams = 0;
  std::size_t Groups = 0;
  std::size_t Workspaces = 0;
};

/// The sizes that all benchmarks are run with, by their number of hosts.
const FleetShape &fleetShape(std::int64_t Hosts);

/// Numbers of hosts of all shapes.
const std::vector<std::int64_t> &fleetSizes();

/// Name of the host that the benchmarks take the place of.
std::string hostName(std::size_t Index);

/// \returns all hosts of the fleet, by name, in three failure domains.
std::vector<PlacementHost> placementHosts(std::size_t Count);

/// \returns all hosts as registered in the store, host 0 included.
std::map<std::string, FleetView::Registration> registrations(std::size_t Count);

/// \returns the upstreams, spread over the groups and three failure domains.
std::vector<UpstreamEntry> upstreams(const FleetShape &Shape);

/// \returns the report of host \p Index on \p Shape's groups.
/// \param Proven whether it has a recent proof of each primary; otherwise it
///        does not reach any of them.
HostReport hostReport(const FleetShape &Shape, std::size_t Index,
                      std::uint64_t Sequence, bool Proven);

std::shared_ptr<const SessionCatalogue> catalogue(const FleetShape &Shape,
                                                  std::uint64_t Version);

/// \returns a JSON document of about 100 kB for 300 workspaces, in the form of
///          a stored catalogue.
std::string catalogueText(const FleetShape &Shape);

} // namespace lavenderdale::bench
