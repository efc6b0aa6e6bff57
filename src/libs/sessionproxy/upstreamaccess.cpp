#include "upstreamaccess.h"

#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "placement/hostcapacity.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

milliseconds timeLeft(TimePoint Deadline, TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Deadline - Now);
}

} // namespace

HeldConnection &HeldConnection::operator=(HeldConnection &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->reset();
  this->Client = std::move(Other.Client);
  this->Local = std::move(Other.Local);
  this->Relay = std::move(Other.Relay);
  this->Remote = std::exchange(Other.Remote, 0);
  this->Generation = Other.Generation;
  return *this;
}

void HeldConnection::reset() {
  this->Local.reset();
  if (this->Relay && this->Remote != 0 &&
      this->Relay->generation() == this->Generation) {
    RelayRequest Release;
    Release.Type = RelayRequest::Kind::Release;
    Release.Held = this->Remote;
    this->Relay->sendOneWay(Release);
  }
  this->Remote = 0;
  this->Relay.reset();
  this->Client.reset();
}

UpstreamAccess::UpstreamAccess(asio::any_io_executor Executor,
                               PlacementHost Self,
                               std::chrono::milliseconds EvacuationBound,
                               ProxyMetrics &Metrics)
    : Executor(std::move(Executor)), Self(std::move(Self)),
      Evacuated(EvacuationBound), Metrics(Metrics), Holders(this->Self.Name),
      Promoters(this->Self.Name) {}

void UpstreamAccess::setHosts(const FleetView &Fleet, BootTime Now) {
  const std::uint64_t Revision = Fleet.presentRevision(Now);
  if (Revision == this->AppliedRevision)
    return;
  this->AppliedRevision = Revision;
  std::vector<PlacementHost> NewLive{this->Self};
  const TimePoint SteadyTime = steadyNow();
  std::map<std::string, Host> Present;
  for (const auto &[Name, Each] : Fleet.present(Now)) {
    NewLive.push_back({Name, Each->FailureDomain, Each->Capacity});
    Host &Entry = Present[Name];
    const auto Known = this->Hosts.find(Name);
    if (Known != this->Hosts.end() &&
        Known->second.Relay->endpoint() == Each->Address)
      Entry.Relay = Known->second.Relay;
    else
      Entry.Relay =
          std::make_shared<RelayClient>(this->Executor, Each->Address);
    if (Each->Last)
      Entry.HeardAt = SteadyTime - (Now - Each->HeardAt);
  }
  // Transactions that are held over a replaced relay client keep it alive.
  this->Hosts = std::move(Present);
  fillCapacities(NewLive);
  std::ranges::sort(NewLive, {}, &PlacementHost::Name);
  if (NewLive == this->Live)
    return;
  this->Live = NewLive;
  this->Promoters.setHosts(this->Live);
  this->Holders.setHosts(std::move(NewLive));
}

void UpstreamAccess::recordReport(const std::string &Name, TimePoint Now) {
  const auto Found = this->Hosts.find(Name);
  if (Found != this->Hosts.end())
    Found->second.HeardAt = Now;
}

std::string UpstreamAccess::chooseHolder(const UpstreamEntry &Entry,
                                         TimePoint Now) {
  std::string Name = this->Holders.choose(Entry.Id, Entry.FailureDomain, Now);
  return this->Hosts.count(Name) ? Name : this->Self.Name;
}

bool UpstreamAccess::heardRecently(const std::string &Name,
                                   TimePoint Now) const {
  const Host &Asked = this->Hosts.at(Name);
  return Now - std::max(Asked.HeardAt, Asked.Relay->lastReceivedAt()) <
         RecentContactLimit;
}

std::shared_ptr<UpstreamAccess::PendingPing>
UpstreamAccess::startPing(const std::string &Name) {
  const auto UnderWay = this->Pings.find(Name);
  if (UnderWay != this->Pings.end())
    return UnderWay->second;
  auto Ping = std::make_shared<PendingPing>(this->Executor);
  this->Pings[Name] = Ping;
  Ping->Ended.expires_at(steadyNow() + PingTimeout * 2);
  asio::co_spawn(this->Executor, this->runPing(Name, Ping), asio::detached);
  return Ping;
}

