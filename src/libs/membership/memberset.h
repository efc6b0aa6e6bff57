#pragma once

#include "placement/placement.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// Identifies a host process. After a restart, a host has the same name and a
/// higher generation, and counts as a different member.
struct HostKey {
  std::string Name;
  std::uint64_t Generation = 0; ///< Start time, in ms since the Unix epoch.

  bool operator==(const HostKey &) const = default;
  /// By name, then by generation.
  std::strong_ordering operator<=>(const HostKey &Other) const;
};

/// An entry of the host set.
struct HostMember {
  HostKey Key;
  std::string FailureDomain;
  std::string Address;      ///< "IP:PORT" of the peer listener.
  std::uint64_t Joined = 0; ///< The epoch that added this process.

  bool operator==(const HostMember &) const = default;
};

/// The host set, stored on the platform as the object `hostsets/fleet`: the
/// hosts that can own shares of rate limits. It changes only by conditional
/// updates that increment the epoch by one.
struct MemberSet {
  std::uint64_t Epoch = 0; ///< 0 if no host set is known.
  std::vector<HostMember> Members;

  /// \returns the member, or nullptr if there is none.
  const HostMember *find(std::string_view Name) const;
  const HostMember *find(const HostKey &Key) const;

  /// \returns the members of a failure domain, ordered by name.
  std::vector<HostMember> ofDomain(std::string_view FailureDomain) const;

  bool operator==(const MemberSet &) const = default;
};

/// \returns the names and failure domains of the members.
std::vector<PlacementHost>
toPlacementHosts(const std::vector<HostMember> &Members);

/// \returns the largest number of hosts that may be removed together from a
///          failure domain of \p DomainSize members: fewer than a third of
///          them, but at least one if there are two or more. A larger group
///          that is cut off from the rest keeps its leases (see OwnerLease).
constexpr std::size_t maxRemovedTogether(std::size_t DomainSize) {
  if (DomainSize < 2)
    return 0;
  const std::size_t Third = (DomainSize - 1) / 3;
  return Third == 0 ? 1 : Third;
}

} // namespace lavenderdale
