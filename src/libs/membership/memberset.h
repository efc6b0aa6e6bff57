#pragma once

#include "placement/placement.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// A host process. A restarted process has the same name and a higher
/// generation, and is not the member that the earlier process was.
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

/// The platform's object `hostsets/fleet`: which hosts have shares of the
/// rates. It only changes by conditional updates that raise the epoch by one.
struct MemberSet {
  std::uint64_t Epoch = 0; ///< 0: no host set is known.
  std::vector<HostMember> Members;

  /// \returns the member, or null.
  const HostMember *find(std::string_view Name) const;
  const HostMember *find(const HostKey &Key) const;

  /// The members of a failure domain, ordered by name.
  std::vector<HostMember> ofDomain(std::string_view FailureDomain) const;

  bool operator==(const MemberSet &) const = default;
};

/// The members' names and domains.
std::vector<PlacementHost>
toPlacementHosts(const std::vector<HostMember> &Members);

/// The number of hosts of a domain of \p DomainSize members that may be
/// removed together. Up to a third, and one in small domains: a larger group
/// that is cut off from the rest keeps its leases (see OwnerLease).
constexpr std::size_t maxRemovedTogether(std::size_t DomainSize) {
  if (DomainSize < 2)
    return 0;
  const std::size_t Third = (DomainSize - 1) / 3;
  return Third == 0 ? 1 : Third;
}

} // namespace lavenderdale
