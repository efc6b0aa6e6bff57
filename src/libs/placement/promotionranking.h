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

/// Keeps the promotionOrder() of many groups while hosts join and leave. Hosts
/// that join cost one hash for each group and host, and those that leave
/// together one pass over each order.
///
/// Load pattern: hundreds of hosts start at the same moment, and each host
/// hears of all others one by one; or a failure domain with a third of the
/// hosts is lost at once.
class PromotionRanking {
public:
  /// \param Self name of this host.
  explicit PromotionRanking(std::string Self) : Self(std::move(Self)) {}

  PromotionRanking(const PromotionRanking &) = delete;
  PromotionRanking &operator=(const PromotionRanking &) = delete;

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
  struct Host {
    std::string Name;
    std::string FailureDomain;
    std::size_t Domain = 0; ///< Number of the failure domain.
    bool Left = false;
  };
  /// Small, because there is one for each group and host.
  struct Entry {
    std::uint64_t Weight = 0;
    const Host *Ranked = nullptr; ///< One of Hosts.

    /// Whether this host is preferred to \p Other.
    bool operator<(const Entry &Other) const;
  };
  struct GroupOrder {
    std::vector<Entry> Hosts;           ///< The preferred host first.
    std::optional<std::size_t> OwnRank; ///< Unset after a change of the hosts.
  };

  bool removeAllBut(std::span<const PlacementHost> Hosts);
  std::vector<const Host *> addMissing(std::span<const PlacementHost> Hosts);
  void numberDomains();
  static void addTo(GroupOrder &Order, const std::string &Group,
                    std::span<const Host *const> Joined);
  GroupOrder &orderOf(const std::string &Group);
  std::size_t findOwnRank(const GroupOrder &Order) const;

  const std::string Self;
  std::map<std::string, Host> Hosts; ///< By name.
  std::size_t DomainCount = 0;
  std::map<std::string, GroupOrder> Groups;
};

} // namespace lavenderdale
