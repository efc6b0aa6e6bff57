#include "entry.h"

#include "catalogue/keycheck.h"
#include "consistency/roundrobin.h"
#include "http/sleepuntil.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Pause between two rounds of attempts, for example during a promotion.
constexpr milliseconds AttemptRoundInterval{50};

std::vector<std::uint8_t> bytesFromHex(const std::string &Hex) {
  std::vector<std::uint8_t> Bytes;
  for (std::size_t I = 0; I + 1 < Hex.size(); I += 2)
    Bytes.push_back(
        static_cast<std::uint8_t>(std::stoul(Hex.substr(I, 2), nullptr, 16)));
  return Bytes;
}

Result<SessionTokenCodec> makeCodec(const SigningSecret &Secret) {
  return SessionTokenCodec::create(bytesFromHex(Secret.Hex));
}

RetryClass requestMarkOf(const CallerRequest &Caller) {
  if (!Caller.Transaction.empty())
    return RetryClass::InTransaction;
  if (Caller.NeverRepeat)
    return RetryClass::NeverRepeat;
  if (Caller.ReadOnly)
    return RetryClass::Read;
  return Caller.IdempotencyKey.empty() ? RetryClass::Write
                                       : RetryClass::KeyedWrite;
}

// The transaction id is HOST~GROUP~RANDOM.
std::string holderHostOf(const std::string &Transaction) {
  return Transaction.substr(0, Transaction.find('~'));
}

ExecutionRequest makeExecutionRequest(const CallerRequest &Caller,
                                      const Route &TargetRoute,
                                      const Workspace &CallerWorkspace,
                                      TimePoint Deadline) {
  ExecutionRequest Message;
  Message.Action = Caller.Action;
  Message.Group = TargetRoute.Group;
  Message.Workspace = CallerWorkspace.Name;
  Message.Class = TargetRoute.Class;
  Message.QueueLength = TargetRoute.Limits.QueueLength;
  Message.Weight = static_cast<std::uint32_t>(
      std::max(1.0, std::ceil(CallerWorkspace.Weight)));
  Message.Deadline = Deadline;
  Message.Sql = Caller.Sql;
  Message.ReadOnly = Caller.ReadOnly;
  Message.Mode = TargetRoute.Acknowledge;
  Message.IdempotencyKey = Caller.IdempotencyKey;
  Message.Transaction = Caller.Transaction;
  return Message;
}

/// The failure that is reported to the caller after the last attempt.
ExecutionResult finalFailure(ExecutionResult Result, NextStep Step) {
  ExecutionFailure &Failure = Result.Failure;
  const RunOutcome Reported = errorAnswer(Failure.Reason.Kind).Outcome;
  if (Step == NextStep::AnswerUnknown && Reported != RunOutcome::Unknown)
    Failure.Reason = failure(ErrorKind::OutcomeUnknown, Failure.Reason.Detail);
  if (Step == NextStep::AnswerNotRun && Reported != RunOutcome::NotRun)
    Failure.Reason = failure(ErrorKind::Unavailable, Failure.Reason.Detail);
  return Result;
}

// Errors that another attempt would return again.
bool isFinal(ErrorKind Kind) {
  return Kind == ErrorKind::SessionLost || Kind == ErrorKind::QueueFull ||
         Kind == ErrorKind::QueueDeadline ||
         Kind == ErrorKind::IdempotencyConflict ||
         Kind == ErrorKind::ResultTooLarge ||
         Kind == ErrorKind::StatementNotAllowed ||
         Kind == ErrorKind::BadRequest;
}

} // namespace

Entry::Entry(const DaemonContext &Context,
             const ConfigurationSource &Configuration, RateService &Rates,
             GroupViews &Views, Executor &RequestExecutor, FleetSource Fleet,
             ViewRefresher RefreshView)
    : Context(Context), Configuration(Configuration), Rates(Rates),
      Views(Views), RequestExecutor(RequestExecutor), Fleet(std::move(Fleet)),
      RefreshView(std::move(RefreshView)) {}

asio::awaitable<HttpResponse> Entry::handle(HttpRequest Request) {
  const TimePoint Start = steadyNow();
  const std::string *Parent = Request.Fields.find("traceparent");
  HopSpan Hop(this->Context, Parent ? *Parent : std::string(), "entry");
  const Result<CallerRequest> Caller = readCallerRequest(Request);
  // Not a conditional expression: with a co_await inside, g++ 12 destroys its
  // temporaries twice.
  HttpResponse Response;
  if (Caller)
    Response = co_await this->serve(Caller.value(), Hop);
  else
    Response = problemResponse(Caller.error());
  Response.Fields.add("traceparent", Hop.traceParent());
  Hop.set("status", std::to_string(Response.Status));
  this->Context.Metrics
      .counter("lavenderdale_requests_total", "Requests of callers by status",
               {{"status", std::to_string(Response.Status)}})
      .add();
  this->Context.Metrics
      .histogram("lavenderdale_request_seconds", "Time to answer a caller")
      .record(steadyNow() - Start);
  co_return Response;
}

