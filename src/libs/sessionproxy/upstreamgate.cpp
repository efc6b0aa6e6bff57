#include "upstreamgate.h"

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

ConnectionLease::ConnectionLease(std::shared_ptr<UpstreamGate> Gate,
                                 ConnectionId Id,
                                 std::shared_ptr<UpstreamLink> Link)
    : Gate(std::move(Gate)), Id(Id), Link(std::move(Link)) {}

ConnectionLease::ConnectionLease(ConnectionLease &&Other) noexcept
    : Gate(std::move(Other.Gate)), Id(Other.Id), Link(std::move(Other.Link)),
      Reusable(Other.Reusable) {}

ConnectionLease &ConnectionLease::operator=(ConnectionLease &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->reset();
  this->Gate = std::move(Other.Gate);
  this->Id = Other.Id;
  this->Link = std::move(Other.Link);
  this->Reusable = Other.Reusable;
  return *this;
}

ConnectionLease::~ConnectionLease() { this->reset(); }

void ConnectionLease::pin() { this->Gate->Pool.pinned(this->Id); }

void ConnectionLease::reset() {
  if (!this->Link)
    return;
  const std::shared_ptr<UpstreamLink> Ended = std::move(this->Link);
  const std::shared_ptr<UpstreamGate> Owner = std::move(this->Gate);
  const bool Keep = this->Reusable && Ended->isOpen();
  if (!Keep)
    Ended->close();
  Owner->giveBack(this->Id, Keep);
}

struct UpstreamGate::Waiting {
  explicit Waiting(const asio::any_io_executor &Executor) : Signal(Executor) {}

  asio::steady_timer Signal;
  PoolWaiter Waiter;
  bool Done = false;
  ConnectionId Assigned = 0;
};

UpstreamGate::UpstreamGate(const asio::any_io_executor &Executor,
                           const UpstreamProtocol &Protocol,
                           UpstreamEntry Entry)
    : Executor(Executor), Protocol(Protocol), Entry(std::move(Entry)),
      Timer(Executor) {}

void UpstreamGate::update(const UpstreamEntry &NewEntry) {
  const bool Restarted = NewEntry.StartedAt != this->Entry.StartedAt ||
                         !(NewEntry.Address == this->Entry.Address);
  this->Entry = NewEntry;
  if (!Restarted)
    return;
  this->LastAt.reset();
  for (const auto &[Id, Link] : this->Links)
    Link->close();
}

void UpstreamGate::retire() {
  this->Retired = true;
  while (ConnectionLease Idle = this->borrow())
    Idle.reset();
}

asio::awaitable<ConnectionLease> UpstreamGate::acquire(PoolWaiter Waiter,
                                                       WaitHandle &Wait) {
  const std::shared_ptr<UpstreamGate> Self = this->shared_from_this();
  Waiting Slot(this->Executor);
  Waiter.Id = this->NextWaiter++;
  const WaiterId Id = Waiter.Id;
  Slot.Signal.expires_at(Waiter.GiveUp);
  Slot.Waiter = std::move(Waiter);
  this->Waiters[Id] = &Slot;
  this->Pool.enqueue(Slot.Waiter, steadyNow());
  Wait.Cancel = [Self, Id, &Slot] {
    if (!Slot.Done && Self->Pool.cancel(Id)) {
      Slot.Done = true;
      Slot.Signal.cancel();
    }
  };
  this->pump();
  error_code Ignored;
  while (!Slot.Done) {
    co_await Slot.Signal.async_wait(resumeWith(Ignored));
    if (!Slot.Done)
      this->pump();
    if (!Slot.Done && steadyNow() >= Slot.Signal.expiry()) {
      this->Pool.cancel(Id);
      Slot.Done = true;
    }
  }
  Wait.Cancel = nullptr;
  this->Waiters.erase(Id);
  const auto Found = this->Links.find(Slot.Assigned);
  if (Slot.Assigned == 0 || Found == this->Links.end())
    co_return ConnectionLease();
  co_return ConnectionLease(Self, Slot.Assigned, Found->second);
}

ConnectionLease UpstreamGate::borrow() {
  while (const std::optional<ConnectionId> Id = this->Pool.borrowIdle())
    if (!this->dropIfClosed(*Id))
      return {this->shared_from_this(), *Id, this->Links[*Id]};
  return {};
}

void UpstreamGate::countService(Duration Answer, TimePoint Now) {
  const double Old = static_cast<double>(this->service(Now).count());
  const auto New = static_cast<double>(
      std::chrono::duration_cast<std::chrono::microseconds>(Answer).count());
  this->Service = std::chrono::microseconds(
      static_cast<std::int64_t>(Old + (New - Old) * SmoothingWeight));
  this->ServiceAt = Now;
}

std::chrono::microseconds UpstreamGate::service(TimePoint Now) const {
  const std::chrono::duration<double> Silent = Now - this->ServiceAt;
  const std::chrono::duration<double> Half = ServiceHalfLife;
  const double Kept = std::exp2(-std::min(30.0, Silent / Half));
  const double Over =
      static_cast<double>((this->Service - ExpectedService).count());
  return ExpectedService +
         std::chrono::microseconds(static_cast<std::int64_t>(Over * Kept));
}

