#include "holderselector.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace lavenderdale {
namespace {

/// Inserts \p New into \p Holders, of which the HolderCount preferred ones
/// are kept.
void insertHolder(std::vector<RankedHolder> &Holders, RankedHolder New) {
  const auto Place = std::ranges::find_if(
      Holders, [&New](const RankedHolder &Each) { return Each < New; });
  Holders.insert(Place, std::move(New));
  if (Holders.size() > HolderCount)
    Holders.pop_back();
}

} // namespace

void HolderSelector::setHosts(std::vector<PlacementHost> NewLive) {
  if (NewLive == this->Live)
    return;
  const auto Before = [](const PlacementHost &A, const PlacementHost &B) {
    return std::tie(A.Name, A.FailureDomain, A.Capacity) <
           std::tie(B.Name, B.FailureDomain, B.Capacity);
  };
  std::vector<PlacementHost> Joined;
  std::vector<PlacementHost> Left;
  std::ranges::set_difference(NewLive, this->Live, std::back_inserter(Joined),
                              Before);
  std::ranges::set_difference(this->Live, NewLive, std::back_inserter(Left),
                              Before);
  this->Live = std::move(NewLive);
  for (const PlacementHost &Each : Left)
    this->hostLeft(Each.Name);
  for (const PlacementHost &Each : Joined)
    this->hostJoined(Each);
}

void HolderSelector::hostJoined(const PlacementHost &Host) {
  for (auto &[Upstream, List] : this->Holders) {
    List.All.clear();
    const bool Full = List.Holders.size() == HolderCount;
    if (Full && List.Holders.back().SameDomain &&
        Host.FailureDomain != List.FailureDomain)
      continue;
    insertHolder(List.Holders, rankHolder(Upstream, List.FailureDomain, Host));
  }
}

void HolderSelector::hostLeft(const std::string &Host) {
  std::erase_if(this->Holders, [&Host](const auto &Item) {
    return std::ranges::find(Item.second.Holders, Host, &RankedHolder::Host) !=
           Item.second.Holders.end();
  });
  for (auto &[Upstream, List] : this->Holders)
    List.All.clear();
  this->HostsAvoidedUntil.erase(Host);
  std::erase_if(this->PathsAvoidedUntil,
                [&Host](const auto &Item) { return Item.first.first == Host; });
  std::erase_if(this->ConsecutiveLosses,
                [&Host](const auto &Item) { return Item.first.first == Host; });
}

const std::vector<RankedHolder> &
HolderSelector::holders(const std::string &Upstream,
                        const std::string &FailureDomain) {
  const auto Known = this->Holders.find(Upstream);
  if (Known != this->Holders.end() &&
      Known->second.FailureDomain == FailureDomain)
    return Known->second.Holders;
  HolderList &List = this->Holders[Upstream];
  List.FailureDomain = FailureDomain;
  List.All.clear();
  List.Holders.clear();
  for (const PlacementHost &Each : this->Live)
    insertHolder(List.Holders, rankHolder(Upstream, FailureDomain, Each));
  return List.Holders;
}

std::vector<std::uint32_t>
HolderSelector::rankedHosts(const std::string &Upstream,
                            const std::string &FailureDomain) const {
  std::vector<std::pair<RankedHolder, std::uint32_t>> Ranked;
  Ranked.reserve(this->Live.size());
  for (const PlacementHost &Each : this->Live)
    Ranked.emplace_back(rankHolder(Upstream, FailureDomain, Each),
                        static_cast<std::uint32_t>(Ranked.size()));
  std::ranges::sort(
      Ranked, [](const auto &A, const auto &B) { return B.first < A.first; });
  std::vector<std::uint32_t> Indices;
  Indices.reserve(Ranked.size());
  for (const auto &[Each, Index] : Ranked)
    Indices.push_back(Index);
  return Indices;
}

bool HolderSelector::isAvoided(const std::string &Host,
                               const std::string &Upstream,
                               TimePoint Now) const {
  const auto HostAvoided = this->HostsAvoidedUntil.find(Host);
  if (HostAvoided != this->HostsAvoidedUntil.end() && Now < HostAvoided->second)
    return true;
  const std::string *Domain =
      this->DomainsAvoidedUntil.empty() ? nullptr : this->domainOf(Host);
  if (Domain) {
    const auto DomainAvoided = this->DomainsAvoidedUntil.find(*Domain);
    if (DomainAvoided != this->DomainsAvoidedUntil.end() &&
        Now < DomainAvoided->second)
      return true;
  }
  const auto PathAvoided = this->PathsAvoidedUntil.find({Host, Upstream});
  return PathAvoided != this->PathsAvoidedUntil.end() &&
         Now < PathAvoided->second;
}

