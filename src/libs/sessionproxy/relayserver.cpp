#include "relayserver.h"

#include "http/listenon.h"
#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "memoryreservation.h"
#include "socketoptions.h"
#include "telemetry/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The answer to a probe that is not run.
WorkResult proofResult(const ProxyGroup::KnownProof &Known) {
  WorkResult Result;
  Result.Connected = true;
  Result.Sent = true;
  Result.ProofAge = Known.Age;
  UpstreamReply Begun;
  Begun.At = Known.At;
  Result.Replies.push_back(std::move(Begun));
  return Result;
}

// Adds what this host learned about the upstream, if it declares slots.
void addEstimate(UpstreamClient &Client, const RelayRequest &Request,
                 RelayAnswer &Answer) {
  const ConcurrencyLimit *Limit = Client.concurrencyLimit();
  if (!Limit)
    return;
  const TimePoint Now = steadyNow();
  Answer.Limit = static_cast<double>(Limit->limit(Now));
  Answer.ServiceTime = std::chrono::duration_cast<std::chrono::microseconds>(
      Limit->estimate(Now).ServiceTime);
  PoolWaiter Same;
  Same.Workspace = Request.Workspace;
  Same.Priority = Request.Priority;
  Same.Target = TimePoint::max();
  const std::optional<Duration> Wait = Client.expectedWait(Same, false, Now);
  if (Wait)
    Answer.ExpectedWait =
        std::chrono::duration_cast<std::chrono::microseconds>(*Wait);
}

} // namespace

/// One connection from another host, with the transactions held for it.
class RelayServer::Peer : public std::enable_shared_from_this<Peer> {
public:
  Peer(tcp::socket Socket, const std::string &From, RelayServer &Owner)
      : Socket(std::move(Socket)), Owner(Owner),
        Memory(Owner.State.memory(), MemoryBudget::Role::Peer, From,
               [this] { this->close(); }) {}

  asio::awaitable<void> run();
  void close();

private:
  /// Counts a request while it is in progress.
  class InProgress {
  public:
    InProgress(Peer &Of, std::size_t Bytes);
    ~InProgress();
    InProgress(const InProgress &) = delete;
    InProgress &operator=(const InProgress &) = delete;

  private:
    Peer &Of;
    const std::size_t Bytes;
  };

  asio::awaitable<Result<void>> read(std::string &Bytes);
  void updateBusy();
  void handleRequest(RelayRequest Request, std::size_t Bytes);
  asio::awaitable<void> runWork(RelayRequest Request, std::size_t Bytes);
  asio::awaitable<ConnectionLease>
  lease(const RelayRequest &Request,
        const std::shared_ptr<UpstreamClient> &Client, WaitHandle &Wait);
  std::uint64_t hold(ConnectionLease Lease);
  void release(std::uint64_t Held);
  void enqueue(const std::string &Bytes);
  asio::awaitable<void> write();

  tcp::socket Socket;
  RelayServer &Owner;
  MemoryBudget::Account Memory;
  std::size_t Running = 0;     ///< Requests in progress.
  std::size_t LargeInWork = 0; ///< Bytes of the large ones of them.
  std::map<std::uint64_t, ConnectionLease> Held;
  std::map<std::uint64_t, WaitHandle *> Waits; ///< By request id.
  std::string Outgoing;
  BootTime LastSentAt = BootClock::now();
  bool Writing = false;
  bool Closed = false;
};

// Small requests are not counted, but their number is limited.
RelayServer::Peer::InProgress::InProgress(Peer &Of, std::size_t Bytes)
    : Of(Of), Bytes(Bytes > MemoryBudget::OrdinaryBytes ? Bytes : 0) {
  ++Of.Running;
  Of.LargeInWork += this->Bytes;
  Of.updateBusy();
}

RelayServer::Peer::InProgress::~InProgress() {
  --this->Of.Running;
  this->Of.LargeInWork -= this->Bytes;
  this->Of.updateBusy();
}

void RelayServer::Peer::updateBusy() {
  this->Memory.setBusy(this->Running > 0 || !this->Held.empty());
}