std::size_t UpstreamGate::load(TimePoint Now) const {
  const std::size_t Here =
      std::max(this->InUse, this->Pool.assigned() + this->Pool.waiting());
  return Now - this->RemoteLoadAt < LoadLifetime
             ? std::max(Here, this->RemoteLoad)
             : Here;
}

void UpstreamGate::sawPosition(const Position &At, TimePoint Now) {
  this->LastAt = At;
  this->LastAtTime = Now;
}

void UpstreamGate::giveBack(ConnectionId Id, bool Reusable) {
  const TimePoint Now = steadyNow();
  if (Reusable && !this->Retired) {
    this->IdleSince[Id] = Now;
    this->Pool.released(Id, Now);
  } else {
    this->Links.erase(Id);
    this->IdleSince.erase(Id);
    this->Pool.closed(Id);
  }
  this->pump();
}

void UpstreamGate::pump() {
  // An action can free a connection, which allows further ones.
  while (true) {
    const std::vector<PoolAction> Actions = this->Pool.decide(steadyNow());
    if (Actions.empty())
      break;
    for (const PoolAction &Action : Actions)
      this->perform(Action);
  }
  this->armTimer();
}

// An idle connection that the upstream closed meanwhile would turn a write
// into one of unknown outcome.
bool UpstreamGate::dropIfClosed(ConnectionId Id) {
  const auto Idle = this->IdleSince.find(Id);
  const auto Link = this->Links.find(Id);
  const bool Fresh = Idle != this->IdleSince.end() &&
                     steadyNow() - Idle->second < CheckAfterIdle;
  if (Link != this->Links.end() && Link->second->isOpen() &&
      (Fresh || !Link->second->closedByPeer()))
    return false;
  if (Link != this->Links.end()) {
    Link->second->close();
    this->Links.erase(Link);
  }
  this->IdleSince.erase(Id);
  this->Pool.closed(Id);
  return true;
}

void UpstreamGate::perform(const PoolAction &Action) {
  switch (Action.Type) {
  case PoolAction::Kind::Open:
    asio::co_spawn(this->Executor, this->open(Action.Workspace),
                   asio::detached);
    return;
  case PoolAction::Kind::Close: {
    const auto Found = this->Links.find(Action.Connection);
    if (Found != this->Links.end()) {
      Found->second->close();
      this->Links.erase(Found);
      this->IdleSince.erase(Action.Connection);
    }
    return;
  }
  case PoolAction::Kind::Assign:
  case PoolAction::Kind::Refuse:
    break;
  }
  const auto Found = this->Waiters.find(Action.Waiter);
  const bool Assigns = Action.Type == PoolAction::Kind::Assign;
  if (Found == this->Waiters.end()) {
    if (Assigns)
      this->Pool.released(Action.Connection, steadyNow());
    return;
  }
  if (Assigns && this->dropIfClosed(Action.Connection)) {
    this->Pool.enqueue(Found->second->Waiter, steadyNow());
    return;
  }
  Found->second->Assigned = Action.Connection;
  Found->second->Done = true;
  Found->second->Signal.cancel();
}

asio::awaitable<void> UpstreamGate::open(std::string Workspace) {
  const std::shared_ptr<UpstreamGate> Self = this->shared_from_this();
  const auto Link =
      std::make_shared<UpstreamLink>(this->Executor, this->Protocol);
  UpstreamGreeting Greeting{this->Entry.Group, Workspace, this->Entry.Id};
  const Result<void> Opened = co_await Link->connect(
      this->Entry.Address, std::move(Greeting), steadyNow() + ConnectLimit);
  const TimePoint Now = steadyNow();
  if (!Opened) {
    const bool AtLimit = Opened.error().Kind == ErrorKind::TooManyConnections;
    logInfo("event=connect_failed upstream=" + this->Entry.Id + " workspace=" +
            Workspace + " open=" + std::to_string(this->Pool.connections()) +
            " error=\"" + Opened.error().Detail + "\"");
    this->Pool.openFailed(Workspace, AtLimit, Now);
  } else {
    const ConnectionId Id = this->NextConnection++;
    this->Links[Id] = Link;
    this->IdleSince[Id] = Now;
    this->Pool.opened(Id, Workspace, Now);
  }
  this->pump();
}

void UpstreamGate::armTimer() {
  const std::optional<TimePoint> Next = this->Pool.nextDecision(steadyNow());
  if (!Next || (this->TimerAt && *this->TimerAt <= *Next))
    return;
  this->TimerAt = Next;
  this->Timer.expires_at(*Next);
  this->Timer.async_wait([Weak = this->weak_from_this()](error_code Failure) {
    const std::shared_ptr<UpstreamGate> Self = Weak.lock();
    if (!Self || Failure)
      return;
    Self->TimerAt.reset();
    Self->pump();
  });
}

} // namespace lavenderdale
