#include "promotionranking.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <string_view>
#include <tuple>

namespace lavenderdale {

bool PromotionRanking::Entry::operator<(const Entry &Other) const {
  return std::tie(Other.Weight, this->Host.Name) <
         std::tie(this->Weight, Other.Host.Name);
}

PromotionRanking::Entry PromotionRanking::entryOf(const std::string &Group,
                                                  const PlacementHost &Host) {
  return {promoterWeight(Group, Host.Name), Host};
}

void PromotionRanking::setHosts(std::span<const PlacementHost> NewHosts) {
  const auto Before = [](const PlacementHost &A, const PlacementHost &B) {
    return std::tie(A.Name, A.FailureDomain) <
           std::tie(B.Name, B.FailureDomain);
  };
  std::vector<PlacementHost> Joined;
  std::vector<PlacementHost> Left;
  std::ranges::set_difference(NewHosts, this->Hosts, std::back_inserter(Joined),
                              Before);
  std::ranges::set_difference(this->Hosts, NewHosts, std::back_inserter(Left),
                              Before);
  if (Joined.empty() && Left.empty())
    return;
  this->Hosts.assign(NewHosts.begin(), NewHosts.end());
  for (auto &[Group, Order] : this->Groups) {
    Order.OwnRank.reset();
    for (const PlacementHost &Each : Left)
      std::erase_if(Order.Hosts, [&Each](const Entry &Ranked) {
        return Ranked.Host.Name == Each.Name;
      });
    for (const PlacementHost &Each : Joined) {
      Entry New = entryOf(Group, Each);
      Order.Hosts.insert(
          std::ranges::lower_bound(Order.Hosts, New, std::less<>()),
          std::move(New));
    }
  }
}

PromotionRanking::GroupOrder &
PromotionRanking::orderOf(const std::string &Group) {
  const auto [Found, Added] = this->Groups.try_emplace(Group);
  GroupOrder &Order = Found->second;
  if (!Added)
    return Order;
  Order.Hosts.reserve(this->Hosts.size());
  for (const PlacementHost &Each : this->Hosts)
    Order.Hosts.push_back(entryOf(Group, Each));
  std::ranges::sort(Order.Hosts, std::less<>());
  return Order;
}

std::size_t PromotionRanking::ownRank(const std::string &Group) {
  GroupOrder &Order = this->orderOf(Group);
  if (!Order.OwnRank)
    Order.OwnRank = this->findOwnRank(Order);
  return *Order.OwnRank;
}

std::size_t PromotionRanking::findOwnRank(const GroupOrder &Order) const {
  // The preferred host of each failure domain precedes all others.
  std::set<std::string_view> Domains;
  std::size_t OthersBefore = 0;
  bool Found = false;
  for (const Entry &Each : Order.Hosts) {
    const bool FirstOfDomain = Domains.insert(Each.Host.FailureDomain).second;
    if (!Found && Each.Host.Name == this->Self) {
      if (FirstOfDomain)
        return Domains.size() - 1;
      Found = true;
    }
    if (!Found && !FirstOfDomain)
      ++OthersBefore;
  }
  return Found ? Domains.size() + OthersBefore : Order.Hosts.size();
}

std::vector<std::string> PromotionRanking::first(const std::string &Group,
                                                 std::size_t Count) {
  std::set<std::string_view> Domains;
  std::vector<std::string> Names;
  std::vector<std::string_view> Others;
  for (const Entry &Each : this->orderOf(Group).Hosts) {
    if (Names.size() >= Count)
      break;
    if (Domains.insert(Each.Host.FailureDomain).second)
      Names.push_back(Each.Host.Name);
    else if (Others.size() < Count)
      Others.push_back(Each.Host.Name);
  }
  const std::size_t Missing = std::min(Others.size(), Count - Names.size());
  Names.insert(Names.end(), Others.begin(),
               Others.begin() + static_cast<std::ptrdiff_t>(Missing));
  return Names;
}

} // namespace lavenderdale
