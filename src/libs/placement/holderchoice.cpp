#include "holderchoice.h"

#include <algorithm>

namespace lavenderdale {

void HolderChoice::setHosts(std::vector<PlacementHost> NewLive) {
  if (NewLive == this->Live)
    return;
  this->Live = std::move(NewLive);
  this->Holders.clear();
  const auto IsGone = [this](const std::string &Host) {
    return std::ranges::find(this->Live, Host, &PlacementHost::Name) ==
           this->Live.end();
  };
  std::erase_if(this->HostsAvoidedUntil,
                [&](const auto &Each) { return IsGone(Each.first); });
  std::erase_if(this->PathsAvoidedUntil,
                [&](const auto &Each) { return IsGone(Each.first.first); });
  std::erase_if(this->Losses,
                [&](const auto &Each) { return IsGone(Each.first.first); });
}

const std::vector<std::string> &
HolderChoice::holders(const std::string &Upstream,
                      const std::string &FailureDomain) {
  const auto Known = this->Holders.find(Upstream);
  if (Known != this->Holders.end())
    return Known->second;
  return this->Holders
      .emplace(Upstream, holdersOf(Upstream, FailureDomain, this->Live))
      .first->second;
}

bool HolderChoice::avoided(const std::string &Host, const std::string &Upstream,
                           TimePoint Now) const {
  const auto ByHost = this->HostsAvoidedUntil.find(Host);
  if (ByHost != this->HostsAvoidedUntil.end() && Now < ByHost->second)
    return true;
  const auto ByPath = this->PathsAvoidedUntil.find({Host, Upstream});
  return ByPath != this->PathsAvoidedUntil.end() && Now < ByPath->second;
}

std::string HolderChoice::choose(const std::string &Upstream,
                                 const std::string &FailureDomain,
                                 TimePoint Now) {
  for (const std::string &Host : this->holders(Upstream, FailureDomain))
    if (!this->avoided(Host, Upstream, Now))
      return Host;
  return this->Self;
}

std::size_t HolderChoice::rank(const std::string &Host,
                               const std::string &Upstream,
                               const std::string &FailureDomain) {
  constexpr std::size_t Others = 2;
  const std::vector<std::string> &Ordered =
      this->holders(Upstream, FailureDomain);
  const auto Found = std::ranges::find(Ordered, Host);
  return Found == Ordered.end()
             ? Others
             : static_cast<std::size_t>(Found - Ordered.begin());
}

void HolderChoice::hostFailed(const std::string &Host, TimePoint Now) {
  this->HostsAvoidedUntil[Host] = Now + AvoidAfterFailure;
}

void HolderChoice::pathFailed(const std::string &Host,
                              const std::string &Upstream, TimePoint Now) {
  this->PathsAvoidedUntil[{Host, Upstream}] = Now + AvoidAfterFailure;
}

void HolderChoice::answersLost(const std::string &Host,
                               const std::string &Upstream, unsigned Answers,
                               TimePoint Now) {
  unsigned &Count = this->Losses[{Host, Upstream}];
  Count += Answers;
  if (Count < LossesOfFailedPath)
    return;
  Count = 0;
  this->pathFailed(Host, Upstream, Now);
}

void HolderChoice::pathAnswered(const std::string &Host,
                                const std::string &Upstream) {
  this->Losses.erase({Host, Upstream});
}

void HolderChoice::hostAnswered(const std::string &Host) {
  this->HostsAvoidedUntil.erase(Host);
}

} // namespace lavenderdale
