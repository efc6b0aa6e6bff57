#include "connectionpool.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using enum ConnectionState;

/// Maximum number of doublings of the back-off; avoids an overflow.
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

ConnectionPool::ConnectionPool(PoolLimits Limits, PoolTimes Times)
    : Limits(Limits), Times(Times) {}

void ConnectionPool::setLimits(PoolLimits NewLimits) {
  this->Limits = NewLimits;
}

std::vector<PoolAction> ConnectionPool::poll(TimePoint Now, Generator &Random) {
  std::vector<PoolAction> Actions;
  this->markOverdueBroken(Now, Random);
  this->markSurplusBroken();
  this->closeBroken(Actions);
  this->startChecks(Now, Actions);
  while (this->shouldOpen() && Now >= this->OpenNotBefore) {
    const ConnectionId Id = ++this->LastId;
    this->Connections[Id].Deadline = Now + this->Times.OpenDeadline;
    Actions.push_back({PoolActionKind::Open, Id});
  }
  return Actions;
}

TimePoint ConnectionPool::nextPoll() const {
  TimePoint Next = this->shouldOpen() ? this->OpenNotBefore : TimePoint::max();
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
  this->ConsecutiveFailures = 0;
  this->toIdle(*Opened, Now);
  return true;
}

void ConnectionPool::openFailed(ConnectionId Id, OpenFailure Failure,
                                TimePoint Now, Generator &Random) {
  if (this->find(Id, Opening) == nullptr)
    return;
  this->Connections.erase(Id);
  // The database is reachable but has no free connection. Frequent attempts
  // would take the connections that other clients release, so the back-off
  // starts at a higher value.
  if (Failure == OpenFailure::LimitReached)
    this->ConsecutiveFailures = std::max(this->ConsecutiveFailures, 2U);
  this->startBackoff(Now, Random);
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
  const auto Position = this->Connections.find(Id);
  if (Position != this->Connections.end())
    Position->second.State = Broken;
}

std::optional<ConnectionId> ConnectionPool::acquire(TimePoint Deadline) {
  if (!this->canAcquire())
    return std::nullopt;
  const std::optional<ConnectionId> Id = this->mostRecentIdle();
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
  if (this->Leaving || this->count(Pinned) >= this->Limits.MaxPinned)
    return std::nullopt;
  const std::optional<ConnectionId> Id = this->mostRecentIdle();
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
  const auto Position = this->Connections.find(Id);
  if (Position == this->Connections.end())
    return std::nullopt;
  return Position->second.State;
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
  return !this->Leaving && this->inFlight() < this->Limits.MaxInFlight &&
         this->mostRecentIdle().has_value();
}

ConnectionPool::Connection *ConnectionPool::find(ConnectionId Id,
                                                 ConnectionState State) {
  const auto Position = this->Connections.find(Id);
  if (Position == this->Connections.end() || Position->second.State != State)
    return nullptr;
  return &Position->second;
}

/// Prefers the connection that was used or checked last, because it is the
/// least likely to have stopped responding.
std::optional<ConnectionId> ConnectionPool::mostRecentIdle() const {
  std::optional<ConnectionId> MostRecent;
  TimePoint Latest = TimePoint::min();
  for (const auto &[Id, Each] : this->Connections) {
    if (Each.State != Idle || Each.Deadline < Latest)
      continue;
    MostRecent = Id;
    Latest = Each.Deadline;
  }
  return MostRecent;
}

void ConnectionPool::toIdle(Connection &Each, TimePoint Now) const {
  Each.State = Idle;
  Each.Deadline = Now + this->Times.CheckInterval;
}

/// Starts the back-off. The jitter prevents hosts that failed at the same time
/// from retrying at the same time.
void ConnectionPool::startBackoff(TimePoint Now, Generator &Random) {
  const std::uint32_t Doublings =
      std::min(this->ConsecutiveFailures, MaxDoublings);
  ++this->ConsecutiveFailures;
  const Duration Backoff =
      std::min(this->Times.InitialBackoff * (std::int64_t{1} << Doublings),
               this->Times.MaxBackoff);
  std::uniform_int_distribution<Duration::rep> Jitter(Backoff.count() / 2,
                                                      Backoff.count());
  this->OpenNotBefore = Now + Duration(Jitter(Random));
}

void ConnectionPool::markOverdueBroken(TimePoint Now, Generator &Random) {
  for (auto &[Id, Each] : this->Connections) {
    const bool Late = Each.Deadline <= Now ||
                      (Each.StatementRunning && Each.StatementDeadline <= Now);
    if (!Late || Each.State == Idle || Each.State == Broken)
      continue;
    if (Each.State == Opening)
      this->startBackoff(Now, Random);
    Each.State = Broken;
  }
}

/// Marks idle connections for closing if the upstream is leaving or a lowered
/// limit is exceeded.
void ConnectionPool::markSurplusBroken() {
  std::uint32_t Kept = this->size() - this->count(Broken);
  for (auto &[Id, Each] : this->Connections) {
    if (Each.State != Idle ||
        (!this->Leaving && Kept <= this->Limits.MaxConnections))
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

/// Starts due checks and resets. At most half of the connections are checked at
/// a time, so that idle connections remain for requests.
void ConnectionPool::startChecks(TimePoint Now,
                                 std::vector<PoolAction> &Actions) {
  const std::uint32_t Max = (this->size() + 1) / 2;
  std::uint32_t Running = this->count(Checking);
  for (auto &[Id, Each] : this->Connections) {
    if (Each.ResetDue) {
      Each.ResetDue = false;
      Actions.push_back({PoolActionKind::Reset, Id});
      continue;
    }
    if (Each.State != Idle || Each.Deadline > Now || Running >= Max)
      continue;
    ++Running;
    Each.State = Checking;
    Each.Deadline = Now + this->Times.CheckDeadline;
    Actions.push_back({PoolActionKind::Check, Id});
  }
}

bool ConnectionPool::shouldOpen() const {
  const std::uint32_t OpeningCount = this->count(Opening);
  return !this->Leaving && this->size() < this->Limits.MaxConnections &&
         OpeningCount < this->Limits.MaxOpening &&
         this->count(Idle) + this->count(Checking) + OpeningCount <
             this->Limits.MinIdle;
}

} // namespace lavenderdale
