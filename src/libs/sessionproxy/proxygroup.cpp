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

// How long what a replica's log lacked says something about it.
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
  for (const auto &[Id, Gate] : this->Gates)
    Gate->retire();
  this->Gates.clear();
}

void ProxyGroup::setMembers(const std::vector<UpstreamEntry> &Entries) {
  std::set<std::string> Present;
  std::vector<PrimaryTracker::Member> Members;
  for (const UpstreamEntry &Each : Entries) {
    Present.insert(Each.Id);
    Members.push_back({Each.Id, Each.ClaimsPrimary, Each.Leaving});
    std::shared_ptr<UpstreamGate> &Gate = this->Gates[Each.Id];
    if (Gate) {
      Gate->update(Each);
      continue;
    }
    Gate = std::make_shared<UpstreamGate>(this->Executor, this->Protocol, Each);
  }
  std::erase_if(this->Gates, [&Present](const auto &Each) {
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
  for (const auto &[Id, Gate] : this->Gates) {
    const ConnectionShare Share =
        connectionShare(Limit, this->Access.rank(Gate->entry()));
    Gate->pool().setCapacity(Share.Guaranteed, Share.Most);
  }
}

void ProxyGroup::countUse(const std::string &Workspace, TimePoint Now) {
  this->LastUse = Now;
  if (this->LastWorkspace != Workspace)
    this->LastWorkspace = Workspace;
}

bool ProxyGroup::inUse(TimePoint Now) const {
  return !this->LastWorkspace.empty() && Now - this->LastUse < IdleAfter;
}

std::shared_ptr<UpstreamGate> ProxyGroup::primary(TimePoint Now) {
  const std::optional<std::string> Id = this->Tracker.primary(Now);
  if (!Id)
    return nullptr;
  const auto Found = this->Gates.find(*Id);
  return Found == this->Gates.end() ? nullptr : Found->second;
}

asio::awaitable<std::shared_ptr<UpstreamGate>>
ProxyGroup::waitForPrimary(TimePoint Until, WaitHandle &Wait) {
  // A refusal lapses without an event, so the state is looked at in steps.
  constexpr std::chrono::milliseconds Step{25};
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  bool Cancelled = false;
  Wait.Cancel = [&Cancelled] { Cancelled = true; };
  std::shared_ptr<UpstreamGate> Gate;
  while (!Cancelled && !this->Stopped) {
    const TimePoint Now = steadyNow();
    Gate = this->primary(Now);
    if (Gate || Now >= Until)
      break;
    co_await sleepUntil(std::min<TimePoint>(Until, Now + Step));
  }
  Wait.Cancel = nullptr;
  co_return Gate;
}

// A replica lacks a position for as long as it has lately been behind.
bool ProxyGroup::knownBehind(const UpstreamGate &Gate, const Position &After,
                             TimePoint Now) const {
  return Gate.lastPosition() && *Gate.lastPosition() < After &&
         Now - Gate.lastPositionAt() < PositionLifetime &&
         Now - Gate.behindAt() < PositionLifetime;
}

std::shared_ptr<UpstreamGate>
ProxyGroup::chooseReader(const std::string &Workspace, const Position &After,
                         const std::set<std::string> &Excluded, TimePoint Now) {
  std::vector<ReadCandidate> Candidates;
  std::vector<std::shared_ptr<UpstreamGate>> Members;
  const std::optional<std::string> Primary = this->Tracker.primary(Now);
  bool OthersStay = false;
  for (const auto &[Id, Gate] : this->Gates)
    OthersStay = OthersStay || !Gate->entry().Leaving;
  for (const auto &[Id, Gate] : this->Gates) {
    if (Excluded.count(Id) || (Gate->entry().Leaving && OthersStay))
      continue;
    const UpstreamPool &Pool = Gate->pool();
    ReadCandidate Each;
    const bool Remote = this->Access.isRemote(Gate->entry(), Now);
    Each.Reachable = Remote || !Gate->unreachable();
    Each.Primary = Primary == Id;
    Each.SameDomain = Gate->entry().FailureDomain == this->OwnDomain;
    Each.KnownBehind = this->knownBehind(*Gate, After, Now);
    Each.IdleConnection = Remote || Pool.hasIdle(Workspace);
    Each.Service = Gate->service(Now);
    Each.InFlight = Gate->load(Now);
    Each.Capacity = std::max<std::size_t>(Pool.capacity(), 1);
    Candidates.push_back(Each);
    Members.push_back(Gate);
  }
  const std::optional<std::size_t> Chosen = chooseReadMember(Candidates, {});
  return Chosen ? Members[*Chosen] : nullptr;
}

void ProxyGroup::proved(const UpstreamGate &Gate, BootTime Sent,
                        const Position &At) {
  const std::string &Id = Gate.entry().Id;
  if (At.InTerm != this->Tracker.term())
    logInfo("event=primary_proved group=" + this->Name + " upstream=" + Id +
            " term=" + std::to_string(At.InTerm.Value) +
            " position=" + std::to_string(At.Log.Value));
  this->Tracker.proved(Id, At.InTerm, steadyNow());
  this->Verified.add(Sent, At);
  this->updateSuspicion(steadyNow());
}

void ProxyGroup::refusedLead(const UpstreamGate &Gate) {
  logInfo("event=primary_refused group=" + this->Name +
          " upstream=" + Gate.entry().Id);
  this->Tracker.refused(Gate.entry().Id, steadyNow());
}

void ProxyGroup::promotionOrdered(const std::string &Id) {
  this->Tracker.promotionOrdered(Id, steadyNow());
}

void ProxyGroup::updateSuspicion(TimePoint Now) {
  const bool Suspects = this->Tracker.suspected(Now, SuspectAfter);
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
    co_await sleepUntil(steadyNow() + SearchInterval);
  }
}

asio::awaitable<ConnectionLease>
ProxyGroup::probeConnection(const std::shared_ptr<UpstreamGate> &Gate,
                            TimePoint Limit) {
  ConnectionLease Idle = Gate->borrow();
  if (Idle)
    co_return Idle;
  WaitHandle Wait;
  PoolWaiter Waiter;
  Waiter.Workspace = this->LastWorkspace;
  Waiter.Target = steadyNow();
  Waiter.GiveUp = Limit;
  co_return co_await Gate->acquire(std::move(Waiter), Wait);
}

asio::awaitable<void> ProxyGroup::probe() {
  const std::optional<std::string> Target =
      this->Tracker.probeTarget(steadyNow());
  const auto Found = Target ? this->Gates.find(*Target) : this->Gates.end();
  if (Found == this->Gates.end())
    co_return;
  const std::shared_ptr<UpstreamGate> Gate = Found->second;
  const bool Remote = this->Access.isRemote(Gate->entry(), steadyNow());
  UpstreamWork Work;
  Work.Commands.resize(2);
  Work.Commands[0].Type = Command::Kind::Begin;
  Work.Commands[1].Type = Command::Kind::Rollback;
  Work.Deadline = steadyNow() + (Remote ? RelayedProbeLimit : ProbeLimit);
  PoolWaiter Waiter;
  Waiter.Workspace = this->LastWorkspace;
  Waiter.Target = steadyNow();
  Waiter.GiveUp = Work.Deadline;
  WaitHandle Wait;
  const WorkResult Result = co_await this->Access.run(
      Gate, std::move(Waiter), std::move(Work), Wait, nullptr);
  const TimePoint Now = steadyNow();
  // A silent host on the way, or connections that are all in use, say nothing
  // about the member.
  if (Result.RelayFailed || (!Result.Connected && !Result.Unreachable)) {
    if (!Result.Connected && Gate->pool().connections() == 0 && !Remote)
      this->Tracker.unreachable(*Target, Now);
    co_return;
  }
  if (Result.Replies.empty() || Result.Lost) {
    this->Tracker.unreachable(*Target, Now);
    logInfo("event=probe_failed group=" + this->Name + " upstream=" + *Target);
    co_return;
  }
  const UpstreamReply &Begun = Result.Replies.front();
  if (Begun.At)
    Gate->sawPosition(*Begun.At, Now);
  if (Begun.ok() && Begun.At)
    this->proved(*Gate, Result.SentAt, *Begun.At);
  else if (Begun.Failure == UpstreamFailure::ReadOnly)
    this->refusedLead(*Gate);
}

asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
ProxyGroup::askStatus(TimePoint Deadline) {
  const std::shared_ptr<ProxyGroup> Keep = this->shared_from_this();
  std::vector<std::pair<std::string, UpstreamStatus>> Answers;
  const auto Members = this->Gates;
  for (const auto &[Id, Gate] : Members) {
    if (steadyNow() >= Deadline)
      break;
    // One member that is silent must not use up the time of the others.
    const TimePoint Limit =
        std::min(Deadline, steadyNow() + std::chrono::milliseconds(250));
    ConnectionLease Lease = co_await this->probeConnection(Gate, Limit);
    if (!Lease)
      continue;
    std::vector<UpstreamCommand> Commands(1);
    Commands[0].Type = Command::Kind::Status;
    const ExchangeResult Exchange =
        co_await Lease->exchange(std::move(Commands), Limit);
    if (Exchange.Lost || Exchange.Replies.empty())
      continue;
    Lease.keep();
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
