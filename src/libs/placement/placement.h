#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// A host to which tasks can be assigned.
struct PlacementHost {
  std::string Name;
  std::string FailureDomain;
  /// Processor capacity in cores; 0 if the host does not declare it.
  double Capacity = 0;

  bool operator==(const PlacementHost &) const = default;
};

/// The properties of an upstream on which its placement depends.
struct PlacementUpstream {
  std::string Name;
  std::string FailureDomain;
};

/// All functions below are deterministic: every host gets the same result for
/// the same arguments, regardless of the order of the hosts. They hash every
/// host of a domain (about 0.15 µs each), so callers should cache the results
/// until the hosts change.

/// Number of hosts that hold connections to an upstream.
constexpr std::size_t HolderCount = 2;

/// A host with its rank as a holder of one upstream. Of two hosts, the greater
/// one is preferred.
struct RankedHolder {
  bool SameDomain = false; ///< In the failure domain of the upstream.
  double Score = 0;        ///< Of weighted rendezvous hashing.
  std::uint64_t Weight = 0;
  std::string Host;

  bool operator==(const RankedHolder &) const = default;
  /// Hosts of equal weight are ordered by name, the first name preferred.
  bool operator<(const RankedHolder &Other) const;
};

/// The weight of a host grows with this power of its capacity. The connections
/// to an upstream are not divided, so its holder needs the capacity for all of
/// its statements: a host of a sixth of the capacity, in proportion to which it
/// would still hold most upstreams of a large fleet, is busy with a single one.
constexpr double CapacityExponent = 3;

/// Ranks one host. The score is that of weighted rendezvous hashing
/// (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA
/// 2005). Hosts of equal capacity are ranked as by holdersOf(), whose cached
/// result can be updated in this way when a host joins. For an empty
/// \p FailureDomain, capacities are ignored: owners of rates have little to do,
/// and with a few large owners the loss of one would limit many workspaces.
RankedHolder rankHolder(std::string_view Upstream,
                        std::string_view FailureDomain,
                        const PlacementHost &Host);

/// Selects the hosts that hold connections to an upstream, by rendezvous
/// hashing: hosts of \p FailureDomain first, then hosts of other domains if it
/// has fewer than two.
/// \returns at most two host names, the preferred holder first.
std::vector<std::string> holdersOf(std::string_view Upstream,
                                   std::string_view FailureDomain,
                                   std::span<const PlacementHost> Hosts);

/// Selects the host that owns the share of \p FailureDomain in the rate limit
/// of a workspace.
/// \returns a host name, or nothing if the domain has no host.
std::optional<std::string> rateOwnerOf(std::string_view Workspace,
                                       std::string_view FailureDomain,
                                       std::span<const PlacementHost> Hosts);

/// Selects the hosts of \p FailureDomain that watch the platform and pass
/// changes on to the other hosts of the domain.
/// \returns at most two host names.
std::vector<std::string> relaysOf(std::string_view FailureDomain,
                                  std::span<const PlacementHost> Hosts);

/// Selects the hosts to which \p Host sends heartbeats: three of its own domain
/// at the distances 1, n^(1/3) and n^(2/3) on a ring of n hosts. Thus every
/// host has as many monitors as hosts that it monitors, and status updates
/// cross the ring in few steps. If the domain has fewer than two other hosts,
/// hosts of other domains bring the number up to two.
std::vector<std::string> monitorsOf(const PlacementHost &Host,
                                    std::span<const PlacementHost> Hosts);

/// Orders all hosts by who replaces the failed primary of \p Group first: the
/// preferred host of each failure domain, then all others. A cut-off domain
/// thus delays the replacement by one host, however many hosts it has.
/// \returns host names.
std::vector<std::string> promotionOrder(std::string_view Group,
                                        std::span<const PlacementHost> Hosts);

/// \returns the weight by which promotionOrder() compares hosts; the highest
///          comes first, and hosts of equal weight are ordered by name.
std::uint64_t promoterWeight(std::string_view Group, std::string_view Host);

/// Selects the hosts that watch a database group.
/// \returns the preferred holder of each member without duplicates, in the
///          order of the members.
std::vector<std::string> watchersOf(std::span<const PlacementUpstream> Group,
                                    std::span<const PlacementHost> Hosts);

} // namespace lavenderdale
