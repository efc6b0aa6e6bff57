#include "upstreamservice.h"

#include "http/resumewith.h"
#include "http/runon.h"

#include <boost/asio/detached.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds OpenDeadline{2000};
constexpr std::chrono::milliseconds CheckDeadline{500};
// Upper bound between two looks at the pool.
constexpr std::chrono::milliseconds PoolInterval{500};
constexpr std::size_t CheckResultBytes = 4096;

asio::awaitable<void> waitQuietly(asio::steady_timer &Timer) {
  boost::system::error_code Ignored;
  co_await Timer.async_wait(resumeWith(Ignored));
}

} // namespace

PoolLimits poolLimitsOf(const Upstream &Config) {
  const std::uint32_t Usable = Config.Connections > ReservedConnections
                                   ? Config.Connections - ReservedConnections
                                   : 1;
  PoolLimits Limits;
  Limits.Budget = std::max(1U, Usable / HoldersPerUpstream);
  Limits.InFlight = std::min(Limits.Budget, (Config.Slots + 1) / 2 + 1);
  Limits.MinimumWarm = std::min(Limits.Budget, Limits.InFlight + 1);
  Limits.Pinned = std::max(1U, Limits.Budget - std::min(Limits.Budget - 1, 2U));
  return Limits;
}

/// A request in the queue. Lives in the coroutine that waits.
struct UpstreamService::Waiter {
  explicit Waiter(asio::io_context &Home) : Timer(Home) {}

  asio::steady_timer Timer;
  TimePoint Deadline;
  std::optional<TimePoint> TransactionDeadline;
  std::optional<ConnectionId> Granted;
  bool Expired = false;
  bool Refused = false;
};

UpstreamService::UpstreamService(asio::io_context &Home, ConnectOptions Options,
                                 const Upstream &Config,
                                 const QueueDiscipline &Discipline)
    : Home(Home), Options(std::move(Options)), Config(Config),
      Pool(poolLimitsOf(Config)),
      Queue(poolLimitsOf(Config).InFlight, Discipline),
      Random(std::random_device{}()), PoolTimer(Home) {}

UpstreamService::~UpstreamService() = default;

void UpstreamService::start() {
  asio::co_spawn(
      this->Home,
      [Self = this->shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->poolLoop();
      },
      asio::detached);
}

void UpstreamService::stop() {
  this->Stopped = true;
  this->PoolTimer.cancel();
  this->refuseWaiting();
  for (const auto &[Id, Connection] : this->Connections)
    Connection->close();
}

void UpstreamService::refuseWaiting() {
  for (const auto &[Id, Waiting] : this->Waiters) {
    Waiting->Refused = !Waiting->Granted;
    Waiting->Timer.cancel();
  }
}

void UpstreamService::retire() {
  this->Retired = true;
  this->Pool.setLeaving(true);
  this->refuseWaiting();
  this->kick();
}

void UpstreamService::update(const Upstream &NewConfig) {
  this->Config = NewConfig;
  const PoolLimits Limits = poolLimitsOf(NewConfig);
  this->Pool.setLimits(Limits);
  this->Queue.setSlots(Limits.InFlight);
  this->Pool.setLeaving(NewConfig.State == UpstreamState::Leaving);
  this->kick();
}

void UpstreamService::kick() { this->PoolTimer.cancel(); }

asio::awaitable<void> UpstreamService::poolLoop() {
  while (!this->Stopped && !(this->Retired && this->Pool.drained())) {
    for (const PoolAction &Action : this->Pool.poll(steadyNow(), this->Random))
      this->perform(Action);
    this->pump();
    this->PoolTimer.expires_at(
        std::min(this->Pool.nextPoll(), steadyNow() + PoolInterval));
    co_await waitQuietly(this->PoolTimer);
  }
}

