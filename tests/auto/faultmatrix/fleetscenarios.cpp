#include "membership/fleetfake.h"
#include "scenario.h"

#include <algorithm>

namespace lavenderdale::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int HostCount = 9;
constexpr int DomainCount = 3;
/// News of a leaving host reaches all hosts within this time: it passes a few
/// hosts, at a heartbeat interval of 0.5 s each.
constexpr seconds NewsLimit{3};

std::string domain(int Index) { return "domain-" + std::to_string(Index); }

void inject(FleetFake &Fleet, const Setting &At, FleetFake::Host &Actor,
            FleetFake::Host &Other) {
  if (At.has(Fault::ProxyDies))
    Fleet.crash(Other);
  if (At.has(Fault::PlatformDown))
    for (FleetFake::Host &Each : Fleet.Hosts)
      Each.ReachesPlatform = false;
  if (At.has(Fault::PlatformAnswersLost))
    Fleet.LosePlatformAnswers = true;
  if (At.has(Fault::HolderPaused))
    Actor.PausedUntil = Fleet.Now + milliseconds(500 + Fleet.Random() % 6000);
  if (At.has(Fault::SilentConnections))
    Fleet.LossRate = 0.4;
  if (At.has(Fault::DomainsCutOff))
    for (FleetFake::Host &Each : Fleet.Hosts)
      if (Each.Self.FailureDomain == Actor.Self.FailureDomain) {
        Each.Side = 1;
        Each.ReachesPlatform = false;
      }
}

void heal(FleetFake &Fleet, const FleetFake::Host *Stopped) {
  Fleet.LossRate = 0;
  Fleet.LosePlatformAnswers = false;
  for (FleetFake::Host &Each : Fleet.Hosts) {
    Each.Side = 0;
    Each.ReachesPlatform = true;
    Each.PausedUntil = Fleet.Now;
    if (!Each.Agent && &Each != Stopped)
      Fleet.start(Each);
  }
}

/// Watches a fleet for a share that two hosts may use, and for a host that
/// uses one after it began to stop.
struct ShareCheck {
  FleetFake &Fleet;
  const FleetFake::Host *Stopping = nullptr;
  bool LeasesIgnored = false;
  std::string Violation;

  int owners(const std::string &Workspace, int Domain) const {
    if (!this->LeasesIgnored)
      return this->Fleet.ownerCount(Workspace, domain(Domain));
    int Count = 0;
    for (const FleetFake::Host &Each : this->Fleet.Hosts)
      Count +=
          Each.Self.FailureDomain == domain(Domain) &&
                  this->Fleet.isRunning(Each) &&
                  rateOwnerOf(Workspace, domain(Domain),
                              Each.Agent->liveHosts()) == Each.Self.Key.Name
              ? 1
              : 0;
    return Count;
  }

  void operator()() {
    for (int Domain = 0; Domain < DomainCount; ++Domain)
      for (const char *Workspace : {"a", "b"})
        if (this->owners(Workspace, Domain) > 1)
          this->Violation = "two hosts may use one share";
    if (!this->Stopping || !this->Stopping->Agent)
      return;
    for (const char *Workspace : {"a", "b"})
      if (this->Stopping->Agent->mayGrant(Workspace, this->Fleet.Now))
        this->Violation = "a stopping host still uses its share";
  }

  void run(Duration Time) {
    const TimePoint End = this->Fleet.Now + Time;
    while (this->Fleet.Now < End && this->Violation.empty())
      this->Fleet.run(std::min<Duration>(End - this->Fleet.Now, seconds(1)),
                      [this] { (*this)(); });
  }
};

std::string settle(ShareCheck &Check, const FleetFake::Host *Stopped) {
  heal(Check.Fleet, Stopped);
  Check.run(seconds(15));
  if (!Check.Violation.empty())
    return Check.Violation;
  for (const FleetFake::Host &Each : Check.Fleet.Hosts)
    if (Check.Fleet.isMember(Each) == (&Each == Stopped))
      return "the host set is not as the hosts are";
  for (int Domain = 0; Domain < DomainCount; ++Domain)
    for (const char *Workspace : {"a", "b"})
      if (Check.Fleet.ownerCount(Workspace, domain(Domain)) != 1)
        return "a share that nobody may use";
  return {};
}