asio::awaitable<void>
UpstreamAccess::runPing(std::string Name, std::shared_ptr<PendingPing> Ping) {
  const auto Found = this->Hosts.find(Name);
  const std::shared_ptr<RelayClient> Relay =
      Found == this->Hosts.end() ? nullptr : Found->second.Relay;
  bool Answered = false;
  if (Relay)
    Answered = co_await ping(*Relay);
  Ping->Answered = Answered;
  Ping->Ended.cancel();
  this->Pings.erase(Name);
  if (Answered || !Relay)
    co_return;
  logInfo("event=host_silent host=" + Name);
  this->hostFailed(Name);
}

asio::awaitable<bool> UpstreamAccess::isAlive(std::string Name) {
  if (this->heardRecently(Name, steadyNow()))
    co_return true;
  const std::shared_ptr<PendingPing> Ping = this->startPing(Name);
  error_code Ignored;
  while (!Ping->Answered && steadyNow() < Ping->Ended.expiry())
    co_await Ping->Ended.async_wait(resumeWith(Ignored));
  co_return Ping->Answered.value_or(false);
}

void UpstreamAccess::prepareWrite(const UpstreamEntry &Entry) {
  const TimePoint Now = steadyNow();
  const std::string Name = this->chooseHolder(Entry, Now);
  if (Name != this->Self.Name && !this->heardRecently(Name, Now))
    this->startPing(Name);
}

asio::awaitable<bool> UpstreamAccess::ping(RelayClient &Relay) {
  const std::shared_ptr<RelayClient> Keep = Relay.shared_from_this();
  RelayRequest Ping;
  Ping.Type = RelayRequest::Kind::Ping;
  std::uint64_t Id = 0;
  const RelayOutcome Outcome =
      co_await Relay.run(std::move(Ping), Id, steadyNow() + PingTimeout);
  co_return Outcome.Answer.has_value();
}

void UpstreamAccess::hostFailed(const std::string &Name) {
  this->Holders.hostFailed(Name, steadyNow());
  if (!this->Rechecked.insert(Name).second)
    return;
  const auto Found = std::ranges::find(this->Live, Name, &PlacementHost::Name);
  if (Found != this->Live.end())
    this->DomainsToCheck.insert(Found->FailureDomain);
  asio::co_spawn(this->Executor, this->recheck(Name), asio::detached);
}

std::vector<std::string>
UpstreamAccess::silentHosts(const std::string &FailureDomain,
                            TimePoint Since) const {
  std::vector<std::string> Names;
  for (const PlacementHost &Each : this->Live) {
    const auto Found = this->Hosts.find(Each.Name);
    if (Each.FailureDomain == FailureDomain && Found != this->Hosts.end() &&
        std::max(Found->second.HeardAt, Found->second.Relay->lastReceivedAt()) <
            Since)
      Names.push_back(Each.Name);
  }
  return Names;
}

asio::awaitable<void> UpstreamAccess::recheck(std::string Name) {
  while (true) {
    co_await sleepUntil(steadyNow() + RecheckInterval);
    const auto Found = this->Hosts.find(Name);
    if (Found == this->Hosts.end())
      break;
    const std::shared_ptr<RelayClient> Relay = Found->second.Relay;
    const bool Answered = co_await ping(*Relay);
    if (Answered) {
      logInfo("event=host_answers host=" + Name);
      this->Holders.hostAnswered(Name, steadyNow());
      break;
    }
    this->Holders.hostFailed(Name, steadyNow());
  }
  this->Rechecked.erase(Name);
}

std::vector<std::string> UpstreamAccess::promoters(const std::string &Group) {
  return this->Promoters.first(Group, PromoterCount);
}

std::size_t UpstreamAccess::promotionRank(const std::string &Group) {
  return this->Promoters.ownRank(Group);
}

std::string UpstreamAccess::rateOwner(const std::string &Workspace,
                                      TimePoint Now) {
  // Hosts of all failure domains are candidates, because no host is in the
  // domain with the empty name.
  std::string Name = this->Holders.choose("rate/" + Workspace, "", Now);
  return this->Hosts.count(Name) ? Name : this->Self.Name;
}

