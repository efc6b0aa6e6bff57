#include "pooling/upstreampool.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

PoolWaiter waiter(WaiterId Id, const std::string &Workspace,
                  unsigned Priority = 1, Duration Target = 100ms,
                  Duration GiveUpAfter = 700ms, TimePoint Now = Start) {
  PoolWaiter Waiter;
  Waiter.Id = Id;
  Waiter.Workspace = Workspace;
  Waiter.Priority = Priority;
  Waiter.Target = Now + Target;
  Waiter.GiveUpAt = Now + GiveUpAfter;
  return Waiter;
}

std::vector<UpstreamPoolAction>
ofKind(const std::vector<UpstreamPoolAction> &Actions,
       UpstreamPoolAction::Kind Kind) {
  std::vector<UpstreamPoolAction> Found;
  for (const UpstreamPoolAction &Each : Actions)
    if (Each.Type == Kind)
      Found.push_back(Each);
  return Found;
}

} // namespace

// Guards against handing a connection to another workspace.
TEST_CASE("a waiter gets an idle connection of its workspace only", "[keys]") {
  UpstreamPool Pool;
  Pool.setCapacity(2, 2);
  Pool.enqueue(waiter(1, "a"), Start);
  CHECK(ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Open).size() == 1);
  Pool.opened(7, "a", Start);
  Pool.enqueue(waiter(2, "b"), Start);
  const auto Actions = Pool.decide(Start);
  const auto Assigned = ofKind(Actions, UpstreamPoolAction::Kind::Assign);
  REQUIRE(Assigned.size() == 1);
  CHECK(Assigned[0].Waiter == 1);
  CHECK(Assigned[0].Connection == 7);
  const auto Opened = ofKind(Actions, UpstreamPoolAction::Kind::Open);
  REQUIRE(Opened.size() == 1);
  CHECK(Opened[0].Workspace == "b");
}

// Guards against urgent statements that wait behind a backlog of other
// statements, and against serving late statements before those that can still
// be in time.
TEST_CASE("the most urgent waiter goes first, then one that can still be "
          "in time") {
  UpstreamPool Pool;
  Pool.setCapacity(1, 1);
  Pool.enqueue(waiter(1, "a", 2, -5ms), Start);
  Pool.enqueue(waiter(2, "a", 2, 200ms), Start);
  Pool.enqueue(waiter(3, "a", 1, 100ms), Start);
  Pool.decide(Start);
  Pool.opened(1, "a", Start);
  std::vector<WaiterId> Order;
  TimePoint Now = Start;
  for (int I = 0; I < 3; ++I) {
    const auto Assigned =
        ofKind(Pool.decide(Now), UpstreamPoolAction::Kind::Assign);
    REQUIRE(Assigned.size() == 1);
    Order.push_back(Assigned[0].Waiter);
    Now += 1ms;
    Pool.released(1, Now);
  }
  CHECK(Order == std::vector<WaiterId>{3, 2, 1});
}

TEST_CASE("a waiter is refused when its time limit has passed", "[not-run]") {
  UpstreamPool Pool;
  Pool.setCapacity(1, 1);
  Pool.enqueue(waiter(1, "a", 1, 100ms, 300ms), Start);
  Pool.decide(Start);
  REQUIRE(Pool.nextDecision(Start));
  const auto Refused =
      ofKind(Pool.decide(Start + 300ms), UpstreamPoolAction::Kind::Refuse);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Waiter == 1);
  CHECK_FALSE(Pool.cancel(1));
}

