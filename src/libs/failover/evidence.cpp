#include "evidence.h"

#include "failoverlimits.h"

#include <algorithm>
#include <set>

namespace lavenderdale {

void EvidenceBoard::record(const Evidence &Opinion) {
  const auto [Entry, Inserted] =
      this->Opinions.try_emplace(Opinion.Host, Opinion);
  if (!Inserted && Entry->second.AskedAt < Opinion.AskedAt)
    Entry->second = Opinion;
}

bool EvidenceBoard::agrees(const std::vector<Watcher> &Watchers, Term Current,
                           TimePoint Now) const {
  std::set<std::string> Hosts;
  std::set<std::string> AllDomains;
  std::set<std::string> Suspecting;
  std::set<std::string> SuspectingDomains;
  for (const Watcher &W : Watchers) {
    Hosts.insert(W.Host);
    AllDomains.insert(W.FailureDomain);
    const auto Found = this->Opinions.find(W.Host);
    if (Found == this->Opinions.end())
      continue;
    const Evidence &Opinion = Found->second;
    const bool Fresh =
        Now - Opinion.AskedAt <= failoverlimits::EvidenceLifetime;
    if (!Fresh || !Opinion.Suspects || Opinion.Current != Current)
      continue;
    Suspecting.insert(W.Host);
    SuspectingDomains.insert(W.FailureDomain);
  }
  if (Hosts.empty() ||
      Suspecting.size() < failoverlimits::majority(Hosts.size()))
    return false;
  return SuspectingDomains.size() >=
         std::min<std::size_t>(2, AllDomains.size());
}

} // namespace lavenderdale
