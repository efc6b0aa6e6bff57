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

// Guards against configuration that does not arrive everywhere in time.
TEST_CASE("a change is in force on all hosts within 2 s", "[configuration]") {
  Network Fleet = startedNetwork(1);
  Fleet.change("keys/a");
  Fleet.run(5s);
  CHECK(Fleet.informed() == 12);
  CHECK(Fleet.served() == 12);
  for (int I = 0; I < 5; ++I) {
    Fleet.change("keys/a");
    Fleet.run(2s);
    CHECK(Fleet.informed() == 12);
  }
}

// Guards against a fleet that stops because the platform is down.
TEST_CASE("all hosts go on while the platform is down for everyone",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(2);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  for (int I = 0; I < 60; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.served() == 12);
  }
  Network::Host &Restarted = Fleet.Hosts[4];
  Fleet.start(Restarted);
  CHECK_FALSE(Restarted.State->mayServeKeyed(Fleet.Now));
  Fleet.run(8s);
  CHECK(Restarted.State->version() == Fleet.Platform.version());
  CHECK(Restarted.State->mayServeKeyed(Fleet.Now));
}

// Guards against a withdrawn key that goes on working where the withdrawal
// cannot be learned.
TEST_CASE("a domain that is cut off stops keyed routes within 10 s", "[keys]") {
  Network Fleet = startedNetwork(3);
  Fleet.change("keys/a");
  Fleet.run(5s);
  const auto Cut = [&](bool IsCut) {
    for (Network::Host &Each : Fleet.Hosts)
      if (Each.Self.FailureDomain == "d1") {
        Each.Side = IsCut ? 1 : 0;
        Each.SeesPlatform = !IsCut;
      }
  };
  Cut(true);
  Fleet.change("keys/a");
  Fleet.run(10s);
  for (const Network::Host &Each : Fleet.Hosts)
    CHECK(Each.State->mayServeKeyed(Fleet.Now) ==
          (Each.Self.FailureDomain != "d1"));
  Cut(false);
  Fleet.run(6s);
  CHECK(Fleet.informed() == 12);
  CHECK(Fleet.served() == 12);
}

// Guards against a majority without the platform that takes a cut between
// regions for an outage, and accepts keys withdrawn on the other side.
TEST_CASE("in a cut between regions, the larger side without the platform "
          "stops keyed routes",
          "[keys]") {
  Network Fleet(11, 28, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.served() == 28);
  const auto IsCutOff = [](const Network::Host &Each) {
    return Each.Self.FailureDomain < "d4"; // d0 to d3 of d0 to d6.
  };
  for (Network::Host &Each : Fleet.Hosts) {
    Each.Side = IsCutOff(Each) ? 1 : 0;
    Each.SeesPlatform = !IsCutOff(Each);
  }
  Fleet.change("keys/a");
  Fleet.run(10s);
  for (int I = 0; I < 30; ++I) {
    for (const Network::Host &Each : Fleet.Hosts)
      REQUIRE(Each.State->mayServeKeyed(Fleet.Now) != IsCutOff(Each));
    Fleet.run(1s);
  }
  for (Network::Host &Each : Fleet.Hosts) {
    Each.Side = 0;
    Each.SeesPlatform = true;
  }
  Fleet.run(6s);
  CHECK(Fleet.informed() == 28);
  CHECK(Fleet.served() == 28);
}

// Guards against a fleet of all domains that does not agree on an outage that
// each of them sees, and against one that takes a silent domain for agreement.
TEST_CASE("an outage counts while all domains report it",
          "[configuration][keys]") {
  Network Fleet(12, 28, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  for (int I = 0; I < 60; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.served() == 28);
  }
  for (Network::Host &Each : Fleet.Hosts)
    if (Each.Self.FailureDomain == "d6")
      Each.Side = 1;
  Fleet.run(10s);
  CHECK(Fleet.served() == 0);
}

// Guards against reports of some domains, or old ones, taken for an outage.
TEST_CASE("each domain has to report within 2 s", "[keys]") {
  const TimePoint Now{1h};
  Freshness Fresh("a");
  Fresh.setDomains({"a", "b", "c"});
  Fresh.reportUnreachable("a", Now);
  Fresh.reportUnreachable("b", Now);
  Fresh.reportUnreachable("unknown", Now);
  Fresh.update(Now, true);
  CHECK_FALSE(Fresh.mayServeKeyed(Now));
  Fresh.reportUnreachable("c", Now - 2s);
  Fresh.update(Now, true);
  CHECK_FALSE(Fresh.mayServeKeyed(Now));
  Fresh.reportUnreachable("c", Now - 1999ms);
  Fresh.update(Now, false);
  CHECK_FALSE(Fresh.mayServeKeyed(Now));
  Fresh.update(Now, true);
  CHECK(Fresh.mayServeKeyed(Now + 8000ms));
  CHECK_FALSE(Fresh.mayServeKeyed(Now + 8001ms));
}

// Guards against a domain that loses the platform but not its peers.
TEST_CASE("a domain without the platform learns from other domains",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(4);
  Fleet.change("keys/a");
  Fleet.run(5s);
  for (Network::Host &Each : Fleet.Hosts)
    Each.SeesPlatform = Each.Self.FailureDomain != "d2";
  Fleet.change("keys/a");
  Fleet.run(10s);
  CHECK(Fleet.informed() == 12);
  for (int I = 0; I < 20; ++I) {
    Fleet.run(1s);
    REQUIRE(Fleet.served() == 12);
  }
}

