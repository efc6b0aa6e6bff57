#include "upstreamservice.h"

#include "http/resumewith.h"
#include "http/runon.h"

#include <boost/asio/detached.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds OpenTimeout{2000};
constexpr std::chrono::milliseconds CheckTimeout{500};
// Longest time between two polls of the pool.
constexpr std::chrono::milliseconds MaxPoolPollInterval{500};
constexpr std::size_t MaxCheckResultBytes = 4096;

asio::awaitable<void> waitIgnoringCancel(asio::steady_timer &Timer) {
  boost::system::error_code Ignored;
  co_await Timer.async_wait(resumeWith(Ignored));
}

} // namespace

PoolLimits poolLimitsPerHolder(const Upstream &Config) {
  const std::uint32_t Usable = Config.Connections > ReservedConnections
                                   ? Config.Connections - ReservedConnections
                                   : 1;
  PoolLimits Limits;
  Limits.MaxConnections = std::max(1U, Usable / HoldersPerUpstream);
  Limits.MaxInFlight =
      std::min(Limits.MaxConnections, (Config.Slots + 1) / 2 + 1);
  Limits.MinIdle = std::min(Limits.MaxConnections, Limits.MaxInFlight + 1);
  Limits.MaxPinned = std::max(1U, Limits.MaxConnections -
                                      std::min(Limits.MaxConnections - 1, 2U));
  return Limits;
}

/// A request in the queue; a local variable of the coroutine that waits.
struct UpstreamService::Waiter {
  explicit Waiter(asio::io_context &IoContext) : Timer(IoContext) {}

  asio::steady_timer Timer;
  TimePoint Deadline;
  std::optional<TimePoint> TransactionDeadline;
  std::optional<ConnectionId> Granted;
  bool Expired = false;
  bool Refused = false;
};

UpstreamService::UpstreamService(asio::io_context &IoContext,
                                 ConnectOptions Options, const Upstream &Config,
                                 const QueueDiscipline &Discipline)
    : IoContext(IoContext), Options(std::move(Options)), Config(Config),
      Pool(poolLimitsPerHolder(Config)),
      Queue(poolLimitsPerHolder(Config).MaxInFlight, Discipline),
      Random(std::random_device{}()), PoolTimer(IoContext) {}

UpstreamService::~UpstreamService() = default;

void UpstreamService::start() {
  asio::co_spawn(
      this->IoContext,
      [Self = this->shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->poolLoop();
      },
      asio::detached);
}

void UpstreamService::stop() {
  this->Stopped = true;
  this->PoolTimer.cancel();
  this->failWaitingRequests();
  for (const auto &[Id, Connection] : this->Connections)
    Connection->close();
}

void UpstreamService::failWaitingRequests() {
  for (const auto &[Id, Waiting] : this->Waiters) {
    Waiting->Refused = !Waiting->Granted;
    Waiting->Timer.cancel();
  }
}

void UpstreamService::retire() {
  this->Retired = true;
  this->Pool.setLeaving(true);
  this->failWaitingRequests();
  this->wakePoolLoop();
}

void UpstreamService::update(const Upstream &NewConfig) {
  this->Config = NewConfig;
  const PoolLimits Limits = poolLimitsPerHolder(NewConfig);
  this->Pool.setLimits(Limits);
  this->Queue.setSlots(Limits.MaxInFlight);
  this->Pool.setLeaving(NewConfig.State == UpstreamState::Leaving);
  this->wakePoolLoop();
}

void UpstreamService::wakePoolLoop() { this->PoolTimer.cancel(); }

asio::awaitable<void> UpstreamService::poolLoop() {
  while (!this->Stopped && !(this->Retired && this->Pool.drained())) {
    for (const PoolAction &Action : this->Pool.poll(steadyNow(), this->Random))
      this->performAction(Action);
    this->grantWaiting();
    this->PoolTimer.expires_at(
        std::min(this->Pool.nextPoll(), steadyNow() + MaxPoolPollInterval));
    co_await waitIgnoringCancel(this->PoolTimer);
  }
}

