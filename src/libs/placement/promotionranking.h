#pragma once

#include "placement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Keeps the promotionOrder() of many groups while hosts join and leave. A
/// joining or leaving host costs one hash for each group, instead of one for
/// each host and group.
///
/// Load pattern: hundreds of hosts start at the same moment, and each host
/// hears of all others one by one.
class PromotionRanking {
public:
  /// \param Self name of this host.
  explicit PromotionRanking(std::string Self) : Self(std::move(Self)) {}

  /// Replaces the hosts.
  /// \param Hosts sorted by name, without duplicates.
  void setHosts(std::span<const PlacementHost> Hosts);

  /// \returns the position of this host in the promotionOrder() of \p Group;
  ///          the number of hosts if it is not one of them.
  std::size_t ownRank(const std::string &Group);

  /// \returns the names of the first \p Count hosts of the promotionOrder() of
  ///          \p Group, or of all if there are fewer.
  std::vector<std::string> first(const std::string &Group, std::size_t Count);

private:
  struct Entry {
    std::uint64_t Weight = 0;
    PlacementHost Host;

    /// Whether this host is preferred to \p Other.
    bool operator<(const Entry &Other) const;
  };
  struct GroupOrder {
    std::vector<Entry> Hosts;           ///< The preferred host first.
    std::optional<std::size_t> OwnRank; ///< Unset after a change of the hosts.
  };

  static Entry entryOf(const std::string &Group, const PlacementHost &Host);
  GroupOrder &orderOf(const std::string &Group);
  std::size_t findOwnRank(const GroupOrder &Order) const;

  const std::string Self;
  std::vector<PlacementHost> Hosts; ///< By name.
  std::map<std::string, GroupOrder> Groups;
};

} // namespace lavenderdale