asio::awaitable<HttpResponse> Entry::serve(const CallerRequest &Caller,
                                           HopSpan &Hop) {
  const Result<AdmittedRequest> Request = this->admit(Caller, steadyNow());
  if (!Request) {
    this->Context.Metrics
        .counter(
            "lavenderdale_refusals_total", "Requests refused by kind",
            {{"kind", std::string(errorAnswer(Request.error().Kind).Name)}})
        .add();
    co_return problemResponse(Request.error());
  }
  Hop.set("route", Request.value().TargetRoute->Name);
  Hop.set("workspace", Request.value().CallerWorkspace->Name);
  ExecutionResult Result =
      co_await this->runAdmitted(Caller, Request.value(), Hop);
  co_return this->toResponse(Request.value(), std::move(Result));
}

Result<Entry::AdmittedRequest> Entry::admit(const CallerRequest &Caller,
                                            TimePoint Now) const {
  AdmittedRequest Request;
  Request.Snapshot = this->Configuration.snapshot();
  if (!Request.Snapshot)
    return failure(ErrorKind::ConfigurationStale,
                   "no configuration has been loaded yet");
  const CatalogueSnapshot &Snapshot = *Request.Snapshot;
  Request.TargetRoute = Snapshot.route(Caller.Route);
  if (!Request.TargetRoute)
    return failure(ErrorKind::UnknownRoute, Caller.Route.substr(0, 100));
  BOOST_OUTCOME_TRY(Request.CallerWorkspace,
                    checkKey(Snapshot, *Request.TargetRoute, Caller.KeyText));
  if (!Request.TargetRoute->Open && !Request.TargetRoute->ServeWhenCutOff &&
      !this->Configuration.mayAcceptKeys(Now))
    return failure(
        ErrorKind::ConfigurationStale,
        "configuration is too old: neither the platform nor another host "
        "could be reached");
  Request.TargetGroup = Snapshot.group(Request.TargetRoute->Group);
  if (!Request.TargetGroup)
    return failure(ErrorKind::Unavailable, "group " +
                                               Request.TargetRoute->Group +
                                               " is not configured");
  const milliseconds Limit =
      std::min(Caller.Deadline.value_or(Request.TargetRoute->Limits.Deadline),
               this->Context.Config.Timeouts.MaxDeadline);
  Request.Deadline = Now + Limit;
  BOOST_OUTCOME_TRY(
      Request.Session,
      this->readSession(Caller, Snapshot, Request.CallerWorkspace->Name));
  return Request;
}

Result<SessionToken> Entry::readSession(const CallerRequest &Caller,
                                        const CatalogueSnapshot &Snapshot,
                                        const std::string &Workspace) const {
  if (Caller.SessionText.empty())
    return SessionToken(Workspace);
  Error Reason =
      failure(ErrorKind::BadSession, "no usable signing secret is configured");
  for (const auto &[Id, Secret] : Snapshot.signingSecrets()) {
    const Result<SessionTokenCodec> Codec = makeCodec(*Secret);
    if (!Codec)
      continue;
    Result<SessionToken> Token =
        Codec.value().decode(Caller.SessionText, Workspace);
    if (Token)
      return Token;
    Reason = Token.error();
  }
  return Reason;
}

asio::awaitable<Result<void>>
Entry::spendRateTokens(const AdmittedRequest &Request) {
  const Result<void> Spent = co_await this->Rates.spendToken(
      "workspace/" + Request.CallerWorkspace->Name, Request.Deadline);
  if (!Spent || !Request.TargetRoute->Limits.Rate)
    co_return Spent;
  co_return co_await this->Rates.spendToken(
      "route/" + Request.TargetRoute->Name, Request.Deadline);
}

asio::awaitable<ExecutionResult>
Entry::runAdmitted(const CallerRequest &Caller, const AdmittedRequest &Request,
                   HopSpan &Hop) {
  const Result<void> Spent = co_await this->spendRateTokens(Request);
  if (!Spent) {
    this->Context.Metrics
        .counter("lavenderdale_rate_limited_total",
                 "Requests over the rate of their workspace",
                 {{"workspace", Request.CallerWorkspace->Name}})
        .add();
    co_return ExecutionResult::failed(Spent.error(), AttemptOutcome::NotSent);
  }
  this->countRequest(Request.CallerWorkspace->Name, steadyNow());
  ExecutionRequest Message = makeExecutionRequest(
      Caller, *Request.TargetRoute, *Request.CallerWorkspace, Request.Deadline);
  Message.Seen = Request.Session.position(Request.TargetRoute->Group);
  Message.AcceptedAge = Caller.MaxAge;
  if (!Message.AcceptedAge && Request.TargetRoute->Limits.MaxAge)
    Message.AcceptedAge = *Request.TargetRoute->Limits.MaxAge;
  Message.TraceParent = Hop.traceParent();
  if (!Caller.Transaction.empty())
    co_return co_await this->RequestExecutor.execute(
        holderHostOf(Caller.Transaction), std::move(Message));
  co_return co_await this->runWithRetries(Caller, Request, std::move(Message));
}

