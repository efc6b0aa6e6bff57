#include "proxygroup.h"

#include "http/sleepuntil.h"
#include "placement/memberchoice.h"
#include "pooling/connectionshare.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using Command = UpstreamCommand;

// Age up to which the last known log position of a replica is used to tell
// whether it is behind.
constexpr std::chrono::milliseconds PositionLifetime{300};

} // namespace

ProxyGroup::ProxyGroup(const asio::any_io_executor &Executor,
                       const UpstreamProtocol &Protocol, UpstreamAccess &Access,
                       std::string Name, std::string OwnDomain)
    : Executor(Executor), Protocol(Protocol), Access(Access),
      Name(std::move(Name)), OwnDomain(std::move(OwnDomain)) {}

void ProxyGroup::start() {
  asio::co_spawn(this->Executor, this->probeLoop(), asio::detached);
}

void ProxyGroup::stop() {
  this->Stopped = true;
  for (const auto &[Id, Client] : this->Clients)
    Client->retire();
  this->Clients.clear();
}

void ProxyGroup::setMembers(const std::vector<UpstreamEntry> &Entries) {
  std::set<std::string> Present;
  std::vector<PrimaryTracker::Member> Members;
  for (const UpstreamEntry &Each : Entries) {
    Present.insert(Each.Id);
    Members.push_back({Each.Id, Each.ClaimsPrimary, Each.Leaving});
    std::shared_ptr<UpstreamClient> &Client = this->Clients[Each.Id];
    if (Client) {
      Client->update(Each);
      continue;
    }
    Client =
        std::make_shared<UpstreamClient>(this->Executor, this->Protocol, Each);
  }
  std::erase_if(this->Clients, [&Present](const auto &Each) {
    if (Present.count(Each.first))
      return false;
    Each.second->retire();
    return true;
  });
  this->Tracker.setMembers(Members, steadyNow());
  this->setConnectionLimit(this->ConnectionLimit);
}

void ProxyGroup::setConnectionLimit(std::size_t Limit) {
  this->ConnectionLimit = Limit;
  for (const auto &[Id, Client] : this->Clients) {
    const ConnectionShare Share =
        connectionShare(Limit, this->Access.rank(Client->entry()));
    Client->pool().setCapacity(Share.Guaranteed, Share.Max);
  }
}

void ProxyGroup::recordUse(const std::string &Workspace, TimePoint Now) {
  this->LastUse = Now;
  if (this->LastWorkspace != Workspace)
    this->LastWorkspace = Workspace;
}

bool ProxyGroup::inUse(TimePoint Now) const {
  return !this->LastWorkspace.empty() && Now - this->LastUse < IdleTimeout;
}

std::shared_ptr<UpstreamClient> ProxyGroup::primary(TimePoint Now) {
  const std::optional<std::string> Id = this->Tracker.primary(Now);
  if (!Id)
    return nullptr;
  const auto Found = this->Clients.find(*Id);
  return Found == this->Clients.end() ? nullptr : Found->second;
}

asio::awaitable<std::shared_ptr<UpstreamClient>>
ProxyGroup::waitForPrimary(TimePoint Until, WaitHandle &Wait) {
  // Polls, because a member's refusal expires without an event.
  constexpr std::chrono::milliseconds PollInterval{25};
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  bool Cancelled = false;
  Wait.Cancel = [&Cancelled] { Cancelled = true; };
  std::shared_ptr<UpstreamClient> Client;
  while (!Cancelled && !this->Stopped) {
    const TimePoint Now = steadyNow();
    Client = this->primary(Now);
    if (Client || Now >= Until)
      break;
    co_await sleepUntil(std::min<TimePoint>(Until, Now + PollInterval));
  }
  Wait.Cancel = nullptr;
  co_return Client;
}

