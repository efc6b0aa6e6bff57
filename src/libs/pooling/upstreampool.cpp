#include "upstreampool.h"

#include "base/softassert.h"

#include <algorithm>
#include <tuple>

namespace lavenderdale {

void UpstreamPool::setCapacity(std::size_t Guaranteed, std::size_t Most) {
  this->Guaranteed = Guaranteed;
  this->Most = std::max<std::size_t>({Most, Guaranteed, 1});
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

std::vector<PoolAction> UpstreamPool::decide(TimePoint Now) {
  std::vector<PoolAction> Actions;
  this->refuseExpired(Now, Actions);
  this->sortQueue(Now);
  this->assignIdle(Now, Actions);
  this->openForWaiters(Now, Actions);
  this->closeSurplus(Now, Actions);
  return Actions;
}

void UpstreamPool::opened(ConnectionId Connection, const std::string &Workspace,
                          TimePoint Now) {
  this->endOpening(Workspace);
  this->RetryPause = {};
  this->NextLimitPause = LimitPause;
  this->Connections[Connection] = {Workspace, false, false, Now};
}

void UpstreamPool::openFailed(const std::string &Workspace, bool AtLimit,
                              TimePoint Now) {
  this->endOpening(Workspace);
  if (AtLimit) {
    this->NoOpenBefore = Now + this->NextLimitPause;
    this->NextLimitPause =
        std::min<Duration>(this->NextLimitPause * 2, LastLimitPause);
    this->NoSurplusBefore = Now + LimitMemory;
    return;
  }
  this->RetryPause =
      this->RetryPause == Duration{}
          ? Duration(FirstRetryPause)
          : std::min<Duration>(this->RetryPause * 2, LastRetryPause);
  this->NoOpenBefore = Now + this->RetryPause;
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
    Consider(Each.Waiter.GiveUp);
    Consider(std::max(Each.Since + EvictAfter, this->NoOpenBefore));
  }
  if (this->Connections.size() > this->Guaranteed)
    for (const auto &[Id, Each] : this->Connections)
      if (!Each.Assigned)
        Consider(Each.IdleSince + SurplusIdle);
  return Next;
}

void UpstreamPool::refuseExpired(TimePoint Now,
                                 std::vector<PoolAction> &Actions) {
  std::erase_if(this->Waiting, [&](const Queued &Each) {
    if (Now < Each.Waiter.GiveUp)
      return false;
    Actions.push_back({PoolAction::Kind::Refuse, Each.Waiter.Id, 0, {}});
    return true;
  });
}

// Most urgent first. Of equal priority, those that can still meet their
// objective go before those that cannot, so that a backlog does not make
// every statement late.
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

void UpstreamPool::assignIdle(TimePoint Now, std::vector<PoolAction> &Actions) {
  std::erase_if(this->Waiting, [&](const Queued &Each) {
    const std::optional<ConnectionId> Idle =
        this->idleOf(Each.Waiter.Workspace);
    if (!Idle)
      return false;
    this->Connections[*Idle].Assigned = true;
    this->Connections[*Idle].IdleSince = Now;
    Actions.push_back({PoolAction::Kind::Assign, Each.Waiter.Id, *Idle,
                       Each.Waiter.Workspace});
    return true;
  });
}

void UpstreamPool::openForWaiters(TimePoint Now,
                                  std::vector<PoolAction> &Actions) {
  if (Now < this->NoOpenBefore)
    return;
  std::map<std::string, std::size_t> Wanted;
  for (const Queued &Each : this->Waiting) {
    if (this->Opening >= MaxOpening)
      return;
    const std::string &Workspace = Each.Waiter.Workspace;
    // A connection that is being opened serves one waiter.
    if (++Wanted[Workspace] <= this->openingFor(Workspace))
      continue;
    const std::size_t Allowed = Now < this->NoSurplusBefore
                                    ? std::max<std::size_t>(this->Guaranteed, 1)
                                    : this->Most;
    const bool Full = this->Connections.size() + this->Opening >= Allowed;
    if (this->endsSoon(Workspace) && Now < Each.Since + EvictAfter)
      continue;
    if (Full) {
      const std::optional<ConnectionId> Victim = this->leastUsefulIdle();
      if (!Victim)
        return;
      this->Connections.erase(*Victim);
      Actions.push_back({PoolAction::Kind::Close, 0, *Victim, {}});
    }
    ++this->Opening;
    ++this->OpeningFor[Workspace];
    Actions.push_back({PoolAction::Kind::Open, 0, 0, Workspace});
  }
}

void UpstreamPool::closeSurplus(TimePoint Now,
                                std::vector<PoolAction> &Actions) {
  while (this->Connections.size() > this->Guaranteed) {
    const std::optional<ConnectionId> Victim = this->leastUsefulIdle();
    if (!Victim || Now < this->Connections[*Victim].IdleSince + SurplusIdle)
      return;
    this->Connections.erase(*Victim);
    Actions.push_back({PoolAction::Kind::Close, 0, *Victim, {}});
  }
}

std::optional<ConnectionId>
UpstreamPool::idleOf(const std::string &Workspace) const {
  for (const auto &[Id, Each] : this->Connections)
    if (!Each.Assigned && Each.Workspace == Workspace)
      return Id;
  return std::nullopt;
}

// The connection idle for longest; nobody waits for its workspace, else it
// would be assigned.
std::optional<ConnectionId> UpstreamPool::leastUsefulIdle() const {
  std::optional<ConnectionId> Oldest;
  TimePoint Since{};
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.Assigned || (Oldest && Each.IdleSince >= Since))
      continue;
    Oldest = Id;
    Since = Each.IdleSince;
  }
  return Oldest;
}

bool UpstreamPool::endsSoon(const std::string &Workspace) const {
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

void UpstreamPool::endOpening(const std::string &Workspace) {
  const auto Found = this->OpeningFor.find(Workspace);
  if (!softAssert(Found != this->OpeningFor.end(),
                  "a connection was being opened for the workspace"))
    return;
  --this->Opening;
  if (--Found->second == 0)
    this->OpeningFor.erase(Found);
}

} // namespace lavenderdale
