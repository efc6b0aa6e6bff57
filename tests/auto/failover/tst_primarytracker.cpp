#include "failover/primarytracker.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

PrimaryTracker trackerWithClaim(const std::string &Claimer) {
  PrimaryTracker Tracker;
  Tracker.setMembers({{"a", Claimer == "a", false},
                      {"b", Claimer == "b", false},
                      {"c", Claimer == "c", false}},
                     Start);
  return Tracker;
}

} // namespace

TEST_CASE("a claim selects the primary and a proof confirms it", "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("b");
  CHECK(Tracker.primary(Start) == "b");
  Tracker.recordLeadershipProof("b", Term{3}, Start);
  CHECK(Tracker.lastPrimary() == "b");
  CHECK(Tracker.provenAge(Start + 200ms) == Duration(200ms));
}

// After a change of primary, the entry of the old one still claims that it is
// the primary while its host cannot reach the store.
TEST_CASE("after a refusal the member with the newer claim is selected",
          "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{3}, Start);
  Tracker.recordLeadershipRefusal("a", Start + 1s);
  CHECK_FALSE(Tracker.primary(Start + 1s));
  Tracker.setMembers({{"a", true, false}, {"b", true, false}}, Start + 1s);
  CHECK(Tracker.primary(Start + 1s) == "b");
  Tracker.recordLeadershipProof("b", Term{4}, Start + 1100ms);
  CHECK(Tracker.primary(Start + 5s) == "b");
  // A late answer of the old primary is ignored.
  Tracker.recordLeadershipProof("a", Term{3}, Start + 1200ms);
  CHECK(Tracker.lastPrimary() == "b");
}

TEST_CASE(
    "an ordered promotion selects the member before its entry claims it") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{3}, Start);
  Tracker.recordLeadershipRefusal("a", Start + 1s);
  Tracker.promotionOrdered("c", Start + 1s);
  CHECK(Tracker.primary(Start + 1100ms) == "c");
}

TEST_CASE("a primary is suspected only after failed probes") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{1}, Start);
  CHECK_FALSE(Tracker.isSuspected(Start + 10s, 800ms));
  Tracker.recordUnreachable("a", Start + 10s);
  CHECK_FALSE(Tracker.isSuspected(Start + 10s, 800ms));
  CHECK(Tracker.isSuspected(Start + 10s + 800ms, 800ms));
  Tracker.recordLeadershipProof("a", Term{1}, Start + 11s);
  CHECK_FALSE(Tracker.isSuspected(Start + 20s, 800ms));
}

// Without a claim, the new primary has to be found by probing all members.
TEST_CASE("every member is probed while no primary is known") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  TimePoint Now = Start;
  std::set<std::string> Probed;
  for (int I = 0; I < 12; ++I) {
    const std::optional<std::string> Target = Tracker.probeTarget(Now);
    REQUIRE(Target);
    Probed.insert(*Target);
    Tracker.recordUnreachable(*Target, Now);
    Now += 100ms;
  }
  CHECK(Probed.size() == 3);
}

// Guards against a host that seldom uses a group and goes on with a member that
// proved to be the primary long ago, although another one leads since.
TEST_CASE("the latest evidence selects the primary", "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{1}, Start + 1s);
  Tracker.promotionOrdered("b", Start + 2s);
  CHECK(Tracker.primary(Start + 2s) == "b");
  // It does not lead yet, and the old primary still does.
  Tracker.recordLeadershipRefusal("b", Start + 2100ms);
  CHECK(Tracker.primary(Start + 2100ms) == "a");
  Tracker.recordLeadershipProof("a", Term{1}, Start + 2200ms);
  CHECK(Tracker.primary(Start + 2400ms) == "a");
  Tracker.setMembers(
      {{"a", true, false}, {"b", true, false}, {"c", false, false}},
      Start + 3s);
  CHECK(Tracker.primary(Start + 3s) == "b");
}