// Reads a message after there is memory for it. A peer that sends more than is
// carried out, or does not take its answers, is not read for that time.
asio::awaitable<Result<void>> RelayServer::Peer::read(std::string &Bytes) {
  while ((this->Running >= MaxRequestsInProgress ||
          this->Outgoing.size() >= MaxUntakenBytes) &&
         !this->Closed)
    co_await sleepUntil(steadyNow() + MemoryRetryInterval);
  const Result<std::size_t> Length = co_await readRelayLength(this->Socket);
  if (!Length)
    co_return Length.error();
  const std::size_t Large =
      Length.value() > MemoryBudget::OrdinaryBytes ? Length.value() : 0;
  // The message is held twice while it is decoded.
  const std::size_t Wanted = this->LargeInWork + 2 * Large;
  constexpr auto Use = MemoryBudget::Use::Relayed;
  if (Large > 0 &&
      this->Memory.reserve(Use, Wanted) != MemoryBudget::Grant::Given &&
      !co_await awaitMemory(this->Memory, Use, Wanted))
    co_return failure(ErrorKind::Unavailable, "no memory for the request");
  const Result<void> Read =
      co_await readRelayBody(this->Socket, Length.value(), Bytes);
  if (Read)
    this->Memory.touch();
  co_return Read;
}

asio::awaitable<void> RelayServer::Peer::run() {
  const std::shared_ptr<Peer> Self = this->shared_from_this();
  setLivenessOptions(this->Socket, UnacknowledgedTimeout);
  std::string Bytes;
  while (!this->Closed) {
    const Result<void> Read = co_await this->read(Bytes);
    if (!Read && Read.error().Kind != ErrorKind::Unavailable)
      logWarn("event=relay_request_unreadable error=\"" + Read.error().Detail +
              "\"");
    if (!Read)
      break;
    Result<RelayRequest> Request = decodeRelayRequest(Bytes);
    if (!Request) {
      logWarn("event=relay_request_unreadable error=\"" +
              Request.error().Detail + "\"");
      break;
    }
    const std::size_t Size = Bytes.size();
    if (Size > MemoryBudget::OrdinaryBytes)
      std::string().swap(Bytes);
    this->handleRequest(std::move(Request.value()), Size);
    this->Memory.reserve(MemoryBudget::Use::Relayed, this->LargeInWork);
  }
  this->close();
}

// Closes the connections of the transactions held for the host, so that the
// upstreams roll them back.
void RelayServer::Peer::close() {
  this->Closed = true;
  error_code Ignored;
  this->Socket.close(Ignored);
  for (const auto &[Id, Wait] : this->Waits)
    if (Wait->Cancel)
      Wait->Cancel();
  this->Owner.Active -= this->Held.size();
  this->Held.clear();
}

void RelayServer::Peer::handleRequest(RelayRequest Request, std::size_t Bytes) {
  switch (Request.Type) {
  case RelayRequest::Kind::Run:
    if (!deductTransitTime(
            Request, std::chrono::duration_cast<std::chrono::milliseconds>(
                         BootClock::now() - this->LastSentAt))) {
      logInfo("event=relay_request_late upstream=" + Request.Upstream);
      RelayAnswer NotRun;
      NotRun.Id = Request.Id;
      this->enqueue(encodeRelay(NotRun));
      return;
    }
    asio::co_spawn(this->Owner.Executor,
                   this->runWork(std::move(Request), Bytes), asio::detached);
    return;
  case RelayRequest::Kind::Cancel: {
    const auto Found = this->Waits.find(Request.Id);
    if (Found != this->Waits.end() && Found->second->Cancel)
      Found->second->Cancel();
    return;
  }
  case RelayRequest::Kind::Release:
    this->release(Request.Held);
    return;
  case RelayRequest::Kind::Ping: {
    RelayAnswer Alive;
    Alive.Id = Request.Id;
    this->enqueue(encodeRelay(Alive));
    return;
  }
  case RelayRequest::Kind::Admit: {
    RelayAnswer Answer;
    Answer.Id = Request.Id;
    const Result<void> Admitted =
        this->Owner.State.admitAsOwner(Request.Workspace, BootClock::now());
    if (!Admitted)
      Answer.Refusal = Admitted.error().Detail;
    this->enqueue(encodeRelay(Answer));
    return;
  }
  }
}

