#include "connectionpool.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using enum ConnectionState;

/// Doublings after which the pause no longer grows; avoids an overflow.
constexpr std::uint32_t MostDoublings = 16;

} // namespace

ConnectionPool::ConnectionPool(PoolLimits Limits, PoolTimes Times)
    : Limits(Limits), Times(Times) {}

void ConnectionPool::setLimits(PoolLimits NewLimits) {
  this->Limits = NewLimits;
}

std::vector<PoolAction> ConnectionPool::poll(TimePoint Now, Generator &Random) {
  std::vector<PoolAction> Actions;
  this->breakOverdue(Now, Random);
  this->breakSurplus();
  this->closeBroken(Actions);
  this->check(Now, Actions);
  while (this->opensMore() && Now >= this->OpenNotBefore) {
    const ConnectionId Id = ++this->LastId;
    this->Connections[Id].Deadline = Now + this->Times.OpenDeadline;
    Actions.push_back({PoolActionKind::Open, Id});
  }
  return Actions;
}

TimePoint ConnectionPool::nextPoll() const {
  TimePoint Next = this->opensMore() ? this->OpenNotBefore : TimePoint::max();
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.State == Broken || Each.ResetDue ||
        (this->Leaving && Each.State == Idle))
      return TimePoint::min();
    Next = std::min(Next, Each.Deadline);
    if (Each.StatementRunning)
      Next = std::min(Next, Each.StatementDeadline);
  }
  return Next;
}

bool ConnectionPool::opened(ConnectionId Id, TimePoint Now) {
  Connection *Opened = this->find(Id, Opening);
  if (Opened == nullptr)
    return false;
  this->FailuresInRow = 0;
  this->toIdle(*Opened, Now);
  return true;
}

void ConnectionPool::openFailed(ConnectionId Id, OpenFailure Failure,
                                TimePoint Now, Generator &Random) {
  if (this->find(Id, Opening) == nullptr)
    return;
  this->Connections.erase(Id);
  // The database is reachable and full. Asking it often would take the
  // connections that others give back, so the pause starts in the middle.
  if (Failure == OpenFailure::LimitReached)
    this->FailuresInRow = std::max(this->FailuresInRow, 2U);
  this->openingFailed(Now, Random);
}

void ConnectionPool::checked(ConnectionId Id, bool Answered, TimePoint Now) {
  Connection *Checked = this->find(Id, Checking);
  if (Checked == nullptr)
    return;
  if (Answered && Now < Checked->Deadline)
    this->toIdle(*Checked, Now);
  else
    Checked->State = Broken;
}

void ConnectionPool::broken(ConnectionId Id) {
  const auto Place = this->Connections.find(Id);
  if (Place != this->Connections.end())
    Place->second.State = Broken;
}

std::optional<ConnectionId> ConnectionPool::acquire(TimePoint Deadline) {
  if (!this->canAcquire())
    return std::nullopt;
  const std::optional<ConnectionId> Id = this->freshestIdle();
  Connection &Taken = this->Connections.at(*Id);
  Taken.State = Busy;
  Taken.Deadline = Deadline;
  return Id;
}

bool ConnectionPool::release(ConnectionId Id, ConnectionUse Use,
                             TimePoint Now) {
  Connection *Released = this->find(Id, Busy);
  if (Released == nullptr)
    return false;
  const bool InTime = Now < Released->Deadline;
  if (InTime && Use == ConnectionUse::Clean)
    this->toIdle(*Released, Now);
  else
    Released->State = Broken;
  return InTime;
}

std::optional<ConnectionId> ConnectionPool::pin(TimePoint TransactionDeadline) {
  if (this->Leaving || this->count(Pinned) >= this->Limits.Pinned)
    return std::nullopt;
  const std::optional<ConnectionId> Id = this->freshestIdle();
  if (!Id)
    return std::nullopt;
  Connection &Taken = this->Connections.at(*Id);
  Taken.State = Pinned;
  Taken.Deadline = TransactionDeadline;
  return Id;
}

bool ConnectionPool::beginStatement(ConnectionId Id, TimePoint Deadline) {
  Connection *Holder = this->find(Id, Pinned);
  if (Holder == nullptr || Holder->StatementRunning)
    return false;
  Holder->StatementRunning = true;
  Holder->StatementDeadline = std::min(Deadline, Holder->Deadline);
  return true;
}

bool ConnectionPool::endStatement(ConnectionId Id, TimePoint Now) {
  Connection *Holder = this->find(Id, Pinned);
  if (Holder == nullptr || !Holder->StatementRunning)
    return false;
  Holder->StatementRunning = false;
  if (Now < Holder->StatementDeadline)
    return true;
  Holder->State = Broken;
  return false;
}

bool ConnectionPool::unpin(ConnectionId Id, ConnectionUse Use, TimePoint Now) {
  Connection *Holder = this->find(Id, Pinned);
  if (Holder == nullptr)
    return false;
  if (Use == ConnectionUse::Tainted || Holder->StatementRunning) {
    Holder->State = Broken;
    return true;
  }
  Holder->State = Checking;
  Holder->ResetDue = true;
  Holder->Deadline = Now + this->Times.CheckDeadline;
  return true;
}

