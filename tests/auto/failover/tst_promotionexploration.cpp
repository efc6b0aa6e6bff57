#include "promotionmodel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <unordered_set>

using namespace lavenderdale;
using namespace lavenderdale::model;

namespace {

/// Reads a bound that can be raised by hand for longer runs.
unsigned fromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr
             ? Default
             : static_cast<unsigned>(std::strtoul(Text, nullptr, 10));
}

/// Additions to the bounds of every exploration.
unsigned moreTimeSteps() {
  return fromEnvironment("LAVENDERDALE_MORE_TIME_STEPS", 0);
}
unsigned moreDelays() { return fromEnvironment("LAVENDERDALE_MORE_DELAYS", 0); }

constexpr unsigned DefaultRandomRuns = 300;

/// Visits once every state that can be reached within the bounds.
class Exploration {
public:
  explicit Exploration(const GroupModel &Start) { this->visit(Start); }

  std::size_t states() const { return this->Visited.size(); }
  /// Number of states after a change of term, and of those among them whose
  /// primary is writable.
  std::size_t changed() const { return this->Changed; }
  std::size_t writable() const { return this->Writable; }
  const std::string &violation() const { return this->Violation; }

private:
  void visit(const GroupModel &Model) {
    if (this->Violation.empty())
      this->Violation = Model.violation();
    if (!this->Violation.empty() ||
        !this->Visited.insert(std::hash<std::string>()(Model.key())).second)
      return;
    this->Changed += Model.term() > Term{1} ? 1 : 0;
    this->Writable += Model.term() > Term{1} && Model.isWritable() ? 1 : 0;
    for (const Step &S : Model.steps()) {
      GroupModel Next = Model;
      Next.apply(S);
      this->visit(Next);
    }
  }

  std::unordered_set<std::size_t> Visited;
  std::size_t Changed = 0;
  std::size_t Writable = 0;
  std::string Violation;
};

Exploration explore(const std::string &Name, const GroupModel &Start) {
  Exploration E(Start);
  std::cout << Name << ": " << E.states() << " states, " << E.changed()
            << " after a change of term, " << E.writable()
            << " of them writable; "
            << (E.violation().empty() ? "no violation" : E.violation()) << '\n';
  return E;
}

Bounds withMore(Bounds Limits) {
  Limits.TimeSteps += moreTimeSteps();
  Limits.Delays += moreDelays();
  return Limits;
}

void requireSafe(const std::string &Name, const Bounds &Limits) {
  const Exploration E = explore(Name, GroupModel(withMore(Limits), {}));
  CHECK(E.violation().empty());
  CHECK(E.writable() > 0);
}

std::string violationWith(const Bounds &Limits, const Defects &Faults) {
  return explore("injected defect", GroupModel(Limits, Faults)).violation();
}

Bounds oneWatcher() {
  Bounds Limits;
  Limits.Watchers = 1;
  Limits.TimeSteps = 3;
  return Limits;
}

Bounds plannedChange() {
  Bounds Limits;
  Limits.Watchers = 1;
  Limits.TimeSteps = 2;
  Limits.PrimaryLeaving = true;
  return Limits;
}

/// A write that a replica acknowledged is in db-c only; at equal positions db-b
/// would be chosen by name.
Bounds severalWatchers(unsigned Watchers, unsigned Ticks) {
  Bounds Limits;
  Limits.Watchers = Watchers;
  Limits.TimeSteps = 1;
  Limits.Writes = 0;
  Limits.Delays = 0;
  Limits.Ticks = Ticks;
  Limits.ReplicaAhead = true;
  return Limits;
}

/// Applies \p Count random steps.
/// \returns the violation, if any.
std::string runRandomly(GroupModel &Model, std::mt19937_64 &Random,
                        unsigned Count) {
  for (unsigned I = 0; I < Count && Model.violation().empty(); ++I) {
    const std::vector<Step> Steps = Model.steps();
    // Executes requests more often than time passes, so that attempts can end.
    const bool Prompt = Random() % 3 != 0;
    Step Chosen = Steps[Random() % Steps.size()];
    for (const Step &S : Steps)
      if (Prompt && S.What == Step::Kind::Execute)
        Chosen = S;
    Model.apply(Chosen);
  }
  return Model.violation();
}

