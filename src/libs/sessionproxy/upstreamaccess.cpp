#include "upstreamaccess.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

milliseconds until(TimePoint Deadline, TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Deadline - Now);
}

// Single writes, and probes: a probe that is lost with the relaying host
// delays the next proof that the primary leads.
bool needsLiveHost(const UpstreamWork &Work) {
  return !Work.Guard && !Work.Commands.front().After;
}

} // namespace

HeldConnection &HeldConnection::operator=(HeldConnection &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->reset();
  this->Gate = std::move(Other.Gate);
  this->Local = std::move(Other.Local);
  this->Link = std::move(Other.Link);
  this->Remote = std::exchange(Other.Remote, 0);
  this->Generation = Other.Generation;
  return *this;
}

void HeldConnection::reset() {
  this->Local.reset();
  if (this->Link && this->Remote != 0 &&
      this->Link->generation() == this->Generation) {
    RelayRequest Release;
    Release.Type = RelayRequest::Kind::Release;
    Release.Held = this->Remote;
    this->Link->tell(Release);
  }
  this->Remote = 0;
  this->Link.reset();
  this->Gate.reset();
}

UpstreamAccess::UpstreamAccess(asio::any_io_executor Executor,
                               std::string OwnName, std::string OwnDomain,
                               ProxyMetrics &Metrics)
    : Executor(std::move(Executor)), OwnName(std::move(OwnName)),
      OwnDomain(std::move(OwnDomain)), Metrics(Metrics),
      Holders(this->OwnName) {}

void UpstreamAccess::setHosts(const FleetView &Fleet, BootTime Now) {
  std::vector<PlacementHost> Live{{this->OwnName, this->OwnDomain}};
  const TimePoint Steady = steadyNow();
  std::map<std::string, Host> Present;
  for (const FleetView::Host *Each : Fleet.fresh(Now)) {
    const HostReport &Last = *Each->Last;
    if (Last.Leaving)
      continue;
    Live.push_back({Last.Host, Last.FailureDomain});
    Host &Entry = Present[Last.Host];
    const auto Known = this->Hosts.find(Last.Host);
    if (Known != this->Hosts.end() &&
        Known->second.Link->where() == Each->Address)
      Entry.Link = Known->second.Link;
    else
      Entry.Link = std::make_shared<RelayLink>(this->Executor, Each->Address);
    Entry.HeardAt = Steady - (Now - Each->HeardAt);
  }
  // Transactions that are held over a link keep it.
  this->Hosts = std::move(Present);
  std::ranges::sort(Live, {}, &PlacementHost::Name);
  this->Holders.setHosts(std::move(Live));
}

void UpstreamAccess::heard(const std::string &Name, TimePoint Now) {
  const auto Found = this->Hosts.find(Name);
  if (Found != this->Hosts.end())
    Found->second.HeardAt = Now;
}

std::string UpstreamAccess::choose(const UpstreamEntry &Entry, TimePoint Now) {
  std::string Name = this->Holders.choose(Entry.Id, Entry.FailureDomain, Now);
  return this->Hosts.count(Name) ? Name : this->OwnName;
}

asio::awaitable<bool> UpstreamAccess::isAlive(const std::string &Name) {
  const Host &Asked = this->Hosts.at(Name);
  const std::shared_ptr<RelayLink> Link = Asked.Link;
  const TimePoint Now = steadyNow();
  if (Now - std::max(Asked.HeardAt, Link->heardAt()) < HeardLately)
    co_return true;
  RelayRequest Ping;
  Ping.Type = RelayRequest::Kind::Ping;
  std::uint64_t Id = 0;
  const RelayOutcome Outcome =
      co_await Link->run(std::move(Ping), Id, Now + PingLimit);
  if (Outcome.Answer)
    co_return true;
  logInfo("event=host_silent host=" + Name);
  this->Holders.hostFailed(Name, steadyNow());
  co_return false;
}

std::string UpstreamAccess::rateOwner(const std::string &Workspace,
                                      TimePoint Now) {
  // No host is in the domain without a name, so all of them are candidates.
  std::string Name = this->Holders.choose("rate/" + Workspace, "", Now);
  return this->Hosts.count(Name) ? Name : this->OwnName;
}