/// Holds the connection of an open transaction for the other host.
/// \returns the number by which the other host refers to it.
std::uint64_t RelayServer::Peer::hold(ConnectionLease Lease) {
  Lease.pin();
  const std::uint64_t Number = this->Owner.NextHeldNumber++;
  this->Held[Number] = std::move(Lease);
  ++this->Owner.Active;
  this->updateBusy();
  return Number;
}

void RelayServer::Peer::release(std::uint64_t Id) {
  const auto Found = this->Held.find(Id);
  if (Found == this->Held.end())
    return;
  ConnectionLease Lease = std::move(Found->second);
  this->Held.erase(Found);
  this->updateBusy();
  --this->Owner.Active;
  rollBackAndRelease(this->Owner.Executor, std::move(Lease));
}

asio::awaitable<ConnectionLease>
RelayServer::Peer::lease(const RelayRequest &Request,
                         const std::shared_ptr<UpstreamClient> &Client,
                         WaitHandle &Wait) {
  const TimePoint Now = steadyNow();
  // Commands of the proxies themselves can run on a connection of any
  // workspace.
  if (!Request.Work.hasStatement() && !Request.Hold) {
    ConnectionLease Idle = Client->tryAcquireIdle();
    if (Idle)
      co_return Idle;
  }
  PoolWaiter Waiter;
  Waiter.Workspace = Request.Workspace;
  Waiter.Priority = Request.Priority;
  Waiter.Target = Now + Request.TargetIn;
  Waiter.GiveUpAt = Now + Request.GiveUpIn;
  Waiter.TakesSlot = Request.Work.hasStatement();
  Waiter.Rate = this->Owner.State.access().rateOf(Request.Workspace);
  this->Waits[Request.Id] = &Wait;
  ConnectionLease Lease = co_await Client->acquire(std::move(Waiter), Wait);
  this->Waits.erase(Request.Id);
  co_return Lease;
}

asio::awaitable<void> RelayServer::Peer::runWork(RelayRequest Request,
                                                 std::size_t Bytes) {
  const std::shared_ptr<Peer> Self = this->shared_from_this();
  const InProgress Counted(*this, Bytes);
  const std::shared_ptr<RelayServer> Server = this->Owner.shared_from_this();
  const TimePoint Arrived = steadyNow();
  ++Server->Active;
  Server->State.metrics().CarriedOut.add();
  RelayAnswer Answer;
  Answer.Id = Request.Id;
  const std::shared_ptr<ProxyGroup> Group =
      Server->State.findGroupOf(Request.Upstream);
  const std::shared_ptr<UpstreamClient> Client =
      Group ? Group->gates().at(Request.Upstream) : nullptr;
  if (Group && Request.Work.MaxProofAge.count() > 0)
    if (const std::optional<ProxyGroup::KnownProof> Known =
            Group->knownProof(Request.Upstream, Request.Work.MaxProofAge)) {
      --Server->Active;
      Answer.Result = proofResult(*Known);
      this->enqueue(encodeRelay(Answer));
      co_return;
    }
  if (Group) {
    Group->recordUse(Request.Workspace, Arrived);
    Server->State.access().recordRelayedWork(Request.Upstream, Arrived);
  }
  const bool ProvesLeadership = Request.Work.provesLeadership();
  ConnectionLease Lease;
  WaitHandle Wait;
  if (Request.Held != 0) {
    const auto Found = this->Held.find(Request.Held);
    if (Found != this->Held.end()) {
      Lease = std::move(Found->second);
      this->Held.erase(Found);
      --Server->Active;
    }
  } else if (Client && !Client->unreachable()) {
    const bool Limited = Request.Work.hasStatement() || Request.Hold;
    if (!Limited || Client->admitsCold(Arrived))
      Lease = co_await this->lease(Request, Client, Wait);
    else
      Server->State.metrics().ColdRefusals.add();
    Answer.RetryAfter = Wait.RetryAfter;
    if (!Lease && Client->isEvacuated())
      Server->State.metrics().EvacuationRefusals.add();
  }
  Answer.Result.Waited = steadyNow() - Arrived;
  // After a pause of this host, requests can still be unread that the other
  // host has given up. A write among them must not take effect after newer
  // ones.
  if (!this->Closed && Request.Work.mayWrite() && closedByPeer(this->Socket)) {
    logInfo("event=relay_request_given_up upstream=" + Request.Upstream);
    this->close();
  }
  if (Lease && this->Closed && Request.Held == 0) {
    Lease.markReusable(); // Nothing was sent on it.
  } else if (Lease && !this->Closed) {
    Request.Work.Deadline = Arrived + Request.DeadlineIn;
    const Duration Waited = Answer.Result.Waited;
    Answer.Result = co_await executeWork(Lease, std::move(Request.Work),
                                         Server->State.access().names());
    Answer.Result.Waited = Waited;
    if (Group && ProvesLeadership)
      Group->recordRelayedWork(*Client, Answer.Result);
  }
  if (Request.Hold && !this->Closed && Answer.Result.Connected &&
      !Answer.Result.Lost && Answer.Result.SetUpError.empty() &&
      Answer.Result.state() != TransactionState::None)
    Answer.Held = this->hold(std::move(Lease));
  else
    Lease.reset();
  // The other host must not try its own connections if the upstream is
  // evacuated, even if it has not heard of the order.
  Answer.Result.Unreachable =
      !Client || (Client->unreachable() && !Client->isEvacuated());
  if (Client)
    Answer.Load = Client->pool().assigned() + Client->pool().waiting();
  if (Client)
    addEstimate(*Client, Request, Answer);
  --Server->Active;
  if (!this->Closed)
    this->enqueue(encodeRelay(Answer));
}

