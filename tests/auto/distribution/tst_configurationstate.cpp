#include "networkfake.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

using Network = NetworkFake;

Network startedNetwork(std::uint64_t Seed) { return {Seed, 12, 3}; }

} // namespace

// Guards against configuration changes that do not reach all hosts in time.
TEST_CASE("a change reaches all hosts within 2 s", "[configuration]") {
  Network Fleet = startedNetwork(1);
  Fleet.change("keys/a");
  Fleet.run(5s);
  CHECK(Fleet.upToDateCount() == 12);
  CHECK(Fleet.acceptingCount() == 12);
  for (int I = 0; I < 5; ++I) {
    Fleet.change("keys/a");
    Fleet.run(2s);
    CHECK(Fleet.upToDateCount() == 12);
  }
}

// Guards against a fleet that stops serving because the platform is down.
TEST_CASE("all hosts keep serving while no host can reach the platform",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(2);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  for (int I = 0; I < 60; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.acceptingCount() == 12);
  }
  Network::Host &Restarted = Fleet.Hosts[4];
  Fleet.start(Restarted);
  CHECK_FALSE(Restarted.State->mayAcceptKeys(Fleet.Now));
  Fleet.run(8s);
  CHECK(Restarted.State->version() == Fleet.Platform.version());
  CHECK(Restarted.State->mayAcceptKeys(Fleet.Now));
}

// Guards against a withdrawn key that still works in a domain that cannot learn
// of the withdrawal.
TEST_CASE("a domain that is cut off stops accepting keys within 10 s",
          "[keys]") {
  Network Fleet = startedNetwork(3);
  Fleet.change("keys/a");
  Fleet.run(5s);
  const auto Cut = [&](bool IsCut) {
    for (Network::Host &Each : Fleet.Hosts)
      if (Each.Self.FailureDomain == "d1") {
        Each.Side = IsCut ? 1 : 0;
        Each.ReachesPlatform = !IsCut;
      }
  };
  Cut(true);
  Fleet.change("keys/a");
  Fleet.run(10s);
  for (const Network::Host &Each : Fleet.Hosts)
    CHECK(Each.State->mayAcceptKeys(Fleet.Now) ==
          (Each.Self.FailureDomain != "d1"));
  Cut(false);
  Fleet.run(6s);
  CHECK(Fleet.upToDateCount() == 12);
  CHECK(Fleet.acceptingCount() == 12);
}

// Guards against a majority without the platform that mistakes a partition
// between regions for an outage, and accepts keys that were withdrawn on the
// other side.
TEST_CASE("in a partition between regions, the larger side without the "
          "platform stops accepting keys",
          "[keys]") {
  Network Fleet(11, 28, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.acceptingCount() == 28);
  const auto IsCutOff = [](const Network::Host &Each) {
    return Each.Self.FailureDomain < "d4"; // d0 to d3 of d0 to d6.
  };
  for (Network::Host &Each : Fleet.Hosts) {
    Each.Side = IsCutOff(Each) ? 1 : 0;
    Each.ReachesPlatform = !IsCutOff(Each);
  }
  Fleet.change("keys/a");
  Fleet.run(10s);
  for (int I = 0; I < 30; ++I) {
    for (const Network::Host &Each : Fleet.Hosts)
      REQUIRE(Each.State->mayAcceptKeys(Fleet.Now) != IsCutOff(Each));
    Fleet.run(1s);
  }
  for (Network::Host &Each : Fleet.Hosts) {
    Each.Side = 0;
    Each.ReachesPlatform = true;
  }
  Fleet.run(6s);
  CHECK(Fleet.upToDateCount() == 28);
  CHECK(Fleet.acceptingCount() == 28);
}

// Guards against a fleet that does not detect an outage although all domains
// report it, and against a fleet that assumes an outage without a report from
// one domain.
TEST_CASE("an outage is assumed only while all domains report it",
          "[configuration][keys]") {
  Network Fleet(12, 28, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  for (int I = 0; I < 60; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.acceptingCount() == 28);
  }
  for (Network::Host &Each : Fleet.Hosts)
    if (Each.Self.FailureDomain == "d6")
      Each.Side = 1;
  Fleet.run(10s);
  CHECK(Fleet.acceptingCount() == 0);
}

