#include "fairqueue.h"

#include "base/softassert.h"

#include <algorithm>
#include <numeric>

namespace lavenderdale {
namespace {

/// Maximum number of consecutive urgent items while other classes wait.
constexpr std::uint32_t MaxConsecutiveUrgent = 4;
/// A new service time has the weight 1 / ServiceSmoothing in the average.
constexpr int ServiceSmoothing = 16;

constexpr std::size_t indexOf(QueueClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

FairQueue::FairQueue(std::uint32_t Slots, const QueueDiscipline &Discipline)
    : Slots(std::max(1U, Slots)), Discipline(&Discipline) {}

void FairQueue::setSlots(std::uint32_t NewSlots) {
  this->Slots = std::max(1U, NewSlots);
}

void FairQueue::setLimits(const std::string &Workspace,
                          WorkspaceQueueLimits Limits) {
  Limits.Weight = std::max(1U, Limits.Weight);
  this->Workspaces[Workspace].Limits = Limits;
}

Result<void> FairQueue::enqueue(const QueueItem &Item, TimePoint Now) {
  if (!softAssert(!this->QueuedItems.contains(Item.Id),
                  "queue item id is unique"))
    return failure(ErrorKind::Internal, "queue item id is in use");
  WorkspaceState &State = this->Workspaces[Item.Workspace];
  if (State.Statistics.Waiting >= State.Limits.Length) {
    ++State.Statistics.RefusedFull;
    return failure(ErrorKind::QueueFull,
                   std::to_string(State.Limits.Length) +
                       " requests of the workspace are waiting");
  }
  const Duration Wait = this->expectedWait(Item.Workspace, Item.Class);
  if (!this->canFinishInTime(Now, Wait, Item.Deadline)) {
    ++State.Statistics.RefusedDeadline;
    return failure(ErrorKind::QueueDeadline,
                   "the expected wait is longer than the time left");
  }
  const QueuePlace Place =
      this->Discipline->placeOf(Item.Workspace, Item.Class);
  ClassQueue &Queue = this->Classes[indexOf(Place.Class)];
  Flow &Items = Queue.Flows[Place.Flow];
  if (Items.Items.empty())
    Queue.ActiveFlows.push_back(Place.Flow);
  Items.Items.push_back({Item.Id, Item.Workspace, Item.Deadline, Now});
  ++Queue.Size;
  this->QueuedItems[Item.Id] = {Item.Workspace, Item.Class};
  ++State.Statistics.Accepted;
  ++State.Statistics.Waiting;
  return success();
}

DequeueResult FairQueue::dequeue(TimePoint Now) {
  DequeueResult Result;
  while (const std::optional<QueueClass> Class = this->nextClass()) {
    const Waiting Item = this->takeFront(*Class);
    WorkspaceQueueStatistics &Statistics =
        this->Workspaces[Item.Workspace].Statistics;
    if (!this->canFinishInTime(Now, Duration::zero(), Item.Deadline)) {
      ++Statistics.RefusedDeadline;
      Result.Expired.push_back(Item.Id);
      continue;
    }
    this->recordServed(*Class);
    ++this->InService;
    ++Statistics.Dequeued;
    Statistics.WaitSum += Now - Item.Arrived;
    Statistics.LongestWait =
        std::max(Statistics.LongestWait, Now - Item.Arrived);
    Result.Next = Item.Id;
    break;
  }
  return Result;
}

bool FairQueue::cancel(QueueItemId Id) {
  const auto Place = this->QueuedItems.find(Id);
  if (Place == this->QueuedItems.end())
    return false;
  const auto [Workspace, Class] = Place->second;
  const QueuePlace At = this->Discipline->placeOf(Workspace, Class);
  ClassQueue &Queue = this->Classes[indexOf(At.Class)];
  std::deque<Waiting> &Items = Queue.Flows[At.Flow].Items;
  std::erase_if(Items, [Id](const Waiting &Each) { return Each.Id == Id; });
  --Queue.Size;
  if (Items.empty())
    dropFlow(Queue, At.Flow);
  this->QueuedItems.erase(Place);
  WorkspaceQueueStatistics &Statistics = this->Workspaces[Workspace].Statistics;
  --Statistics.Waiting;
  ++Statistics.Cancelled;
  return true;
}

void FairQueue::completed(Duration ServiceTime) {
  if (this->InService > 0)
    --this->InService;
  if (this->SmoothedServiceTime == Duration::zero())
    this->SmoothedServiceTime = ServiceTime;
  else
    this->SmoothedServiceTime +=
        (ServiceTime - this->SmoothedServiceTime) / ServiceSmoothing;
}

Duration FairQueue::serviceTime() const { return this->SmoothedServiceTime; }

/// Counts the items of the same class that are served before a new item of
/// \p Workspace, and the items of other classes that are served in between.
Duration FairQueue::expectedWait(const std::string &Workspace,
                                 QueueClass Wanted) const {
  const QueuePlace Place = this->Discipline->placeOf(Workspace, Wanted);
  const QueueClass Class = Place.Class;
  std::size_t Ahead = this->aheadInClass(Place);
  const std::size_t Urgent = this->waitingIn(QueueClass::Urgent);
  const std::size_t Standard = this->waitingIn(QueueClass::Standard);
  const std::size_t Lookup = this->waitingIn(QueueClass::Lookup);
  if (Class == QueueClass::Urgent) {
    Ahead += std::min(Standard + Lookup, Ahead / MaxConsecutiveUrgent);
  } else {
    Ahead +=
        std::min(Class == QueueClass::Standard ? Lookup : Standard, Ahead + 1);
    Ahead += std::min(Urgent, MaxConsecutiveUrgent * (Ahead + 1));
  }
  if (Ahead == 0 && this->InService < this->Slots)
    return Duration::zero();
  return this->SmoothedServiceTime * static_cast<std::int64_t>(Ahead + 1) /
         static_cast<std::int64_t>(this->Slots);
}

std::size_t FairQueue::size() const {
  return std::accumulate(this->Classes.begin(), this->Classes.end(),
                         std::size_t{0},
                         [](std::size_t Sum, const ClassQueue &Queue) {
                           return Sum + Queue.Size;
                         });
}

WorkspaceQueueStatistics
FairQueue::statistics(const std::string &Workspace) const {
  const auto Place = this->Workspaces.find(Workspace);
  return Place == this->Workspaces.end() ? WorkspaceQueueStatistics{}
                                         : Place->second.Statistics;
}

std::optional<QueueClass> FairQueue::nextClass() const {
  const bool Standard = this->waitingIn(QueueClass::Standard) > 0;
  const bool Lookup = this->waitingIn(QueueClass::Lookup) > 0;
  const bool OtherClassesDue =
      (Standard || Lookup) && this->ConsecutiveUrgent >= MaxConsecutiveUrgent;
  if (this->waitingIn(QueueClass::Urgent) > 0 && !OtherClassesDue)
    return QueueClass::Urgent;
  if (Standard && !(Lookup && this->LookupNext))
    return QueueClass::Standard;
  if (Lookup)
    return QueueClass::Lookup;
  return std::nullopt;
}

void FairQueue::recordServed(QueueClass Class) {
  if (Class == QueueClass::Urgent) {
    ++this->ConsecutiveUrgent;
    return;
  }
  this->ConsecutiveUrgent = 0;
  this->LookupNext = Class == QueueClass::Standard;
}

FairQueue::Waiting FairQueue::takeFront(QueueClass Class) {
  ClassQueue &Queue = this->Classes[indexOf(Class)];
  const std::string Name = Queue.ActiveFlows.front();
  Flow &Items = Queue.Flows[Name];
  if (Items.Deficit == 0)
    Items.Deficit = this->weightOf(Name);
  Waiting Item = std::move(Items.Items.front());
  Items.Items.pop_front();
  --Items.Deficit;
  --Queue.Size;
  if (Items.Items.empty()) {
    dropFlow(Queue, Name);
  } else if (Items.Deficit == 0) {
    Queue.ActiveFlows.pop_front();
    Queue.ActiveFlows.push_back(Name);
  }
  this->QueuedItems.erase(Item.Id);
  --this->Workspaces[Item.Workspace].Statistics.Waiting;
  return Item;
}

void FairQueue::dropFlow(ClassQueue &Queue, const std::string &Name) {
  std::erase(Queue.ActiveFlows, Name);
  Queue.Flows.erase(Name);
}

std::size_t FairQueue::aheadInClass(const QueuePlace &Place) const {
  const ClassQueue &Queue = this->Classes[indexOf(Place.Class)];
  const auto Own = Queue.Flows.find(Place.Flow);
  const std::size_t OwnItems =
      Own == Queue.Flows.end() ? 0 : Own->second.Items.size();
  const std::size_t Rounds = OwnItems / this->weightOf(Place.Flow) + 1;
  std::size_t Ahead = OwnItems;
  for (const auto &[Other, Items] : Queue.Flows)
    if (Other != Place.Flow)
      Ahead += std::min(Items.Items.size(), Rounds * this->weightOf(Other));
  return Ahead;
}

std::size_t FairQueue::waitingIn(QueueClass Class) const {
  return this->Classes[indexOf(Class)].Size;
}

std::uint32_t FairQueue::weightOf(const std::string &Workspace) const {
  const auto Place = this->Workspaces.find(Workspace);
  return Place == this->Workspaces.end() ? 1 : Place->second.Limits.Weight;
}

/// Returns whether an item can finish before its deadline. If the smoothed
/// service time exceeds all deadlines and no item is in service, no measurement
/// would ever correct it; therefore each refusal then reduces it.
bool FairQueue::canFinishInTime(TimePoint Now, Duration Wait,
                                TimePoint Deadline) {
  if (Now + Wait + this->SmoothedServiceTime < Deadline)
    return true;
  if (this->InService == 0)
    this->SmoothedServiceTime -= this->SmoothedServiceTime / ServiceSmoothing;
  return false;
}

} // namespace lavenderdale