/// A fleet whose hosts 0, 3 and 6 are in one domain.
FleetFake startedFleet(const Setting &At) {
  FleetFake Fleet(At.Seed, HostCount, DomainCount);
  Fleet.run(seconds(10));
  return Fleet;
}

// The owner of a share, and then its successor, are hit while in use.
std::string useShare(const Setting &At) {
  FleetFake Fleet = startedFleet(At);
  ShareCheck Check{Fleet, nullptr, At.MechanismOff, {}};
  const auto Owner = std::find_if(
      Fleet.Hosts.begin(), Fleet.Hosts.end(), [&](const FleetFake::Host &Each) {
        return Each.Agent->mayGrant("a", Fleet.Now) &&
               Each.Self.FailureDomain == domain(0);
      });
  if (Owner == Fleet.Hosts.end())
    return "the step was not reached";
  inject(Fleet, At, *Owner, *Owner);
  Check.run(milliseconds(2000 + Fleet.Random() % 6000));
  return settle(Check, nullptr);
}

// A host has died and is being removed; the faults hit another of its domain.
std::string changeHostSet(const Setting &At) {
  FleetFake Fleet = startedFleet(At);
  ShareCheck Check{Fleet, nullptr, At.MechanismOff, {}};
  Fleet.crash(Fleet.Hosts[0]);
  Check.run(milliseconds(Fleet.Random() % 2000));
  inject(Fleet, At, Fleet.Hosts[3], Fleet.Hosts[6]);
  Check.run(milliseconds(1000 + Fleet.Random() % 8000));
  return settle(Check, nullptr);
}

// A host begins to leave in the moment of the faults, which hit it or, if it
// is a death, a host that would take over from it.
std::string stopHost(const Setting &At) {
  FleetFake Fleet = startedFleet(At);
  FleetFake::Host &Leaving = Fleet.Hosts[0];
  ShareCheck Check{Fleet, nullptr, At.MechanismOff, {}};
  const bool FaultFirst = Fleet.Random() % 2 == 0;
  if (FaultFirst)
    inject(Fleet, At, Leaving, Fleet.Hosts[3]);
  // A paused host begins to leave when it wakes up.
  if (Fleet.Now < Leaving.PausedUntil)
    Check.run(Leaving.PausedUntil - Fleet.Now);
  Check.Stopping = &Leaving;
  if (!At.MechanismOff)
    Leaving.Agent->leave(Fleet.Now);
  if (!FaultFirst) {
    Check.run(milliseconds(Fleet.Random() % 300));
    inject(Fleet, At, Leaving, Fleet.Hosts[3]);
  }
  Check.run(NewsLimit + milliseconds(Fleet.Random() % 4000));
  const bool Reached = !At.has(Fault::DomainsCutOff) &&
                       !At.has(Fault::HolderPaused) &&
                       !At.has(Fault::SilentConnections);
  // Peers give a leaving host no new duties, with or without the platform.
  if (Reached && Check.Violation.empty())
    for (const PlacementHost &Each : Fleet.Hosts[1].Agent->liveHosts())
      if (Each.Name == Leaving.Self.Key.Name)
        return "a peer still counts on a stopping host";
  if (Fleet.Now < Leaving.PausedUntil)
    Check.run(Leaving.PausedUntil - Fleet.Now);
  return settle(Check, &Leaving);
}

} // namespace

const Scenario RateShare{
    "rate-share", "rate",
    "no two hosts may use one share when its owner is hit; afterwards one may",
    &useShare};
const Scenario ChangedHostSet{
    "changed-host-set", "rate",
    "no two hosts may use one share while a dead host is removed; the host "
    "set is right afterwards",
    &changeHostSet};
const Scenario StoppedHost{
    "stopped-host", "planned-stop, rate",
    "a host that leaves uses no share and gets no duties, and no two hosts "
    "use one share; the host set is right afterwards",
    &stopHost};

} // namespace lavenderdale::matrix