std::string HolderSelector::choose(const std::string &Upstream,
                                   const std::string &FailureDomain,
                                   TimePoint Now) {
  for (const RankedHolder &Each : this->holders(Upstream, FailureDomain))
    if (!this->isAvoided(Each.Host, Upstream, Now))
      return Each.Host;
  HolderList &List = this->Holders[Upstream];
  if (List.All.empty())
    List.All = this->rankedHosts(Upstream, FailureDomain);
  for (const std::uint32_t Index : List.All) {
    const std::string &Host = this->Live[Index].Name;
    if (!this->isAvoided(Host, Upstream, Now))
      return Host;
  }
  return this->Self;
}

std::size_t HolderSelector::rank(const std::string &Host,
                                 const std::string &Upstream,
                                 const std::string &FailureDomain) {
  const std::vector<RankedHolder> &Ordered =
      this->holders(Upstream, FailureDomain);
  const auto Found = std::ranges::find(Ordered, Host, &RankedHolder::Host);
  return Found == Ordered.end()
             ? HolderCount
             : static_cast<std::size_t>(Found - Ordered.begin());
}

void HolderSelector::hostFailed(const std::string &Host, TimePoint Now) {
  this->HostsAvoidedUntil[Host] = Now + AvoidAfterFailure;
  if (const std::string *Domain = this->domainOf(Host))
    this->updateDomain(*Domain, Now);
}

bool HolderSelector::otherDomainsSkipped(TimePoint Now) const {
  if (this->DomainsAvoidedUntil.empty())
    return false;
  const std::string *Own = this->domainOf(this->Self);
  bool Others = false;
  for (const PlacementHost &Each : this->Live) {
    if (Own && Each.FailureDomain == *Own)
      continue;
    Others = true;
    const auto Avoided = this->DomainsAvoidedUntil.find(Each.FailureDomain);
    if (Avoided == this->DomainsAvoidedUntil.end() || Now >= Avoided->second)
      return false;
  }
  return Others;
}

const std::string *HolderSelector::domainOf(const std::string &Host) const {
  const auto Found =
      std::ranges::lower_bound(this->Live, Host, {}, &PlacementHost::Name);
  return Found != this->Live.end() && Found->Name == Host
             ? &Found->FailureDomain
             : nullptr;
}

void HolderSelector::updateDomain(const std::string &FailureDomain,
                                  TimePoint Now) {
  const auto Answered = this->DomainsAnsweredAt.find(FailureDomain);
  if (Answered != this->DomainsAnsweredAt.end() &&
      Now - Answered->second < AvoidAfterFailure)
    return;
  std::size_t Hosts = 0;
  std::size_t Failed = 0;
  for (const PlacementHost &Each : this->Live) {
    if (Each.FailureDomain != FailureDomain)
      continue;
    if (Each.Name == this->Self)
      return;
    ++Hosts;
    const auto Avoided = this->HostsAvoidedUntil.find(Each.Name);
    Failed += Avoided != this->HostsAvoidedUntil.end() && Now < Avoided->second
                  ? 1
                  : 0;
  }
  if (Hosts > 1 && Failed >= std::min(Hosts, FailedHostsOfCutDomain))
    this->DomainsAvoidedUntil[FailureDomain] = Now + AvoidAfterFailure;
}

void HolderSelector::pathFailed(const std::string &Host,
                                const std::string &Upstream, TimePoint Now) {
  this->PathsAvoidedUntil[{Host, Upstream}] = Now + AvoidAfterFailure;
}

void HolderSelector::answersLost(const std::string &Host,
                                 const std::string &Upstream, unsigned Answers,
                                 TimePoint Now) {
  unsigned &Count = this->ConsecutiveLosses[{Host, Upstream}];
  Count += Answers;
  if (Count < LostAnswersOfFailedPath)
    return;
  Count = 0;
  this->pathFailed(Host, Upstream, Now);
}

void HolderSelector::pathAnswered(const std::string &Host,
                                  const std::string &Upstream) {
  this->ConsecutiveLosses.erase({Host, Upstream});
}

void HolderSelector::hostAnswered(const std::string &Host, TimePoint Now) {
  this->HostsAvoidedUntil.erase(Host);
  const std::string *Domain = this->domainOf(Host);
  if (!Domain)
    return;
  this->DomainsAnsweredAt[*Domain] = Now;
  this->DomainsAvoidedUntil.erase(*Domain);
}

} // namespace lavenderdale