// Load pattern: the connection limit shared by all hosts is exhausted. Guards
// against a back-off after each refusal, which cost 60 ms per statement,
// although the host could replace an idle connection of another workspace.
TEST_CASE("at the connection limit, idle connections within the share are "
          "replaced") {
  UpstreamPool Pool;
  Pool.setCapacity(1, 2);
  Pool.enqueue(waiter(1, "a"), Start);
  Pool.decide(Start);
  Pool.opened(1, "a", Start);
  Pool.decide(Start);
  Pool.enqueue(waiter(2, "b"), Start);
  REQUIRE(ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Open).size() ==
          1);
  Pool.openFailed("b", true, Start);
  Pool.released(1, Start + 1ms);
  TimePoint Now = Start + UpstreamPool::InitialLimitBackoff;
  const auto Actions = Pool.decide(Now);
  CHECK(ofKind(Actions, UpstreamPoolAction::Kind::Close).size() == 1);
  CHECK(ofKind(Actions, UpstreamPoolAction::Kind::Open).size() == 1);
  CHECK(Pool.connections() == 0);
}

TEST_CASE("idle connections beyond the guaranteed share are closed") {
  UpstreamPool Pool;
  Pool.setCapacity(1, 3);
  for (ConnectionId Id = 1; Id <= 3; ++Id) {
    Pool.enqueue(waiter(Id, "w" + std::to_string(Id)), Start);
    Pool.decide(Start);
    Pool.opened(Id, "w" + std::to_string(Id), Start);
    Pool.decide(Start);
  }
  for (ConnectionId Id = 1; Id <= 3; ++Id)
    Pool.released(Id, Start);
  CHECK(Pool.decide(Start).empty());
  CHECK(ofKind(Pool.decide(Start + UpstreamPool::SurplusIdleTimeout),
               UpstreamPoolAction::Kind::Close)
            .size() == 2);
  CHECK(Pool.connections() == 1);
}

TEST_CASE("a failing upstream is retried with increasing back-off") {
  UpstreamPool Pool;
  Pool.setCapacity(2, 2);
  TimePoint Now = Start;
  std::vector<TimePoint> Attempts;
  while (Now < Start + 3s) {
    if (Pool.waiting() == 0)
      Pool.enqueue(waiter(1, "a", 1, 1s, 10s), Now);
    if (!ofKind(Pool.decide(Now), UpstreamPoolAction::Kind::Open).empty()) {
      Attempts.push_back(Now);
      Pool.openFailed("a", false, Now);
    }
    Now += 1ms;
  }
  REQUIRE(Attempts.size() >= 4);
  CHECK(Attempts.size() <= 9);
  CHECK(Attempts[1] - Attempts[0] >= UpstreamPool::InitialRetryBackoff);
  CHECK(Attempts.back() - Attempts[Attempts.size() - 2] >= 400ms);
}

// Guards against reads that wait until their time is over at an upstream that
// cannot be reached, although another one could serve them.
TEST_CASE("waiters are refused when an upstream cannot be reached",
          "[not-run]") {
  UpstreamPool Pool;
  Pool.setCapacity(2, 2);
  Pool.enqueue(waiter(1, "a"), Start);
  Pool.enqueue(waiter(2, "b"), Start);
  REQUIRE(ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Open).size() ==
          2);
  Pool.openFailed("a", false, Start + 1ms);
  CHECK(Pool.decide(Start + 1ms).empty()); // The other attempt may succeed.
  Pool.openFailed("b", false, Start + 2ms);
  CHECK(ofKind(Pool.decide(Start + 2ms), UpstreamPoolAction::Kind::Refuse)
            .size() == 2);
  Pool.enqueue(waiter(3, "a"), Start + 3ms);
  CHECK(Pool.decide(Start + 3ms).empty()); // Waits for the next attempt.
}

// Guards against waiters that are refused while other connections still serve,
// or only because the upstream permits no further connection.
TEST_CASE("waiters stay queued while an upstream has connections or is at its "
          "limit") {
  UpstreamPool Pool;
  Pool.setCapacity(2, 2);
  Pool.enqueue(waiter(1, "a"), Start);
  Pool.decide(Start);
  Pool.openFailed("a", true, Start);
  CHECK(Pool.decide(Start).empty());
  Pool.decide(Start + UpstreamPool::InitialLimitBackoff);
  Pool.opened(1, "a", Start + 20ms);
  CHECK(Pool.decide(Start + 20ms).size() == 1);
  Pool.enqueue(waiter(2, "b"), Start + 20ms);
  REQUIRE(ofKind(Pool.decide(Start + 20ms), UpstreamPoolAction::Kind::Open)
              .size() == 1);
  Pool.openFailed("b", false, Start + 20ms);
  CHECK(Pool.decide(Start + 21ms).empty());
  CHECK(Pool.waiting() == 1);
}

