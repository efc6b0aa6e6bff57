#include "holderselector.h"

#include <algorithm>

namespace lavenderdale {

void HolderSelector::setHosts(std::vector<PlacementHost> NewLive) {
  if (NewLive == this->Live)
    return;
  this->Live = std::move(NewLive);
  this->Holders.clear();
  const auto IsGone = [this](const std::string &Host) {
    return std::ranges::find(this->Live, Host, &PlacementHost::Name) ==
           this->Live.end();
  };
  std::erase_if(this->HostsAvoidedUntil,
                [&](const auto &Item) { return IsGone(Item.first); });
  std::erase_if(this->PathsAvoidedUntil,
                [&](const auto &Item) { return IsGone(Item.first.first); });
  std::erase_if(this->ConsecutiveLosses,
                [&](const auto &Item) { return IsGone(Item.first.first); });
}

const std::vector<std::string> &
HolderSelector::holders(const std::string &Upstream,
                        const std::string &FailureDomain) {
  const auto Known = this->Holders.find(Upstream);
  if (Known != this->Holders.end())
    return Known->second;
  return this->Holders
      .emplace(Upstream, holdersOf(Upstream, FailureDomain, this->Live))
      .first->second;
}

bool HolderSelector::isAvoided(const std::string &Host,
                               const std::string &Upstream,
                               TimePoint Now) const {
  const auto HostAvoided = this->HostsAvoidedUntil.find(Host);
  if (HostAvoided != this->HostsAvoidedUntil.end() && Now < HostAvoided->second)
    return true;
  const auto PathAvoided = this->PathsAvoidedUntil.find({Host, Upstream});
  return PathAvoided != this->PathsAvoidedUntil.end() &&
         Now < PathAvoided->second;
}

std::string HolderSelector::choose(const std::string &Upstream,
                                   const std::string &FailureDomain,
                                   TimePoint Now) {
  for (const std::string &Host : this->holders(Upstream, FailureDomain))
    if (!this->isAvoided(Host, Upstream, Now))
      return Host;
  return this->Self;
}

std::size_t HolderSelector::rank(const std::string &Host,
                                 const std::string &Upstream,
                                 const std::string &FailureDomain) {
  constexpr std::size_t NoHolder = 2;
  const std::vector<std::string> &Ordered =
      this->holders(Upstream, FailureDomain);
  const auto Found = std::ranges::find(Ordered, Host);
  return Found == Ordered.end()
             ? NoHolder
             : static_cast<std::size_t>(Found - Ordered.begin());
}

void HolderSelector::hostFailed(const std::string &Host, TimePoint Now) {
  this->HostsAvoidedUntil[Host] = Now + AvoidAfterFailure;
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

void HolderSelector::hostAnswered(const std::string &Host) {
  this->HostsAvoidedUntil.erase(Host);
}

} // namespace lavenderdale