// Guards against an outage that is assumed because of old reports, or of
// reports from only some domains.
TEST_CASE("an outage needs a report from each domain within 2 s", "[keys]") {
  const TimePoint Now{1h};
  Freshness Fresh("a");
  Fresh.setDomains({"a", "b", "c"});
  Fresh.reportUnreachable("a", Now);
  Fresh.reportUnreachable("b", Now);
  Fresh.reportUnreachable("unknown", Now);
  Fresh.update(Now, true);
  CHECK_FALSE(Fresh.mayAcceptKeys(Now));
  Fresh.reportUnreachable("c", Now - 2s);
  Fresh.update(Now, true);
  CHECK_FALSE(Fresh.mayAcceptKeys(Now));
  Fresh.reportUnreachable("c", Now - 1999ms);
  Fresh.update(Now, false);
  CHECK_FALSE(Fresh.mayAcceptKeys(Now));
  Fresh.update(Now, true);
  CHECK(Fresh.mayAcceptKeys(Now + 8000ms));
  CHECK_FALSE(Fresh.mayAcceptKeys(Now + 8001ms));
}

// Guards against a domain that stops although it can reach the other domains
// when it cannot reach the platform.
TEST_CASE("a domain without the platform gets changes from other domains",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(4);
  Fleet.change("keys/a");
  Fleet.run(5s);
  for (Network::Host &Each : Fleet.Hosts)
    Each.ReachesPlatform = Each.Self.FailureDomain != "d2";
  Fleet.change("keys/a");
  Fleet.run(10s);
  CHECK(Fleet.upToDateCount() == 12);
  for (int I = 0; I < 20; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.acceptingCount() == 12);
  }
}

// Guards against a paused relay that delays its domain, and against a relay
// that treats answers from before its pause as new.
TEST_CASE("a paused relay does not delay other hosts",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(5);
  Fleet.change("keys/a");
  Fleet.run(5s);
  for (Network::Host &Each : Fleet.Hosts)
    if (Each.State->isRelay()) {
      Each.PausedUntil = Fleet.Now + 15s;
      break;
    }
  Fleet.change("keys/a");
  Fleet.run(5s);
  CHECK(Fleet.upToDateCount() == 11);
  Fleet.run(9900ms);
  CHECK(Fleet.acceptingCount() == 11);
  Fleet.run(3s);
  CHECK(Fleet.upToDateCount() == 12);
  CHECK(Fleet.acceptingCount() == 12);
}

// Guards against a host that briefly accepts a withdrawn key when it resumes.
// The pause can be shorter than the validity of the last confirmation, and
// threads that serve callers can run before pending answers are read.
TEST_CASE("a host that resumes after a pause accepts no key before it has "
          "queried the version",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(6);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.acceptingCount() == 12);
  for (Network::Host &Each : Fleet.Hosts) {
    INFO(Each.Self.Name << (Each.State->isRelay() ? ", a relay" : ""));
    Each.PausedUntil = Fleet.Now + 3s;
    Fleet.change("keys/a");
    Fleet.run(3s);
    REQUIRE(Each.State->version() < Fleet.Platform.version());
    CHECK_FALSE(Each.State->mayAcceptKeys(Fleet.Now));
    (void)Each.State->tick(Fleet.Now);
    CHECK_FALSE(Each.State->mayAcceptKeys(Fleet.Now));
    for (int Step = 0; Step < 20; ++Step) {
      Fleet.run(50ms);
      if (Each.State->mayAcceptKeys(Fleet.Now))
        CHECK(Each.State->version() == Fleet.Platform.version());
    }
    Fleet.run(2s);
    CHECK(Each.State->mayAcceptKeys(Fleet.Now));
  }
}

// Guards against a host that never accepts keys again after a pause because no
// host can reach the platform.
TEST_CASE("a host that resumes during an outage accepts keys again",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  Fleet.run(10s);
  Fleet.Hosts[0].PausedUntil = Fleet.Now + 3s;
  Fleet.run(3s);
  CHECK_FALSE(Fleet.Hosts[0].State->mayAcceptKeys(Fleet.Now));
  Fleet.run(4s);
  CHECK(Fleet.acceptingCount() == 12);
}