// Assumes that a replica lacks a position only if it was found behind within
// PositionLifetime.
bool ProxyGroup::knownBehind(const UpstreamClient &Client,
                             const Position &After, TimePoint Now) const {
  return Client.lastPosition() && *Client.lastPosition() < After &&
         Now - Client.lastPositionAt() < PositionLifetime &&
         Now - Client.behindAt() < PositionLifetime;
}

std::shared_ptr<UpstreamClient>
ProxyGroup::chooseReader(const std::string &Workspace, const Position &After,
                         const std::set<std::string> &Excluded, TimePoint Now) {
  std::vector<ReadMember> Candidates;
  std::vector<std::shared_ptr<UpstreamClient>> Members;
  const std::optional<std::string> Primary = this->Tracker.primary(Now);
  bool OthersStay = false;
  for (const auto &[Id, Client] : this->Clients)
    OthersStay = OthersStay || !Client->entry().Leaving;
  for (const auto &[Id, Client] : this->Clients) {
    if (Excluded.count(Id) || (Client->entry().Leaving && OthersStay))
      continue;
    const UpstreamPool &Pool = Client->pool();
    ReadMember Each;
    const bool Remote = this->Access.isRemote(Client->entry(), Now);
    Each.Reachable = Remote || !Client->unreachable();
    Each.Primary = Primary == Id;
    Each.SameDomain = Client->entry().FailureDomain == this->OwnDomain;
    Each.KnownBehind = this->knownBehind(*Client, After, Now);
    Each.IdleConnection = Remote || Pool.hasIdle(Workspace);
    Each.ServiceTime = Client->responseTime(Now);
    Each.InFlight = Client->load(Now);
    Each.Capacity = std::max<std::size_t>(Pool.capacity(), 1);
    Candidates.push_back(Each);
    Members.push_back(Client);
  }
  const std::optional<std::size_t> Chosen = chooseReadMember(Candidates, {});
  return Chosen ? Members[*Chosen] : nullptr;
}

void ProxyGroup::recordLeadershipProof(const UpstreamClient &Client,
                                       BootTime Sent, const Position &At) {
  const std::string &Id = Client.entry().Id;
  if (At.InTerm != this->Tracker.term())
    logInfo("event=primary_proved group=" + this->Name + " upstream=" + Id +
            " term=" + std::to_string(At.InTerm.Value) +
            " position=" + std::to_string(At.Log.Value));
  this->Tracker.recordLeadershipProof(Id, At.InTerm, steadyNow());
  this->Verified.add(Sent, At);
  this->updateSuspicion(steadyNow());
}

void ProxyGroup::recordLeadershipRefusal(const UpstreamClient &Client) {
  logInfo("event=primary_refused group=" + this->Name +
          " upstream=" + Client.entry().Id);
  this->Tracker.recordLeadershipRefusal(Client.entry().Id, steadyNow());
}

void ProxyGroup::promotionOrdered(const std::string &Id) {
  this->Tracker.promotionOrdered(Id, steadyNow());
}

void ProxyGroup::updateSuspicion(TimePoint Now) {
  const bool Suspects = this->Tracker.isSuspected(Now, SuspectAfter);
  if (Suspects == this->SuspectedSince.has_value())
    return;
  this->SuspectedSince =
      Suspects ? std::optional<TimePoint>(Now) : std::nullopt;
  logInfo(std::string("event=") +
          (Suspects ? "primary_suspected" : "primary_trusted") +
          " group=" + this->Name +
          " upstream=" + this->Tracker.lastPrimary().value_or("none"));
}

asio::awaitable<void> ProxyGroup::probeLoop() {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  while (!this->Stopped) {
    const TimePoint Now = steadyNow();
    const std::optional<Duration> Age = this->Tracker.provenAge(Now);
    if (this->inUse(Now) && (!Age || *Age >= ProofInterval))
      co_await this->probe();
    this->updateSuspicion(steadyNow());
    co_await sleepUntil(steadyNow() + ProbeInterval);
  }
}

