#include "upstreamclient.h"

#include "http/resumewith.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

ConnectionLease::ConnectionLease(std::shared_ptr<UpstreamClient> Client,
                                 ConnectionId Id,
                                 std::shared_ptr<UpstreamConnection> Connection)
    : Client(std::move(Client)), Id(Id), Connection(std::move(Connection)) {}

ConnectionLease::ConnectionLease(ConnectionLease &&Other) noexcept
    : Client(std::move(Other.Client)), Id(Other.Id),
      Connection(std::move(Other.Connection)), Reusable(Other.Reusable) {}

ConnectionLease &ConnectionLease::operator=(ConnectionLease &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->reset();
  this->Client = std::move(Other.Client);
  this->Id = Other.Id;
  this->Connection = std::move(Other.Connection);
  this->Reusable = Other.Reusable;
  return *this;
}

ConnectionLease::~ConnectionLease() { this->reset(); }

void ConnectionLease::pin() { this->Client->Pool.pinned(this->Id); }

asio::awaitable<void> ConnectionLease::startStatement() {
  return this->Client->startStatement(this->Id);
}

void ConnectionLease::occupySlot() {
  this->Client->Pool.started(this->Id, steadyNow());
}

void ConnectionLease::endStatement(
    std::optional<ConcurrencyLimit::Outcome> Ended) {
  this->Client->endStatement(this->Id, Ended);
}

void ConnectionLease::reset() {
  if (!this->Connection)
    return;
  const std::shared_ptr<UpstreamConnection> Ending =
      std::move(this->Connection);
  const std::shared_ptr<UpstreamClient> Owner = std::move(this->Client);
  const bool Keep = this->Reusable && Ending->isOpen();
  if (!Keep)
    Ending->close();
  Owner->returnConnection(this->Id, Keep);
}

struct UpstreamClient::PendingWait {
  explicit PendingWait(const asio::any_io_executor &Executor)
      : Signal(Executor) {}

  asio::steady_timer Signal;
  PoolWaiter Waiter;
  bool Holds = false; ///< Waits for a slot only, with a held connection.
  bool Done = false;
  ConnectionId Assigned = 0;
  Duration RetryAfter{};
};

UpstreamClient::UpstreamClient(const asio::any_io_executor &Executor,
                               const UpstreamProtocol &Protocol,
                               UpstreamEntry Entry)
    : Executor(Executor), Protocol(Protocol), Entry(std::move(Entry)),
      Timer(Executor), EvacuationTimer(Executor),
      ColdUntil(steadyNow() + this->Entry.ColdRemaining) {
  this->applySlots();
}

void UpstreamClient::applySlots() {
  if (this->Entry.SlotsInvalid)
    logWarn("event=slots_invalid upstream=" + this->Entry.Id +
            " effect=unlimited");
  if (!this->Entry.Slots)
    this->Limit.reset();
  else if (this->Limit)
    this->Limit->setSlots(*this->Entry.Slots);
  else
    this->Limit.emplace(*this->Entry.Slots);
}

void UpstreamClient::update(const UpstreamEntry &NewEntry) {
  const bool Restarted = NewEntry.StartedAt != this->Entry.StartedAt ||
                         !(NewEntry.Address == this->Entry.Address);
  // Counted from when this host read the entry, which is later than when it
  // was written.
  if (Restarted || NewEntry.ColdRemaining != this->Entry.ColdRemaining)
    this->ColdUntil = steadyNow() + NewEntry.ColdRemaining;
  const bool SlotsChanged = NewEntry.Slots != this->Entry.Slots ||
                            NewEntry.SlotsInvalid != this->Entry.SlotsInvalid;
  this->Entry = NewEntry;
  if (SlotsChanged)
    this->applySlots();
  if (!Restarted)
    return;
  if (this->Limit)
    this->Limit->reset();
  this->LastSeenPosition.reset();
  for (const auto &[Id, Connection] : this->Connections)
    Connection->close();
}

void UpstreamClient::retire() {
  this->Retired = true;
  this->closeIdle();
}

