#include "scheduling/workqueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

WorkQueue::Item item(WorkQueue::ItemId Id, const std::string &Workspace,
                     unsigned Priority, Duration Target = 200ms,
                     Duration GiveUp = 600ms, double Rate = 10) {
  WorkQueue::Item New;
  New.Id = Id;
  New.Workspace = Workspace;
  New.Priority = Priority;
  New.Rate = Rate;
  New.Target = Start + Target;
  New.GiveUpAt = Start + GiveUp;
  New.QueuedAt = Start;
  return New;
}

bool acceptAll(WorkQueue::Item & /*Each*/) { return true; }

WorkQueue::ItemId next(WorkQueue &Queue, TimePoint Now = Start) {
  const std::optional<WorkQueue::Item> Taken = Queue.take(Now, 0ms, acceptAll);
  return Taken ? Taken->Id : 0;
}

} // namespace

// Guards against short urgent statements that wait behind long reads.
TEST_CASE("urgent statements go first, then those that can be in time") {
  WorkQueue Queue;
  Queue.enqueue(item(1, "a", 2, 10ms));
  Queue.enqueue(item(2, "a", 2, 300ms));
  Queue.enqueue(item(3, "a", 2, 200ms));
  Queue.enqueue(item(4, "c", 0));
  CHECK(Queue.size() == 4);
  const TimePoint Now = Start + 20ms; // Item 1 is late.
  CHECK(next(Queue, Now) == 4);
  CHECK(next(Queue, Now) == 3);
  CHECK(next(Queue, Now) == 2);
  CHECK(next(Queue, Now) == 1);
  CHECK(next(Queue, Now) == 0);
}

// Guards against a workspace at several times its usual load that makes those
// of all others wait, and against large workspaces that get as little as small
// ones.
TEST_CASE("workspaces take turns in proportion to their rates") {
  WorkQueue Queue;
  for (WorkQueue::ItemId Id = 1; Id <= 200; ++Id)
    Queue.enqueue(item(Id, "loud", 1, 200ms, 600ms, 20));
  for (WorkQueue::ItemId Id = 1001; Id <= 1200; ++Id)
    Queue.enqueue(item(Id, "large", 1, 200ms, 600ms, 60));
  Queue.enqueue(item(2001, "quiet", 1));
  std::map<std::string, int> Served;
  bool Quiet = false;
  for (int I = 0; I < 40; ++I) {
    const auto Taken = Queue.take(Start, 0ms, acceptAll);
    REQUIRE(Taken);
    ++Served[Taken->Workspace];
    Quiet = Quiet || Taken->Workspace == "quiet";
    if (I == 4)
      CHECK(Quiet);
  }
  CHECK(Served["large"] >= 27);
  CHECK(Served["loud"] >= 9);
}

// Guards against priorities that starve, and against late statements that are
// overtaken until their time is over.
TEST_CASE("each priority and the late statements get a minimum of turns") {
  WorkQueue Queue;
  WorkQueue::ItemId Id = 1;
  for (int I = 0; I < 300; ++I)
    for (const unsigned Priority : {0U, 1U, 2U})
      Queue.enqueue(item(Id++, "a", Priority));
  for (int I = 0; I < 100; ++I)
    Queue.enqueue(item(Id++, "a", 0, -1ms));
  std::map<unsigned, int> Served;
  int Late = 0;
  for (int I = 0; I < 200; ++I) {
    const auto Taken = Queue.take(Start, 0ms, acceptAll);
    REQUIRE(Taken);
    ++Served[Taken->Priority];
    Late += Taken->Target < Start ? 1 : 0;
  }
  constexpr int Minimum = static_cast<int>(200 * WorkQueue::MinPriorityShare);
  CHECK(Served[0] >= 150);
  CHECK(Served[1] >= Minimum - 1);
  CHECK(Served[2] >= Minimum - 1);
  const double Share = static_cast<double>(Late) / Served[0];
  CHECK(Share >= WorkQueue::MinLateShare * 0.8);
  CHECK(Share <= WorkQueue::MinLateShare * 1.2);
}

// Guards against a workspace without a connection that holds up all others, and
// against one that loses its place because of that.
TEST_CASE("a workspace that cannot be served is passed over and keeps its "
          "place") {
  WorkQueue Queue;
  Queue.enqueue(item(1, "a", 0));
  Queue.enqueue(item(2, "b", 1));
  const auto NotA = [](WorkQueue::Item &Each) {
    Each.PassedOverAt = Start;
    return Each.Workspace != "a";
  };
  const auto Taken = Queue.take(Start, 0ms, NotA);
  REQUIRE(Taken);
  CHECK(Taken->Id == 2);
  CHECK_FALSE(Queue.take(Start, 0ms, NotA));
  const auto First = Queue.take(Start, 0ms, acceptAll);
  REQUIRE(First);
  CHECK(First->Id == 1);
  CHECK(First->PassedOverAt == Start);
}

