#include "upstreampool.h"

#include "base/softassert.h"
#include "concurrencylimit.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace lavenderdale {

void UpstreamPool::setCapacity(std::size_t Guaranteed, std::size_t Max) {
  this->Guaranteed = Guaranteed;
  this->Max = std::max<std::size_t>({Max, Guaranteed, 1});
}

void UpstreamPool::enqueue(PoolWaiter Waiter, TimePoint Now) {
  if (!this->Concurrency)
    this->Waiting.push_back({std::move(Waiter), Now});
  else if (!Waiter.TakesSlot)
    this->Commands.push_back({std::move(Waiter), Now});
  else
    this->enqueueWithinLimit(Waiter, Now);
}

void UpstreamPool::enqueueWithinLimit(const PoolWaiter &Waiter, TimePoint Now) {
  const std::optional<Duration> Wait = this->expectedWait(Waiter, Now);
  if (Wait && Now + *Wait > Waiter.GiveUpAt) {
    this->refuse(Waiter.Id, Now + *Wait - Waiter.GiveUpAt);
    return;
  }
  const std::optional<WorkQueue::Item> Displaced = this->Queue.enqueue(
      {Waiter.Id, Waiter.Workspace, Waiter.Priority, Waiter.Rate, Waiter.Target,
       Waiter.GiveUpAt, Now, std::nullopt});
  if (Displaced)
    this->refuse(Displaced->Id,
                 std::max<Duration>(Wait.value_or(Duration{}), FullQueuePause));
}

void UpstreamPool::refuse(WaiterId Waiter, Duration RetryAfter) {
  this->Refusals.push_back(
      {UpstreamPoolAction::Kind::Refuse, Waiter, 0, {}, RetryAfter});
}

std::optional<Duration> UpstreamPool::expectedWait(const PoolWaiter &Waiter,
                                                   TimePoint Now) const {
  if (!this->Concurrency || !this->ServiceTime)
    return std::nullopt;
  const std::optional<Duration> PerTurn =
      this->Queue.timePerTurn(Waiter.Priority, Now);
  const auto WaitBehind = [&](bool Late) {
    const std::size_t Ahead =
        this->Queue.ahead(Waiter.Workspace, Waiter.Priority, Waiter.Rate, Late);
    const Duration Wait = ConcurrencyLimit::waitFor(
        this->Held.size() + Ahead, this->Running + this->Opening,
        *this->Concurrency, *this->ServiceTime);
    if (!PerTurn)
      return Wait;
    const std::size_t Same = this->Queue.aheadWithin(
        Waiter.Workspace, Waiter.Priority, Waiter.Rate, Late);
    return std::max(Wait, *PerTurn * static_cast<std::int64_t>(Same));
  };
  const Duration Wait = WaitBehind(false);
  // What becomes late while it waits is served after all that is in time.
  return Now + Wait + *this->ServiceTime <= Waiter.Target ? Wait
                                                          : WaitBehind(true);
}

void UpstreamPool::enqueueHeld(WaiterId Waiter, ConnectionId Held,
                               TimePoint Until) {
  this->Held.push_back({Waiter, Held, Until});
}

bool UpstreamPool::cancel(WaiterId Waiter) {
  const auto Queues = [Waiter](const Queued &Each) {
    return Each.Waiter.Id == Waiter;
  };
  const auto Holds = [Waiter](const HeldWaiter &Each) {
    return Each.Waiter == Waiter;
  };
  return std::erase_if(this->Waiting, Queues) > 0 ||
         std::erase_if(this->Commands, Queues) > 0 ||
         std::erase_if(this->Held, Holds) > 0 || this->Queue.cancel(Waiter);
}

std::vector<UpstreamPoolAction> UpstreamPool::decide(TimePoint Now) {
  std::vector<UpstreamPoolAction> Actions = std::exchange(this->Refusals, {});
  this->refuseExpired(Now, Actions);
  this->sortQueue(Now);
  this->resumeHeld(Now, Actions);
  this->dispatchCommands(Now, Actions);
  this->dispatchWithinLimit(Now, Actions);
  this->assignIdle(Now, Actions);
  this->openForWaiters(Now, Actions);
  this->closeSurplus(Now, Actions);
  return Actions;
}