// Guards against waiters that only wait for a further connection, which an
// upstream refuses as long as it counts those of a process that lost power,
// while connections of other workspaces are idle.
TEST_CASE("at a limit that others use up, idle connections are replaced") {
  UpstreamPool Pool;
  Pool.setCapacity(28, 40);
  for (ConnectionId Id = 1; Id <= 2; ++Id) {
    Pool.enqueue(waiter(Id, "a"), Start);
    Pool.decide(Start);
    Pool.opened(Id, "a", Start);
    Pool.decide(Start);
  }
  Pool.enqueue(waiter(3, "b"), Start);
  Pool.decide(Start);
  Pool.openFailed("b", true, Start);
  CHECK(Pool.decide(Start).empty()); // Both connections are in use.
  Pool.released(1, Start + 1ms);
  const std::vector<UpstreamPoolAction> Actions = Pool.decide(Start + 1ms);
  CHECK(ofKind(Actions, UpstreamPoolAction::Kind::Close).size() == 1);
  CHECK(ofKind(Actions, UpstreamPoolAction::Kind::Open).size() == 1);
  Pool.opened(3, "b", Start + 13ms);
  CHECK(ofKind(Pool.decide(Start + 13ms), UpstreamPoolAction::Kind::Assign)
            .size() == 1);
  // There may be room for a further connection now.
  Pool.enqueue(waiter(4, "c"), Start + 20ms);
  CHECK(ofKind(Pool.decide(Start + 20ms), UpstreamPoolAction::Kind::Open)
            .size() == 1);
}

namespace {

/// Simulates a load on one pool with fixed handshake and service times, and
/// counts the statements that met their latency objective.
struct LoadSimulation {
  struct Arrival {
    TimePoint At{};
    std::string Workspace;
    unsigned Priority = 1;
  };

  UpstreamPool Pool;
  std::map<WaiterId, Arrival> Waiting;
  std::multimap<TimePoint, std::pair<ConnectionId, std::string>> Opening;
  std::multimap<TimePoint, ConnectionId> Running;
  ConnectionId NextConnection = 1;
  int Handshakes = 0;
  int InTime = 0;
  int UrgentInTime = 0;
  int UrgentTotal = 0;

  void run(const std::vector<Arrival> &Load) {
    const Duration Handshake = 13ms;
    const Duration ServiceTime = 6ms;
    std::size_t Next = 0;
    const TimePoint End = Load.back().At + 1s;
    for (TimePoint Now = Start; Now < End; Now += 1ms) {
      for (; Next < Load.size() && Load[Next].At <= Now; ++Next) {
        Waiting[Next + 1] = Load[Next];
        UrgentTotal += Load[Next].Priority == 1 ? 1 : 0;
        Pool.enqueue(waiter(Next + 1, Load[Next].Workspace, Load[Next].Priority,
                            100ms, 700ms, Now),
                     Now);
      }
      for (; !Opening.empty() && Opening.begin()->first <= Now;
           Opening.erase(Opening.begin()))
        Pool.opened(Opening.begin()->second.first,
                    Opening.begin()->second.second, Now);
      for (; !Running.empty() && Running.begin()->first <= Now;
           Running.erase(Running.begin()))
        Pool.released(Running.begin()->second, Now);
      for (const UpstreamPoolAction &Action : Pool.decide(Now)) {
        if (Action.Type == UpstreamPoolAction::Kind::Open) {
          ++Handshakes;
          Opening.emplace(Now + Handshake,
                          std::pair(NextConnection++, Action.Workspace));
        } else if (Action.Type == UpstreamPoolAction::Kind::Assign) {
          const Arrival &Served = Waiting[Action.Waiter];
          const bool MetObjective = Now + ServiceTime - Served.At <= 100ms;
          InTime += MetObjective ? 1 : 0;
          UrgentInTime += MetObjective && Served.Priority == 1 ? 1 : 0;
          Running.emplace(Now + ServiceTime, Action.Connection);
        }
      }
    }
  }
};

std::vector<LoadSimulation::Arrival> mixedLoad(std::uint64_t Seed,
                                               int PerSecond) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(PerSecond);
  std::vector<LoadSimulation::Arrival> Load;
  double At = 0;
  while (At < 4) {
    At += Gap(Random);
    LoadSimulation::Arrival Each;
    Each.At = Start + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(At));
    Each.Workspace = "w" + std::to_string(Random() % 8);
    Each.Priority = Random() % 5 == 0 ? 1 : 2;
    Load.push_back(Each);
  }
  return Load;
}

} // namespace

