#include "proxygroup.h"

#include "http/resumewith.h"
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

Command statusQuery() {
  Command Query;
  Query.Type = Command::Kind::Status;
  return Query;
}

} // namespace

ProxyGroup::ProxyGroup(const asio::any_io_executor &Executor,
                       const UpstreamProtocol &Protocol, UpstreamAccess &Access,
                       std::string Name, std::string OwnDomain)
    : Executor(Executor), Protocol(Protocol), Access(Access),
      Name(std::move(Name)), OwnDomain(std::move(OwnDomain)),
      ProbeEnded(Executor) {}

void ProxyGroup::stop() {
  this->Stopped = true;
  for (const auto &[Id, Client] : this->Clients)
    Client->retire();
  this->Clients.clear();
}

void ProxyGroup::setMembers(const std::vector<UpstreamEntry> &Entries) {
  const BootTime Now = BootClock::now();
  // A primary has no acknowledged commits that its synchronous replicas lack.
  if (const std::optional<std::string> Primary = this->Tracker.lastPrimary())
    this->Departed.leads(*Primary);
  std::set<std::string> Present;
  std::vector<PrimaryTracker::Member> Members;
  for (const UpstreamEntry &Each : Entries) {
    Present.insert(Each.Id);
    // An evacuated primary is replaced like one that leaves.
    Members.push_back({Each.Id, Each.ClaimsPrimary,
                       Each.Leaving || this->Access.isEvacuated(Each)});
    this->Departed.present(Each.Id, Each.StartedAt, Now);
    std::shared_ptr<UpstreamClient> &Client = this->Clients[Each.Id];
    if (Client)
      Client->update(Each);
    else {
      Client = std::make_shared<UpstreamClient>(this->Executor, this->Protocol,
                                                Each);
      Client->setWriteCheck(
          [Group = this->weak_from_this(), Id = Each.Id](TimePoint At) {
            const std::shared_ptr<ProxyGroup> Owner = Group.lock();
            return !Owner || Owner->mayWriteTo(Id, At);
          });
    }
    Client->applyEvacuation(
        this->Access.evacuations().find(Each.FailureDomain));
  }
  std::erase_if(this->Clients, [&](const auto &Each) {
    if (Present.count(Each.first))
      return false;
    this->Departed.gone(Each.first, Now);
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
        connectionShare(Limit, this->Access.rank(Client->entry(), steadyNow()));
    Client->pool().setCapacity(Share.Guaranteed, Share.Max);
  }
}

void ProxyGroup::setColdRate(double PerSecond, const ColdTolerance &Tolerance) {
  const TimePoint Now = steadyNow();
  for (const auto &[Id, Client] : this->Clients)
    Client->setColdLimit(
        PerSecond > 0
            ? ColdRate::permitted(PerSecond, Tolerance,
                                  this->Access.rank(Client->entry(), Now) == 0)
            : std::nullopt);
}

void ProxyGroup::recordUse(const std::string &Workspace, TimePoint Now) {
  this->LastUse = Now;
  if (this->LastWorkspace != Workspace)
    this->LastWorkspace = Workspace;
}

bool ProxyGroup::inUse(TimePoint Now) const {
  return !this->LastWorkspace.empty() && Now - this->LastUse < IdleTimeout;
}

void ProxyGroup::requireOrders() {
  this->OrdersUnread = true;
  this->OrdersRequiredAt = steadyNow();
  this->OrdersNeededAt = {};
}

bool ProxyGroup::waitsForOrders(TimePoint Now) const {
  return this->needsOrders() && (this->OrdersNeededAt == TimePoint{} ||
                                 Now - this->OrdersNeededAt < OrderReadTime);
}

bool ProxyGroup::mayWriteTo(const std::string &Id, TimePoint Now) const {
  return this->SynchronousReplicas == 0 ||
         (!this->waitsForOrders(Now) && !this->Tracker.isExcludedByOrder(Id));
}

std::shared_ptr<UpstreamClient> ProxyGroup::primary(TimePoint Now) {
  if (this->waitsForOrders(Now))
    return nullptr;
  const std::optional<std::string> Id = this->Tracker.primary(Now);
  if (!Id)
    return nullptr;
  const auto Found = this->Clients.find(*Id);
  if (Found == this->Clients.end() || Found->second->isEvacuated())
    return nullptr;
  return Found->second;
}

bool ProxyGroup::isEvacuated() const {
  return !this->Clients.empty() &&
         std::ranges::all_of(this->Clients, [](const auto &Each) {
           return Each.second->isEvacuated();
         });
}

bool ProxyGroup::isEvacuated(const std::string &Id) const {
  const auto Found = this->Clients.find(Id);
  return Found != this->Clients.end() && Found->second->isEvacuated();
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
    if (Client || Now >= Until || this->isEvacuated())
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
ProxyGroup::chooseReader(const std::string &Workspace, unsigned Priority,
                         const Position &After,
                         const std::set<std::string> &Excluded, TimePoint Now) {
  PoolWaiter Reader;
  Reader.Workspace = Workspace;
  Reader.Priority = Priority;
  Reader.Target = TimePoint::max();
  std::vector<ReadMember> Candidates;
  std::vector<std::shared_ptr<UpstreamClient>> Members;
  const std::optional<std::string> Primary = this->Tracker.primary(Now);
  bool OthersStay = false;
  bool OthersWarm = false;
  for (const auto &[Id, Client] : this->Clients) {
    OthersWarm =
        OthersWarm || (!Client->isCold(Now) && !Excluded.count(Id) &&
                       !Client->isEvacuated() && !Client->entry().Leaving);
    OthersStay =
        OthersStay || (!Client->entry().Leaving && !Client->isEvacuated());
  }
  for (const auto &[Id, Client] : this->Clients) {
    if (Excluded.count(Id) || Client->isEvacuated() ||
        (Client->entry().Leaving && OthersStay))
      continue;
    const UpstreamPool &Pool = Client->pool();
    ReadMember Each;
    const bool Remote = this->Access.isRemote(Client->entry(), Now);
    // A cold member warms up by the reads of its holder, which knows how many
    // it may still get.
    if (OthersWarm && Client->isCold(Now) &&
        (Remote || !Client->admitsCold(Now)))
      continue;
    Each.Reachable = Remote || !Client->unreachable();
    Each.Primary = Primary == Id;
    Each.SameDomain = Client->entry().FailureDomain == this->OwnDomain;
    Each.KnownBehind = this->knownBehind(*Client, After, Now);
    // After an evacuation no connection is open; a member that must warm up
    // would never get a read if that counted against it.
    Each.IdleConnection =
        Remote || Pool.hasIdle(Workspace) || Client->isCold(Now);
    Each.ServiceTime = Client->responseTime(Now);
    Each.InFlight = Client->load(Now);
    Each.Capacity = Client->concurrency(Now);
    if (const std::optional<Duration> Wait =
            Client->expectedWait(Reader, Remote, Now))
      Each.ExpectedWait =
          std::chrono::duration_cast<std::chrono::microseconds>(*Wait);
    Candidates.push_back(Each);
    Members.push_back(Client);
  }
  const std::optional<std::size_t> Chosen = chooseReadMember(Candidates, {});
  return Chosen ? Members[*Chosen] : nullptr;
}

void ProxyGroup::recordLeadershipProof(const UpstreamClient &Client,
                                       BootTime Sent, const Position &At,
                                       std::chrono::milliseconds Age) {
  const std::string &Id = Client.entry().Id;
  if (At.InTerm != this->Tracker.term())
    logInfo("event=primary_proved group=" + this->Name + " upstream=" + Id +
            " term=" + std::to_string(At.InTerm.Value) +
            " position=" + std::to_string(At.Log.Value) +
            " age_ms=" + std::to_string(Age.count()));
  const TimePoint Now = steadyNow();
  const TimePoint ProvenAt = Now - Age;
  const std::optional<PrimaryTracker::PendingOrder> Pending =
      this->Tracker.pendingOrder();
  this->Tracker.recordLeadershipProof(Id, At.InTerm, ProvenAt);
  if (Pending && !this->Tracker.pendingOrder())
    logInfo("event=promotion_settled group=" + this->Name + " upstream=" + Id +
            " token=" + std::to_string(Pending->Token));
  if (this->TroubleAt && *this->TroubleAt <= ProvenAt)
    this->TroubleAt.reset();
  if (this->OrdersUnread && this->OrdersNeededAt == TimePoint{} &&
      !this->inTrouble())
    this->OrdersNeededAt = Now;
  this->Verified.add(Sent, At);
  if (const std::optional<std::string> Primary = this->Tracker.lastPrimary())
    this->Departed.leads(*Primary);
  this->Departed.update(this->Verified);
  this->updateSuspicion(Now);
}

void ProxyGroup::recordTroubleOfOthers(TimePoint Now) {
  const std::optional<Duration> Age = this->Tracker.provenAge(Now);
  if (Age && *Age < ProofInterval)
    return;
  this->LastUse = Now;
  if (!this->TroubleAt)
    this->TroubleAt = Now;
}

void ProxyGroup::recordRelayedWork(const UpstreamClient &Client,
                                   const WorkResult &Result) {
  const UpstreamReply *Reply = Result.firstReply();
  if (!Reply || !Result.SetUpError.empty())
    return;
  if (Reply->ok() && Reply->At)
    this->recordLeadershipProof(Client, Result.SentAt, *Reply->At);
  else if (Reply->Failure == UpstreamFailure::ReadOnly)
    this->recordLeadershipRefusal(Client);
}

std::optional<ProxyGroup::KnownProof>
ProxyGroup::knownProof(const std::string &Upstream,
                       std::chrono::milliseconds MaxAge) const {
  if (this->Tracker.lastPrimary() != Upstream || this->Tracker.hasFailed())
    return std::nullopt;
  const BootTime Now = BootClock::now();
  std::optional<VerifiedPositions::Proof> Found =
      this->Verified.oldestProofSince(Now - MaxAge);
  if (!Found)
    return std::nullopt;
  // An earlier primary proved the older ones.
  if (Found->At.InTerm != this->Tracker.term())
    Found = this->Verified.newestProof();
  if (Found->At.InTerm != this->Tracker.term())
    return std::nullopt;
  return KnownProof{Found->At, std::chrono::ceil<std::chrono::milliseconds>(
                                   Now - Found->Sent)};
}

void ProxyGroup::recordLeadershipRefusal(const UpstreamClient &Client) {
  logInfo("event=primary_refused group=" + this->Name +
          " upstream=" + Client.entry().Id);
  this->Tracker.recordLeadershipRefusal(Client.entry().Id, steadyNow());
  if (this->Tracker.hasFailed())
    this->requireOrders();
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

void ProxyGroup::supervise(TimePoint Now) {
  this->updateSuspicion(Now);
  if (!this->Stopped && !this->Probing && this->isProbeDue(Now))
    asio::co_spawn(this->Executor, this->probe({}), asio::detached);
}

bool ProxyGroup::isProbeDue(TimePoint Now) {
  // A proof shows which commits the promoted member needs, should the primary
  // fail next.
  if (this->SynchronousReplicas > 0 && this->Departed.unaccounted() > 0 &&
      !this->isEvacuated())
    return Now - this->LastProbeAt >= ProofInterval;
  if (!this->inUse(Now))
    return false;
  // The primary may have been replaced without this host hearing of it.
  if (this->isPrimaryEvacuated())
    return Now - this->LastUse < ProofInterval &&
           Now - this->LastProbeAt >= ProofInterval;
  const std::optional<Duration> Age = this->Tracker.provenAge(Now);
  if (this->inTrouble()) {
    // The other hosts learn from the promoters and from the entries of the
    // members who leads, so they probe only while they need the primary.
    const bool Promoter =
        this->Access.promotionRank(this->Name) < UpstreamAccess::PromoterCount;
    return Promoter ? !Age || *Age >= ProbeInterval
                    : Now - this->LastUse < ProofInterval &&
                          Now - this->LastProbeAt >= ProofInterval;
  }
  if (Age && *Age < ProofInterval)
    return false;
  const std::shared_ptr<UpstreamClient> Primary = this->primary(Now);
  return !Primary || !this->Access.isRemote(Primary->entry(), Now);
}

asio::awaitable<void> ProxyGroup::proveLeadership(BootTime Since,
                                                  TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  boost::system::error_code Ignored;
  while (this->Probing && steadyNow() < Deadline)
    co_await this->ProbeEnded.async_wait(resumeWith(Ignored));
  if (this->Probing || this->Stopped || this->includingAll(Since))
    co_return;
  // The holder measures the age later than this host, so a proof that is not
  // too old then is not too old now either.
  const auto MaxAge =
      std::chrono::floor<std::chrono::milliseconds>(BootClock::now() - Since);
  co_await this->probe(std::max(MaxAge, std::chrono::milliseconds(0)));
}

// Members in evacuated failure domains are not probed. While the likely primary
// is one of them, the others are probed in turn.
std::optional<std::string> ProxyGroup::probeTarget(TimePoint Now) {
  std::optional<std::string> Target = this->Tracker.probeTarget(Now);
  if (!Target || !this->isEvacuated(*Target))
    return Target;
  std::vector<std::string> Others;
  for (const auto &[Id, Client] : this->Clients)
    if (!Client->isEvacuated())
      Others.push_back(Id);
  if (Others.empty())
    return std::nullopt;
  return Others[this->ProbeTurn++ % Others.size()];
}

asio::awaitable<void> ProxyGroup::probe(std::chrono::milliseconds MaxProofAge) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  this->Probing = true;
  this->LastProbeAt = steadyNow();
  // Waiting reads are resumed when the probe has ended; the timer itself only
  // limits their wait.
  this->ProbeEnded.expires_at(steadyNow() + ProbeTimeout + ProbeInterval);
  const std::optional<std::string> Target = this->probeTarget(steadyNow());
  const auto Found = Target ? this->Clients.find(*Target) : this->Clients.end();
  if (Found != this->Clients.end())
    co_await this->runProbe(Found->second, MaxProofAge);
  this->Probing = false;
  this->ProbeEnded.cancel();
  this->updateSuspicion(steadyNow());
}

asio::awaitable<ConnectionLease>
ProxyGroup::probeConnection(const std::shared_ptr<UpstreamClient> &Client,
                            TimePoint Limit) {
  ConnectionLease Idle = Client->tryAcquireIdle();
  if (Idle)
    co_return Idle;
  WaitHandle Wait;
  PoolWaiter Waiter;
  Waiter.Workspace = this->probeWorkspace();
  Waiter.Target = steadyNow();
  Waiter.GiveUpAt = Limit;
  Waiter.TakesSlot = false;
  co_return co_await Client->acquire(std::move(Waiter), Wait);
}

asio::awaitable<void>
ProxyGroup::runProbe(std::shared_ptr<UpstreamClient> Client,
                     std::chrono::milliseconds MaxProofAge) {
  const bool Remote = this->Access.isRemote(Client->entry(), steadyNow());
  UpstreamWork Work;
  Work.Commands.resize(2);
  Work.Commands[0].Type = Command::Kind::Begin;
  Work.Commands[1].Type = Command::Kind::Rollback;
  Work.Deadline = steadyNow() + (Remote ? RelayedProbeTimeout : ProbeTimeout);
  Work.MaxProofAge = MaxProofAge;
  PoolWaiter Waiter;
  Waiter.Workspace = this->probeWorkspace();
  Waiter.Target = steadyNow();
  Waiter.GiveUpAt = Work.Deadline;
  WaitHandle Wait;
  const WorkResult Result = co_await this->Access.run(
      Client, std::move(Waiter), std::move(Work), Wait, nullptr);
  this->recordProbeResult(*Client, Result, Remote);
}

void ProxyGroup::recordUnreachable(const std::string &Id, TimePoint Now) {
  this->Tracker.recordUnreachable(Id, Now);
  this->requireOrders();
}

void ProxyGroup::recordProbeResult(UpstreamClient &Client,
                                   const WorkResult &Result, bool Remote) {
  const std::string &Target = Client.entry().Id;
  const TimePoint Now = steadyNow();
  // A relaying host that does not answer, or a lack of free connections, says
  // nothing about the member itself, nor does an order to evacuate it.
  if (Result.RelayFailed || (!Result.Connected && !Result.Unreachable)) {
    if (!Client.isEvacuated() && !Result.Connected &&
        Client.pool().connections() == 0 && !Remote)
      this->recordUnreachable(Target, Now);
    return;
  }
  if (Result.Replies.empty() || Result.Lost) {
    this->recordUnreachable(Target, Now);
    logInfo("event=probe_failed group=" + this->Name + " upstream=" + Target);
    return;
  }
  const UpstreamReply &Begun = Result.Replies.front();
  if (Begun.At && Result.ProofAge.count() == 0)
    Client.recordPosition(*Begun.At, Now);
  if (Begun.ok() && Begun.At)
    this->recordLeadershipProof(Client, Result.SentAt - Result.ProofAge,
                                *Begun.At, Result.ProofAge);
  else if (Begun.Failure == UpstreamFailure::ReadOnly)
    this->recordLeadershipRefusal(Client);
}

void ProxyGroup::prepareOperation(const std::string &Workspace,
                                  std::optional<BootTime> Since) {
  const TimePoint Now = steadyNow();
  this->recordUse(Workspace, Now);
  if (!Since) {
    if (const std::shared_ptr<UpstreamClient> Primary = this->primary(Now))
      this->Access.prepareWrite(Primary->entry());
  } else if (!this->Probing && !this->includingAll(*Since)) {
    asio::co_spawn(this->Executor,
                   this->proveLeadership(*Since, Now + RelayedProbeTimeout),
                   asio::detached);
  }
}

asio::awaitable<void> ProxyGroup::probeLastPrimary(TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  // A host that has started may know the primary only from its entry.
  const std::optional<std::string> Last =
      this->Tracker.lastPrimary() ? this->Tracker.lastPrimary()
                                  : this->Tracker.primary(steadyNow());
  const auto Found = Last ? this->Clients.find(*Last) : this->Clients.end();
  if (Found == this->Clients.end() || Found->second->isEvacuated())
    co_return;
  const std::shared_ptr<UpstreamClient> Client = Found->second;
  // A holder that does not answer is skipped by the next probe.
  const TimePoint Begun = steadyNow();
  do {
    const bool Remote = this->Access.isRemote(Client->entry(), steadyNow());
    co_await this->runProbe(Client, {});
    if (!Remote)
      break;
  } while (steadyNow() < Deadline && this->inTrouble());
  this->updateSuspicion(steadyNow());
  logInfo("event=primary_probed_again group=" + this->Name + " upstream=" +
          *Last + (this->SuspectedSince ? " suspected=yes" : " suspected=no") +
          " took_ms=" +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             steadyNow() - Begun)
                             .count()));
}

asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
ProxyGroup::queryStatus(TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  struct Answers {
    std::vector<std::pair<std::string, UpstreamStatus>> Received;
    std::size_t Missing = 0;
  };
  const auto Query = std::make_shared<Answers>();
  const auto Ended = std::make_shared<asio::steady_timer>(this->Executor);
  Ended->expires_at(Deadline);
  std::map<std::string, std::shared_ptr<UpstreamClient>> Queried =
      this->Clients;
  if (this->SuspectedSince)
    Queried.erase(this->Tracker.lastPrimary().value_or(""));
  std::erase_if(Queried,
                [](const auto &Each) { return Each.second->isEvacuated(); });
  Query->Missing = Queried.size();
  for (const auto &[Id, Client] : Queried)
    asio::co_spawn(
        this->Executor, this->queryMember(Client, statusQuery(), Deadline),
        [Query, Ended, Id = Id](const std::exception_ptr &,
                                const std::optional<UpstreamStatus> &Status) {
          if (Status)
            Query->Received.emplace_back(Id, *Status);
          if (--Query->Missing == 0)
            Ended->cancel();
        });
  boost::system::error_code Ignored;
  if (Query->Missing > 0)
    co_await Ended->async_wait(resumeWith(Ignored));
  co_return Query->Received;
}

