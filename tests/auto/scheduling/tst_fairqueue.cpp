#include "scheduling/fairqueue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace lavenderdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

class Filled {
public:
  explicit Filled(std::uint32_t Slots = 1,
                  const QueueDiscipline &Discipline = fairDiscipline())
      : Queue(Slots, Discipline) {}

  /// Adds items that have an hour left.
  void add(const std::string &Workspace, QueueClass Class, int Count) {
    for (int I = 0; I < Count; ++I) {
      Names[++this->Last] = Workspace;
      Classes[this->Last] = Class;
      REQUIRE(this->Queue.enqueue(
          {this->Last, Workspace, Class, Start + std::chrono::hours(1)},
          Start));
    }
  }

  FairQueue Queue;
  QueueItemId Last = 0;
  std::map<QueueItemId, std::string> Names;
  std::map<QueueItemId, QueueClass> Classes;
};

} // namespace

// Guards against a workspace whose flood takes the service of the others.
TEST_CASE("workspaces are served by weight", "[answers]") {
  Filled Of;
  Of.Queue.setLimits("flood", {.Weight = 1, .Length = 1000});
  Of.Queue.setLimits("double", {.Weight = 2, .Length = 1000});
  Of.add("flood", QueueClass::Standard, 500);
  Of.add("double", QueueClass::Standard, 100);
  Of.add("single", QueueClass::Standard, 40);
  std::map<std::string, int> Served;
  for (int I = 0; I < 80; ++I)
    ++Served[Of.Names[*Of.Queue.dequeue(Start).Next]];
  CHECK(Served["flood"] == 20);
  CHECK(Served["double"] == 40);
  CHECK(Served["single"] == 20);
}

// Guards against a baseline that is fair in part, or that loses the bound.
TEST_CASE("one FIFO queue serves all items in order of arrival", "[not-run]") {
  Filled Of(1, fifoDiscipline());
  Of.Queue.setLimits("flood", {.Weight = 1, .Length = 20});
  Of.add("flood", QueueClass::Standard, 20);
  Of.add("quiet", QueueClass::Urgent, 2);
  const QueueItem Over{99, "flood", QueueClass::Lookup, Start + seconds(9)};
  CHECK(Of.Queue.enqueue(Over, Start).error().Kind == ErrorKind::QueueFull);
  CHECK(Of.Queue.cancel(21));
  for (QueueItemId Id = 1; Id <= 20; ++Id)
    CHECK(Of.Queue.dequeue(Start).Next == Id);
  CHECK(Of.Queue.dequeue(Start).Next == 22);
  CHECK(Of.Queue.statistics("quiet").Dequeued == 1);
  CHECK(Of.Queue.size() == 0);
}

// Guards against urgent work behind other work, and other work that starves.
TEST_CASE("urgent items go first, but every fifth turn is for the others") {
  Filled Of;
  Of.add("w", QueueClass::Lookup, 5);
  Of.add("v", QueueClass::Standard, 5);
  Of.add("u", QueueClass::Urgent, 50);
  int Urgent = 0;
  int Standard = 0;
  for (int I = 1; I <= 20; ++I) {
    const QueueClass Class = Of.Classes[*Of.Queue.dequeue(Start).Next];
    CHECK((Class == QueueClass::Urgent) == (I % 5 != 0));
    Urgent += Class == QueueClass::Urgent ? 1 : 0;
    Standard += Class == QueueClass::Standard ? 1 : 0;
  }
  CHECK(Urgent == 16);
  CHECK(Standard == 2);
}

// Guards against queues without a bound, and against a full queue of one
// workspace that refuses another.
TEST_CASE("a workspace's queue is bounded", "[not-run]") {
  Filled Of;
  Of.Queue.setLimits("w", {.Weight = 1, .Length = 3});
  Of.add("w", QueueClass::Standard, 2);
  Of.add("w", QueueClass::Urgent, 1);
  const QueueItem Item{99, "w", QueueClass::Lookup, Start + seconds(9)};
  CHECK(Of.Queue.enqueue(Item, Start).error().Kind == ErrorKind::QueueFull);
  Of.add("other", QueueClass::Standard, 1);
  CHECK(Of.Queue.cancel(1));
  CHECK_FALSE(Of.Queue.cancel(1));
  CHECK(Of.Queue.enqueue(Item, Start));
  const WorkspaceQueueStatistics Seen = Of.Queue.statistics("w");
  CHECK(Seen.Waiting == 3);
  CHECK(Seen.Cancelled == 1);
  CHECK(Seen.RefusedFull == 1);
}

// Guards against requests that wait although they cannot finish in time.
TEST_CASE("an item that cannot finish in time is refused", "[not-run]") {
  Filled Of;
  Of.add("w", QueueClass::Standard, 1);
  Of.Queue.dequeue(Start);
  Of.Queue.completed(milliseconds(10));
  Of.add("w", QueueClass::Standard, 4);
  const auto Offer = [&Of](QueueItemId Id, const char *Name, int Ms) {
    return Of.Queue.enqueue(
        {Id, Name, QueueClass::Standard, Start + milliseconds(Ms)}, Start);
  };
  // Four items ahead, the own service, and the slot may just have been taken.
  CHECK(Offer(50, "w", 55).error().Kind == ErrorKind::QueueDeadline);
  CHECK(Offer(51, "w", 65));
  // Another workspace has only one item ahead.
  CHECK(Offer(52, "v", 35));
  // On dequeue: the item of v waited for too long.
  const TimePoint Late = Start + milliseconds(30);
  CHECK(*Of.Queue.dequeue(Late).Next == 2);
  const DequeueResult Next = Of.Queue.dequeue(Late);
  CHECK(Next.Expired == std::vector<QueueItemId>{52});
  CHECK(*Next.Next == 3);
  CHECK(Of.Queue.statistics("v").RefusedDeadline == 1);
}

// Guards against a service time that refuses everything and, since nothing is
// served any more, is never measured again.
TEST_CASE("a long service time is corrected without served items") {
  Filled Of;
  Of.add("w", QueueClass::Standard, 1);
  Of.Queue.dequeue(Start);
  Of.Queue.completed(seconds(30));
  int Refused = 0;
  while (!Of.Queue.enqueue({99, "w", QueueClass::Standard, Start + seconds(1)},
                           Start))
    REQUIRE(++Refused < 100);
  CHECK(Refused > 0);
}