void UpstreamClient::closeIdle() {
  while (const std::optional<ConnectionId> Id = this->Pool.borrowIdle()) {
    const auto Found = this->Connections.find(*Id);
    if (Found != this->Connections.end())
      Found->second->close();
    this->Connections.erase(*Id);
    this->IdleSince.erase(*Id);
    this->Pool.closed(*Id);
  }
}

void UpstreamClient::applyEvacuation(const Evacuations::Order *Given) {
  const bool Before = this->isEvacuated();
  if (!Given) {
    this->Evacuation.reset();
    this->EvacuationTimer.cancel();
    return;
  }
  this->Evacuation = *Given;
  if (!Before) {
    for (const auto &[Id, Slot] : this->Waiters)
      if (!Slot->Done && this->Pool.cancel(Id)) {
        Slot->Done = true;
        Slot->Signal.cancel();
      }
    this->closeIdle();
    logInfo("event=upstream_evacuated upstream=" + this->Entry.Id +
            " domain=" + this->Entry.FailureDomain +
            " in_use=" + std::to_string(this->Connections.size()));
  }
  this->endEvacuatedWork(steadyNow());
}

// Connections that an open transaction holds are closed first, so that the
// upstream rolls it back. Statements and commits that were sent get the rest of
// the time for their replies.
void UpstreamClient::endEvacuatedWork(TimePoint Now) {
  if (!this->Evacuation)
    return;
  std::size_t Closed = 0;
  for (const auto &[Id, Connection] : this->Connections) {
    const TimePoint EndsAt = Connection->awaitsReplies()
                                 ? this->Evacuation->AnswersEndAt
                                 : this->Evacuation->TransactionsEndAt;
    if (Now < EndsAt || !Connection->isOpen())
      continue;
    Connection->close();
    ++Closed;
  }
  if (Closed > 0)
    logInfo("event=evacuation_ends_work upstream=" + this->Entry.Id +
            " domain=" + this->Entry.FailureDomain +
            " connections=" + std::to_string(Closed));
  this->armEvacuationTimer(Now);
}

void UpstreamClient::armEvacuationTimer(TimePoint Now) {
  if (Now >= this->Evacuation->AnswersEndAt)
    return;
  this->EvacuationTimer.expires_at(Now < this->Evacuation->TransactionsEndAt
                                       ? this->Evacuation->TransactionsEndAt
                                       : this->Evacuation->AnswersEndAt);
  this->EvacuationTimer.async_wait(
      [Weak = this->weak_from_this()](error_code Failure) {
        const std::shared_ptr<UpstreamClient> Self = Weak.lock();
        if (Self && !Failure)
          Self->endEvacuatedWork(steadyNow());
      });
}

asio::awaitable<ConnectionLease> UpstreamClient::acquire(PoolWaiter Waiter,
                                                         WaitHandle &Wait) {
  const std::shared_ptr<UpstreamClient> Self = this->shared_from_this();
  if (this->isEvacuated())
    co_return ConnectionLease();
  PendingWait Slot(this->Executor);
  Waiter.Id = this->NextWaiter++;
  const WaiterId Id = Waiter.Id;
  Slot.Signal.expires_at(Waiter.GiveUpAt);
  Slot.Waiter = std::move(Waiter);
  this->Waiters[Id] = &Slot;
  Wait.RetryAfter = {};
  this->refreshLimit(steadyNow());
  this->Pool.enqueue(Slot.Waiter, steadyNow());
  Wait.Cancel = [Self, Id, &Slot] {
    if (!Slot.Done && Self->Pool.cancel(Id)) {
      Slot.Done = true;
      Slot.Signal.cancel();
    }
  };
  this->runPoolActions();
  error_code Ignored;
  while (!Slot.Done) {
    co_await Slot.Signal.async_wait(resumeWith(Ignored));
    if (!Slot.Done)
      this->runPoolActions();
    if (!Slot.Done && steadyNow() >= Slot.Signal.expiry()) {
      this->Pool.cancel(Id);
      Slot.Done = true;
    }
  }
  Wait.Cancel = nullptr;
  Wait.RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(Slot.RetryAfter);
  this->Waiters.erase(Id);
  const auto Found = this->Connections.find(Slot.Assigned);
  if (Slot.Assigned == 0 || Found == this->Connections.end())
    co_return ConnectionLease();
  ConnectionLease Lease(Self, Slot.Assigned, Found->second);
  // The order may have arrived since the connection was assigned. A lease that
  // is not marked as reusable closes its connection.
  if (this->isEvacuated())
    Lease.reset();
  co_return Lease;
}

