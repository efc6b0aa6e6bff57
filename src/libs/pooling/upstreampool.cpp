#include "upstreampool.h"

#include "base/softassert.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lavenderdale {

void UpstreamPool::setCapacity(std::size_t Guaranteed, std::size_t Max) {
  this->Guaranteed = Guaranteed;
  this->Max = std::max<std::size_t>({Max, Guaranteed, 1});
}

void UpstreamPool::enqueue(PoolWaiter Waiter, TimePoint Now) {
  this->Waiting.push_back({std::move(Waiter), Now});
}

bool UpstreamPool::cancel(WaiterId Waiter) {
  const auto Found = std::find_if(
      this->Waiting.begin(), this->Waiting.end(),
      [Waiter](const Queued &Each) { return Each.Waiter.Id == Waiter; });
  if (Found == this->Waiting.end())
    return false;
  this->Waiting.erase(Found);
  return true;
}

std::vector<UpstreamPoolAction> UpstreamPool::decide(TimePoint Now) {
  std::vector<UpstreamPoolAction> Actions;
  this->refuseExpired(Now, Actions);
  this->sortQueue(Now);
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
  this->Connections[Connection] = {Workspace, false, false, Now};
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
}

void UpstreamPool::closed(ConnectionId Connection) {
  this->Connections.erase(Connection);
}

void UpstreamPool::pinned(ConnectionId Connection) {
  const auto Found = this->Connections.find(Connection);
  if (softAssert(Found != this->Connections.end(),
                 "a pinned connection is known"))
    Found->second.Pinned = true;
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
  if (this->Connections.size() > this->Guaranteed)
    for (const auto &[Id, Each] : this->Connections)
      if (!Each.Assigned)
        Consider(Each.IdleSince + SurplusIdleTimeout);
  return Next;
}

void UpstreamPool::refuseExpired(TimePoint Now,
                                 std::vector<UpstreamPoolAction> &Actions) {
  const bool All = std::exchange(this->RefuseAll, false);
  std::erase_if(this->Waiting, [&](const Queued &Each) {
    if (!All && Now < Each.Waiter.GiveUpAt)
      return false;
    Actions.push_back(
        {UpstreamPoolAction::Kind::Refuse, Each.Waiter.Id, 0, {}});
    return true;
  });
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
    const std::optional<ConnectionId> Idle =
        this->idleOf(Each.Waiter.Workspace);
    if (!Idle)
      return false;
    this->Connections[*Idle].Assigned = true;
    this->Connections[*Idle].IdleSince = Now;
    Actions.push_back({UpstreamPoolAction::Kind::Assign, Each.Waiter.Id, *Idle,
                       Each.Waiter.Workspace});
    return true;
  });
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
    const std::size_t Allowed =
        Now < this->SurplusNotBefore
            ? std::max<std::size_t>(std::min(this->Guaranteed, this->Permitted),
                                    1)
            : this->Max;
    const bool Full = Now < this->LimitedUntil ||
                      this->Connections.size() + this->Opening >= Allowed;
    if (this->hasRunningStatement(Workspace) &&
        Now < Each.QueuedAt + EvictionDelay)
      continue;
    if (Full) {
      const std::optional<ConnectionId> Victim = this->longestIdle();
      if (!Victim)
        return;
      this->Connections.erase(*Victim);
      Actions.push_back({UpstreamPoolAction::Kind::Close, 0, *Victim, {}});
    }
    ++this->Opening;
    ++this->OpeningFor[Workspace];
    Actions.push_back({UpstreamPoolAction::Kind::Open, 0, 0, Workspace});
  }
}

void UpstreamPool::closeSurplus(TimePoint Now,
                                std::vector<UpstreamPoolAction> &Actions) {
  while (this->Connections.size() > this->Guaranteed) {
    const std::optional<ConnectionId> Victim = this->longestIdle();
    if (!Victim ||
        Now < this->Connections[*Victim].IdleSince + SurplusIdleTimeout)
      return;
    this->Connections.erase(*Victim);
    Actions.push_back({UpstreamPoolAction::Kind::Close, 0, *Victim, {}});
  }
}

std::optional<ConnectionId>
UpstreamPool::idleOf(const std::string &Workspace) const {
  for (const auto &[Id, Each] : this->Connections)
    if (!Each.Assigned && Each.Workspace == Workspace)
      return Id;
  return std::nullopt;
}

// Returns the connection that has been idle for longest. No waiter needs its
// workspace, otherwise it would have been assigned.
std::optional<ConnectionId> UpstreamPool::longestIdle() const {
  std::optional<ConnectionId> Oldest;
  TimePoint OldestSince{};
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.Assigned || (Oldest && Each.IdleSince >= OldestSince))
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