asio::awaitable<ConnectionLease>
ProxyGroup::probeConnection(const std::shared_ptr<UpstreamClient> &Client,
                            TimePoint Limit) {
  ConnectionLease Idle = Client->tryAcquireIdle();
  if (Idle)
    co_return Idle;
  WaitHandle Wait;
  PoolWaiter Waiter;
  Waiter.Workspace = this->LastWorkspace;
  Waiter.Target = steadyNow();
  Waiter.GiveUpAt = Limit;
  co_return co_await Client->acquire(std::move(Waiter), Wait);
}

asio::awaitable<void> ProxyGroup::probe() {
  const std::optional<std::string> Target =
      this->Tracker.probeTarget(steadyNow());
  const auto Found = Target ? this->Clients.find(*Target) : this->Clients.end();
  if (Found == this->Clients.end())
    co_return;
  const std::shared_ptr<UpstreamClient> Client = Found->second;
  const bool Remote = this->Access.isRemote(Client->entry(), steadyNow());
  UpstreamWork Work;
  Work.Commands.resize(2);
  Work.Commands[0].Type = Command::Kind::Begin;
  Work.Commands[1].Type = Command::Kind::Rollback;
  Work.Deadline = steadyNow() + (Remote ? RelayedProbeTimeout : ProbeTimeout);
  PoolWaiter Waiter;
  Waiter.Workspace = this->LastWorkspace;
  Waiter.Target = steadyNow();
  Waiter.GiveUpAt = Work.Deadline;
  WaitHandle Wait;
  const WorkResult Result = co_await this->Access.run(
      Client, std::move(Waiter), std::move(Work), Wait, nullptr);
  const TimePoint Now = steadyNow();
  // A relaying host that does not answer, or a lack of free connections, says
  // nothing about the member itself.
  if (Result.RelayFailed || (!Result.Connected && !Result.Unreachable)) {
    if (!Result.Connected && Client->pool().connections() == 0 && !Remote)
      this->Tracker.recordUnreachable(*Target, Now);
    co_return;
  }
  if (Result.Replies.empty() || Result.Lost) {
    this->Tracker.recordUnreachable(*Target, Now);
    logInfo("event=probe_failed group=" + this->Name + " upstream=" + *Target);
    co_return;
  }
  const UpstreamReply &Begun = Result.Replies.front();
  if (Begun.At)
    Client->recordPosition(*Begun.At, Now);
  if (Begun.ok() && Begun.At)
    this->recordLeadershipProof(*Client, Result.SentAt, *Begun.At);
  else if (Begun.Failure == UpstreamFailure::ReadOnly)
    this->recordLeadershipRefusal(*Client);
}

asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
ProxyGroup::queryStatus(TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  std::vector<std::pair<std::string, UpstreamStatus>> Answers;
  const auto Members = this->Clients;
  for (const auto &[Id, Client] : Members) {
    if (steadyNow() >= Deadline)
      break;
    // Limits the time for each member, so that one that does not answer leaves
    // time for the others.
    const TimePoint Limit =
        std::min(Deadline, steadyNow() + std::chrono::milliseconds(250));
    ConnectionLease Lease = co_await this->probeConnection(Client, Limit);
    if (!Lease)
      continue;
    std::vector<UpstreamCommand> Commands(1);
    Commands[0].Type = Command::Kind::Status;
    const ExchangeResult Exchange =
        co_await Lease->exchange(std::move(Commands), Limit);
    if (Exchange.Lost || Exchange.Replies.empty())
      continue;
    Lease.markReusable();
    const Result<UpstreamStatus> Status =
        this->Protocol.decodeStatus(Exchange.Replies.front());
    if (Status)
      Answers.emplace_back(Id, Status.value());
    else
      logInfo("event=status_unreadable upstream=" + Id + " error=\"" +
              Status.error().Detail + "\"");
  }
  co_return Answers;
}

} // namespace lavenderdale
