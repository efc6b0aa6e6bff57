#include "groupservice.h"

#include "base/softassert.h"
#include "failover/failoverlimits.h"
#include "http/resumewith.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

// Reads are routed only to members whose last poll was answered and is not
// older than this.
constexpr std::chrono::milliseconds MaxReportAge{1000};

SuspicionTimes suspicionTimesOf(const ExperimentSettings &Experiment) {
  if (Experiment.SuspectAfter.count() == 0)
    return {};
  return {Experiment.SuspectAfter, Experiment.SuspectAfter};
}

} // namespace

GroupService::GroupService(const DaemonContext &Context,
                           asio::io_context &Worker, Group Members,
                           GroupStatusStore &Store, GroupViews &Views,
                           EvidenceRequester RequestEvidence)
    : Context(Context), Worker(Worker), Members(std::move(Members)),
      Store(Store), Views(Views), RequestEvidence(std::move(RequestEvidence)),
      Runner(Context, *this),
      Detector(suspicionTimesOf(Context.Config.Experiment)), TickTimer(Worker),
      PollSignal(Worker) {
  this->PollSignal.expires_at(TimePoint::max());
}

void GroupService::start() {
  const auto Poll = [this](std::string Member, TimePoint Deadline)
      -> asio::awaitable<std::optional<ReplicaPoll>> {
    const auto Found = this->Monitors.find(Member);
    if (Found == this->Monitors.end())
      co_return std::nullopt;
    const std::shared_ptr<MemberMonitor> Monitor = Found->second;
    co_return co_await Monitor->pollNow(Deadline);
  };
  this->Promoter = std::make_shared<PromotionDriver>(
      this->Worker, this->Context.hostName(), this->Members, this->Store, Poll,
      [this](const TermStatus &Seen) { this->applyStatus(Seen); });
  asio::co_spawn(
      this->Worker,
      [Self = this->shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->tickLoop();
      },
      asio::detached);
}

void GroupService::stop() {
  this->Stopped = true;
  this->TickTimer.cancel();
  this->PollSignal.cancel();
  if (this->Promoter)
    this->Promoter->stop();
  for (const auto &[Name, Monitor] : this->Monitors)
    Monitor->stop();
  for (const auto &[Name, Service] : this->Upstreams)
    Service->stop();
}

void GroupService::update(const Group &NewMembers,
                          const GroupDuties &NewDuties) {
  const bool MembersChanged = !(this->Members == NewMembers);
  this->Members = NewMembers;
  this->Duties = NewDuties;
  if (MembersChanged) {
    this->Promoter->setMembers(NewMembers);
    for (const auto &[Name, Monitor] : this->Monitors)
      Monitor->stop();
    this->Monitors.clear();
    this->PollSignal.cancel();
  }
  this->applyDuties();
}

void GroupService::applyDuties() {
  for (const Upstream &Member : this->Members.Upstreams) {
    const bool Held = this->Duties.Held.contains(Member.Name);
    const auto Found = this->Upstreams.find(Member.Name);
    if (Found != this->Upstreams.end() && Held) {
      Found->second->update(this->effective(Member));
    } else if (Held) {
      auto Service = std::make_shared<UpstreamService>(
          this->Worker, connectOptionsOf(this->Members, Member, "lavenderdale"),
          this->effective(Member),
          this->Context.Config.Experiment.Queue == "fifo" ? fifoDiscipline()
                                                          : fairDiscipline());
      Service->start();
      this->Upstreams[Member.Name] = std::move(Service);
    }
  }
  for (auto Entry = this->Upstreams.begin(); Entry != this->Upstreams.end();) {
    if (this->Duties.Held.contains(Entry->first) &&
        this->Members.upstream(Entry->first)) {
      ++Entry;
      continue;
    }
    // Requests in flight keep the service alive until they have ended.
    Entry->second->retire();
    Entry = this->Upstreams.erase(Entry);
  }
  this->Permission.setView({this->Status.Current, this->Status.Primary,
                            memberNames(this->Members),
                            this->Status.timeline()});
  this->startMonitors();
}

// A primary in state leaving serves until another member has replaced it.
Upstream GroupService::effective(Upstream Member) const {
  if (Member.Name == this->Status.Primary)
    Member.State = UpstreamState::Serving;
  return Member;
}

void GroupService::startMonitors() {
  const bool Needed = this->Duties.pollsMembers(this->Status.Primary);
  // Requests and transactions that began while this host had the duties need
  // polls until they are answered: without polls the write permission expires.
  if (!Needed &&
      (this->RequestsInFlight > 0 || this->Runner.transactions() > 0))
    return;
  if (!Needed) {
    for (const auto &[Name, Monitor] : this->Monitors)
      Monitor->stop();
    this->Monitors.clear();
    return;
  }
  for (const Upstream &Member : this->Members.Upstreams) {
    if (this->Monitors.contains(Member.Name))
      continue;
    const auto Self = this->weak_from_this();
    auto Monitor = std::make_shared<MemberMonitor>(
        this->Worker, this->Members, Member.Name,
        [Self](const std::string &Upstream, TimePoint SentAt) {
          const auto Locked = Self.lock();
          if (Locked && Upstream == Locked->Status.Primary)
            Locked->Detector.pollSent(SentAt);
        },
        [Self](const PollReport &Report) {
          if (const auto Locked = Self.lock())
            Locked->handlePollReport(Report);
        });
    Monitor->start();
    this->Monitors[Member.Name] = std::move(Monitor);
  }
}

