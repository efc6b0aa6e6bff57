#include "fleetfake.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

// Checks all domains for a few workspaces. Prints the seed on failure.
void requireOneOwner(FleetFake &Fleet, std::uint64_t Seed, int DomainCount) {
  for (int Domain = 0; Domain < DomainCount; ++Domain)
    for (const char *Workspace : {"a", "b", "c", "d"}) {
      const FleetFake::ShareUse Use =
          Fleet.useShare(Workspace, "domain-" + std::to_string(Domain));
      if (Use.Owners <= 1 && !Use.Overlaps)
        continue;
      CAPTURE(Seed, Domain, Workspace, Use.Owners, Fleet.Stored.Epoch);
      if (Use.Owners > 1)
        FAIL("two hosts may use the same share");
      FAIL("grants of an earlier owner can still be spent");
    }
}

int randomBelow(FleetFake &Fleet, int Limit) {
  return static_cast<int>(Fleet.Random() % static_cast<unsigned>(Limit));
}

void injectFault(FleetFake &Fleet) {
  FleetFake::Host &Which = Fleet.Hosts[static_cast<std::size_t>(
      randomBelow(Fleet, static_cast<int>(Fleet.Hosts.size())))];
  switch (randomBelow(Fleet, 9)) {
  case 0:
    Which.PausedUntil = Fleet.Now + 100ms * randomBelow(Fleet, 400);
    return;
  case 1:
    return Fleet.crash(Which);
  case 2:
  case 3:
    if (!Which.Agent)
      Fleet.start(Which);
    return;
  case 4:
    if (Which.Agent && Fleet.isRunning(Which))
      Which.Agent->leave(Fleet.Now);
    return;
  case 5: // A partition that splits domains; one side loses the platform too.
    for (FleetFake::Host &Each : Fleet.Hosts) {
      Each.Side = randomBelow(Fleet, 3) == 0 ? 1 : 0;
      Each.ReachesPlatform = Each.Side == 0;
    }
    return;
  case 6:
    Which.Side = 1 - Which.Side;
    Which.ReachesPlatform = randomBelow(Fleet, 2) == 0;
    return;
  case 7:
    Fleet.LosePlatformAnswers = !Fleet.LosePlatformAnswers;
    return;
  default:
    for (FleetFake::Host &Each : Fleet.Hosts) {
      Each.Side = 0;
      Each.ReachesPlatform = true;
    }
  }
}

void endFaults(FleetFake &Fleet) {
  Fleet.LossRate = 0;
  Fleet.LosePlatformAnswers = false;
  for (FleetFake::Host &Each : Fleet.Hosts) {
    Each.Side = 0;
    Each.ReachesPlatform = true;
    Each.PausedUntil = Fleet.Now;
    if (!Each.Agent || Each.Agent->isLeaving())
      Fleet.start(Each);
  }
}

void runRandomFaults(std::uint64_t Seed, int HostCount, int DomainCount) {
  FleetFake Fleet(Seed, HostCount, DomainCount);
  Fleet.LossRate = 0.02;
  const auto Check = [&] { requireOneOwner(Fleet, Seed, DomainCount); };
  Fleet.run(8s, Check);
  for (int I = 0; I < 25; ++I) {
    injectFault(Fleet);
    Fleet.run(100ms * (1 + randomBelow(Fleet, 50)), Check);
  }
  endFaults(Fleet);
  Fleet.run(40s, Check);
  CAPTURE(Seed, HostCount, DomainCount, Fleet.Stored.Epoch);
  for (const FleetFake::Host &Each : Fleet.Hosts)
    CHECK(Fleet.isMember(Each));
  for (int Domain = 0; Domain < DomainCount; ++Domain)
    CHECK(Fleet.ownerCount("a", "domain-" + std::to_string(Domain)) == 1);
}

} // namespace

// Guards against a workspace that gets its rate twice during any sequence of
// pauses, crashes, restarts, departures, partitions, lost messages and lost
// platform answers, and against a fleet that does not recover.
TEST_CASE("no two hosts may use the same share", "[rate]") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    runRandomFaults(Seed, 6, 3);
    runRandomFaults(Seed + 1000, 4, 1);
    runRandomFaults(Seed + 2000, 9, 1);
  }
}