asio::awaitable<Result<AttemptPlan>>
Entry::planWithRecentView(const CallerRequest &Caller,
                          const AdmittedRequest &Request, bool Refresh) {
  const std::string Group = Request.TargetRoute->Group;
  Result<AttemptPlan> Planned = AttemptPlan();
  GroupViewPointer View = this->Views.find(Group);
  if (View && !Refresh) {
    Planned = this->planWithView(Caller, Request, *View);
    // An outdated view can be the reason why the primary was chosen. For a
    // replica that is behind no new view is needed: it returns its position
    // with its answer, which costs less.
    const bool PlanIsUsable =
        Planned && !Planned.value().Attempts.empty() &&
        Planned.value().Reason != PrimaryReason::NoReplica &&
        Planned.value().Reason != PrimaryReason::Age;
    if (!isOutdated(*View, this->Views.lastFailureAt(Group), PlanIsUsable,
                    steadyNow()))
      co_return Planned;
  }
  co_await this->RefreshView(Group);
  View = this->Views.find(Group);
  if (View)
    Planned = this->planWithView(Caller, Request, *View);
  co_return Planned;
}

// Rounds of attempts are repeated until the deadline as long as no statement
// was sent. After that, the retry table and the retry budget decide.
asio::awaitable<ExecutionResult>
Entry::runWithRetries(const CallerRequest &Caller,
                      const AdmittedRequest &Request,
                      ExecutionRequest Message) {
  const RetryClass Mark = requestMarkOf(Caller);
  ExecutionResult LastResult = ExecutionResult::failed(
      ErrorKind::Unavailable, "no view of group " + Message.Group,
      AttemptOutcome::NotSent);
  bool Refresh = false;
  std::optional<PrimaryReason> Reason;
  while (steadyNow() < Request.Deadline) {
    const Result<AttemptPlan> Planned =
        co_await this->planWithRecentView(Caller, Request, Refresh);
    if (!Planned)
      co_return ExecutionResult::failed(Planned.error(),
                                        AttemptOutcome::NotSent);
    Refresh = true;
    Reason = Planned.value().Reason;
    for (const Attempt &Next : Planned.value().Attempts) {
      if (steadyNow() >= Request.Deadline)
        break;
      Message.Upstream = Next.Upstream;
      Message.Role = Next.Role;
      Message.WaitUntil = Next.WaitUntil;
      LastResult = co_await this->RequestExecutor.execute(Next.Host, Message);
      if (LastResult.Answer) {
        this->countServed(Caller, *LastResult.Answer, Reason);
        if (LastResult.Answer->Reached && Next.Role == UpstreamRole::Replica)
          this->Views.recordReplayed(Message.Group, Next.Upstream,
                                     *LastResult.Answer->Reached);
      }
      if (LastResult.Answer || isFinal(LastResult.Failure.Reason.Kind))
        co_return LastResult;
      this->Views.recordFailure(Message.Group, steadyNow());
      const AttemptOutcome Outcome = LastResult.Failure.Outcome;
      const NextStep Step = nextStep(Outcome, Mark);
      if (!isRetry(Step))
        co_return finalFailure(std::move(LastResult), Step);
      // The retry budget is not charged if the statement was not sent, or if a
      // replica refused it because it was behind: such attempts add no load
      // to the upstreams.
      const bool ExemptFromBudget =
          notSent(Outcome) || Outcome == AttemptOutcome::ReplicaBehind;
      if (!ExemptFromBudget &&
          !this->trySpendRetry(Request.CallerWorkspace->Name, steadyNow()))
        co_return finalFailure(std::move(LastResult),
                               stepWithoutRetry(Outcome, Mark));
    }
    const TimePoint NextRoundAt = steadyNow() + AttemptRoundInterval;
    if (NextRoundAt >= Request.Deadline)
      break;
    co_await sleepUntil(NextRoundAt);
  }
  const NextStep Step = stepWithoutRetry(LastResult.Failure.Outcome, Mark);
  co_return finalFailure(std::move(LastResult), Step);
}