Bounds randomBounds(unsigned Members) {
  Bounds Limits;
  Limits.Members = Members;
  Limits.Watchers = 3;
  Limits.TimeSteps = 40;
  Limits.Writes = 6;
  Limits.Replications = 20;
  Limits.Delays = 8;
  Limits.Rebuilds = 3;
  Limits.MemberFailures = 1;
  Limits.MaxTerm = 4;
  Limits.UnsuspectingTicks = 10;
  return Limits;
}

/// One watcher replaces db-a. The chosen member fails permanently \p Requests
/// requests after the change of term.
GroupModel failsAfterChange(unsigned Members, unsigned Requests) {
  Bounds Limits;
  Limits.Members = Members;
  Limits.Watchers = 1;
  Limits.TimeSteps = 20;
  Limits.MemberFailures = 1;
  GroupModel Model(Limits, {});
  for (unsigned After = 0; After < Requests || Model.term() == Term{1};) {
    const std::vector<Step> Steps = Model.steps();
    const auto Is = [](Step::Kind What) {
      return [What](const Step &S) { return S.What == What; };
    };
    const auto Next = std::ranges::find_if(Steps, Is(Step::Kind::Execute));
    if (Next == Steps.end()) {
      Model.apply({Step::Kind::Time});
      Model.apply({Step::Kind::Tick, 0});
      continue;
    }
    After += Model.term() > Term{1} ? 1 : 0;
    Model.apply(*Next);
  }
  for (const Step &S : Model.steps())
    if (S.What == Step::Kind::MemberFailure) {
      Model.apply(S);
      break;
    }
  return Model;
}

} // namespace

// Guards against an order of messages, losses and pauses in which a write of a
// replaced primary is acknowledged, a term gets two primaries, or a write that
// a replica acknowledged is lost.
TEST_CASE("every event order with one watcher is safe", "[fencing]") {
  requireSafe("1 watcher", oneWatcher());
}

// Guards against an order in which the planned replacement of a leaving primary
// loses a write that was acknowledged, by the primary alone or with a replica.
TEST_CASE("every event order of a planned change is safe", "[fencing]") {
  requireSafe("planned change", plannedChange());
  Defects NoCatchUp;
  NoCatchUp.NoCatchUp = true;
  CHECK(violationWith(plannedChange(), NoCatchUp) ==
        "acknowledged write missing from the chosen primary");
}

// Guards against the same faults with watchers that compete for the claim.
TEST_CASE("every event order with two and three watchers is safe",
          "[fencing]") {
  requireSafe("2 watchers", severalWatchers(2, Bounds::Unlimited));
  Bounds WithDelay = severalWatchers(2, 3);
  WithDelay.Delays = 1;
  requireSafe("2 watchers, 1 delay", WithDelay);
  requireSafe("3 watchers", severalWatchers(3, 3));
}

// Guards against a promoter that resumes after another one took over its claim.
// Each of its requests in turn is delayed until then and executed at any later
// time.
TEST_CASE("every event order after the takeover of a claim is safe",
          "[fencing]") {
  constexpr unsigned RequestsOfAttempt = 10;
  constexpr unsigned FirstCheckingRequest = 7;
  std::size_t Writable = 0;
  for (unsigned I = 0; I < RequestsOfAttempt; ++I) {
    // Later requests leave fewer states, so they get one more tick.
    Bounds Limits = severalWatchers(2, I < FirstCheckingRequest ? 4 : 5);
    Limits.TimeSteps = 5;
    Limits.Delays = 1;
    GroupModel Start(withMore(Limits), {});
    Start.runPrefix(0, I);
    Start.apply({Step::Kind::Tick, 1});
    for (int Steps = 0; Steps < 3; ++Steps)
      Start.apply({Step::Kind::Time});
    const Exploration E =
        explore("request " + std::to_string(I) + " delayed", Start);
    CHECK(E.violation().empty());
    Writable += E.writable();
  }
  CHECK(Writable > 0);
}

