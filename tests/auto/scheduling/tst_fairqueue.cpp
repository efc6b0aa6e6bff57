#include "scheduling/fairqueue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace lavenderdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

/// A queue that records the workspace and class of each added item.
class QueueFixture {
public:
  explicit QueueFixture(std::uint32_t Slots = 1,
                        const QueueDiscipline &Discipline = fairDiscipline())
      : Queue(Slots, Discipline) {}

  /// Adds \p Count items with a deadline in an hour.
  void add(const std::string &Workspace, QueueClass Class, int Count) {
    for (int I = 0; I < Count; ++I) {
      Workspaces[++this->Last] = Workspace;
      Classes[this->Last] = Class;
      REQUIRE(this->Queue.enqueue(
          {this->Last, Workspace, Class, Start + std::chrono::hours(1)},
          Start));
    }
  }

  FairQueue Queue;
  QueueItemId Last = 0;
  std::map<QueueItemId, std::string> Workspaces;
  std::map<QueueItemId, QueueClass> Classes;
};

} // namespace

// Guards against a workspace whose load starves the others.
TEST_CASE("workspaces are served by weight", "[answers]") {
  QueueFixture Fixture;
  Fixture.Queue.setLimits("flood", {.Weight = 1, .Length = 1000});
  Fixture.Queue.setLimits("double", {.Weight = 2, .Length = 1000});
  Fixture.add("flood", QueueClass::Standard, 500);
  Fixture.add("double", QueueClass::Standard, 100);
  Fixture.add("single", QueueClass::Standard, 40);
  std::map<std::string, int> Served;
  for (int I = 0; I < 80; ++I)
    ++Served[Fixture.Workspaces[*Fixture.Queue.dequeue(Start).Next]];
  CHECK(Served["flood"] == 20);
  CHECK(Served["double"] == 40);
  CHECK(Served["single"] == 20);
}

// Guards against a baseline that is partly fair or ignores the length limit.
TEST_CASE("the FIFO discipline serves all items in order of arrival",
          "[not-run]") {
  QueueFixture Fixture(1, fifoDiscipline());
  Fixture.Queue.setLimits("flood", {.Weight = 1, .Length = 20});
  Fixture.add("flood", QueueClass::Standard, 20);
  Fixture.add("quiet", QueueClass::Urgent, 2);
  const QueueItem Over{99, "flood", QueueClass::Lookup, Start + seconds(9)};
  CHECK(Fixture.Queue.enqueue(Over, Start).error().Kind ==
        ErrorKind::QueueFull);
  CHECK(Fixture.Queue.cancel(21));
  for (QueueItemId Id = 1; Id <= 20; ++Id)
    CHECK(Fixture.Queue.dequeue(Start).Next == Id);
  CHECK(Fixture.Queue.dequeue(Start).Next == 22);
  CHECK(Fixture.Queue.statistics("quiet").Dequeued == 1);
  CHECK(Fixture.Queue.size() == 0);
}

// Guards against urgent items that wait behind others, and against starvation
// of the other classes.
TEST_CASE(
    "urgent items go first, but every fifth dequeue serves other classes") {
  QueueFixture Fixture;
  Fixture.add("w", QueueClass::Lookup, 5);
  Fixture.add("v", QueueClass::Standard, 5);
  Fixture.add("u", QueueClass::Urgent, 50);
  int Urgent = 0;
  int Standard = 0;
  for (int I = 1; I <= 20; ++I) {
    const QueueClass Class =
        Fixture.Classes[*Fixture.Queue.dequeue(Start).Next];
    CHECK((Class == QueueClass::Urgent) == (I % 5 != 0));
    Urgent += Class == QueueClass::Urgent ? 1 : 0;
    Standard += Class == QueueClass::Standard ? 1 : 0;
  }
  CHECK(Urgent == 16);
  CHECK(Standard == 2);
}

// Guards against unbounded queues, and against refusing items of one workspace
// because the queue of another is full.
TEST_CASE("a workspace's queue is bounded", "[not-run]") {
  QueueFixture Fixture;
  Fixture.Queue.setLimits("w", {.Weight = 1, .Length = 3});
  Fixture.add("w", QueueClass::Standard, 2);
  Fixture.add("w", QueueClass::Urgent, 1);
  const QueueItem Item{99, "w", QueueClass::Lookup, Start + seconds(9)};
  CHECK(Fixture.Queue.enqueue(Item, Start).error().Kind ==
        ErrorKind::QueueFull);
  Fixture.add("other", QueueClass::Standard, 1);
  CHECK(Fixture.Queue.cancel(1));
  CHECK_FALSE(Fixture.Queue.cancel(1));
  CHECK(Fixture.Queue.enqueue(Item, Start));
  const WorkspaceQueueStatistics Seen = Fixture.Queue.statistics("w");
  CHECK(Seen.Waiting == 3);
  CHECK(Seen.Cancelled == 1);
  CHECK(Seen.RefusedFull == 1);
}

// Guards against keeping requests that cannot finish in time.
TEST_CASE("an item that cannot finish in time is refused", "[not-run]") {
  QueueFixture Fixture;
  Fixture.add("w", QueueClass::Standard, 1);
  Fixture.Queue.dequeue(Start);
  Fixture.Queue.completed(milliseconds(10));
  Fixture.add("w", QueueClass::Standard, 4);
  const auto Offer = [&Fixture](QueueItemId Id, const char *Name, int Ms) {
    return Fixture.Queue.enqueue(
        {Id, Name, QueueClass::Standard, Start + milliseconds(Ms)}, Start);
  };
  // Four items ahead, the item's own service time, and one more service time,
  // because the slot may just have been taken.
  CHECK(Offer(50, "w", 55).error().Kind == ErrorKind::QueueDeadline);
  CHECK(Offer(51, "w", 65));
  // Another workspace has only one item ahead.
  CHECK(Offer(52, "v", 35));
  // On dequeue: the item of v has waited too long.
  const TimePoint Late = Start + milliseconds(30);
  CHECK(*Fixture.Queue.dequeue(Late).Next == 2);
  const DequeueResult Next = Fixture.Queue.dequeue(Late);
  CHECK(Next.Expired == std::vector<QueueItemId>{52});
  CHECK(*Next.Next == 3);
  CHECK(Fixture.Queue.statistics("v").RefusedDeadline == 1);
}

// Guards against an overestimated service time that refuses all items and,
// because nothing is served, is never corrected by a measurement.
TEST_CASE("an overestimated service time is corrected without served items") {
  QueueFixture Fixture;
  Fixture.add("w", QueueClass::Standard, 1);
  Fixture.Queue.dequeue(Start);
  Fixture.Queue.completed(seconds(30));
  int Refused = 0;
  while (!Fixture.Queue.enqueue(
      {99, "w", QueueClass::Standard, Start + seconds(1)}, Start))
    REQUIRE(++Refused < 100);
  CHECK(Refused > 0);
}