Result<AttemptPlan> Entry::planWithView(const CallerRequest &Caller,
                                        const AdmittedRequest &Request,
                                        const PublishedGroupView &View) const {
  std::optional<ReadRequest> Read;
  // A read is sent again to a replica that is behind, so a statement that must
  // not be repeated goes to the primary.
  if (Caller.ReadOnly && !Caller.NeverRepeat) {
    Read.emplace();
    Read->Demand.Seen = Request.Session.position(Request.TargetRoute->Group);
    Read->Demand.AcceptedAge = Caller.MaxAge;
    if (!Read->Demand.AcceptedAge && Request.TargetRoute->Limits.MaxAge)
      Read->Demand.AcceptedAge = *Request.TargetRoute->Limits.MaxAge;
    Read->OwnFailureDomain = this->Context.Config.Host.FailureDomain;
    Read->Deadline = Request.Deadline;
  }
  const auto PlacesOf =
      [&](const std::string &Name) -> std::optional<UpstreamLocation> {
    const Upstream *Member = Request.TargetGroup->upstream(Name);
    if (!Member)
      return std::nullopt;
    return UpstreamLocation{Member->State == UpstreamState::Leaving,
                            this->Fleet()->holders(*Member)};
  };
  ReadGroupView Routing;
  if (Read)
    Routing = this->Views.routingOf(Request.TargetRoute->Group, View);
  std::optional<RoundRobin> RoundRobinOrder;
  if (Read && this->Context.Config.Experiment.Reads == "round-robin")
    RoundRobinOrder.emplace(this->RoundRobinTurn++);
  return planAttempts({std::move(Routing), View.Primary, View.At}, Read,
                      PlacesOf, this->Context.hostName(), steadyNow(),
                      RoundRobinOrder ? &*RoundRobinOrder : nullptr);
}

void Entry::countServed(const CallerRequest &Caller,
                        const ExecutionAnswer &Answer,
                        std::optional<PrimaryReason> Reason) const {
  const bool Replica = Answer.Role == UpstreamRole::Replica;
  this->Context.Metrics
      .counter("lavenderdale_served_total", "Requests served by role",
               {{"role", Replica ? "replica" : "primary"},
                {"access", Caller.ReadOnly ? "read" : "write"}})
      .add();
  if (!Caller.ReadOnly || Replica)
    return;
  // Without a reason the plan had a replica, but none answered in time.
  const PrimaryReason Counted = Reason.value_or(PrimaryReason::Behind);
  this->Context.Metrics
      .counter("lavenderdale_primary_reads_total",
               "Reads served by the primary, by reason",
               {{"reason", std::string(toString(Counted))}})
      .add();
}

void Entry::countRequest(const std::string &Workspace, TimePoint Now) {
  RetryShard &Shard = this->RetryShards[std::hash<std::string>()(Workspace) %
                                        this->RetryShards.size()];
  const std::lock_guard Guard(Shard.Lock);
  Shard.Budgets[Workspace].countRequest(Now);
}

bool Entry::trySpendRetry(const std::string &Workspace, TimePoint Now) {
  RetryShard &Shard = this->RetryShards[std::hash<std::string>()(Workspace) %
                                        this->RetryShards.size()];
  const std::lock_guard Guard(Shard.Lock);
  return Shard.Budgets[Workspace].tryRetry(Now);
}

HttpResponse Entry::toResponse(const AdmittedRequest &Request,
                               ExecutionResult Result) const {
  if (!Result.Answer) {
    this->Context.Metrics
        .counter("lavenderdale_failures_total", "Failed requests by kind",
                 {{"kind",
                   std::string(errorAnswer(Result.Failure.Reason.Kind).Name)}})
        .add();
    return problemResponse(Result.Failure.Reason);
  }
  HttpResponse Response;
  Response.Body = std::move(Result.Answer->Body);
  if (!Result.Answer->Transaction.empty()) {
    Response.Status = 201;
    Response.Body =
        R"({"transaction":")" + Result.Answer->Transaction + R"("})";
  }
  const bool Replica = Result.Answer->Role == UpstreamRole::Replica;
  Response.Fields.add("Lavenderdale-Served-By",
                      Replica ? "replica" : "primary");
  SessionToken Session = Request.Session;
  if (Result.Answer->Reached)
    Session.advance(Request.TargetRoute->Group, *Result.Answer->Reached);
  const auto &Secrets = Request.Snapshot->signingSecrets();
  if (Secrets.empty() || Session.positions().empty())
    return Response;
  // Tokens are signed with the newest secret and accepted with any of them.
  const auto Codec = makeCodec(*Secrets.rbegin()->second);
  if (!Codec)
    return Response;
  const auto Text = Codec.value().encode(Session);
  if (Text)
    Response.Fields.add("Lavenderdale-Session", Text.value());
  return Response;
}

} // namespace lavenderdale