// Guards against checks that can never fail: each injected defect has to be
// found.
TEST_CASE("the exploration detects injected defects", "[fencing]") {
  const std::string Fencing = "acknowledgement after the change of term";
  Defects NoWait;
  NoWait.NoFenceWait = true;
  CHECK(violationWith(oneWatcher(), NoWait) == Fencing);

  // If any non-empty primary_conninfo counts as following the old primary, a
  // replica of the new one that still reports the old timeline permits writes.
  Defects AnyConninfo;
  AnyConninfo.FollowsIgnored = true;
  CHECK(violationWith(oneWatcher(), AnyConninfo) == Fencing);

  // A delayed command of another watcher lifts the fence.
  Defects Sessions;
  Sessions.SessionsSurvive = true;
  Bounds Completing = severalWatchers(2, 2);
  Completing.ReplicaAhead = false;
  Completing.ReplicaFenced = true;
  Completing.TimeSteps = 2;
  Completing.Delays = 1;
  Completing.UnsuspectingTicks = 2;
  CHECK(violationWith(Completing, Sessions) == Fencing);

  Defects Hidden;
  Hidden.PositionsHidden = true;
  CHECK(violationWith(oneWatcher(), Hidden) ==
        "acknowledged write missing from the chosen primary");
}

// Guards against rare event orders over several terms, with five members and
// former primaries that are rebuilt, and against a group that has no writable
// primary after the faults have ended.
TEST_CASE("random event orders are safe and end with a writable primary",
          "[fencing]") {
  const unsigned Runs =
      fromEnvironment("LAVENDERDALE_RANDOM_RUNS", DefaultRandomRuns);
  const unsigned FirstSeed = fromEnvironment("LAVENDERDALE_SEED", 1);
  std::uint64_t Terms = 0;
  for (unsigned Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937_64 Random(Seed);
    GroupModel Model(randomBounds(Seed % 2 == 0 ? 3 : 5), {});
    runRandomly(Model, Random, 400);
    Model.recover(40);
    INFO(Model.key());
    INFO(Model.violation());
    REQUIRE(Model.violation().empty());
    REQUIRE(Model.isWritable());
    Terms += Model.term().Value - 1;
  }
  std::cout << Runs << " random runs, " << Terms << " changes of term\n";
  CHECK(Terms > Runs / 4);
}

// Guards against a group that accepts no writes after the chosen member failed
// between the change of term and its promotion, or before its timeline was
// stored. The timeline of the next primary then has a lower number than its
// term.
TEST_CASE("a chosen member that fails before its promotion is replaced",
          "[fencing]") {
  for (unsigned Requests = 0; Requests < 5; ++Requests) {
    INFO("after " << Requests << " requests");
    GroupModel Model = failsAfterChange(5, Requests);
    REQUIRE(Model.term() == Term{2});
    Model.recover(40);
    CHECK(Model.violation().empty());
    CHECK(Model.term() == Term{3});
    CHECK(Model.isWritable());
  }
}

// Guards against loss of acknowledged writes when watchers compete for a
// planned change.
TEST_CASE("random event orders of a planned change are safe", "[fencing]") {
  const unsigned Runs =
      fromEnvironment("LAVENDERDALE_RANDOM_RUNS", DefaultRandomRuns) / 2;
  const unsigned FirstSeed = fromEnvironment("LAVENDERDALE_SEED", 1);
  unsigned Changes = 0;
  for (unsigned Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937_64 Random(Seed);
    Bounds Limits = randomBounds(Seed % 2 == 0 ? 3 : 5);
    Limits.PrimaryLeaving = true;
    // A write that only the failed member has received would be lost with it.
    Limits.MemberFailures = 0;
    GroupModel Model(Limits, {});
    runRandomly(Model, Random, 400);
    Model.recover(40);
    INFO(Model.violation());
    REQUIRE(Model.violation().empty());
    REQUIRE(Model.isWritable());
    Changes += Model.term() > Term{1} ? 1 : 0;
  }
  std::cout << Runs << " random runs, " << Changes << " planned changes\n";
  CHECK(Changes > Runs / 4);
}

// Guards against a check for two primaries that can never fail: if the platform
// ignores versions, two attempts can choose different primaries.
TEST_CASE("random event orders detect a platform that ignores versions",
          "[fencing]") {
  Defects Faults;
  Faults.VersionsIgnored = true;
  std::set<std::string> Found;
  for (unsigned Seed = 1; Seed <= 10 * DefaultRandomRuns; ++Seed) {
    std::mt19937_64 Random(Seed);
    GroupModel Model(randomBounds(5), Faults);
    Found.insert(runRandomly(Model, Random, 400));
    if (Found.contains("two primaries of one term"))
      break;
  }
  CHECK(Found.contains("two primaries of one term"));
}
