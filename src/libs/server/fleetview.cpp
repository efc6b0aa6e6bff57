#include "fleetview.h"

#include <algorithm>
#include <set>

namespace lavenderdale {

FleetView::FleetView(std::uint64_t Epoch, std::vector<Member> List)
    : Epoch(Epoch) {
  std::set<std::string> Names;
  for (Member &Each : List) {
    this->Hosts.push_back({Each.Name, Each.FailureDomain});
    Names.insert(Each.FailureDomain);
    this->Members[Each.Name] = std::move(Each);
  }
  this->Domains.assign(Names.begin(), Names.end());
}

const FleetView::Member *FleetView::find(const std::string &Name) const {
  const auto Found = this->Members.find(Name);
  return Found == this->Members.end() ? nullptr : &Found->second;
}

std::vector<std::string> FleetView::holders(const Upstream &Target) const {
  const std::lock_guard Guard(this->Lock);
  auto &Kept = this->HoldersByUpstream[{Target.Name, Target.FailureDomain}];
  if (Kept.empty())
    Kept = holdersOf(Target.Name, Target.FailureDomain, this->Hosts);
  return Kept;
}

GroupDuties FleetView::dutiesOf(const std::string &Host,
                                const Group &Config) const {
  GroupDuties Duties;
  std::set<std::string> Watchers;
  for (const Upstream &Each : Config.Upstreams) {
    const std::vector<std::string> Holders = this->holders(Each);
    if (std::find(Holders.begin(), Holders.end(), Host) != Holders.end())
      Duties.Held.insert(Each.Name);
    if (!Holders.empty())
      Watchers.insert(Holders.front());
  }
  Duties.Watches = Watchers.contains(Host);
  for (const std::string &Name : Watchers)
    if (const Member *Found = this->find(Name))
      Duties.Watchers.push_back({Name, Found->FailureDomain});
  return Duties;
}

} // namespace lavenderdale