void ConnectionPool::setLeaving(bool IsLeaving) { this->Leaving = IsLeaving; }

bool ConnectionPool::drained() const {
  return this->Leaving && this->Connections.empty();
}

std::optional<ConnectionState> ConnectionPool::state(ConnectionId Id) const {
  const auto Place = this->Connections.find(Id);
  if (Place == this->Connections.end())
    return std::nullopt;
  return Place->second.State;
}

std::uint32_t ConnectionPool::count(ConnectionState State) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Connections.begin(), this->Connections.end(),
      [State](const auto &Item) { return Item.second.State == State; }));
}

std::uint32_t ConnectionPool::size() const {
  return static_cast<std::uint32_t>(this->Connections.size());
}

std::uint32_t ConnectionPool::inFlight() const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Connections.begin(), this->Connections.end(), [](const auto &Item) {
        return Item.second.State == Busy ||
               (Item.second.State == Pinned && Item.second.StatementRunning);
      }));
}

bool ConnectionPool::canAcquire() const {
  return !this->Leaving && this->inFlight() < this->Limits.InFlight &&
         this->freshestIdle().has_value();
}

ConnectionPool::Connection *ConnectionPool::find(ConnectionId Id,
                                                 ConnectionState State) {
  const auto Place = this->Connections.find(Id);
  if (Place == this->Connections.end() || Place->second.State != State)
    return nullptr;
  return &Place->second;
}

/// The connection that answered last is the least likely to be silent.
std::optional<ConnectionId> ConnectionPool::freshestIdle() const {
  std::optional<ConnectionId> Freshest;
  TimePoint Latest = TimePoint::min();
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.State != Idle || Each.Deadline < Latest)
      continue;
    Freshest = Id;
    Latest = Each.Deadline;
  }
  return Freshest;
}

void ConnectionPool::toIdle(Connection &Each, TimePoint Now) const {
  Each.State = Idle;
  Each.Deadline = Now + this->Times.CheckInterval;
}

/// The jitter keeps holders that failed together from trying together.
void ConnectionPool::openingFailed(TimePoint Now, Generator &Random) {
  const std::uint32_t Doublings = std::min(this->FailuresInRow, MostDoublings);
  ++this->FailuresInRow;
  const Duration Pause =
      std::min(this->Times.BackoffFirst * (std::int64_t{1} << Doublings),
               this->Times.BackoffMost);
  std::uniform_int_distribution<Duration::rep> Jitter(Pause.count() / 2,
                                                      Pause.count());
  this->OpenNotBefore = Now + Duration(Jitter(Random));
}

void ConnectionPool::breakOverdue(TimePoint Now, Generator &Random) {
  for (auto &[Id, Each] : this->Connections) {
    const bool Late = Each.Deadline <= Now ||
                      (Each.StatementRunning && Each.StatementDeadline <= Now);
    if (!Late || Each.State == Idle || Each.State == Broken)
      continue;
    if (Each.State == Opening)
      this->openingFailed(Now, Random);
    Each.State = Broken;
  }
}

/// Closes idle connections of a leaving upstream or above a lowered budget.
void ConnectionPool::breakSurplus() {
  std::uint32_t Kept = this->size() - this->count(Broken);
  for (auto &[Id, Each] : this->Connections) {
    if (Each.State != Idle || (!this->Leaving && Kept <= this->Limits.Budget))
      continue;
    Each.State = Broken;
    --Kept;
  }
}

void ConnectionPool::closeBroken(std::vector<PoolAction> &Actions) {
  std::erase_if(this->Connections, [&Actions](const auto &Item) {
    if (Item.second.State != Broken)
      return false;
    Actions.push_back({PoolActionKind::Close, Item.first});
    return true;
  });
}

/// At most half of the connections are checked at a time, so that checks do
/// not take all idle ones from the request path.
void ConnectionPool::check(TimePoint Now, std::vector<PoolAction> &Actions) {
  const std::uint32_t Most = (this->size() + 1) / 2;
  std::uint32_t Running = this->count(Checking);
  for (auto &[Id, Each] : this->Connections) {
    if (Each.ResetDue) {
      Each.ResetDue = false;
      Actions.push_back({PoolActionKind::Reset, Id});
      continue;
    }
    if (Each.State != Idle || Each.Deadline > Now || Running >= Most)
      continue;
    ++Running;
    Each.State = Checking;
    Each.Deadline = Now + this->Times.CheckDeadline;
    Actions.push_back({PoolActionKind::Check, Id});
  }
}

bool ConnectionPool::opensMore() const {
  const std::uint32_t Opens = this->count(Opening);
  return !this->Leaving && this->size() < this->Limits.Budget &&
         Opens < this->Limits.Opening &&
         this->count(Idle) + this->count(Checking) + Opens <
             this->Limits.MinimumWarm;
}

} // namespace lavenderdale