void UpstreamService::performAction(const PoolAction &Action) {
  const auto Spawn = [this](asio::awaitable<void> Work) {
    asio::co_spawn(this->IoContext, std::move(Work), asio::detached);
  };
  switch (Action.Kind) {
  case PoolActionKind::Open:
    return Spawn(this->openConnection(Action.Id));
  case PoolActionKind::Check:
    return Spawn(this->checkConnection(Action.Id, "SELECT 1"));
  case PoolActionKind::Reset:
    return Spawn(this->checkConnection(Action.Id, "DISCARD ALL"));
  case PoolActionKind::Close:
    this->Connections.erase(Action.Id);
  }
}

asio::awaitable<void> UpstreamService::openConnection(ConnectionId Id) {
  const auto Self = this->shared_from_this();
  Result<std::unique_ptr<PostgresConnection>> Opened =
      co_await PostgresConnection::open(this->Options,
                                        steadyNow() + OpenTimeout);
  if (this->Stopped)
    co_return;
  if (!Opened) {
    const bool Full = Opened.error().Kind == ErrorKind::TooManyConnections;
    this->Pool.openFailed(
        Id, Full ? OpenFailure::LimitReached : OpenFailure::Unreachable,
        steadyNow(), this->Random);
    if (this->Connections.empty())
      this->failWaitingRequests();
  } else if (this->Pool.opened(Id, steadyNow())) {
    this->Connections[Id] = std::move(Opened.value());
  }
  this->wakePoolLoop();
}

asio::awaitable<void> UpstreamService::checkConnection(ConnectionId Id,
                                                       std::string Sql) {
  const auto Self = this->shared_from_this();
  const auto Found = this->Connections.find(Id);
  bool Answered = false;
  if (Found != this->Connections.end()) {
    std::vector<std::vector<Statement>> Groups(1);
    Groups.front().push_back({std::move(Sql), {}});
    const auto Results = co_await Found->second->run(
        std::move(Groups), steadyNow() + CheckTimeout, MaxCheckResultBytes);
    Answered = Results && !Results.value()[0][0].Failure;
  }
  if (this->Stopped)
    co_return;
  this->Pool.checked(Id, Answered, steadyNow());
  this->wakePoolLoop();
}

void UpstreamService::grantWaiting() {
  while (!this->Stopped && this->Pool.canAcquire()) {
    const DequeueResult Next = this->Queue.dequeue(steadyNow());
    for (const QueueItemId Id : Next.Expired)
      if (const auto Found = this->Waiters.find(Id);
          Found != this->Waiters.end()) {
        Found->second->Expired = true;
        Found->second->Timer.cancel();
      }
    if (!Next.Next)
      break;
    const auto Found = this->Waiters.find(*Next.Next);
    if (Found == this->Waiters.end())
      this->Queue.completed(this->Queue.serviceTime());
    else
      this->grant(*Found->second);
  }
}

void UpstreamService::grant(Waiter &Next) {
  Next.Granted = Next.TransactionDeadline
                     ? this->Pool.pin(*Next.TransactionDeadline)
                     : this->Pool.acquire(Next.Deadline);
  if (!Next.Granted) {
    Next.Refused = true;
    this->Queue.completed(this->Queue.serviceTime());
  }
  Next.Timer.cancel();
}

asio::awaitable<Result<UpstreamService::Lease>>
UpstreamService::acquire(QueueDemand Demand) {
  return this->wait(std::move(Demand), std::nullopt);
}

asio::awaitable<Result<UpstreamService::Lease>>
UpstreamService::pin(QueueDemand Demand, TimePoint TransactionDeadline) {
  return this->wait(std::move(Demand), TransactionDeadline);
}

