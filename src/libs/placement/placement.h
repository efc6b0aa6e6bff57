#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// A host that can be given tasks.
struct PlacementHost {
  std::string Name;
  std::string FailureDomain;

  bool operator==(const PlacementHost &) const = default;
};

/// An upstream, as far as its placement depends on it.
struct PlacementUpstream {
  std::string Name;
  std::string FailureDomain;
};

/// All functions give the same result on every host for the same arguments,
/// in whatever order the hosts are listed. They hash every host of a domain
/// (about 0.3 µs each), so callers keep results for as long as the hosts stay
/// the same.

/// The hosts that keep connections to an upstream, by rendezvous hash: hosts
/// of \p FailureDomain first, then of other domains if it has fewer than two.
/// \returns at most two host names, the first holder first.
std::vector<std::string> holdersOf(std::string_view Upstream,
                                   std::string_view FailureDomain,
                                   std::span<const PlacementHost> Hosts);

/// The host that owns \p FailureDomain's share of a workspace's rate.
/// \returns nothing if the domain has no host.
std::optional<std::string> rateOwnerOf(std::string_view Workspace,
                                       std::string_view FailureDomain,
                                       std::span<const PlacementHost> Hosts);

/// The hosts of \p FailureDomain that watch the platform for the others.
/// \returns at most two host names.
std::vector<std::string> relaysOf(std::string_view FailureDomain,
                                  std::span<const PlacementHost> Hosts);

/// The hosts that \p Host sends heartbeats to: three of its own domain at
/// distances 1, n^(1/3) and n^(2/3) on a ring, so that everybody has as many
/// monitors as hosts to monitor and news crosses the ring in few steps. A
/// host with fewer than two neighbours in its domain gets hosts of other
/// domains up to two.
std::vector<std::string> monitorsOf(const PlacementHost &Host,
                                    std::span<const PlacementHost> Hosts);

/// The hosts that watch a database group: the first holder of each member,
/// without repetition, in the order of the members.
std::vector<std::string> watchersOf(std::span<const PlacementUpstream> Group,
                                    std::span<const PlacementHost> Hosts);

} // namespace lavenderdale