void UpstreamPool::opened(ConnectionId Connection, const std::string &Workspace,
                          TimePoint Now) {
  this->finishOpening(Workspace);
  this->RetryBackoff = {};
  this->NextLimitBackoff = InitialLimitBackoff;
  this->Connections[Connection] = {Workspace, false, false, Now, std::nullopt};
  // There is room again, perhaps for more.
  this->Permitted = std::max(this->Permitted, this->Connections.size() + 1);
}

void UpstreamPool::openFailed(const std::string &Workspace, bool AtLimit,
                              TimePoint Now) {
  this->finishOpening(Workspace);
  if (AtLimit) {
    this->LimitedUntil = Now + this->NextLimitBackoff;
    this->Permitted = this->Connections.size() + this->Opening;
    this->NextLimitBackoff =
        std::min<Duration>(this->NextLimitBackoff * 2, MaxLimitBackoff);
    this->SurplusNotBefore = Now + LimitHoldTime;
    return;
  }
  this->RetryBackoff =
      this->RetryBackoff == Duration{}
          ? Duration(InitialRetryBackoff)
          : std::min<Duration>(this->RetryBackoff * 2, MaxRetryBackoff);
  this->OpenNotBefore = Now + this->RetryBackoff;
  this->RefuseAll = this->Connections.empty() && this->Opening == 0;
}

void UpstreamPool::released(ConnectionId Connection, TimePoint Now) {
  const auto Found = this->Connections.find(Connection);
  if (!softAssert(Found != this->Connections.end(),
                  "a released connection is known"))
    return;
  Found->second.Assigned = false;
  Found->second.Pinned = false;
  Found->second.IdleSince = Now;
  this->markEnded(Found->second);
}

void UpstreamPool::closed(ConnectionId Connection) {
  const auto Found = this->Connections.find(Connection);
  if (Found == this->Connections.end())
    return;
  this->markEnded(Found->second);
  this->Connections.erase(Found);
}

void UpstreamPool::pinned(ConnectionId Connection) {
  const auto Found = this->Connections.find(Connection);
  if (softAssert(Found != this->Connections.end(),
                 "a pinned connection is known"))
    Found->second.Pinned = true;
}

void UpstreamPool::started(ConnectionId Connection, TimePoint Now) {
  const auto Found = this->Connections.find(Connection);
  if (softAssert(Found != this->Connections.end(),
                 "a connection with a statement is known"))
    this->markRunning(Found->second, Now);
}

std::optional<Duration> UpstreamPool::ended(ConnectionId Connection,
                                            TimePoint Now) {
  const auto Found = this->Connections.find(Connection);
  if (Found == this->Connections.end() || !Found->second.RunningSince)
    return std::nullopt;
  const Duration Ran = Now - *Found->second.RunningSince;
  this->markEnded(Found->second);
  return Ran;
}

bool UpstreamPool::isRunning(ConnectionId Connection) const {
  const auto Found = this->Connections.find(Connection);
  return Found != this->Connections.end() &&
         Found->second.RunningSince.has_value();
}

void UpstreamPool::markRunning(Connection &Each, TimePoint Now) {
  if (!Each.RunningSince)
    ++this->Running;
  Each.RunningSince = Now;
}

void UpstreamPool::markEnded(Connection &Each) {
  if (!Each.RunningSince)
    return;
  Each.RunningSince.reset();
  --this->Running;
}

// A handshake takes a slot, like a statement.
std::size_t UpstreamPool::freeSlots() const {
  const std::size_t Used = this->Running + this->Opening;
  if (!this->Concurrency)
    return std::numeric_limits<std::size_t>::max();
  return *this->Concurrency > Used ? *this->Concurrency - Used : 0;
}

std::optional<ConnectionId> UpstreamPool::borrowIdle() {
  for (auto &[Id, Each] : this->Connections) {
    if (Each.Assigned)
      continue;
    Each.Assigned = true;
    return Id;
  }
  return std::nullopt;
}