// Guards against shares that stay with a crashed host.
TEST_CASE("a crashed host is removed within 2 s and its shares get a new owner",
          "[rate]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const int HostCount = Seed % 2 == 0 ? 6 : 60;
    FleetFake Fleet(Seed, HostCount, 3);
    Fleet.run(12s);
    CAPTURE(Seed, HostCount);
    REQUIRE(Fleet.Stored.Members.size() == Fleet.Hosts.size());
    Fleet.run(10ms * (Seed * 7 % 50));
    Fleet.crash(Fleet.Hosts[0]);
    Fleet.run(2s);
    CHECK_FALSE(Fleet.isMember(Fleet.Hosts[0]));
    CHECK(Fleet.Stored.Members.size() == Fleet.Hosts.size() - 1);
    Fleet.run(1200ms);
    CHECK(Fleet.ownerCount("a", "domain-0") == 1);
  }
}

// Guards against hosts that fail together, for example with their rack, and
// keep their shares forever.
TEST_CASE("up to a third of a domain is removed together", "[rate]") {
  FleetFake Fleet(5, 10, 1);
  Fleet.run(12s);
  for (std::size_t I = 0; I < 3; ++I)
    Fleet.crash(Fleet.Hosts[I]);
  Fleet.run(25s, [&] { requireOneOwner(Fleet, 5, 1); });
  CHECK(Fleet.Stored.Members.size() == 7);
  CHECK(Fleet.ownerCount("a", "domain-0") == 1);
}

// Guards against hosts that are cut off together and still renew each other's
// leases after their removal.
TEST_CASE("hosts that are cut off together lose their leases before removal",
          "[rate]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    FleetFake Fleet(Seed, 10, 1);
    Fleet.run(12s);
    for (std::size_t I = 0; I < 3; ++I) {
      Fleet.Hosts[(3 * I + Seed) % 10].Side = 1;
      Fleet.Hosts[(3 * I + Seed) % 10].ReachesPlatform = false;
    }
    CAPTURE(Seed);
    Fleet.run(10s, [&] { requireOneOwner(Fleet, Seed, 1); });
    CHECK(Fleet.Stored.Members.size() == 10);
    Fleet.run(20s, [&] { requireOneOwner(Fleet, Seed, 1); });
    CHECK(Fleet.Stored.Members.size() == 7);
  }
}

// Guards against an agreement that is withdrawn while another member relies on
// it.
TEST_CASE("an agreement to remove a host holds until the epoch changes",
          "[rate]") {
  FleetFake Fleet(7, 3, 1);
  Fleet.run(8s);
  const TimePoint Resumed = Fleet.Now + 60s;
  Membership &Agent = *Fleet.Hosts[0].Agent;
  Agent.tick(Resumed);
  const HostKey Suspect = Fleet.Hosts[1].Self.Key;
  const RemovalRequest Request{
      Fleet.Hosts[2].Self.Key, Fleet.Stored.Epoch, {Suspect}};
  // A host that has just resumed has no current information.
  CHECK(Agent.onRemovalRequest(Request, Resumed).Agreed.empty());
  const TimePoint Later = Resumed + 2s;
  CHECK(Agent.onRemovalRequest(Request, Later).Agreed.size() == 1);
  Heartbeat Message;
  Message.Gossip.Sender.Key = Suspect;
  Message.Gossip.Epoch = Fleet.Stored.Epoch;
  CHECK_FALSE(Agent.onHeartbeat(Message, Later).RenewsLease);
  CHECK(Agent.onHeartbeat(Message, Later).AgreedToRemove);
  MemberSet Next = Fleet.Stored;
  ++Next.Epoch;
  Agent.adoptHostSet(Next, Later);
  CHECK(Agent.onHeartbeat(Message, Later).RenewsLease);
  // The suspect has sent a heartbeat, so there is no agreement.
  RemovalRequest Again = Request;
  Again.Epoch = Next.Epoch;
  CHECK(Agent.onRemovalRequest(Again, Later).Agreed.empty());
  Agent.leave(Later);
  CHECK_FALSE(Agent.onHeartbeat(Message, Later).RenewsLease);
}

// Guards against a partition that is mistaken for the failure of many hosts. A
// domain that is cut off keeps its shares and continues to use them.
TEST_CASE("a partition between or inside domains removes no host", "[rate]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    FleetFake Fleet(Seed, 18, 3);
    Fleet.run(12s);
    const MemberSet Before = Fleet.Stored;
    CAPTURE(Seed);
    const bool ThroughDomains = Seed % 2 == 0;
    for (std::size_t I = 0; I < Fleet.Hosts.size(); ++I) {
      FleetFake::Host &Each = Fleet.Hosts[I];
      const bool Cut =
          ThroughDomains ? I % 2 == 0 : Each.Self.FailureDomain == "domain-1";
      Each.Side = Cut ? 1 : 0;
      Each.ReachesPlatform = !Cut;
    }
    Fleet.run(40s, [&] { requireOneOwner(Fleet, Seed, 3); });
    CHECK(Fleet.Stored == Before);
    CHECK(Fleet.ownerCount("a", "domain-1") == 1);
    endFaults(Fleet);
    Fleet.run(5s);
    // The epoch may increase, which ends agreements from the partition.
    CHECK(Fleet.Stored.Members == Before.Members);
    CHECK(Fleet.Hosts[0].Agent->liveHosts().size() == 18);
  }
}