asio::awaitable<std::optional<std::string>>
UpstreamAccess::requestAdmission(const std::string &Owner,
                                 const std::string &Workspace) {
  const auto Found = this->Hosts.find(Owner);
  if (Found == this->Hosts.end())
    co_return std::nullopt;
  const std::shared_ptr<RelayClient> Relay = Found->second.Relay;
  RelayRequest Request;
  Request.Type = RelayRequest::Kind::Admit;
  Request.Workspace = Workspace;
  std::uint64_t Id = 0;
  RelayOutcome Outcome = co_await Relay->run(std::move(Request), Id,
                                             steadyNow() + RateCheckTimeout);
  if (Outcome.Answer)
    co_return std::move(Outcome.Answer->Refusal);
  logInfo("event=rate_owner_silent host=" + Owner + " workspace=" + Workspace +
          " silent=" + (Outcome.HostSilent ? "yes" : "no"));
  if (Outcome.HostSilent)
    this->hostFailed(Owner);
  co_return std::nullopt;
}

bool UpstreamAccess::isRemote(const UpstreamEntry &Entry, TimePoint Now) {
  return this->chooseHolder(Entry, Now) != this->Self.Name;
}

std::size_t UpstreamAccess::rank(const UpstreamEntry &Entry, TimePoint Now) {
  const std::size_t Rank =
      this->Holders.rank(this->Self.Name, Entry.Id, Entry.FailureDomain);
  if (Rank < HolderCount)
    return Rank;
  const auto Relayed = this->RelayedWorkAt.find(Entry.Id);
  const bool StandsIn = (Relayed != this->RelayedWorkAt.end() &&
                         Now - Relayed->second < StandInTime) ||
                        !this->isRemote(Entry, Now);
  return StandsIn ? HolderCount - 1 : Rank;
}

bool UpstreamAccess::maySend(const UpstreamEntry &Entry) const {
  const Evacuations::Order *Order = this->Evacuated.find(Entry.FailureDomain);
  return !Order || steadyNow() < Order->TransactionsEndAt;
}

// Nothing was sent, and the path to the upstream has not failed.
WorkResult UpstreamAccess::refuseEvacuated() {
  this->Metrics.EvacuationRefusals.add();
  return {};
}

double UpstreamAccess::rateOf(const std::string &Workspace) const {
  const auto Found = this->Rates.find(Workspace);
  return Found == this->Rates.end() ? 0 : Found->second;
}

asio::awaitable<WorkResult>
UpstreamAccess::run(std::shared_ptr<UpstreamClient> Client, PoolWaiter Waiter,
                    UpstreamWork Work, WaitHandle &Wait, HeldConnection *Hold) {
  if (this->isEvacuated(Client->entry()))
    co_return this->refuseEvacuated();
  std::string Name = this->chooseHolder(Client->entry(), steadyNow());
  // The outcome of a write is unknown if the holder fails, and a probe that is
  // lost with its holder delays the next proof that the primary is still the
  // primary.
  if (Name != this->Self.Name && Work.mayWrite()) {
    const bool Alive = co_await this->isAlive(Name);
    if (!Alive)
      Name = this->chooseHolder(Client->entry(), steadyNow());
    if (this->isEvacuated(Client->entry()))
      co_return this->refuseEvacuated();
  }
  const std::shared_ptr<UpstreamClient> Target = Client;
  const UsageCounter Use(*Target);
  const std::string Upstream = Target->entry().Id;
  const bool Statement = Work.hasStatement();
  WorkResult Result;
  if (Name != this->Self.Name && this->Hosts.count(Name)) {
    Result = co_await this->runRemotely(Name, Client, Waiter, Work, Wait, Hold);
    this->recordPathResult(Name, Upstream, Result, Statement);
    // Nothing was sent to the upstream, so the work can still run over the
    // connections of this host.
    const bool Retry = !Result.Connected && Result.Unreachable &&
                       steadyNow() < Waiter.GiveUpAt;
    if (!Retry)
      co_return Result;
  }
  const Duration Before = Result.Waited;
  Result = co_await this->runLocally(std::move(Client), std::move(Waiter),
                                     std::move(Work), Wait, Hold);
  Result.Waited += Before;
  this->recordPathResult(this->Self.Name, Upstream, Result, Statement);
  co_return Result;
}