asio::awaitable<Result<UpstreamService::Lease>>
UpstreamService::wait(QueueDemand Demand,
                      std::optional<TimePoint> TransactionDeadline) {
  if (this->Stopped || this->Retired ||
      this->Config.State == UpstreamState::Leaving)
    co_return failure(ErrorKind::Unavailable, "upstream " + this->Config.Name +
                                                  " accepts no new requests");
  const QueueItem Item{++this->LastItem, Demand.Workspace, Demand.Class,
                       Demand.Deadline};
  this->Queue.setLimits(Demand.Workspace, Demand.Limits);
  const Result<void> Queued = this->Queue.enqueue(Item, steadyNow());
  if (!Queued)
    co_return Queued.error();

  Waiter Self(this->IoContext);
  Self.Deadline = Demand.Deadline;
  Self.TransactionDeadline = TransactionDeadline;
  this->Waiters[Item.Id] = &Self;
  this->grantWaiting();
  if (!Self.Granted && !Self.Expired && !Self.Refused) {
    Self.Timer.expires_at(Demand.Deadline);
    co_await waitIgnoringCancel(Self.Timer);
  }
  this->Waiters.erase(Item.Id);
  if (Self.Granted)
    co_return Lease{*Self.Granted, steadyNow()};
  this->Queue.cancel(Item.Id);
  if (Self.Refused)
    co_return failure(ErrorKind::Unavailable,
                      "could not get a connection to upstream " +
                          this->Config.Name);
  co_return failure(ErrorKind::QueueDeadline,
                    "the queue of upstream " + this->Config.Name +
                        " did not reach the request before its deadline");
}

asio::awaitable<Result<PostgresConnection::GroupResults>>
UpstreamService::run(Lease ConnectionLease,
                     std::vector<std::vector<Statement>> Groups,
                     TimePoint Deadline, std::size_t MaxResultBytes) {
  const auto Self = this->shared_from_this();
  const auto Found = this->Connections.find(ConnectionLease.Id);
  if (Found == this->Connections.end())
    co_return failure(ErrorKind::Unavailable, "the connection was closed");
  co_return co_await Found->second->run(std::move(Groups), Deadline,
                                        MaxResultBytes);
}

ConnectionUse UpstreamService::connectionUse(ConnectionId Id,
                                             bool NoSessionState) const {
  const auto Found = this->Connections.find(Id);
  const bool Clean = NoSessionState && Found != this->Connections.end() &&
                     !Found->second->isBroken() && Found->second->isIdle();
  return Clean ? ConnectionUse::Clean : ConnectionUse::Tainted;
}

void UpstreamService::release(Lease ConnectionLease, bool NoSessionState) {
  this->Pool.release(ConnectionLease.Id,
                     this->connectionUse(ConnectionLease.Id, NoSessionState),
                     steadyNow());
  this->Queue.completed(steadyNow() - ConnectionLease.GrantedAt);
  this->grantWaiting();
  this->wakePoolLoop();
}

Result<void> UpstreamService::beginStatement(Lease ConnectionLease,
                                             TimePoint Deadline) {
  if (this->Pool.beginStatement(ConnectionLease.Id, Deadline))
    return success();
  if (this->Pool.state(ConnectionLease.Id) != ConnectionState::Pinned)
    return failure(ErrorKind::TransactionLost,
                   "the connection of the transaction was closed");
  return failure(ErrorKind::TransactionBusy,
                 "a statement of the transaction is still running");
}

void UpstreamService::endStatement(Lease ConnectionLease) {
  this->Pool.endStatement(ConnectionLease.Id, steadyNow());
  this->grantWaiting();
  this->wakePoolLoop();
}

void UpstreamService::unpin(Lease ConnectionLease) {
  this->Pool.unpin(ConnectionLease.Id,
                   this->connectionUse(ConnectionLease.Id, true), steadyNow());
  this->Queue.completed(this->Queue.serviceTime());
  this->grantWaiting();
  this->wakePoolLoop();
}

Duration UpstreamService::expectedWait() const {
  return this->Queue.expectedWait({}, QueueClass::Standard);
}

} // namespace lavenderdale
