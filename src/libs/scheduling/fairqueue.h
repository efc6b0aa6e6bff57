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

/// A request that waits for service.
struct QueueItem {
  QueueItemId Id = 0; ///< Chosen by the caller; unique while queued.
  std::string Workspace;
  QueueClass Class = QueueClass::Standard;
  TimePoint Deadline{}; ///< When the answer is needed.
};

/// Limits of one workspace in a queue.
struct WorkspaceQueueLimits {
  std::uint32_t Weight = 1; ///< Share of service within a class; at least 1.
  std::uint32_t Length =
      64; ///< Maximum number of waiting items over all classes.
};

/// Counters of one workspace in a queue.
struct WorkspaceQueueStatistics {
  std::uint64_t Accepted = 0;
  std::uint64_t Dequeued = 0;
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedDeadline = 0; ///< On enqueue and on dequeue.
  std::uint64_t Cancelled = 0;
  std::uint32_t Waiting = 0;
  Duration WaitSum{}; ///< Total waiting time of the dequeued items.
  Duration LongestWait{};
};

/// The items that a call of FairQueue::dequeue() removed from the queue.
struct DequeueResult {
  std::optional<QueueItemId> Next; ///< The item to serve now.
  /// Items that can no longer finish in time; to be refused with
  /// queue-deadline.
  std::vector<QueueItemId> Expired;
};

/// The queue of one upstream. Urgent items are served first, but at least every
/// fifth dequeue serves the other classes if they have waiting items. These two
/// classes alternate, so that neither starves the other. Within a class,
/// workspaces are served by weighted deficit round robin. A different
/// QueueDiscipline can assign items to other classes and flows.
class FairQueue {
public:
  /// \param Slots number of items that are served at the same time.
  /// \param Discipline must outlive the queue.
  explicit FairQueue(std::uint32_t Slots,
                     const QueueDiscipline &Discipline = fairDiscipline());

  /// Sets the number of items that are served at the same time.
  void setSlots(std::uint32_t Slots);
  /// Sets the weight and maximum length for \p Workspace.
  void setLimits(const std::string &Workspace, WorkspaceQueueLimits Limits);

  /// Adds an item. Errors: QueueFull if the workspace has too many waiting
  /// items, QueueDeadline if the item cannot finish in time.
  Result<void> enqueue(const QueueItem &Item, TimePoint Now);

  /// Removes the next item to serve, and items that cannot finish in time.
  DequeueResult dequeue(TimePoint Now);

  /// Removes a waiting item.
  /// \returns false if it is not waiting.
  bool cancel(QueueItemId Id);

  /// Reports that a dequeued item is completed. Must be called for each
  /// dequeued item.
  /// \param ServiceTime time from dequeue to completion.
  void completed(Duration ServiceTime);

  /// Returns the smoothed service time; zero before the first completed item.
  Duration serviceTime() const;

  /// Returns the expected wait of an item of \p Workspace in class \p Wanted
  /// that arrives now.
  Duration expectedWait(const std::string &Workspace, QueueClass Wanted) const;

  /// Returns the number of waiting items.
  std::size_t size() const;
  /// Returns the counters of \p Workspace; all zero if it is unknown.
  WorkspaceQueueStatistics statistics(const std::string &Workspace) const;

private:
  struct Waiting {
    QueueItemId Id = 0;
    std::string Workspace;
    TimePoint Deadline{};
    TimePoint Arrived{};
  };
  /// The waiting items of one flow.
  struct Flow {
    std::deque<Waiting> Items;
    std::uint32_t Deficit = 0;
  };
  struct ClassQueue {
    std::map<std::string, Flow> Flows;
    std::deque<std::string> ActiveFlows; ///< Names of the flows with items; the
                                         ///< next to serve is first.
    std::size_t Size = 0;
  };
  struct WorkspaceState {
    WorkspaceQueueLimits Limits;
    WorkspaceQueueStatistics Statistics;
  };

  std::optional<QueueClass> nextClass() const;
  void recordServed(QueueClass Class);
  Waiting takeFront(QueueClass Class);
  static void dropFlow(ClassQueue &Queue, const std::string &Name);
  std::size_t aheadInClass(const QueuePlace &Place) const;
  std::size_t waitingIn(QueueClass Class) const;
  std::uint32_t weightOf(const std::string &Workspace) const;
  bool canFinishInTime(TimePoint Now, Duration Wait, TimePoint Deadline);

  std::uint32_t Slots;
  const QueueDiscipline *Discipline;
  std::array<ClassQueue, QueueClassCount> Classes;
  std::map<std::string, WorkspaceState> Workspaces;
  std::map<QueueItemId, std::pair<std::string, QueueClass>> QueuedItems;
  std::uint32_t ConsecutiveUrgent = 0;
  bool LookupNext = false; ///< If both wait, Lookup precedes Standard.
  std::uint32_t InService = 0;
  Duration SmoothedServiceTime{};
};

} // namespace lavenderdale