bool UpstreamPool::hasIdle(const std::string &Workspace) const {
  return this->idleOf(Workspace).has_value();
}

std::size_t UpstreamPool::assigned() const {
  return static_cast<std::size_t>(
      std::count_if(this->Connections.begin(), this->Connections.end(),
                    [](const auto &Each) { return Each.second.Assigned; }));
}

std::optional<TimePoint> UpstreamPool::nextDecision(TimePoint Now) const {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next, Now](TimePoint Time) {
    if (Time > Now && (!Next || Time < *Next))
      Next = Time;
  };
  for (const Queued &Each : this->Waiting) {
    Consider(Each.Waiter.GiveUpAt);
    Consider(std::max({Each.QueuedAt + EvictionDelay, this->OpenNotBefore,
                       this->LimitedUntil}));
  }
  for (const Queued &Each : this->Commands) {
    Consider(Each.Waiter.GiveUpAt);
    Consider(std::max({Each.QueuedAt + EvictionDelay, this->OpenNotBefore,
                       this->LimitedUntil}));
  }
  for (const HeldWaiter &Each : this->Held)
    Consider(Each.Until);
  if (const std::optional<TimePoint> GiveUp = this->Queue.nextGiveUp()) {
    Consider(*GiveUp);
    if (this->freeSlots() > 0)
      this->Queue.forEach([&](const WorkQueue::Item &Each) {
        if (Each.PassedOverAt)
          Consider(std::max({*Each.PassedOverAt + EvictionDelay,
                             this->OpenNotBefore, this->LimitedUntil}));
      });
  }
  if (this->Connections.size() > this->Guaranteed)
    for (const auto &[Id, Each] : this->Connections)
      if (!Each.Assigned)
        Consider(Each.IdleSince + SurplusIdleTimeout);
  return Next;
}

void UpstreamPool::refuseExpired(TimePoint Now,
                                 std::vector<UpstreamPoolAction> &Actions) {
  const bool All = std::exchange(this->RefuseAll, false);
  const auto Refuse = [&](const Queued &Each) {
    if (!All && Now < Each.Waiter.GiveUpAt)
      return false;
    Actions.push_back(
        {UpstreamPoolAction::Kind::Refuse, Each.Waiter.Id, 0, {}, {}});
    return true;
  };
  std::erase_if(this->Waiting, Refuse);
  std::erase_if(this->Commands, Refuse);
  for (const WorkQueue::Item &Each :
       this->Queue.takeExpired(All ? TimePoint::max() : Now))
    Actions.push_back({UpstreamPoolAction::Kind::Refuse, Each.Id, 0, {}, {}});
}

// Sorts by priority, most urgent first. Within a priority, waiters that can
// still meet their latency objective go before those that cannot, so that a
// backlog does not make every statement late.
void UpstreamPool::sortQueue(TimePoint Now) {
  std::stable_sort(this->Waiting.begin(), this->Waiting.end(),
                   [Now](const Queued &A, const Queued &B) {
                     const auto Rank = [Now](const Queued &Each) {
                       return std::tuple(Each.Waiter.Priority,
                                         Each.Waiter.Target < Now,
                                         Each.Waiter.Target);
                     };
                     return Rank(A) < Rank(B);
                   });
}

void UpstreamPool::assignIdle(TimePoint Now,
                              std::vector<UpstreamPoolAction> &Actions) {
  std::erase_if(this->Waiting, [&](const Queued &Each) {
    return this->assignIdleTo(Each.Waiter, Now, Actions);
  });
}

bool UpstreamPool::assignIdleTo(const PoolWaiter &Waiter, TimePoint Now,
                                std::vector<UpstreamPoolAction> &Actions) {
  const std::optional<ConnectionId> Idle = this->idleOf(Waiter.Workspace);
  if (!Idle)
    return false;
  Connection &Chosen = this->Connections[*Idle];
  Chosen.Assigned = true;
  Chosen.IdleSince = Now;
  if (Waiter.TakesSlot)
    this->markRunning(Chosen, Now);
  Actions.push_back({UpstreamPoolAction::Kind::Assign,
                     Waiter.Id,
                     *Idle,
                     Waiter.Workspace,
                     {}});
  return true;
}