asio::awaitable<void> UpstreamClient::startStatement(ConnectionId Id) {
  const std::shared_ptr<UpstreamClient> Self = this->shared_from_this();
  if (this->Pool.isRunning(Id))
    co_return;
  if (!this->Limit) {
    this->Pool.started(Id, steadyNow());
    co_return;
  }
  PendingWait Slot(this->Executor);
  Slot.Holds = true;
  const WaiterId Waiter = this->NextWaiter++;
  const TimePoint Until = steadyNow() + MaxHeldWait;
  Slot.Signal.expires_at(Until);
  this->Waiters[Waiter] = &Slot;
  this->Pool.enqueueHeld(Waiter, Id, Until);
  this->runPoolActions();
  error_code Ignored;
  while (!Slot.Done) {
    co_await Slot.Signal.async_wait(resumeWith(Ignored));
    if (!Slot.Done)
      this->runPoolActions();
  }
  this->Waiters.erase(Waiter);
}

void UpstreamClient::endStatement(
    ConnectionId Id, std::optional<ConcurrencyLimit::Outcome> Ended) {
  const std::size_t Running = this->Pool.running() + this->Pool.opening();
  const TimePoint Now = steadyNow();
  const std::optional<Duration> Occupied = this->Pool.ended(Id, Now);
  if (!this->Limit || !Occupied)
    return;
  if (Ended)
    this->Limit->record(*Ended, *Occupied, Running, Now);
  this->runPoolActions();
}

ConnectionLease UpstreamClient::tryAcquireIdle() {
  if (this->isEvacuated())
    return {};
  while (const std::optional<ConnectionId> Id = this->Pool.borrowIdle())
    if (!this->dropIfClosed(*Id))
      return {this->shared_from_this(), *Id, this->Connections[*Id]};
  return {};
}

void UpstreamClient::recordResponseTime(Duration Measured, TimePoint Now) {
  const double Old = static_cast<double>(this->responseTime(Now).count());
  const auto New = static_cast<double>(
      std::chrono::duration_cast<std::chrono::microseconds>(Measured).count());
  this->ResponseTime = std::chrono::microseconds(
      static_cast<std::int64_t>(Old + (New - Old) * SmoothingWeight));
  this->ResponseTimeAt = Now;
}

std::chrono::microseconds UpstreamClient::responseTime(TimePoint Now) const {
  const std::chrono::duration<double> Elapsed = Now - this->ResponseTimeAt;
  const std::chrono::duration<double> HalfLife = ResponseTimeHalfLife;
  const double Decay = std::exp2(-std::min(30.0, Elapsed / HalfLife));
  const double Excess =
      static_cast<double>((this->ResponseTime - InitialResponseTime).count());
  return InitialResponseTime +
         std::chrono::microseconds(static_cast<std::int64_t>(Excess * Decay));
}

std::size_t UpstreamClient::load(TimePoint Now) const {
  const std::size_t LocalLoad =
      std::max(this->InUse, this->Pool.assigned() + this->Pool.waiting());
  return Now - this->RemoteLoadAt < LoadLifetime
             ? std::max(LocalLoad, this->RemoteLoad)
             : LocalLoad;
}

void UpstreamClient::recordPosition(const Position &At, TimePoint Now) {
  this->LastSeenPosition = At;
  this->LastSeenPositionAt = Now;
}