void GroupService::handleStatus(const TermStatus &Seen) {
  if (this->Promoter && this->Duties.Watches)
    this->Promoter->handle(StatusSeen{Seen});
  this->applyStatus(Seen);
}

void GroupService::applyStatus(const TermStatus &Seen) {
  if (Seen.Version <= this->Status.Version)
    return;
  const bool Changed = Seen.Current != this->Status.Current;
  const bool Completed = !Changed && Seen.timeline() != this->Status.timeline();
  const bool First = this->Status.Current.Value == 0;
  const auto Replaced = this->Upstreams.find(this->Status.Primary);
  if (Changed && Replaced != this->Upstreams.end())
    Replaced->second->failWaitingRequests();
  this->Status = Seen;
  this->Permission.setView({Seen.Current, Seen.Primary,
                            memberNames(this->Members), Seen.timeline()});
  if (Completed)
    this->publish();
  if (!Changed)
    return;
  this->Context.Metrics
      .counter("lavenderdale_primary_changes_total",
               "Changes of primary that this host has learned",
               {{"group", this->Members.Name}})
      .add(First ? 0 : 1);
  logInfo("group " + this->Members.Name + ": term " +
          std::to_string(Seen.Current.Value) + ", primary " + Seen.Primary);
  for (const Upstream &Member : this->Members.Upstreams) {
    const auto Held = this->Upstreams.find(Member.Name);
    if (Held != this->Upstreams.end())
      Held->second->update(this->effective(Member));
  }
  this->Detector.primaryChanged(Seen.Current, steadyNow(), First);
  this->startMonitors();
  this->publish();
}

void GroupService::handlePollReport(const PollReport &Report) {
  this->LastReports[Report.Upstream] = Report;
  if (Report.Upstream == this->Status.Primary)
    this->handlePrimaryPoll(Report);
  else if (Report.Poll)
    this->Permission.replicaPolled(*Report.Poll);
  if (Report.Poll && this->Duties.Watches && this->Promoter)
    this->Promoter->handle(MemberSeen{*Report.Poll});
  this->PollSignal.cancel();
  this->publish();
}

void GroupService::handlePrimaryPoll(const PollReport &Report) {
  switch (Report.Outcome) {
  case PollOutcome::Refused:
    return this->Detector.pollRefused(Report.SentAt, steadyNow());
  case PollOutcome::TimedOut:
    return this->Detector.pollTimedOut(Report.SentAt, steadyNow());
  case PollOutcome::ConnectionLimitReached:
    // A database at its connection limit is alive and must not be replaced.
    return this->Detector.pollAnswered(Report.SentAt, steadyNow());
  case PollOutcome::Answered:
    break;
  }
  if (Report.Poll->InRecovery ||
      Report.Poll->Timeline != this->Status.timeline())
    return;
  this->Detector.pollAnswered(Report.SentAt, steadyNow());
  this->Ages.primaryPolled(
      Report.SentAt, {Report.Poll->Timeline, Report.Poll->ReceivePosition});
}

asio::awaitable<void> GroupService::tickLoop() {
  while (!this->Stopped) {
    if (this->Duties.Watches && this->Status.Current.Value != 0) {
      this->updateSuspicion();
      this->Promoter->handle(EvidenceCombined{
          this->Status.Current,
          this->Aggregator.hasQuorum(this->Duties.Watchers,
                                     this->Status.Current, steadyNow())});
      this->Promoter->handle(Tick{});
    } else {
      this->SuspectedTerm = 0;
    }
    this->refuseStrandedWrites();
    this->startMonitors();
    this->TickTimer.expires_after(failoverlimits::PollInterval / 2);
    boost::system::error_code Ignored;
    co_await this->TickTimer.async_wait(resumeWith(Ignored));
  }
}

// Refuses requests that wait for the primary while this host has no write
// permission. They would otherwise wait until their deadline, even after
// another member has been promoted.
void GroupService::refuseStrandedWrites() {
  const auto Held = this->Upstreams.find(this->Status.Primary);
  if (Held != this->Upstreams.end() && !this->mayWrite(steadyNow()))
    Held->second->failWaitingRequests();
}