// Guards against a host that waits for an unresponsive relay until the pending
// pull expires, although another peer has a newer version.
TEST_CASE("a pending pull at an unresponsive relay does not stop the catch-up",
          "[configuration]") {
  TimePoint Now{1h};
  ConfigurationState State("host", "d", std::mt19937_64(9));
  State.setHosts({{"host", "d"}, {"a", "d"}, {"b", "d"}, {"z", "d"}}, {"d"});
  State.onPlatformList(1, {});
  std::string Pending;
  const auto PulledFrom = [&] {
    std::set<std::string> Peers;
    for (const ConfigurationAction &Action : State.tick(Now))
      if (const auto *Pull = std::get_if<PullConfiguration>(&Action)) {
        if (Pull->Wait > 0ms)
          Pending = Pull->To;
        else
          Peers.insert(Pull->To);
      }
    return Peers;
  };
  (void)PulledFrom();
  REQUIRE_FALSE(Pending.empty());
  State.onPeerVersion(Pending, 3);
  const std::string Other = Pending == "a" ? "b" : "a";
  State.onPeerVersion(Other, 2);
  Now += 1s;
  CHECK(PulledFrom() == std::set<std::string>{Other});
}

// Guards against relays that are overloaded by the queries of their domain. The
// limits for all control traffic, including less than 5 KB/s of heartbeats, are
// 9 KB/s in normal operation and 18 KB/s at all times.
TEST_CASE("version queries of 490 hosts stay within the traffic limits") {
  Network Fleet(9, 490, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.acceptingCount() == 490);
  const std::uint64_t Normal = Fleet.highestRate();
  Fleet.setPlatform(false);
  Fleet.run(5s);
  const std::uint64_t Outage = Fleet.highestRate();
  REQUIRE(Fleet.acceptingCount() == 490);
  std::cout << "version queries and reports sent by one host: at most "
            << Normal << " B/s, " << Outage << " B/s without the platform\n";
  CHECK(Normal < 5000);
  CHECK(Outage < 13000);
}

// Guards against a host that starts with an outdated configuration.
TEST_CASE("a host that starts does not use a version older than a reported one",
          "[configuration]") {
  const TimePoint Now{1h};
  ConfigurationState State("a", "d", std::mt19937_64(6));
  State.onPeerVersion("b", 12);
  State.onPlatformList(11, {});
  CHECK_FALSE(State.isUsable());
  State.onPlatformVersion(11, Now, Now);
  CHECK_FALSE(State.mayAcceptKeys(Now));
  State.onPullAnswer("b", {12, 0, 12, false, true, {}}, Now);
  CHECK(State.isUsable());
  CHECK(State.mayAcceptKeys(Now));
}

// Guards against a confirmation of a version that the host does not have.
TEST_CASE("a confirmation counts only when the host has the confirmed version",
          "[keys]") {
  const TimePoint Now{1h};
  ConfigurationState State("a", "d", std::mt19937_64(7));
  State.onPlatformList(11, {});
  State.onPlatformVersion(12, Now, Now);
  CHECK_FALSE(State.isFresh(Now));
  State.onPlatformChange({"keys/a", 12, false, "p"});
  CHECK(State.isFresh(Now + 4999ms));
  CHECK_FALSE(State.isFresh(Now + 5s));
  CHECK(State.mayAcceptKeys(Now + 9999ms));
  CHECK_FALSE(State.mayAcceptKeys(Now + 10s));
}

// Guards against a former relay that continues to watch the platform, and a new
// relay that does not start to.
TEST_CASE("a host starts and stops watching the platform with its relay role",
          "[configuration]") {
  const TimePoint Now{1h};
  ConfigurationState State("a", "d", std::mt19937_64(8));
  const auto Watched = [&](std::vector<PlacementHost> Live) {
    State.setHosts(std::move(Live), {"d"});
    std::optional<bool> Watch;
    for (const ConfigurationAction &Action : State.tick(Now))
      if (const auto *Found = std::get_if<WatchPlatform>(&Action))
        Watch = Found->Watch;
    return Watch;
  };
  CHECK(Watched({}) == true); // No other host is known.
  CHECK(Watched({{"b", "d"}, {"c", "d"}}) == false);
  CHECK_FALSE(Watched({{"b", "d"}, {"c", "d"}}).has_value());
  CHECK(Watched({{"a", "d"}, {"c", "d"}}) == true);
}