// Guards against a paused relay that holds up its domain, and against one
// that takes answers from before the pause for new.
TEST_CASE("a relay that pauses holds up nobody", "[configuration][keys]") {
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
  CHECK(Fleet.informed() == 11);
  Fleet.run(9900ms);
  CHECK(Fleet.served() == 11);
  Fleet.run(3s);
  CHECK(Fleet.informed() == 12);
  CHECK(Fleet.served() == 12);
}

// Guards against a host that accepts, for a moment after a pause shorter than
// the validity of its last confirmation, a key that was withdrawn meanwhile:
// threads that serve callers can run before the answers that waited are read.
TEST_CASE("a host that wakes takes no key before it has asked again",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(6);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.served() == 12);
  for (Network::Host &Each : Fleet.Hosts) {
    INFO(Each.Self.Name << (Each.State->isRelay() ? ", a relay" : ""));
    Each.PausedUntil = Fleet.Now + 3s;
    Fleet.change("keys/a");
    Fleet.run(3s);
    REQUIRE(Each.State->version() < Fleet.Platform.version());
    CHECK_FALSE(Each.State->mayServeKeyed(Fleet.Now));
    (void)Each.State->tick(Fleet.Now);
    CHECK_FALSE(Each.State->mayServeKeyed(Fleet.Now));
    for (int Step = 0; Step < 20; ++Step) {
      Fleet.run(50ms);
      if (Each.State->mayServeKeyed(Fleet.Now))
        CHECK(Each.State->version() == Fleet.Platform.version());
    }
    Fleet.run(2s);
    CHECK(Each.State->mayServeKeyed(Fleet.Now));
  }
}

// Guards against a host that stays closed after a pause because nobody can
// reach the platform.
TEST_CASE("a host that wakes during an outage serves again",
          "[configuration][keys]") {
  Network Fleet = startedNetwork(7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  Fleet.setPlatform(false);
  Fleet.run(10s);
  Fleet.Hosts[0].PausedUntil = Fleet.Now + 3s;
  Fleet.run(3s);
  CHECK_FALSE(Fleet.Hosts[0].State->mayServeKeyed(Fleet.Now));
  Fleet.run(4s);
  CHECK(Fleet.served() == 12);
}

// Guards against a host that waits for its silent relay, for as long as the
// pending pull may take, although another peer has the newer version.
TEST_CASE("a pending pull at a silent relay does not stop the catch-up",
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

// Guards against relays that are overloaded by their domain's questions. With
// heartbeats (under 5 KB/s), 9 KB/s are allowed, and 18 KB/s at all times.
TEST_CASE("version queries of 490 hosts stay within the control traffic") {
  Network Fleet(9, 490, 7);
  Fleet.change("keys/a");
  Fleet.run(5s);
  REQUIRE(Fleet.served() == 490);
  const std::uint64_t Normal = Fleet.highestRate();
  Fleet.setPlatform(false);
  Fleet.run(5s);
  const std::uint64_t Outage = Fleet.highestRate();
  REQUIRE(Fleet.served() == 490);
  std::cout << "version queries and reports sent by one host: at most "
            << Normal << " B/s, " << Outage << " B/s without the platform\n";
  CHECK(Normal < 5000);
  CHECK(Outage < 13000);
}

// Guards against a start with a configuration older than one in force.
TEST_CASE("a host that starts does not use an older version than seen",
          "[configuration]") {
  const TimePoint Now{1h};
  ConfigurationState State("a", "d", std::mt19937_64(6));
  State.onPeerVersion("b", 12);
  State.onPlatformList(11, {});
  CHECK_FALSE(State.isUsable());
  State.onPlatformVersion(11, Now, Now);
  CHECK_FALSE(State.mayServeKeyed(Now));
  State.onPullAnswer("b", {12, 0, 12, false, true, {}}, Now);
  CHECK(State.isUsable());
  CHECK(State.mayServeKeyed(Now));
}

// Guards against trust in a confirmation of a version that is not here.
TEST_CASE("a confirmation counts only with the version that it confirms",
          "[keys]") {
  const TimePoint Now{1h};
  ConfigurationState State("a", "d", std::mt19937_64(7));
  State.onPlatformList(11, {});
  State.onPlatformVersion(12, Now, Now);
  CHECK_FALSE(State.isFresh(Now));
  State.onPlatformChange({"keys/a", 12, false, "p"});
  CHECK(State.isFresh(Now + 4999ms));
  CHECK_FALSE(State.isFresh(Now + 5s));
  CHECK(State.mayServeKeyed(Now + 9999ms));
  CHECK_FALSE(State.mayServeKeyed(Now + 10s));
}

// Guards against a relay that goes on watching, or a new one that does not.
TEST_CASE("a relay role is taken and given up", "[configuration]") {
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
  CHECK(Watched({}) == true); // Nobody else is known.
  CHECK(Watched({{"b", "d"}, {"c", "d"}}) == false);
  CHECK_FALSE(Watched({{"b", "d"}, {"c", "d"}}).has_value());
  CHECK(Watched({{"a", "d"}, {"c", "d"}}) == true);
}