void GroupService::updateSuspicion() {
  const Term Current = this->Status.Current;
  const bool Suspects = this->Detector.suspects(steadyNow());
  if (Suspects != this->suspects(Current))
    logWarn("group " + this->Members.Name + ": primary " +
            this->Status.Primary +
            (Suspects ? " is suspected" : " is no longer suspected"));
  this->SuspectedTerm = Suspects ? Current.Value : 0;
  this->Aggregator.record(
      {this->Context.hostName(), Current, Suspects, steadyNow()});
  if (Suspects)
    this->RequestEvidence(this->Members.Name, Current, this->Duties.Watchers);
}

void GroupService::recordEvidence(const Evidence &Received) {
  this->Aggregator.record(Received);
}

asio::awaitable<ExecutionResult>
GroupService::execute(ExecutionRequest Request) {
  const auto Self = this->shared_from_this();
  const auto Found = this->Upstreams.find(Request.Upstream);
  if (Found == this->Upstreams.end() && Request.Transaction.empty())
    co_return ExecutionResult::failed(ErrorKind::Unavailable,
                                      "this host does not hold upstream " +
                                          Request.Upstream,
                                      AttemptOutcome::RefusedBeforeRun);
  if (Request.Role == UpstreamRole::Primary && Request.Transaction.empty() &&
      Request.Upstream != this->Status.Primary)
    co_return ExecutionResult::failed(ErrorKind::NoPrimary,
                                      Request.Upstream + " is not the primary",
                                      AttemptOutcome::RefusedBeforeRun);
  const auto Target = Found == this->Upstreams.end() ? nullptr : Found->second;
  if (!softAssert(Target || Request.Action != Operation::Begin,
                  "a transaction can begin only at an upstream"))
    co_return ExecutionResult::failed(
        ErrorKind::BadRequest,
        "the request to begin a transaction names no upstream held here",
        AttemptOutcome::RefusedBeforeRun);
  ++this->RequestsInFlight;
  ExecutionResult Result =
      co_await this->Runner.execute(Target, std::move(Request));
  --this->RequestsInFlight;
  co_return Result;
}

bool GroupService::mayWrite(TimePoint Now) const {
  return this->Permission.mayStart(Now);
}

AcknowledgeDecision GroupService::decide(const Position &Reached,
                                         Acknowledge Mode, TimePoint SentAt,
                                         TimePoint Now) const {
  return this->Permission.decide(Reached.InTerm, Reached.Log,
                                 Mode == Acknowledge::Replica
                                     ? AcknowledgeMode::Replica
                                     : AcknowledgeMode::Primary,
                                 SentAt, Now);
}

asio::awaitable<void> GroupService::nextPoll(TimePoint Limit) {
  if (this->Stopped || steadyNow() >= Limit)
    co_return;
  for (const auto &[Name, Monitor] : this->Monitors)
    if (Name != this->Status.Primary)
      Monitor->pollSoon();
  boost::system::error_code Ignored;
  if (this->Monitors.empty()) {
    asio::steady_timer Pause(this->Worker);
    Pause.expires_at(
        std::min(Limit, steadyNow() + failoverlimits::PollInterval));
    co_await Pause.async_wait(resumeWith(Ignored));
    co_return;
  }
  co_await this->PollSignal.async_wait(resumeWith(Ignored));
}

std::optional<Duration> GroupService::ageOf(const Position &Replayed,
                                            TimePoint Now) const {
  return this->Ages.age(Replayed, Now);
}

UpstreamView GroupService::viewOf(const Upstream &Member, TimePoint Now) const {
  UpstreamView View;
  View.Name = Member.Name;
  View.FailureDomain = Member.FailureDomain;
  View.Role = Member.Name == this->Status.Primary ? UpstreamRole::Primary
                                                  : UpstreamRole::Replica;
  const auto Found = this->LastReports.find(Member.Name);
  const bool Fresh = Found != this->LastReports.end() && Found->second.Poll &&
                     Now - Found->second.SentAt < MaxReportAge;
  if (this->effective(Member).State == UpstreamState::Leaving)
    View.State = UpstreamAvailability::Leaving;
  else if (!Fresh)
    View.State = UpstreamAvailability::Unreachable;
  if (Fresh) {
    View.Timeline = Found->second.Poll->Timeline;
    View.Replayed = Found->second.Poll->ReplayPosition;
    View.Age = this->Ages.age({View.Timeline, View.Replayed}, Now);
  }
  const auto Held = this->Upstreams.find(Member.Name);
  if (Held != this->Upstreams.end())
    View.ExpectedWait = Held->second->expectedWait();
  return View;
}

void GroupService::publish() {
  if (!this->Duties.pollsMembers(this->Status.Primary))
    return;
  auto View = std::make_shared<PublishedGroupView>();
  View->At = steadyNow();
  View->Primary = this->Status.Primary;
  View->Current = this->Status.Current;
  View->Routing.History = this->Status.History;
  for (const Upstream &Member : this->Members.Upstreams)
    View->Routing.Upstreams.push_back(this->viewOf(Member, View->At));
  this->Views.publish(this->Members.Name, std::move(View));
}

} // namespace lavenderdale