void UpstreamPool::resumeHeld(TimePoint Now,
                              std::vector<UpstreamPoolAction> &Actions) {
  std::erase_if(this->Held, [&](const HeldWaiter &Each) {
    if (this->freeSlots() == 0 && Now < Each.Until)
      return false;
    const auto Found = this->Connections.find(Each.Connection);
    if (Found != this->Connections.end())
      this->markRunning(Found->second, Now);
    Actions.push_back(
        {UpstreamPoolAction::Kind::Assign, Each.Waiter, Each.Connection, {}});
    return true;
  });
}

// Commands of the proxy itself wait for a connection, but not for a slot. One
// handshake at a time may exceed the limit for them, so that a busy primary can
// still be probed.
void UpstreamPool::dispatchCommands(TimePoint Now,
                                    std::vector<UpstreamPoolAction> &Actions) {
  std::erase_if(this->Commands, [&](const Queued &Each) {
    return this->assignIdleTo(Each.Waiter, Now, Actions);
  });
  for (const Queued &Each : this->Commands) {
    const std::string &Workspace = Each.Waiter.Workspace;
    if (!this->canOpen(Now) || (this->freeSlots() == 0 && this->Opening > 0))
      return;
    const bool Awaited = this->openingFor(Workspace) > 0 ||
                         (this->hasRunningStatement(Workspace) &&
                          Now < Each.QueuedAt + EvictionDelay);
    if (Awaited)
      continue;
    if (!this->makeRoomToOpen(Now, Actions))
      return;
    this->startOpening(Workspace, Actions);
  }
}

// Connections are assigned and opened in one pass in the order of the queue, so
// that a waiter without a connection is not passed over forever by those that
// have one.
void UpstreamPool::dispatchWithinLimit(
    TimePoint Now, std::vector<UpstreamPoolAction> &Actions) {
  const auto Serve = [&](WorkQueue::Item &Next) {
    return this->serveWithinLimit(Next, Now, Actions);
  };
  while (this->freeSlots() > 0 &&
         this->Queue.take(Now, this->ServiceTime.value_or(Duration{}), Serve)) {
  }
}

// Assigns a connection to \p Next, or opens one for it if a slot is free.
// \returns whether it was assigned one.
bool UpstreamPool::serveWithinLimit(WorkQueue::Item &Next, TimePoint Now,
                                    std::vector<UpstreamPoolAction> &Actions) {
  if (this->freeSlots() == 0)
    return false;
  PoolWaiter Waiter;
  Waiter.Id = Next.Id;
  Waiter.Workspace = Next.Workspace;
  if (this->assignIdleTo(Waiter, Now, Actions))
    return true;
  if (!Next.PassedOverAt)
    Next.PassedOverAt = Now;
  const bool Awaited = this->openingFor(Next.Workspace) > 0 ||
                       (this->hasRunningStatement(Next.Workspace) &&
                        Now < *Next.PassedOverAt + EvictionDelay);
  if (!Awaited && this->canOpen(Now) && this->makeRoomToOpen(Now, Actions))
    this->startOpening(Next.Workspace, Actions);
  return false;
}

bool UpstreamPool::canOpen(TimePoint Now) const {
  return Now >= this->OpenNotBefore && this->Opening < MaxOpening;
}

std::size_t UpstreamPool::allowedConnections(TimePoint Now) const {
  return Now < this->SurplusNotBefore
             ? std::max<std::size_t>(
                   std::min(this->Guaranteed, this->Permitted), 1)
             : this->Max;
}

