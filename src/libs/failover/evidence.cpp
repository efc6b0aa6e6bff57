#include "evidence.h"

#include "failoverlimits.h"

#include <algorithm>
#include <set>

namespace lavenderdale {

void EvidenceAggregator::record(const Evidence &Report) {
  const auto [Entry, Inserted] = this->Newest.try_emplace(Report.Host, Report);
  if (!Inserted && Entry->second.RequestedAt < Report.RequestedAt)
    Entry->second = Report;
}

bool EvidenceAggregator::hasQuorum(const std::vector<Watcher> &Watchers,
                                   Term Current, TimePoint Now) const {
  std::set<std::string> AllHosts;
  std::set<std::string> AllDomains;
  std::set<std::string> SuspectingHosts;
  std::set<std::string> SuspectingDomains;
  for (const Watcher &Each : Watchers) {
    AllHosts.insert(Each.Host);
    AllDomains.insert(Each.FailureDomain);
    const auto Found = this->Newest.find(Each.Host);
    if (Found == this->Newest.end())
      continue;
    const Evidence &Report = Found->second;
    const bool Fresh =
        Now - Report.RequestedAt <= failoverlimits::EvidenceLifetime;
    if (!Fresh || !Report.Suspects || Report.Current != Current)
      continue;
    SuspectingHosts.insert(Each.Host);
    SuspectingDomains.insert(Each.FailureDomain);
  }
  if (AllHosts.empty() ||
      SuspectingHosts.size() < failoverlimits::majority(AllHosts.size()))
    return false;
  return SuspectingDomains.size() >=
         std::min<std::size_t>(2, AllDomains.size());
}

} // namespace lavenderdale