// Upstreams answer probes quickly, so a single lost answer to a probe marks the
// path as failed.
void UpstreamAccess::recordPathResult(const std::string &Host,
                                      const std::string &Upstream,
                                      const WorkResult &Result,
                                      bool Statement) {
  const TimePoint Now = steadyNow();
  if (Result.RelayFailed)
    return;
  if (!Result.Connected) {
    if (Result.Unreachable)
      this->Holders.pathFailed(Host, Upstream, Now);
  } else if (Result.Lost) {
    this->Holders.answersLost(
        Host, Upstream, Statement ? 1 : HolderSelector::LostAnswersOfFailedPath,
        Now);
  } else {
    this->Holders.pathAnswered(Host, Upstream);
  }
}

asio::awaitable<WorkResult>
UpstreamAccess::runLocally(std::shared_ptr<UpstreamClient> Client,
                           PoolWaiter Waiter, UpstreamWork Work,
                           WaitHandle &Wait, HeldConnection *Hold) {
  const TimePoint Start = steadyNow();
  ConnectionLease Lease;
  const bool Limited = Work.hasStatement() || Hold;
  if (Limited && !Client->admitsCold(Start)) {
    this->Metrics.ColdRefusals.add();
    co_return WorkResult();
  }
  // Commands of the proxy itself can run on a connection of any workspace.
  if (!Work.hasStatement() && !Hold)
    Lease = Client->tryAcquireIdle();
  Waiter.TakesSlot = Work.hasStatement();
  Waiter.Rate = this->rateOf(Waiter.Workspace);
  if (!Lease)
    Lease = co_await Client->acquire(std::move(Waiter), Wait);
  WorkResult Result;
  if (!Lease) {
    Result.Waited = steadyNow() - Start;
    Result.RetryAfter = Wait.RetryAfter;
    Result.Unreachable = Client->unreachable();
    co_return Result;
  }
  const Duration Waited = steadyNow() - Start;
  Result = co_await executeWork(Lease, std::move(Work), this->Names);
  Result.Waited = Waited;
  if (Hold && !Result.Lost && Result.SetUpError.empty() &&
      Result.state() != TransactionState::None) {
    Lease.pin();
    Hold->Client = std::move(Client);
    Hold->Local = std::move(Lease);
  }
  co_return Result;
}