// Load pattern: eight workspaces on two connections, at twice the capacity of
// these. Urgent statements must meet their latency objective while others wait.
TEST_CASE("urgent statements meet their objective while a pool is overloaded") {
  const std::uint64_t Seed = 20261204;
  CAPTURE(Seed);
  LoadSimulation Load;
  Load.Pool.setCapacity(2, 2);
  Load.run(mixedLoad(Seed, 200));
  CHECK(Load.UrgentInTime >= Load.UrgentTotal * 95 / 100);
}

// Load pattern: many workspaces at moderate load. Guards against opening a
// connection while one of the same workspace is about to become idle; nearly
// every statement then needed a handshake.
TEST_CASE("moderate load of many workspaces does not need a handshake for "
          "every statement") {
  const std::uint64_t Seed = 4;
  CAPTURE(Seed);
  const auto Arrivals = mixedLoad(Seed, 40);
  LoadSimulation Load;
  Load.Pool.setCapacity(4, 4);
  Load.run(Arrivals);
  CHECK(Load.InTime >= static_cast<int>(Arrivals.size()) * 99 / 100);
  CHECK(Load.Handshakes <= static_cast<int>(Arrivals.size()) * 2 / 3);
}

// Guards against losing a waiter, assigning a connection twice and exceeding
// the capacity under random events.
TEST_CASE("the pool stays consistent under random events") {
  const std::uint64_t Seed = GENERATE(1u, 2u, 3u, 4u, 5u, 6u, 7u, 8u);
  CAPTURE(Seed);
  std::mt19937_64 Random(Seed);
  UpstreamPool Pool;
  Pool.setCapacity(3, 5);
  std::set<ConnectionId> Open;
  std::set<ConnectionId> Assigned;
  std::vector<std::string> Opening;
  std::set<WaiterId> Waiting;
  ConnectionId NextConnection = 1;
  WaiterId NextWaiter = 1;
  TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step) {
    Now += std::chrono::milliseconds(Random() % 8);
    switch (Random() % 5) {
    case 0:
      Pool.enqueue(waiter(NextWaiter, "w" + std::to_string(Random() % 4),
                          Random() % 3, 50ms, 300ms, Now),
                   Now);
      Waiting.insert(NextWaiter++);
      break;
    case 1:
      if (!Opening.empty()) {
        const std::string Workspace = Opening.back();
        Opening.pop_back();
        if (Random() % 3 == 0) {
          Pool.openFailed(Workspace, Random() % 2 == 0, Now);
        } else {
          Open.insert(NextConnection);
          Pool.opened(NextConnection++, Workspace, Now);
        }
      }
      break;
    case 2:
    case 3:
      if (!Assigned.empty()) {
        const ConnectionId Id = *Assigned.begin();
        Assigned.erase(Id);
        if (Random() % 4 == 0) {
          Open.erase(Id);
          Pool.closed(Id);
        } else {
          Pool.released(Id, Now);
        }
      }
      break;
    default:
      break;
    }
    for (const UpstreamPoolAction &Action : Pool.decide(Now)) {
      switch (Action.Type) {
      case UpstreamPoolAction::Kind::Assign:
        REQUIRE(Open.count(Action.Connection) == 1);
        REQUIRE(Assigned.insert(Action.Connection).second);
        REQUIRE(Waiting.erase(Action.Waiter) == 1);
        break;
      case UpstreamPoolAction::Kind::Open:
        Opening.push_back(Action.Workspace);
        break;
      case UpstreamPoolAction::Kind::Close:
        REQUIRE(Assigned.count(Action.Connection) == 0);
        REQUIRE(Open.erase(Action.Connection) == 1);
        break;
      case UpstreamPoolAction::Kind::Refuse:
        REQUIRE(Waiting.erase(Action.Waiter) == 1);
        break;
      }
    }
    REQUIRE(Pool.connections() == Open.size());
    REQUIRE(Pool.assigned() == Assigned.size());
    REQUIRE(Pool.waiting() == Waiting.size());
    REQUIRE(Open.size() + Opening.size() <= 5);
  }
}