void UpstreamService::perform(const PoolAction &Action) {
  const auto Spawn = [this](asio::awaitable<void> Work) {
    asio::co_spawn(this->Home, std::move(Work), asio::detached);
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
                                        steadyNow() + OpenDeadline);
  if (this->Stopped)
    co_return;
  if (!Opened) {
    const bool Full = Opened.error().Kind == ErrorKind::TooManyConnections;
    this->Pool.openFailed(
        Id, Full ? OpenFailure::LimitReached : OpenFailure::Unreachable,
        steadyNow(), this->Random);
    if (this->Connections.empty())
      this->refuseWaiting();
  } else if (this->Pool.opened(Id, steadyNow())) {
    this->Connections[Id] = std::move(Opened.value());
  }
  this->kick();
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
        std::move(Groups), steadyNow() + CheckDeadline, CheckResultBytes);
    Answered = Results && !Results.value()[0][0].Failure;
  }
  if (this->Stopped)
    co_return;
  this->Pool.checked(Id, Answered, steadyNow());
  this->kick();
}

void UpstreamService::pump() {
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
    co_return failure(ErrorKind::Unavailable,
                      "upstream " + this->Config.Name + " takes no new work");
  const QueueItem Item{++this->LastItem, Demand.Workspace, Demand.Class,
                       Demand.Deadline};
  this->Queue.setLimits(Demand.Workspace, Demand.Limits);
  const Result<void> Queued = this->Queue.enqueue(Item, steadyNow());
  if (!Queued)
    co_return Queued.error();

  Waiter Self(this->Home);
  Self.Deadline = Demand.Deadline;
  Self.TransactionDeadline = TransactionDeadline;
  this->Waiters[Item.Id] = &Self;
  this->pump();
  if (!Self.Granted && !Self.Expired && !Self.Refused) {
    Self.Timer.expires_at(Demand.Deadline);
    co_await waitQuietly(Self.Timer);
  }
  this->Waiters.erase(Item.Id);
  if (Self.Granted)
    co_return Lease{*Self.Granted, steadyNow()};
  this->Queue.cancel(Item.Id);
  if (Self.Refused)
    co_return failure(ErrorKind::Unavailable,
                      "no connection to upstream " + this->Config.Name);
  co_return failure(ErrorKind::QueueDeadline,
                    "the queue of upstream " + this->Config.Name +
                        " is too long for the deadline");
}

asio::awaitable<Result<PostgresConnection::GroupResults>>
UpstreamService::run(Lease Held, std::vector<std::vector<Statement>> Groups,
                     TimePoint Deadline, std::size_t MaxResultBytes) {
  const auto Self = this->shared_from_this();
  const auto Found = this->Connections.find(Held.Id);
  if (Found == this->Connections.end())
    co_return failure(ErrorKind::Unavailable, "the connection was closed");
  co_return co_await Found->second->run(std::move(Groups), Deadline,
                                        MaxResultBytes);
}

ConnectionUse UpstreamService::useOf(ConnectionId Id,
                                     bool PlainStatement) const {
  const auto Found = this->Connections.find(Id);
  const bool Clean = PlainStatement && Found != this->Connections.end() &&
                     !Found->second->isBroken() && Found->second->isIdle();
  return Clean ? ConnectionUse::Clean : ConnectionUse::Tainted;
}

void UpstreamService::release(Lease Held, bool PlainStatement) {
  this->Pool.release(Held.Id, this->useOf(Held.Id, PlainStatement),
                     steadyNow());
  this->Queue.completed(steadyNow() - Held.GrantedAt);
  this->pump();
  this->kick();
}

Result<void> UpstreamService::beginStatement(Lease Held, TimePoint Deadline) {
  if (this->Pool.beginStatement(Held.Id, Deadline))
    return success();
  if (this->Pool.state(Held.Id) != ConnectionState::Pinned)
    return failure(ErrorKind::TransactionLost, "its connection is gone");
  return failure(ErrorKind::TransactionBusy,
                 "a statement of the transaction is still running");
}

void UpstreamService::endStatement(Lease Held) {
  this->Pool.endStatement(Held.Id, steadyNow());
  this->pump();
  this->kick();
}

void UpstreamService::unpin(Lease Held) {
  this->Pool.unpin(Held.Id, this->useOf(Held.Id, true), steadyNow());
  this->Queue.completed(this->Queue.serviceTime());
  this->pump();
  this->kick();
}

Duration UpstreamService::expectedWait() const {
  return this->Queue.expectedWait({}, QueueClass::Standard);
}

} // namespace lavenderdale