asio::awaitable<WorkResult>
UpstreamAccess::runRemotely(const std::string &Name,
                            std::shared_ptr<UpstreamClient> Client,
                            const PoolWaiter &Waiter, UpstreamWork Work,
                            WaitHandle &Wait, HeldConnection *Hold) {
  const std::shared_ptr<RelayClient> Relay = this->Hosts.at(Name).Relay;
  const TimePoint Start = steadyNow();
  RelayRequest Request;
  Request.Upstream = Client->entry().Id;
  Request.Workspace = Waiter.Workspace;
  Request.Priority = Waiter.Priority;
  Request.TargetIn = timeLeft(Waiter.Target, Start);
  Request.GiveUpIn = timeLeft(
      std::min<TimePoint>(Waiter.GiveUpAt, Work.Deadline - AnswerReserve),
      Start);
  Request.DeadlineIn = timeLeft(Work.Deadline, Start);
  Request.Hold = Hold != nullptr;
  const TimePoint Deadline = Work.Deadline;
  Request.Work = std::move(Work);
  const BootTime SentAt = BootClock::now();
  std::uint64_t Id = 0;
  Wait.Cancel = [&Id, &Relay] {
    RelayRequest Cancel;
    Cancel.Type = RelayRequest::Kind::Cancel;
    Cancel.Id = Id;
    if (Id != 0)
      Relay->sendOneWay(Cancel);
  };
  RelayOutcome Outcome = co_await Relay->run(std::move(Request), Id, Deadline);
  Wait.Cancel = nullptr;
  const TimePoint Now = steadyNow();
  this->Metrics.Relayed.add();
  if (!Outcome.Answer) {
    this->Metrics.RelaysFailed.add();
    logInfo("event=relay_failed host=" + Name + " upstream=" +
            Client->entry().Id + " sent=" + (Outcome.Sent ? "yes" : "no") +
            " silent=" + (Outcome.HostSilent ? "yes" : "no") +
            " after_ms=" + std::to_string(timeLeft(Now, Start).count()));
    if (Outcome.HostSilent)
      this->hostFailed(Name);
    else
      this->Holders.answersLost(Name, Client->entry().Id, 1, Now);
    WorkResult Lost;
    Lost.Connected = Outcome.Sent;
    Lost.Sent = Outcome.Sent;
    Lost.Lost = true;
    Lost.RelayFailed = true;
    Lost.Unreachable = !Outcome.Sent;
    Lost.SentAt = SentAt;
    Lost.Ran = Now - Start;
    co_return Lost;
  }
  this->Holders.hostAnswered(Name, Now);
  WorkResult Result = std::move(Outcome.Answer->Result);
  Result.SentAt = SentAt;
  Result.RetryAfter = Outcome.Answer->RetryAfter;
  Client->recordRemoteLoad(Outcome.Answer->Load, Now);
  Client->recordRemoteEstimate(
      {Outcome.Answer->Limit, Outcome.Answer->ServiceTime},
      Outcome.Answer->ExpectedWait, Now);
  if (!Result.Connected && Result.Unreachable) {
    logInfo("event=relay_unreachable host=" + Name +
            " upstream=" + Client->entry().Id);
  }
  if (Hold && Outcome.Answer->Held != 0) {
    Hold->Client = std::move(Client);
    Hold->Relay = Relay;
    Hold->Remote = Outcome.Answer->Held;
    Hold->Generation = Relay->generation();
  }
  co_return Result;
}

asio::awaitable<WorkResult> UpstreamAccess::runHeld(HeldConnection &Held,
                                                    UpstreamWork Work) {
  const std::shared_ptr<UpstreamClient> Client = Held.Client;
  if (!this->maySend(Client->entry())) {
    // Without an answer and without bytes sent, the transaction counts as
    // rolled back.
    WorkResult Ended = this->refuseEvacuated();
    Ended.Lost = true;
    co_return Ended;
  }
  if (!Held.Relay) {
    WorkResult Result =
        co_await executeWork(Held.Local, std::move(Work), this->Names);
    co_return Result;
  }
  const std::shared_ptr<RelayClient> Relay = Held.Relay;
  const TimePoint Start = steadyNow();
  RelayRequest Request;
  Request.Upstream = Client->entry().Id;
  Request.Held = std::exchange(Held.Remote, 0);
  Request.Hold = true;
  Request.DeadlineIn = timeLeft(Work.Deadline, Start);
  const TimePoint Deadline = Work.Deadline;
  Request.Work = std::move(Work);
  const BootTime SentAt = BootClock::now();
  std::uint64_t Id = 0;
  RelayOutcome Outcome;
  // The holder closes a held connection when the connection
  // to this host breaks.
  if (Relay->isOpen() && Relay->generation() == Held.Generation &&
      Request.Held != 0)
    Outcome = co_await Relay->run(std::move(Request), Id, Deadline);
  WorkResult Result;
  if (Outcome.Answer) {
    Result = std::move(Outcome.Answer->Result);
    Held.Remote = Outcome.Answer->Held;
    Result.Lost = Result.Lost || !Result.Connected;
  } else {
    logInfo("event=relay_failed held=yes upstream=" + Client->entry().Id +
            " sent=" + (Outcome.Sent ? "yes" : "no"));
    Result.Sent = Outcome.Sent;
    Result.Lost = true;
  }
  Result.SentAt = SentAt;
  co_return Result;
}

void UpstreamAccess::rollBack(HeldConnection Held) {
  // Also for an upstream whose entry was removed before the order. The held
  // connection is closed when it is destroyed.
  const bool MaySend = !Held || this->maySend(Held.Client->entry());
  if (Held.Local && MaySend)
    rollBackAndRelease(this->Executor, std::move(Held.Local));
  // The holder rolls back a remote transaction when it receives the release.
}

} // namespace lavenderdale