// Guards against a queue without a bound, and against urgent work that is
// refused because less urgent work fills it.
TEST_CASE("a full queue refuses the least urgent work", "[not-run]") {
  WorkQueue Queue;
  for (WorkQueue::ItemId Id = 1; Id <= WorkQueue::MaxLength; ++Id)
    REQUIRE_FALSE(Queue.enqueue(item(Id, "a", 1)));
  const auto Same = Queue.enqueue(item(5001, "b", 1));
  REQUIRE(Same);
  CHECK(Same->Id == 5001);
  const auto Displaced = Queue.enqueue(item(5002, "b", 0));
  REQUIRE(Displaced);
  CHECK(Displaced->Id == WorkQueue::MaxLength);
  CHECK(Queue.size() == WorkQueue::MaxLength);
  CHECK(next(Queue) == 5002);
}

// Guards against a new statement that is refused because of a backlog of
// others that it will pass.
TEST_CASE("only what goes before a new statement counts as ahead of it") {
  WorkQueue Queue;
  for (WorkQueue::ItemId Id = 1; Id <= 50; ++Id)
    Queue.enqueue(item(Id, "loud", 1));
  CHECK(Queue.ahead("loud", 1, 10, false) == 50);
  CHECK(Queue.ahead("quiet", 1, 10, false) == 1);
  CHECK(Queue.ahead("loud", 0, 10, false) == 0);
  CHECK(Queue.ahead("quiet", 2, 10, false) == 50);
  CHECK(Queue.ahead("quiet", 1, 10, true) == 50);
}

// Guards against losing or repeating a statement under random events.
TEST_CASE("the queue stays consistent under random events") {
  const std::uint64_t Seed = GENERATE(1u, 2u, 3u, 4u);
  CAPTURE(Seed);
  std::mt19937_64 Random(Seed);
  WorkQueue Queue;
  std::set<WorkQueue::ItemId> Waiting;
  WorkQueue::ItemId NextId = 1;
  Duration At{};
  for (int Step = 0; Step < 8000; ++Step) {
    At += std::chrono::milliseconds(Random() % 5);
    const TimePoint Now = Start + At;
    switch (Random() % 5) {
    case 0:
    case 1:
      REQUIRE_FALSE(
          Queue.enqueue(item(NextId, "w" + std::to_string(Random() % 6),
                             static_cast<unsigned>(Random() % 4),
                             At + std::chrono::milliseconds(Random() % 60),
                             At + std::chrono::milliseconds(60 + Random() % 60),
                             static_cast<double>(Random() % 100))));
      Waiting.insert(NextId++);
      break;
    case 2: {
      const auto Taken =
          Queue.take(Now, 3ms, [&Random](WorkQueue::Item & /*Each*/) {
            return Random() % 3 != 0;
          });
      if (Taken)
        REQUIRE(Waiting.erase(Taken->Id) == 1);
      break;
    }
    case 3:
      if (!Waiting.empty()) {
        REQUIRE(Queue.cancel(*Waiting.begin()));
        REQUIRE_FALSE(Queue.cancel(*Waiting.begin()));
        Waiting.erase(Waiting.begin());
      }
      break;
    default:
      for (const WorkQueue::Item &Each : Queue.takeExpired(Now)) {
        REQUIRE(Each.GiveUpAt <= Now);
        REQUIRE(Waiting.erase(Each.Id) == 1);
      }
      REQUIRE((!Queue.nextGiveUp() || *Queue.nextGiveUp() > Now));
      break;
    }
    std::size_t Visited = 0;
    Queue.forEach([&](const WorkQueue::Item &Each) {
      REQUIRE(Waiting.count(Each.Id) == 1);
      ++Visited;
    });
    REQUIRE(Visited == Waiting.size());
    REQUIRE(Queue.size() == Waiting.size());
  }
}

// Guards against less urgent work that is accepted although more urgent work
// takes nearly all turns, and is then refused when its time is over; and
// against a pace that is used after the backlog or the turns have ended.
TEST_CASE("the pace of a priority is measured while it has a backlog") {
  WorkQueue Queue;
  WorkQueue::ItemId Id = 1;
  for (int I = 0; I < 30; ++I)
    Queue.enqueue(item(Id++, "a", 2, 10s, 20s));
  TimePoint Now = Start;
  for (int I = 0; I < 20; ++I) {
    CHECK(Queue.timePerTurn(2, Now).has_value() == (I > 10));
    REQUIRE(Queue.take(Now, 0ms, acceptAll));
    Now += 40ms;
  }
  CHECK(Queue.timePerTurn(2, Now) == Duration(40ms));
  CHECK_FALSE(Queue.timePerTurn(1, Now));
  CHECK_FALSE(Queue.timePerTurn(2, Now + WorkQueue::PaceLifetime));
  while (Queue.take(Now, 0ms, acceptAll)) {
  }
  Queue.enqueue(item(Id++, "a", 2, 10s, 20s));
  CHECK_FALSE(Queue.timePerTurn(2, Now));
}
