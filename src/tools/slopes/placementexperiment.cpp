#include "experiments.h"

#include <algorithm>
#include <map>

namespace lavenderdale::slopes {

std::string domainName(std::size_t Number) {
  return "domain-" + std::to_string(Number % Domains);
}

std::vector<PlacementHost> makeHosts(std::size_t Count) {
  std::vector<PlacementHost> All;
  for (std::size_t I = 0; I < Count; ++I)
    All.push_back({"host-" + std::to_string(I), domainName(I)});
  return All;
}

namespace {

std::vector<PlacementUpstream> makeGroup(std::size_t Number) {
  std::vector<PlacementUpstream> Members;
  for (std::size_t I = 0; I < MembersOfGroup; ++I)
    Members.push_back(
        {"group-" + std::to_string(Number) + "-" + std::to_string(I),
         domainName(Number + I)});
  return Members;
}

/// Work of one host: groups it watches, databases it holds, and members it
/// polls as a watcher or as the second holder of a primary.
struct Load {
  double Watched = 0;
  double Held = 0;
  double Polled = 0;
};

std::map<std::string, Load> loadsOf(std::size_t Count,
                                    const std::vector<PlacementHost> &Fleet) {
  std::map<std::string, Load> Loads;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::vector<PlacementUpstream> Members = makeGroup(I);
    std::vector<std::string> Polls = watchersOf(Members, Fleet);
    for (const std::string &Name : Polls)
      ++Loads[Name].Watched;
    for (const PlacementUpstream &Each : Members)
      for (const std::string &Name :
           holdersOf(Each.Name, Each.FailureDomain, Fleet)) {
        ++Loads[Name].Held;
        // The first member is the primary.
        if (Each.Name == Members.front().Name &&
            std::ranges::find(Polls, Name) == Polls.end())
          Polls.push_back(Name);
      }
    for (const std::string &Name : Polls)
      Loads[Name].Polled += static_cast<double>(Members.size());
  }
  return Loads;
}

double timeOf(std::size_t GroupCount, std::size_t HostCount) {
  const std::vector<PlacementHost> Fleet = makeHosts(HostCount);
  const double Before = processorMicroseconds();
  loadsOf(GroupCount, Fleet);
  return processorMicroseconds() - Before;
}

void addLoads(std::vector<Series> &All) {
  Series Mean{"placement.polled.mean", "groups", "members polled", {}};
  Series Most{"placement.polled.most", "groups", "members polled", {}};
  Series MostHeld{"placement.held.most", "groups", "databases held", {}};
  Series MostWatched{"placement.watched.most", "groups", "groups", {}};
  const std::vector<PlacementHost> Fleet = makeHosts(Hosts);
  for (const std::size_t Count : {46U, 92U, 138U, 184U, 230U}) {
    Load Greatest;
    double Sum = 0;
    for (const auto &[Name, Each] : loadsOf(Count, Fleet)) {
      Sum += Each.Polled;
      Greatest.Watched = std::max(Greatest.Watched, Each.Watched);
      Greatest.Held = std::max(Greatest.Held, Each.Held);
      Greatest.Polled = std::max(Greatest.Polled, Each.Polled);
    }
    const auto Size = static_cast<double>(Count);
    Mean.Points.push_back({Size, Sum / static_cast<double>(Hosts)});
    Most.Points.push_back({Size, Greatest.Polled});
    MostHeld.Points.push_back({Size, Greatest.Held});
    MostWatched.Points.push_back({Size, Greatest.Watched});
  }
  All.insert(All.end(), {Mean, Most, MostHeld, MostWatched});
}

} // namespace

std::vector<Series> measurePlacement() {
  Series ByHosts{"placement.time", "hosts", "us for all 690 databases", {}};
  Series ByBases{"placement.time", "databases", "us on 490 hosts", {}};
  for (const std::size_t Count : {14U, 70U, 140U, 245U, 350U, 490U})
    ByHosts.Points.push_back(
        {static_cast<double>(Count), timeOf(Groups, Count)});
  for (const std::size_t Count : {23U, 46U, 92U, 138U, 184U, 230U})
    ByBases.Points.push_back(
        {static_cast<double>(Count * MembersOfGroup), timeOf(Count, Hosts)});
  std::vector<Series> All{ByHosts, ByBases};
  addLoads(All);
  return All;
}

} // namespace lavenderdale::slopes