namespace {

/// Opens \p Count idle connections for \p Workspace, with the ids from
/// \p First on.
void openIdle(UpstreamPool &Pool, ConnectionId First, std::size_t Count,
              const std::string &Workspace, TimePoint Now) {
  for (ConnectionId Id = First; Id < First + Count; ++Id) {
    Pool.enqueue(waiter(1000 + Id, Workspace, 0, 100ms, 700ms, Now), Now);
    Pool.decide(Now + UpstreamPool::EvictionDelay);
    Pool.opened(Id, Workspace, Now);
    Pool.decide(Now);
  }
  for (ConnectionId Id = First; Id < First + Count; ++Id)
    Pool.released(Id, Now);
}

} // namespace

// Guards against statements beyond the slots that wait in the FIFO queue of the
// upstream, where their priority has no effect.
TEST_CASE("statements beyond the limit wait in the pool, urgent ones first") {
  UpstreamPool Pool;
  Pool.setCapacity(8, 8);
  openIdle(Pool, 1, 6, "a", Start);
  Pool.setConcurrency(2);
  for (WaiterId Id = 1; Id <= 5; ++Id)
    Pool.enqueue(waiter(Id, "a", Id == 5 ? 0 : 2), Start);
  const auto Actions = Pool.decide(Start);
  const auto Assigned = ofKind(Actions, UpstreamPoolAction::Kind::Assign);
  REQUIRE(Assigned.size() == 2);
  CHECK(Assigned[0].Waiter == 5);
  CHECK(Pool.running() == 2);
  CHECK(Pool.waiting() == 3);
  CHECK(Pool.decide(Start + 1ms).empty());
  CHECK(Pool.ended(Assigned[0].Connection, Start + 4ms) == Duration(4ms));
  CHECK(Pool.decide(Start + 4ms).size() == 1);
}

// Guards against a transaction that uses up a slot while its caller thinks, and
// against its statements waiting behind new work while others wait for its
// locks.
TEST_CASE("a held connection counts only while a statement runs, and its "
          "statements go first") {
  UpstreamPool Pool;
  Pool.setCapacity(8, 8);
  openIdle(Pool, 1, 3, "a", Start);
  Pool.setConcurrency(1);
  PoolWaiter Begin = waiter(1, "a", 2);
  Begin.TakesSlot = false;
  Pool.enqueue(Begin, Start);
  const auto Begun =
      ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Assign);
  REQUIRE(Begun.size() == 1);
  Pool.pinned(Begun[0].Connection);
  CHECK(Pool.running() == 0);
  Pool.enqueue(waiter(2, "a", 0), Start);
  const auto First =
      ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Assign);
  REQUIRE(First.size() == 1);
  Pool.enqueue(waiter(3, "a", 0), Start);
  Pool.enqueueHeld(4, Begun[0].Connection, Start + 100ms);
  CHECK(Pool.decide(Start + 1ms).empty());
  Pool.released(First[0].Connection, Start + 2ms);
  const auto Next =
      ofKind(Pool.decide(Start + 2ms), UpstreamPoolAction::Kind::Assign);
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Waiter == 4);
  CHECK(Next[0].Connection == Begun[0].Connection);
  CHECK(Pool.isRunning(Begun[0].Connection));
}

