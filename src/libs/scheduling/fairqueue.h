#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "queuediscipline.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

using QueueItemId = std::uint64_t;

struct QueueItem {
  QueueItemId Id = 0; ///< Chosen by the caller, unique while queued.
  std::string Workspace;
  QueueClass Class = QueueClass::Standard;
  TimePoint Deadline{}; ///< The answer is needed by then.
};

struct WorkspaceQueueLimits {
  std::uint32_t Weight = 1;  ///< Share of service inside a class; at least 1.
  std::uint32_t Length = 64; ///< Waiting items over all classes.
};

struct WorkspaceQueueStatistics {
  std::uint64_t Accepted = 0;
  std::uint64_t Dequeued = 0;
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedDeadline = 0; ///< On arrival and on dequeue.
  std::uint64_t Cancelled = 0;
  std::uint32_t Waiting = 0;
  Duration WaitSum{}; ///< Of the dequeued items.
  Duration LongestWait{};
};

/// What a call of FairQueue::dequeue() took out of the queue.
struct DequeueResult {
  std::optional<QueueItemId> Next; ///< The item to run now.
  /// Items that can no longer finish in time; answer queue-deadline.
  std::vector<QueueItemId> Expired;
};

/// The queue of one upstream: urgent items first, but at least every fifth
/// dequeue goes to the other classes if any of them waits. These two take
/// turns, so that a full one does not keep the other waiting. Inside a class:
/// deficit round robin over workspaces by weight. Another discipline can put
/// items into other places than that of their class and workspace.
class FairQueue {
public:
  /// \param Slots number of items that are served at the same time.
  /// \param Discipline outlives the queue.
  explicit FairQueue(std::uint32_t Slots,
                     const QueueDiscipline &Discipline = fairDiscipline());

  void setSlots(std::uint32_t Slots);
  void setLimits(const std::string &Workspace, WorkspaceQueueLimits Limits);

  /// Queues an item. Errors: QueueFull, QueueDeadline.
  Result<void> enqueue(const QueueItem &Item, TimePoint Now);

  /// Takes the next item. Items that cannot finish in time are skipped.
  DequeueResult dequeue(TimePoint Now);

  /// Removes a waiting item. \returns false if it is not waiting.
  bool cancel(QueueItemId Id);

  /// Tells how long an item was served, from dequeue to its end. Called for
  /// each dequeued item.
  void completed(Duration ServiceTime);

  /// Smoothed service time; zero before the first completed item.
  Duration serviceTime() const;

  /// Expected wait of an item of \p Workspace in \p Wanted that arrives now.
  Duration expectedWait(const std::string &Workspace, QueueClass Wanted) const;

  std::size_t size() const;
  WorkspaceQueueStatistics statistics(const std::string &Workspace) const;

private:
  struct Waiting {
    QueueItemId Id = 0;
    std::string Workspace;
    TimePoint Deadline{};
    TimePoint Arrived{};
  };
  /// The items of one place.
  struct Flow {
    std::deque<Waiting> Items;
    std::uint32_t Deficit = 0;
  };
  struct ClassQueue {
    std::map<std::string, Flow> Flows;
    std::deque<std::string> Round; ///< Flows with items, next one first.
    std::size_t Size = 0;
  };
  struct WorkspaceState {
    WorkspaceQueueLimits Limits;
    WorkspaceQueueStatistics Statistics;
  };

  std::optional<QueueClass> nextClass() const;
  void countTurn(QueueClass Class);
  Waiting takeFront(QueueClass Class);
  static void dropFlow(ClassQueue &Queue, const std::string &Name);
  std::size_t aheadInClass(const QueuePlace &Place) const;
  std::size_t waitingIn(QueueClass Class) const;
  std::uint32_t weightOf(const std::string &Workspace) const;
  bool inTime(TimePoint Now, Duration Wait, TimePoint Deadline);

  std::uint32_t Slots;
  const QueueDiscipline *Discipline;
  std::array<ClassQueue, QueueClassCount> Classes;
  std::map<std::string, WorkspaceState> Workspaces;
  std::map<QueueItemId, std::pair<std::string, QueueClass>> Places;
  std::uint32_t UrgentInRow = 0;
  bool LookupTurn = false; ///< The next of the other classes is a lookup.
  std::uint32_t InService = 0;
  Duration MeanService{};
};

} // namespace lavenderdale