CommitGuarantee ProxyGroup::commitGuarantee() {
  const std::optional<std::string> Primary = this->Tracker.lastPrimary();
  CommitGuarantee Guarantee;
  Guarantee.SynchronousReplicas = this->SynchronousReplicas;
  Guarantee.Required = this->Departed.required();
  Guarantee.Replicas = this->Departed.unaccounted();
  for (const auto &[Id, Client] : this->Clients)
    if (Primary ? Id != *Primary : !Client->entry().ClaimsPrimary)
      ++Guarantee.Replicas;
  return Guarantee;
}

void ProxyGroup::restoreMembers(const MemberRecord &Stored) {
  this->Departed.restore(Stored, BootClock::now());
  this->Departed.update(this->Verified);
  this->MembersRestored = true;
}

asio::awaitable<Result<UpstreamStatus>>
ProxyGroup::demotePrimary(std::string Id, TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  const auto Found = this->Clients.find(Id);
  if (Found == this->Clients.end())
    co_return failure(ErrorKind::Unavailable, Id + " is no member any more");
  const std::shared_ptr<UpstreamClient> Client = Found->second;
  Command Demotion;
  Demotion.Type = Command::Kind::Demote;
  Term Above = this->Tracker.term().next();
  // The proved term is that of the last commit. The primary may lead a newer
  // one without commits, which its answer tells.
  constexpr int MaxTries = 2;
  for (int Try = 0; Try < MaxTries; ++Try) {
    Demotion.Argument = std::to_string(Above.Value);
    const std::optional<UpstreamStatus> Status =
        co_await this->queryMember(Client, Demotion, Deadline);
    if (!Status)
      co_return failure(ErrorKind::Unavailable,
                        Id + " did not confirm its demotion");
    if (!Status->Primary)
      co_return *Status;
    Above = Status->InTerm.next();
  }
  co_return failure(ErrorKind::Unavailable, Id + " is still the primary");
}

asio::awaitable<std::optional<UpstreamStatus>>
ProxyGroup::queryMember(std::shared_ptr<UpstreamClient> Client,
                        UpstreamCommand Query, TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  ConnectionLease Lease = co_await this->probeConnection(Client, Deadline);
  if (!Lease)
    co_return std::nullopt;
  std::vector<UpstreamCommand> Commands;
  Commands.push_back(std::move(Query));
  // A promotion depends on the answer, so it is counted but does not wait.
  Lease.occupySlot();
  const ExchangeResult Exchange =
      co_await Lease->exchange(std::move(Commands), Deadline);
  if (Exchange.Lost || Exchange.Replies.empty())
    co_return std::nullopt;
  Lease.markReusable();
  const Result<UpstreamStatus> Status =
      this->Protocol.decodeStatus(Exchange.Replies.front());
  if (Status)
    co_return Status.value();
  logInfo("event=status_unreadable upstream=" + Client->entry().Id +
          " error=\"" + Status.error().Detail + "\"");
  co_return std::nullopt;
}

} // namespace lavenderdale
