#include "promotionranking.h"

#include <algorithm>
#include <string_view>

namespace lavenderdale {

bool PromotionRanking::Entry::operator<(const Entry &Other) const {
  if (this->Weight != Other.Weight)
    return this->Weight > Other.Weight;
  return this->Ranked->Name < Other.Ranked->Name;
}

void PromotionRanking::setHosts(std::span<const PlacementHost> NewHosts) {
  const bool AnyLeft = this->removeAllBut(NewHosts);
  const std::vector<const Host *> Joined = this->addMissing(NewHosts);
  if (!AnyLeft && Joined.empty())
    return;
  this->numberDomains();
  for (auto &[Group, Order] : this->Groups) {
    Order.OwnRank.reset();
    addTo(Order, Group, Joined);
  }
}

/// Removes the hosts that are not in \p Kept, or are in another failure domain
/// there.
/// \returns whether there were any.
bool PromotionRanking::removeAllBut(std::span<const PlacementHost> Kept) {
  bool AnyLeft = false;
  auto Next = Kept.begin();
  for (auto &[Name, Each] : this->Hosts) {
    while (Next != Kept.end() && Next->Name < Name)
      ++Next;
    Each.Left = Next == Kept.end() || Next->Name != Name ||
                Next->FailureDomain != Each.FailureDomain;
    AnyLeft = AnyLeft || Each.Left;
  }
  if (!AnyLeft)
    return false;
  for (auto &[Group, Order] : this->Groups)
    std::erase_if(Order.Hosts,
                  [](const Entry &Each) { return Each.Ranked->Left; });
  std::erase_if(this->Hosts, [](const auto &Each) { return Each.second.Left; });
  return true;
}

std::vector<const PromotionRanking::Host *>
PromotionRanking::addMissing(std::span<const PlacementHost> NewHosts) {
  std::vector<const Host *> Joined;
  for (const PlacementHost &Each : NewHosts) {
    const auto [Found, Added] = this->Hosts.try_emplace(Each.Name);
    if (!Added)
      continue;
    Found->second.Name = Each.Name;
    Found->second.FailureDomain = Each.FailureDomain;
    Joined.push_back(&Found->second);
  }
  return Joined;
}

void PromotionRanking::numberDomains() {
  std::map<std::string_view, std::size_t> Numbers;
  for (auto &[Name, Each] : this->Hosts)
    Each.Domain =
        Numbers.try_emplace(Each.FailureDomain, Numbers.size()).first->second;
  this->DomainCount = Numbers.size();
}

void PromotionRanking::addTo(GroupOrder &Order, const std::string &Group,
                             std::span<const Host *const> Joined) {
  const auto Before = static_cast<std::ptrdiff_t>(Order.Hosts.size());
  for (const Host *Each : Joined)
    Order.Hosts.push_back({promoterWeight(Group, Each->Name), Each});
  const auto FirstNew = Order.Hosts.begin() + Before;
  std::sort(FirstNew, Order.Hosts.end());
  std::inplace_merge(Order.Hosts.begin(), FirstNew, Order.Hosts.end());
}

PromotionRanking::GroupOrder &
PromotionRanking::orderOf(const std::string &Group) {
  const auto [Found, Added] = this->Groups.try_emplace(Group);
  GroupOrder &Order = Found->second;
  if (!Added)
    return Order;
  std::vector<const Host *> All;
  All.reserve(this->Hosts.size());
  for (const auto &[Name, Each] : this->Hosts)
    All.push_back(&Each);
  Order.Hosts.reserve(All.size());
  addTo(Order, Group, All);
  return Order;
}

std::size_t PromotionRanking::ownRank(const std::string &Group) {
  GroupOrder &Order = this->orderOf(Group);
  if (!Order.OwnRank)
    Order.OwnRank = this->findOwnRank(Order);
  return *Order.OwnRank;
}

std::size_t PromotionRanking::findOwnRank(const GroupOrder &Order) const {
  const auto Found = this->Hosts.find(this->Self);
  if (Found == this->Hosts.end())
    return Order.Hosts.size();
  // The preferred host of each failure domain precedes all others.
  std::vector<bool> Seen(this->DomainCount);
  std::size_t FirstBefore = 0;
  std::size_t OthersBefore = 0;
  for (const Entry &Each : Order.Hosts) {
    const bool FirstOfDomain = !Seen[Each.Ranked->Domain];
    if (Each.Ranked == &Found->second)
      return FirstOfDomain ? FirstBefore : this->DomainCount + OthersBefore;
    Seen[Each.Ranked->Domain] = true;
    ++(FirstOfDomain ? FirstBefore : OthersBefore);
  }
  return Order.Hosts.size();
}

std::vector<std::string> PromotionRanking::first(const std::string &Group,
                                                 std::size_t Count) {
  std::vector<bool> Seen(this->DomainCount);
  std::size_t DomainsLeft = this->DomainCount;
  std::vector<std::string> Names;
  std::vector<const Host *> Others;
  for (const Entry &Each : this->orderOf(Group).Hosts) {
    const bool Enough =
        Names.size() >= Count ||
        (DomainsLeft == 0 && Names.size() + Others.size() >= Count);
    if (Enough)
      break;
    if (Seen[Each.Ranked->Domain]) {
      if (Others.size() < Count)
        Others.push_back(Each.Ranked);
      continue;
    }
    Seen[Each.Ranked->Domain] = true;
    --DomainsLeft;
    Names.push_back(Each.Ranked->Name);
  }
  for (const Host *Each : Others) {
    if (Names.size() >= Count)
      break;
    Names.push_back(Each->Name);
  }
  return Names;
}

} // namespace lavenderdale