// \returns whether a connection may be opened now, if necessary in the place of
//          an idle one.
bool UpstreamPool::makeRoomToOpen(TimePoint Now,
                                  std::vector<UpstreamPoolAction> &Actions) {
  if (Now >= this->LimitedUntil &&
      this->Connections.size() + this->Opening < this->allowedConnections(Now))
    return true;
  std::optional<ConnectionId> Victim =
      this->longestIdle(this->Concurrency.has_value());
  if (!Victim)
    Victim = this->longestIdle(false);
  if (!Victim)
    return false;
  this->Connections.erase(*Victim);
  Actions.push_back({UpstreamPoolAction::Kind::Close, 0, *Victim, {}, {}});
  return true;
}

void UpstreamPool::startOpening(const std::string &Workspace,
                                std::vector<UpstreamPoolAction> &Actions) {
  ++this->Opening;
  ++this->OpeningFor[Workspace];
  Actions.push_back({UpstreamPoolAction::Kind::Open, 0, 0, Workspace, {}});
}

void UpstreamPool::openForWaiters(TimePoint Now,
                                  std::vector<UpstreamPoolAction> &Actions) {
  if (Now < this->OpenNotBefore)
    return;
  std::map<std::string, std::size_t> Wanted;
  for (const Queued &Each : this->Waiting) {
    if (this->Opening >= MaxOpening)
      return;
    const std::string &Workspace = Each.Waiter.Workspace;
    // Each connection that is being opened will serve one waiter.
    if (++Wanted[Workspace] <= this->openingFor(Workspace))
      continue;
    if (this->hasRunningStatement(Workspace) &&
        Now < Each.QueuedAt + EvictionDelay)
      continue;
    if (!this->makeRoomToOpen(Now, Actions))
      return;
    this->startOpening(Workspace, Actions);
  }
}

void UpstreamPool::closeSurplus(TimePoint Now,
                                std::vector<UpstreamPoolAction> &Actions) {
  while (this->Connections.size() > this->Guaranteed) {
    const std::optional<ConnectionId> Victim =
        this->longestIdle(this->Concurrency.has_value());
    if (!Victim ||
        Now < this->Connections[*Victim].IdleSince + SurplusIdleTimeout)
      return;
    this->Connections.erase(*Victim);
    Actions.push_back({UpstreamPoolAction::Kind::Close, 0, *Victim, {}, {}});
  }
}

std::optional<ConnectionId>
UpstreamPool::idleOf(const std::string &Workspace) const {
  for (const auto &[Id, Each] : this->Connections)
    if (!Each.Assigned && Each.Workspace == Workspace)
      return Id;
  return std::nullopt;
}

// Returns the connection that has been idle for longest. Without a limit of
// concurrency, no waiter needs its workspace, otherwise it would have been
// assigned.
// \param SkipWanted leave out connections of workspaces with waiters.
std::optional<ConnectionId> UpstreamPool::longestIdle(bool SkipWanted) const {
  std::set<std::string_view> Wanted;
  if (SkipWanted)
    this->Queue.forEach([&Wanted](const WorkQueue::Item &Each) {
      Wanted.insert(Each.Workspace);
    });
  std::optional<ConnectionId> Oldest;
  TimePoint OldestSince{};
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.Assigned || (Oldest && Each.IdleSince >= OldestSince) ||
        Wanted.contains(Each.Workspace))
      continue;
    Oldest = Id;
    OldestSince = Each.IdleSince;
  }
  return Oldest;
}

bool UpstreamPool::hasRunningStatement(const std::string &Workspace) const {
  return std::any_of(this->Connections.begin(), this->Connections.end(),
                     [&Workspace](const auto &Each) {
                       return Each.second.Assigned && !Each.second.Pinned &&
                              Each.second.Workspace == Workspace;
                     });
}

std::size_t UpstreamPool::openingFor(const std::string &Workspace) const {
  const auto Found = this->OpeningFor.find(Workspace);
  return Found == this->OpeningFor.end() ? 0 : Found->second;
}

void UpstreamPool::finishOpening(const std::string &Workspace) {
  const auto Found = this->OpeningFor.find(Workspace);
  if (!softAssert(Found != this->OpeningFor.end(),
                  "a connection was being opened for the workspace"))
    return;
  --this->Opening;
  if (--Found->second == 0)
    this->OpeningFor.erase(Found);
}

} // namespace lavenderdale