void UpstreamClient::returnConnection(ConnectionId Id, bool Reusable) {
  const TimePoint Now = steadyNow();
  if (Reusable && !this->Retired && !this->isEvacuated()) {
    this->IdleSince[Id] = Now;
    this->Pool.released(Id, Now);
  } else {
    const auto Found = this->Connections.find(Id);
    if (Found != this->Connections.end())
      Found->second->close();
    this->Connections.erase(Id);
    this->IdleSince.erase(Id);
    this->Pool.closed(Id);
  }
  this->runPoolActions();
}

void UpstreamClient::refreshLimit(TimePoint Now) {
  if (this->Limit)
    this->Pool.setConcurrency(this->Limit->limit(Now),
                              this->Limit->serviceTime(Now));
  else
    this->Pool.setConcurrency(std::nullopt);
}

void UpstreamClient::recordRefusal(const PoolWaiter &Waiter,
                                   Duration RetryAfter, TimePoint Now) {
  ++this->RefusedOnArrival;
  ++this->UnloggedRefusals;
  if (Now - this->RefusalsLoggedAt < RefusalLogInterval)
    return;
  this->RefusalsLoggedAt = Now;
  logInfo(
      "event=refused_on_arrival upstream=" + this->Entry.Id +
      " count=" + std::to_string(this->UnloggedRefusals) +
      " last_workspace=" + Waiter.Workspace +
      " last_priority=" + std::to_string(Waiter.Priority) + " retry_after_ms=" +
      std::to_string(
          std::chrono::ceil<std::chrono::milliseconds>(RetryAfter).count()) +
      " running=" + std::to_string(this->Pool.running()) +
      " waiting=" + std::to_string(this->Pool.waiting()) +
      " limit=" + std::to_string(this->Limit->limit(Now)));
  this->UnloggedRefusals = 0;
}

void UpstreamClient::recordRemoteEstimate(
    const ConcurrencyLimit::Estimate &Told,
    std::optional<Duration> ExpectedWait, TimePoint Now) {
  if (!this->Limit || Told.Limit <= 0)
    return;
  this->Limit->adopt(Told, Now);
  this->RemoteWait = ExpectedWait;
  this->RemoteWaitAt = Now;
}

std::optional<Duration> UpstreamClient::expectedWait(const PoolWaiter &Waiter,
                                                     bool Remote,
                                                     TimePoint Now) {
  if (!this->Limit)
    return std::nullopt;
  if (Remote)
    return Now - this->RemoteWaitAt < LoadLifetime ? this->RemoteWait
                                                   : std::nullopt;
  this->refreshLimit(Now);
  return this->Pool.expectedWait(Waiter, Now);
}

std::size_t UpstreamClient::concurrency(TimePoint Now) const {
  return this->Limit ? this->Limit->limit(Now)
                     : std::max<std::size_t>(this->Pool.capacity(), 1);
}

std::chrono::milliseconds UpstreamClient::busyPause(TimePoint Now) const {
  if (!this->Limit)
    return MinBusyPause;
  Duration Pause = this->Limit->estimate(Now).ServiceTime;
  if (this->RemoteWait && Now - this->RemoteWaitAt < LoadLifetime)
    Pause = std::max(Pause, *this->RemoteWait);
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(Pause),
                    MinBusyPause, MaxBusyPause);
}

void UpstreamClient::runPoolActions() {
  // An action can free a connection, which allows further actions.
  while (true) {
    const TimePoint Now = steadyNow();
    this->refreshLimit(Now);
    const std::vector<UpstreamPoolAction> Actions = this->Pool.decide(Now);
    if (Actions.empty())
      break;
    for (const UpstreamPoolAction &Action : Actions)
      this->perform(Action);
  }
  this->armTimer();
}

// A write on an idle connection that the upstream has closed in the meantime
// would have an unknown outcome.
bool UpstreamClient::dropIfClosed(ConnectionId Id) {
  const auto Idle = this->IdleSince.find(Id);
  const auto Connection = this->Connections.find(Id);
  const bool RecentlyUsed = Idle != this->IdleSince.end() &&
                            steadyNow() - Idle->second < IdleCheckThreshold;
  if (Connection != this->Connections.end() && Connection->second->isOpen() &&
      (RecentlyUsed || !Connection->second->closedByPeer()))
    return false;
  if (Connection != this->Connections.end()) {
    Connection->second->close();
    this->Connections.erase(Connection);
  }
  this->IdleSince.erase(Id);
  this->Pool.closed(Id);
  return true;
}