// Guards against an old proof that another host repeats and that hides a
// failure seen since.
TEST_CASE("an old proof does not end a newer suspicion", "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{1}, Start);
  Tracker.recordUnreachable("a", Start + 1s);
  Tracker.recordLeadershipProof("a", Term{1}, Start + 500ms);
  CHECK(Tracker.provenAge(Start + 1s) == Duration(500ms));
  CHECK(Tracker.hasFailed());
  Tracker.recordLeadershipProof("a", Term{1}, Start + 200ms);
  CHECK(Tracker.provenAge(Start + 1s) == Duration(500ms));
  Tracker.recordLeadershipProof("a", Term{1}, Start + 1100ms);
  CHECK_FALSE(Tracker.hasFailed());
}

// Guards against a second promotion by a host that did not hear of the first
// one, and against a replaced primary that still takes itself for one.
TEST_CASE("a status proves leadership only in a newer term", "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{1}, Start);
  Tracker.recordStatus("b", Term{2}, Start + 1s);
  CHECK(Tracker.lastPrimary() == "b");
  Tracker.recordStatus("a", Term{1}, Start + 2s);
  Tracker.recordStatus("a", Term{2}, Start + 2s);
  CHECK(Tracker.lastPrimary() == "b");
  CHECK(Tracker.provenAge(Start + 2s) == Duration(1s));
}

// Guards against a write that was sent to a replica by mistake and makes a
// healthy primary suspect.
TEST_CASE("a refusal by a replica is no failure of the primary") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{1}, Start);
  Tracker.recordLeadershipRefusal("b", Start + 1s);
  CHECK_FALSE(Tracker.hasFailed());
  CHECK(Tracker.primary(Start + 1s) == "a");
  Tracker.recordLeadershipRefusal("a", Start + 2s);
  CHECK(Tracker.hasFailed());
  PrimaryTracker Unknown = trackerWithClaim("a");
  Unknown.recordLeadershipRefusal("a", Start);
  CHECK(Unknown.hasFailed());
}

// Guards against commits that a primary which is back after a crash
// acknowledges, and that the member ordered in its place lacks.
TEST_CASE("a pending order excludes the primary that it replaces",
          "[fencing]") {
  PrimaryTracker Tracker = trackerWithClaim("a");
  Tracker.recordLeadershipProof("a", Term{3}, Start);
  Tracker.orderPending({"b", 10, Term{3}});
  CHECK_FALSE(Tracker.primary(Start));
  SECTION("also when it proves its leadership again") {
    Tracker.recordLeadershipProof("a", Term{3}, Start + 1s);
    CHECK_FALSE(Tracker.primary(Start + 1s));
    CHECK(Tracker.lastPrimary() == "a");
    CHECK(Tracker.pendingOrder()->Id == "b");
  }
  SECTION("until the ordered member leads") {
    Tracker.recordLeadershipProof("b", Term{3}, Start + 1s);
    CHECK_FALSE(Tracker.pendingOrder());
    CHECK(Tracker.primary(Start + 1s) == "b");
    // The claim still names it.
    Tracker.orderPending({"b", 10, Term{3}});
    CHECK(Tracker.primary(Start + 1s) == "b");
  }
  SECTION("until any member leads a newer term") {
    Tracker.recordLeadershipProof("c", Term{4}, Start + 1s);
    CHECK_FALSE(Tracker.pendingOrder());
    CHECK(Tracker.primary(Start + 1s) == "c");
  }
  SECTION("until it is known to be without effect") {
    Tracker.orderSettled(9);
    CHECK_FALSE(Tracker.primary(Start));
    Tracker.orderSettled(11);
    CHECK(Tracker.primary(Start) == "a");
  }
  SECTION("and gives way to a later order only") {
    Tracker.orderPending({"c", 9, Term{3}});
    CHECK(Tracker.pendingOrder()->Id == "b");
    Tracker.orderPending({"c", 12, Term{3}});
    CHECK(Tracker.pendingOrder()->Id == "c");
  }
}
