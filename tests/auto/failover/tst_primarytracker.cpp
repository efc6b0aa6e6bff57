#include "failover/primarytracker.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

PrimaryTracker trackerOf(const std::string &Claimer) {
  PrimaryTracker Tracker;
  Tracker.setMembers({{"a", Claimer == "a", false},
                      {"b", Claimer == "b", false},
                      {"c", Claimer == "c", false}},
                     Start);
  return Tracker;
}

} // namespace

TEST_CASE("a claim leads to the member, a proof confirms it", "[fencing]") {
  PrimaryTracker Tracker = trackerOf("b");
  CHECK(Tracker.primary(Start) == "b");
  Tracker.proved("b", Term{3}, Start);
  CHECK(Tracker.lastPrimary() == "b");
  CHECK(Tracker.provenAge(Start + 200ms) == Duration(200ms));
}

// After a change of primary, the old one still claims to lead while it cannot
// reach the store.
TEST_CASE("a member that refused to lead is left for the newer claim",
          "[fencing]") {
  PrimaryTracker Tracker = trackerOf("a");
  Tracker.proved("a", Term{3}, Start);
  Tracker.refused("a", Start + 1s);
  CHECK_FALSE(Tracker.primary(Start + 1s));
  Tracker.setMembers({{"a", true, false}, {"b", true, false}}, Start + 1s);
  CHECK(Tracker.primary(Start + 1s) == "b");
  Tracker.proved("b", Term{4}, Start + 1100ms);
  CHECK(Tracker.primary(Start + 5s) == "b");
  // A late answer of the old primary changes nothing.
  Tracker.proved("a", Term{3}, Start + 1200ms);
  CHECK(Tracker.lastPrimary() == "b");
}

TEST_CASE("an ordered promotion points to the member before its entry does") {
  PrimaryTracker Tracker = trackerOf("a");
  Tracker.proved("a", Term{3}, Start);
  Tracker.refused("a", Start + 1s);
  Tracker.promotionOrdered("c", Start + 1s);
  CHECK(Tracker.primary(Start + 1100ms) == "c");
}

TEST_CASE("a primary is suspected only after failed probes") {
  PrimaryTracker Tracker = trackerOf("a");
  Tracker.proved("a", Term{1}, Start);
  CHECK_FALSE(Tracker.suspected(Start + 10s, 800ms));
  Tracker.unreachable("a", Start + 10s);
  CHECK_FALSE(Tracker.suspected(Start + 10s, 800ms));
  CHECK(Tracker.suspected(Start + 10s + 800ms, 800ms));
  Tracker.proved("a", Term{1}, Start + 11s);
  CHECK_FALSE(Tracker.suspected(Start + 20s, 800ms));
}

// With no claim left, the new primary has to be found by asking all members.
TEST_CASE("probes reach every member while none leads") {
  PrimaryTracker Tracker = trackerOf("a");
  TimePoint Now = Start;
  std::set<std::string> Probed;
  for (int I = 0; I < 12; ++I) {
    const std::optional<std::string> Target = Tracker.probeTarget(Now);
    REQUIRE(Target);
    Probed.insert(*Target);
    Tracker.unreachable(*Target, Now);
    Now += 100ms;
  }
  CHECK(Probed.size() == 3);
}
