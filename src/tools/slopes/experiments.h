#pragma once

#include "placement/placement.h"
#include "series.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lavenderdale::slopes {

inline constexpr std::size_t Hosts = 490;
inline constexpr std::size_t Groups = 230;
inline constexpr std::size_t Domains = 7;
inline constexpr std::size_t MembersOfGroup = 3;

/// \returns the name of the failure domain of a host or database by its number.
std::string domainName(std::size_t Number);
std::vector<PlacementHost> makeHosts(std::size_t Count);

/// Each experiment varies one size and holds all others. Time is passed in, so
/// processor times are those of the decisions alone.

/// Heartbeats and ticks of a whole fleet, of a fleet in which one domain went
/// silent, and of one in which a domain's hosts start together.
std::vector<Series> measureMembership();
/// Relays, version queries and pulls of a fleet; parts and memory of a store.
std::vector<Series> measureConfiguration();
/// Placement of databases, and the greatest number of tasks of one host.
std::vector<Series> measurePlacement();
/// Grants of one owner against hosts and workspaces.
std::vector<Series> measureRates();
/// Polls and promotion state of a watcher; memory of catalogue snapshots.
std::vector<Series> measureGroups();

} // namespace lavenderdale::slopes