asio::awaitable<std::optional<std::string>>
UpstreamAccess::spend(const std::string &Owner, const std::string &Workspace) {
  const auto Found = this->Hosts.find(Owner);
  if (Found == this->Hosts.end())
    co_return std::nullopt;
  const std::shared_ptr<RelayLink> Link = Found->second.Link;
  RelayRequest Request;
  Request.Type = RelayRequest::Kind::Spend;
  Request.Workspace = Workspace;
  std::uint64_t Id = 0;
  RelayOutcome Outcome =
      co_await Link->run(std::move(Request), Id, steadyNow() + SpendLimit);
  if (Outcome.Answer)
    co_return std::move(Outcome.Answer->Refusal);
  logInfo("event=rate_owner_silent host=" + Owner + " workspace=" + Workspace);
  this->Holders.hostFailed(Owner, steadyNow());
  co_return std::nullopt;
}

bool UpstreamAccess::isRemote(const UpstreamEntry &Entry, TimePoint Now) {
  return this->choose(Entry, Now) != this->OwnName;
}

std::size_t UpstreamAccess::rank(const UpstreamEntry &Entry) {
  return this->Holders.rank(this->OwnName, Entry.Id, Entry.FailureDomain);
}

asio::awaitable<WorkResult>
UpstreamAccess::run(std::shared_ptr<UpstreamGate> Gate, PoolWaiter Waiter,
                    UpstreamWork Work, WaitHandle &Wait, HeldConnection *Hold) {
  std::string Name = this->choose(Gate->entry(), steadyNow());
  if (Name != this->OwnName && needsLiveHost(Work)) {
    const bool Alive = co_await this->isAlive(Name);
    if (!Alive)
      Name = this->choose(Gate->entry(), steadyNow());
  }
  const std::shared_ptr<UpstreamGate> Target = Gate;
  const UseCount Use(*Target);
  const std::string Upstream = Target->entry().Id;
  const bool Statement = Work.hasStatement();
  WorkResult Result;
  if (Name != this->OwnName && this->Hosts.count(Name)) {
    Result = co_await this->runThere(Name, Gate, Waiter, Work, Wait, Hold);
    this->judgePath(Name, Upstream, Result, Statement);
    // Nothing was sent to the upstream; the own connections are left.
    const bool Again =
        !Result.Connected && Result.Unreachable && steadyNow() < Waiter.GiveUp;
    if (!Again)
      co_return Result;
  }
  const Duration Before = Result.Waited;
  Result = co_await this->runHere(std::move(Gate), std::move(Waiter),
                                  std::move(Work), Wait, Hold);
  Result.Waited += Before;
  this->judgePath(this->OwnName, Upstream, Result, Statement);
  co_return Result;
}

// A probe asks for little, so one that is not answered is evidence enough.
void UpstreamAccess::judgePath(const std::string &Host,
                               const std::string &Upstream,
                               const WorkResult &Result, bool Statement) {
  const TimePoint Now = steadyNow();
  if (Result.RelayFailed) {
    this->Holders.hostFailed(Host, Now);
  } else if (!Result.Connected) {
    if (Result.Unreachable)
      this->Holders.pathFailed(Host, Upstream, Now);
  } else if (Result.Lost) {
    this->Holders.answersLost(
        Host, Upstream, Statement ? 1 : HolderChoice::LossesOfFailedPath, Now);
  } else {
    this->Holders.pathAnswered(Host, Upstream);
  }
}

asio::awaitable<WorkResult>
UpstreamAccess::runHere(std::shared_ptr<UpstreamGate> Gate, PoolWaiter Waiter,
                        UpstreamWork Work, WaitHandle &Wait,
                        HeldConnection *Hold) {
  const TimePoint Start = steadyNow();
  ConnectionLease Lease;
  // Commands of the proxy itself suit a connection of any workspace.
  if (!Work.hasStatement() && !Hold)
    Lease = Gate->borrow();
  if (!Lease)
    Lease = co_await Gate->acquire(std::move(Waiter), Wait);
  WorkResult Result;
  if (!Lease) {
    Result.Waited = steadyNow() - Start;
    Result.Unreachable = Gate->unreachable();
    co_return Result;
  }
  const Duration Waited = steadyNow() - Start;
  Result = co_await performWork(Lease, std::move(Work), this->Names);
  Result.Waited = Waited;
  if (Hold && !Result.Lost && Result.SetUpError.empty() &&
      Result.state() != TransactionState::None) {
    Lease.pin();
    Hold->Gate = std::move(Gate);
    Hold->Local = std::move(Lease);
  }
  co_return Result;
}