// Guards against an open transaction whose statement is never sent because the
// upstream gives no answer to others.
TEST_CASE("a statement of a transaction is sent when its wait has ended") {
  UpstreamPool Pool;
  Pool.setCapacity(8, 8);
  openIdle(Pool, 1, 2, "a", Start);
  Pool.setConcurrency(1);
  Pool.enqueue(waiter(1, "a"), Start);
  const auto Running = Pool.decide(Start);
  REQUIRE(Running.size() == 1);
  const ConnectionId Held = Running[0].Connection == 1 ? 2 : 1;
  REQUIRE(Pool.borrowIdle() == Held);
  Pool.enqueueHeld(2, Held, Start + 100ms);
  CHECK(Pool.decide(Start + 99ms).empty());
  CHECK(Pool.nextDecision(Start + 99ms) == Start + 100ms);
  CHECK(Pool.decide(Start + 100ms).size() == 1);
}

// Guards against handshakes that take the slots of statements beyond the limit,
// and against a probe that waits for a free slot of a busy primary.
TEST_CASE("handshakes count against the limit, except one for commands of the "
          "proxy") {
  UpstreamPool Pool;
  Pool.setCapacity(8, 8);
  openIdle(Pool, 1, 2, "a", Start);
  Pool.setConcurrency(2);
  Pool.enqueue(waiter(1, "a"), Start);
  Pool.enqueue(waiter(2, "a"), Start);
  CHECK(Pool.decide(Start).size() == 2);
  Pool.enqueue(waiter(3, "b"), Start);
  CHECK(Pool.decide(Start + 20ms).empty());
  PoolWaiter Probe = waiter(4, "c", 0, 0ms);
  Probe.TakesSlot = false;
  Pool.enqueue(Probe, Start + 20ms);
  const auto Opened =
      ofKind(Pool.decide(Start + 20ms), UpstreamPoolAction::Kind::Open);
  REQUIRE(Opened.size() == 1);
  CHECK(Opened[0].Workspace == "c");
  Pool.released(1, Start + 21ms);
  CHECK(Pool.decide(Start + 21ms).empty()); // One statement, one handshake.
  Pool.opened(9, "c", Start + 30ms);
  const auto After = Pool.decide(Start + 30ms);
  CHECK(ofKind(After, UpstreamPoolAction::Kind::Assign).size() == 1);
  CHECK(ofKind(After, UpstreamPoolAction::Kind::Open).size() == 1);
}

// Guards against closing the connection that a waiter at the limit will need,
// which costs a handshake and a slot for 12 ms.
TEST_CASE("at the limit, connections that waiters need are kept") {
  UpstreamPool Pool;
  Pool.setCapacity(1, 4);
  openIdle(Pool, 1, 2, "a", Start);
  openIdle(Pool, 3, 1, "b", Start);
  Pool.setConcurrency(1);
  Pool.enqueue(waiter(1, "a"), Start);
  CHECK(Pool.decide(Start).size() == 1);
  Pool.enqueue(waiter(2, "a"), Start);
  const auto Closed =
      ofKind(Pool.decide(Start + 500ms), UpstreamPoolAction::Kind::Close);
  REQUIRE(Closed.size() == 1);
  CHECK(Closed[0].Connection == 3);
}