void RelayServer::Peer::enqueue(const std::string &Bytes) {
  this->Outgoing += Bytes;
  if (this->Writing)
    return;
  this->Writing = true;
  asio::co_spawn(this->Owner.Executor, this->write(), asio::detached);
}

asio::awaitable<void> RelayServer::Peer::write() {
  const std::shared_ptr<Peer> Self = this->shared_from_this();
  while (!this->Outgoing.empty() && !this->Closed) {
    const std::string Bytes = std::exchange(this->Outgoing, {});
    error_code Failure;
    this->LastSentAt = BootClock::now();
    co_await asio::async_write(this->Socket, asio::buffer(Bytes),
                               resumeWith(Failure));
    if (Failure)
      this->close();
  }
  this->Writing = false;
}

RelayServer::RelayServer(const asio::any_io_executor &Executor,
                         ProxyState &State)
    : Executor(Executor), State(State), Acceptor(Executor) {}

Result<void> RelayServer::listen(const Endpoint &Where) {
  BOOST_OUTCOME_TRY(listenOn(this->Acceptor, Where, Backlog));
  asio::co_spawn(this->Executor, this->accept(), asio::detached);
  return success();
}

void RelayServer::stop() {
  this->Stopped = true;
  error_code Ignored;
  this->Acceptor.close(Ignored);
  for (const std::shared_ptr<Peer> &Each : this->Peers)
    Each->close();
}

asio::awaitable<void> RelayServer::accept() {
  const std::shared_ptr<RelayServer> Self = this->shared_from_this();
  constexpr std::chrono::milliseconds PauseAfterFailure{20};
  while (!this->Stopped) {
    error_code Failure;
    tcp::socket Socket(this->Executor);
    tcp::endpoint Address;
    co_await this->Acceptor.async_accept(Socket, Address, resumeWith(Failure));
    if (this->Stopped)
      co_return;
    if (Failure) {
      logWarn("event=relay_accept_failed error=\"" + Failure.message() + "\"");
      co_await sleepUntil(steadyNow() + PauseAfterFailure);
      continue;
    }
    const std::string Host = Address.address().to_string();
    if (this->State.memory().admitConnection(MemoryBudget::Role::Peer, Host) ==
        MemoryBudget::Grant::Refused)
      continue; // Closes the connection.
    auto From = std::make_shared<Peer>(std::move(Socket), Host, *this);
    asio::co_spawn(this->Executor, this->serve(std::move(From)),
                   asio::detached);
  }
}

asio::awaitable<void> RelayServer::serve(std::shared_ptr<Peer> From) {
  const std::shared_ptr<RelayServer> Self = this->shared_from_this();
  const auto Place = this->Peers.insert(this->Peers.end(), From);
  co_await From->run();
  this->Peers.erase(Place);
}

} // namespace lavenderdale