void UpstreamClient::perform(const UpstreamPoolAction &Action) {
  switch (Action.Type) {
  case UpstreamPoolAction::Kind::Open:
    asio::co_spawn(this->Executor, this->open(Action.Workspace),
                   asio::detached);
    return;
  case UpstreamPoolAction::Kind::Close: {
    const auto Found = this->Connections.find(Action.Connection);
    if (Found != this->Connections.end()) {
      Found->second->close();
      this->Connections.erase(Found);
      this->IdleSince.erase(Action.Connection);
    }
    return;
  }
  case UpstreamPoolAction::Kind::Assign:
  case UpstreamPoolAction::Kind::Refuse:
    break;
  }
  const auto Found = this->Waiters.find(Action.Waiter);
  const bool Assigns = Action.Type == UpstreamPoolAction::Kind::Assign;
  if (Found == this->Waiters.end()) {
    if (Assigns)
      this->Pool.released(Action.Connection, steadyNow());
    return;
  }
  if (Assigns && !Found->second->Holds &&
      this->dropIfClosed(Action.Connection)) {
    this->Pool.enqueue(Found->second->Waiter, steadyNow());
    return;
  }
  if (Action.RetryAfter > Duration{})
    this->recordRefusal(Found->second->Waiter, Action.RetryAfter, steadyNow());
  Found->second->RetryAfter = Action.RetryAfter;
  Found->second->Assigned = Action.Connection;
  Found->second->Done = true;
  Found->second->Signal.cancel();
}

asio::awaitable<void> UpstreamClient::open(std::string Workspace) {
  const std::shared_ptr<UpstreamClient> Self = this->shared_from_this();
  if (this->isEvacuated()) {
    // Unlike another failure, a reached limit does not count as unreachable.
    constexpr bool AtLimit = true;
    this->Pool.openFailed(Workspace, AtLimit, steadyNow());
    co_return;
  }
  const auto Connection =
      std::make_shared<UpstreamConnection>(this->Executor, this->Protocol);
  UpstreamGreeting Greeting{this->Entry.Group, Workspace, this->Entry.Id};
  const Result<void> Opened = co_await Connection->connect(
      this->Entry.Address, std::move(Greeting), steadyNow() + ConnectTimeout);
  const TimePoint Now = steadyNow();
  if (!Opened) {
    const bool AtLimit = Opened.error().Kind == ErrorKind::TooManyConnections;
    logInfo("event=connect_failed upstream=" + this->Entry.Id + " workspace=" +
            Workspace + " open=" + std::to_string(this->Pool.connections()) +
            " error=\"" + Opened.error().Detail + "\"");
    if (this->Limit && !AtLimit)
      this->Limit->record(ConcurrencyLimit::Outcome::Lost, Duration{}, 1, Now);
    this->Pool.openFailed(Workspace, AtLimit, Now);
  } else {
    const ConnectionId Id = this->NextConnection++;
    this->Connections[Id] = Connection;
    this->IdleSince[Id] = Now;
    this->Pool.opened(Id, Workspace, Now);
    if (this->isEvacuated())
      this->closeIdle();
  }
  this->runPoolActions();
}

void UpstreamClient::armTimer() {
  const std::optional<TimePoint> Next = this->Pool.nextDecision(steadyNow());
  if (!Next || (this->TimerAt && *this->TimerAt <= *Next))
    return;
  this->TimerAt = Next;
  this->Timer.expires_at(*Next);
  this->Timer.async_wait([Weak = this->weak_from_this()](error_code Failure) {
    const std::shared_ptr<UpstreamClient> Self = Weak.lock();
    if (!Self || Failure)
      return;
    Self->TimerAt.reset();
    Self->runPoolActions();
  });
}

} // namespace lavenderdale