asio::awaitable<WorkResult>
UpstreamAccess::runThere(const std::string &Name,
                         std::shared_ptr<UpstreamGate> Gate,
                         const PoolWaiter &Waiter, UpstreamWork Work,
                         WaitHandle &Wait, HeldConnection *Hold) {
  const std::shared_ptr<RelayLink> Link = this->Hosts.at(Name).Link;
  const TimePoint Start = steadyNow();
  RelayRequest Request;
  Request.Upstream = Gate->entry().Id;
  Request.Workspace = Waiter.Workspace;
  Request.Priority = Waiter.Priority;
  Request.TargetIn = until(Waiter.Target, Start);
  Request.GiveUpIn = until(Waiter.GiveUp, Start);
  Request.DeadlineIn = until(Work.Deadline, Start);
  Request.Hold = Hold != nullptr;
  const TimePoint Deadline = Work.Deadline;
  Request.Work = std::move(Work);
  const BootTime SentAt = BootClock::now();
  std::uint64_t Id = 0;
  Wait.Cancel = [&Id, &Link] {
    RelayRequest Cancel;
    Cancel.Type = RelayRequest::Kind::Cancel;
    Cancel.Id = Id;
    if (Id != 0)
      Link->tell(Cancel);
  };
  RelayOutcome Outcome = co_await Link->run(std::move(Request), Id, Deadline);
  Wait.Cancel = nullptr;
  const TimePoint Now = steadyNow();
  this->Metrics.Relayed.add();
  if (!Outcome.Answer) {
    this->Metrics.RelaysFailed.add();
    logInfo("event=relay_failed host=" + Name + " upstream=" +
            Gate->entry().Id + " sent=" + (Outcome.Sent ? "yes" : "no") +
            " after_ms=" + std::to_string(until(Now, Start).count()));
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
  this->Holders.hostAnswered(Name);
  WorkResult Result = std::move(Outcome.Answer->Result);
  Result.SentAt = SentAt;
  Gate->countRemoteLoad(Outcome.Answer->Load, Now);
  if (!Result.Connected && Result.Unreachable) {
    logInfo("event=relay_unreachable host=" + Name +
            " upstream=" + Gate->entry().Id);
  }
  if (Hold && Outcome.Answer->Held != 0) {
    Hold->Gate = std::move(Gate);
    Hold->Link = Link;
    Hold->Remote = Outcome.Answer->Held;
    Hold->Generation = Link->generation();
  }
  co_return Result;
}

asio::awaitable<WorkResult> UpstreamAccess::runHeld(HeldConnection &Held,
                                                    UpstreamWork Work) {
  const std::shared_ptr<UpstreamGate> Gate = Held.Gate;
  if (!Held.Link) {
    WorkResult Result =
        co_await performWork(Held.Local, std::move(Work), this->Names);
    co_return Result;
  }
  const std::shared_ptr<RelayLink> Link = Held.Link;
  const TimePoint Start = steadyNow();
  RelayRequest Request;
  Request.Upstream = Gate->entry().Id;
  Request.Held = std::exchange(Held.Remote, 0);
  Request.Hold = true;
  Request.DeadlineIn = until(Work.Deadline, Start);
  const TimePoint Deadline = Work.Deadline;
  Request.Work = std::move(Work);
  const BootTime SentAt = BootClock::now();
  std::uint64_t Id = 0;
  RelayOutcome Outcome;
  // The connection is lost with the link that it was held over.
  if (Link->isOpen() && Link->generation() == Held.Generation &&
      Request.Held != 0)
    Outcome = co_await Link->run(std::move(Request), Id, Deadline);
  WorkResult Result;
  if (Outcome.Answer) {
    Result = std::move(Outcome.Answer->Result);
    Held.Remote = Outcome.Answer->Held;
    Result.Lost = Result.Lost || !Result.Connected;
  } else {
    logInfo("event=relay_failed held=yes upstream=" + Gate->entry().Id +
            " sent=" + (Outcome.Sent ? "yes" : "no"));
    Result.Sent = Outcome.Sent;
    Result.Lost = true;
  }
  Result.SentAt = SentAt;
  co_return Result;
}

void UpstreamAccess::rollBack(HeldConnection Held) {
  if (Held.Local)
    rollBackAndKeep(this->Executor, std::move(Held.Local));
  // A remote connection is rolled back by its host when it is released.
}

} // namespace lavenderdale