// Guards against leases so short that grants expire before their tokens are
// spent, which makes requests within the rate wait for tokens, and against a
// reported end of a lease that is later than the actual one.
TEST_CASE("a lease reports its end and lasts at least 400 ms", "[rate]") {
  for (const int Hosts : {6, 18}) {
    FleetFake Fleet(5, Hosts, 1);
    Fleet.run(12s);
    Fleet.run(3s, [&] {
      const Membership &Agent = *Fleet.Hosts[1].Agent;
      const std::optional<TimePoint> Until = Agent.leaseUntil(Fleet.Now);
      REQUIRE(Until.has_value());
      CHECK(*Until >= Fleet.Now + 400ms);
      CHECK(*Until <= Fleet.Now + 1s);
      CHECK(Agent.holdsLease(*Until - 1ns));
      CHECK_FALSE(Agent.holdsLease(*Until));
    });
  }
  FleetFake Alone(6, 1, 1);
  Alone.run(12s);
  CHECK(Alone.Hosts[0].Agent->leaseUntil(Alone.Now) == Alone.Now + 1s);
}

// Guards against a host that still acts as an owner when it resumes after a
// pause.
TEST_CASE("a host that resumes after a pause has no lease and rejoins",
          "[rate]") {
  FleetFake Fleet(3, 6, 1);
  Fleet.run(12s);
  FleetFake::Host &Paused = Fleet.Hosts[2];
  const std::uint64_t Joined = Fleet.Stored.find(Paused.Self.Key)->Joined;
  Paused.PausedUntil = Fleet.Now + 5s;
  Fleet.run(4990ms);
  CHECK_FALSE(Fleet.isMember(Paused));
  CHECK_FALSE(Paused.Agent->holdsLease(Fleet.Now));
  CHECK(Paused.Agent->isMember()); // It does not know of its removal yet.
  Fleet.run(5s, [&] { requireOneOwner(Fleet, 3, 1); });
  REQUIRE(Fleet.isMember(Paused));
  CHECK(Fleet.Stored.find(Paused.Self.Key)->Joined > Joined);
  CHECK(Paused.Agent->holdsLease(Fleet.Now));
  CHECK(Fleet.Hosts[0].Agent->liveHosts().size() == 6);
}

// Guards against a planned stop that leaves shares without an owner for long.
TEST_CASE("a host that leaves stops using its shares immediately",
          "[rate][planned-stop]") {
  FleetFake Fleet(4, 4, 1);
  Fleet.run(8s);
  FleetFake::Host &Leaving = Fleet.Hosts[1];
  Leaving.Agent->leave(Fleet.Now);
  CHECK_FALSE(Leaving.Agent->holdsLease(Fleet.Now));
  Fleet.run(500ms);
  CHECK_FALSE(Fleet.isMember(Leaving));
  Fleet.run(1500ms);
  CHECK(Fleet.ownerCount("a", "domain-0") == 1);
  CHECK(Fleet.Hosts[0].Agent->liveHosts().size() == 3);
}

// Guards against control traffic that grows with the fleet.
TEST_CASE("heartbeats of 490 hosts take less than 9 KB/s per host") {
  FleetFake Fleet(6, 490, 7);
  Fleet.run(20s);
  REQUIRE(Fleet.Stored.Members.size() == 490);
  Fleet.CountBytes = true;
  constexpr int Seconds = 8;
  Fleet.run(1s * Seconds);
  std::uint64_t Highest = 0;
  std::uint64_t Sum = 0;
  for (const FleetFake::Host &Each : Fleet.Hosts) {
    Highest = std::max(Highest, Each.BytesSent / Seconds);
    Sum += Each.BytesSent / Seconds;
  }
  std::cout << "heartbeats and answers sent per host: mean "
            << Sum / Fleet.Hosts.size() << " B/s, highest " << Highest
            << " B/s\n";
  CHECK(Highest < 9000);
}