// Guards against waiting forever, using more slots than the limit and losing
// count of them under random events with a changing limit.
TEST_CASE("the limit holds under random events") {
  const std::uint64_t Seed = GENERATE(1u, 2u, 3u, 4u, 5u, 6u);
  CAPTURE(Seed);
  std::mt19937_64 Random(Seed);
  UpstreamPool Pool;
  Pool.setCapacity(4, 6);
  std::set<ConnectionId> Running;
  std::vector<std::string> Opening;
  std::set<WaiterId> Waiting;
  ConnectionId NextConnection = 1;
  WaiterId NextWaiter = 1;
  TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step) {
    Now += std::chrono::milliseconds(Random() % 8);
    const std::size_t Limit = 1 + Random() % 4;
    Pool.setConcurrency(Limit);
    switch (Random() % 4) {
    case 0:
      Pool.enqueue(waiter(NextWaiter, "w" + std::to_string(Random() % 4),
                          Random() % 3, 50ms, 300ms, Now),
                   Now);
      Waiting.insert(NextWaiter++);
      break;
    case 1:
      if (!Opening.empty()) {
        Pool.opened(NextConnection++, Opening.back(), Now);
        Opening.pop_back();
      }
      break;
    default:
      if (!Running.empty()) {
        const ConnectionId Id = *Running.begin();
        Running.erase(Running.begin());
        if (Random() % 6 == 0)
          Pool.closed(Id);
        else
          Pool.released(Id, Now);
      }
      break;
    }
    const std::size_t Before = Running.size() + Opening.size();
    for (const UpstreamPoolAction &Action : Pool.decide(Now)) {
      if (Action.Type == UpstreamPoolAction::Kind::Assign) {
        REQUIRE(Running.insert(Action.Connection).second);
        REQUIRE(Waiting.erase(Action.Waiter) == 1);
      } else if (Action.Type == UpstreamPoolAction::Kind::Refuse) {
        REQUIRE(Waiting.erase(Action.Waiter) == 1);
      } else if (Action.Type == UpstreamPoolAction::Kind::Open) {
        Opening.push_back(Action.Workspace);
      }
    }
    REQUIRE(Pool.running() == Running.size());
    REQUIRE(Pool.waiting() == Waiting.size());
    REQUIRE(Running.size() + Opening.size() <= std::max(Limit, Before));
  }
  Pool.setConcurrency(1);
  Pool.decide(Now + 1s);
  CHECK(Pool.waiting() == 0);
}

// Guards against work that waits until its time is over although it was certain
// on arrival that it cannot be served, and against refusals on a guess.
TEST_CASE("work that cannot start in time is refused on arrival", "[not-run]") {
  UpstreamPool Pool;
  Pool.setCapacity(8, 8);
  openIdle(Pool, 1, 2, "a", Start);
  const bool Known = GENERATE(true, false);
  CAPTURE(Known);
  Pool.setConcurrency(2, Known ? std::optional<Duration>(20ms) : std::nullopt);
  // 2 statements of 20 ms at a time: 60 of them need 600 ms.
  for (WaiterId Id = 1; Id <= 63; ++Id) {
    Pool.enqueue(waiter(Id, "a", 1, 200ms, 600ms), Start);
    REQUIRE(
        ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Refuse).size() ==
        (Known && Id == 63 ? 1 : 0));
  }
  Pool.enqueue(waiter(100, "a", 1, 200ms, 500ms), Start);
  const auto Refused =
      ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Refuse);
  REQUIRE(Refused.size() == (Known ? 1 : 0));
  if (Known) {
    CHECK(Refused[0].Waiter == 100);
    CHECK(Refused[0].RetryAfter > 90ms);
    CHECK(Refused[0].RetryAfter < 130ms);
  }
  // More urgent work, and that of another workspace, passes the backlog.
  Pool.enqueue(waiter(101, "a", 0, 100ms, 300ms), Start);
  Pool.enqueue(waiter(102, "b", 1, 100ms, 300ms), Start);
  CHECK(ofKind(Pool.decide(Start), UpstreamPoolAction::Kind::Refuse).empty());
}
