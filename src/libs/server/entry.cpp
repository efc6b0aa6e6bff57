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

// Pause before the next round of attempts, for example during a promotion.
constexpr milliseconds RoundPause{50};

std::vector<std::uint8_t> bytesOfHex(const std::string &Hex) {
  std::vector<std::uint8_t> Bytes;
  for (std::size_t I = 0; I + 1 < Hex.size(); I += 2)
    Bytes.push_back(
        static_cast<std::uint8_t>(std::stoul(Hex.substr(I, 2), nullptr, 16)));
  return Bytes;
}

Result<SessionTokenCodec> codecOf(const SigningSecret &Secret) {
  return SessionTokenCodec::create(bytesOfHex(Secret.Hex));
}

RequestMark markOf(const CallerRequest &Caller) {
  if (!Caller.Transaction.empty())
    return RequestMark::InTransaction;
  if (Caller.NeverRepeat)
    return RequestMark::NeverRepeat;
  if (Caller.ReadOnly)
    return RequestMark::Read;
  return Caller.IdempotencyKey.empty() ? RequestMark::Write
                                       : RequestMark::KeyedWrite;
}

// The transaction id is HOST~GROUP~RANDOM.
std::string holderOf(const std::string &Transaction) {
  return Transaction.substr(0, Transaction.find('~'));
}

ExecutionRequest messageOf(const CallerRequest &Caller, const Route &Target,
                           const Workspace &Payer, TimePoint Deadline) {
  ExecutionRequest Message;
  Message.Action = Caller.Action;
  Message.Group = Target.Group;
  Message.Workspace = Payer.Name;
  Message.Class = Target.Class;
  Message.QueueLength = Target.Limits.QueueLength;
  Message.Weight =
      static_cast<std::uint32_t>(std::max(1.0, std::ceil(Payer.Weight)));
  Message.Deadline = Deadline;
  Message.Sql = Caller.Sql;
  Message.ReadOnly = Caller.ReadOnly;
  Message.Mode = Target.Acknowledge;
  Message.IdempotencyKey = Caller.IdempotencyKey;
  Message.Transaction = Caller.Transaction;
  return Message;
}

/// The failure that the caller sees after the last attempt.
ExecutionResult finalFailure(ExecutionResult Result, NextStep Step) {
  ExecutionFailure &Failure = Result.Failure;
  const RunOutcome Told = errorAnswer(Failure.Reason.Kind).Outcome;
  if (Step == NextStep::AnswerUnknown && Told != RunOutcome::Unknown)
    Failure.Reason = failure(ErrorKind::OutcomeUnknown, Failure.Reason.Detail);
  if (Step == NextStep::AnswerNotRun && Told != RunOutcome::NotRun)
    Failure.Reason = failure(ErrorKind::Unavailable, Failure.Reason.Detail);
  return Result;
}

// Kinds that another attempt cannot change.
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
             GroupViews &Views, Executor &Run, FleetSource Fleet,
             ViewRefresher RefreshView)
    : Context(Context), Configuration(Configuration), Rates(Rates),
      Views(Views), Run(Run), Fleet(std::move(Fleet)),
      RefreshView(std::move(RefreshView)) {}

asio::awaitable<HttpResponse> Entry::handle(HttpRequest Request) {
  const TimePoint Start = steadyNow();
  const std::string *Parent = Request.Fields.find("traceparent");
  HopSpan Hop(this->Context, Parent ? *Parent : std::string(), "entry");
  const Result<CallerRequest> Caller = readCallerRequest(Request);
  // Not as a conditional expression: g++ 12 destroys its temporaries twice when
  // it contains co_await.
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
  const Result<Admitted> Request = this->admit(Caller, steadyNow());
  if (!Request) {
    this->Context.Metrics
        .counter(
            "lavenderdale_refusals_total", "Requests refused by kind",
            {{"kind", std::string(errorAnswer(Request.error().Kind).Name)}})
        .add();
    co_return problemResponse(Request.error());
  }
  Hop.set("route", Request.value().Target->Name);
  Hop.set("workspace", Request.value().Payer->Name);
  ExecutionResult Result =
      co_await this->runAdmitted(Caller, Request.value(), Hop);
  co_return this->answer(Request.value(), std::move(Result));
}

Result<Entry::Admitted> Entry::admit(const CallerRequest &Caller,
                                     TimePoint Now) const {
  Admitted Request;
  Request.Snapshot = this->Configuration.snapshot();
  if (!Request.Snapshot)
    return failure(ErrorKind::ConfigurationStale, "no configuration yet");
  const CatalogueSnapshot &Snapshot = *Request.Snapshot;
  Request.Target = Snapshot.route(Caller.Route);
  if (!Request.Target)
    return failure(ErrorKind::UnknownRoute, Caller.Route.substr(0, 100));
  BOOST_OUTCOME_TRY(Request.Payer,
                    checkKey(Snapshot, *Request.Target, Caller.KeyText));
  if (!Request.Target->Open && !Request.Target->ServeWhenCutOff &&
      !this->Configuration.mayServeKeyed(Now))
    return failure(ErrorKind::ConfigurationStale,
                   "cut off from the platform and from other hosts");
  Request.Members = Snapshot.group(Request.Target->Group);
  if (!Request.Members)
    return failure(ErrorKind::Unavailable,
                   "group " + Request.Target->Group + " is not configured");
  const milliseconds Limit =
      std::min(Caller.Deadline.value_or(Request.Target->Limits.Deadline),
               this->Context.Config.Timeouts.MaxDeadline);
  Request.Deadline = Now + Limit;
  BOOST_OUTCOME_TRY(Request.Session,
                    this->readSession(Caller, Snapshot, Request.Payer->Name));
  return Request;
}

Result<SessionToken> Entry::readSession(const CallerRequest &Caller,
                                        const CatalogueSnapshot &Snapshot,
                                        const std::string &Workspace) const {
  if (Caller.SessionText.empty())
    return SessionToken(Workspace);
  Error Reason = failure(ErrorKind::BadSession, "no signing secret");
  for (const auto &[Id, Secret] : Snapshot.signingSecrets()) {
    const Result<SessionTokenCodec> Codec = codecOf(*Secret);
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

asio::awaitable<Result<void>> Entry::spendRate(const Admitted &Request) {
  const Result<void> Spent = co_await this->Rates.spend(
      "workspace/" + Request.Payer->Name, Request.Deadline);
  if (!Spent || !Request.Target->Limits.Rate)
    co_return Spent;
  co_return co_await this->Rates.spend("route/" + Request.Target->Name,
                                       Request.Deadline);
}

asio::awaitable<ExecutionResult> Entry::runAdmitted(const CallerRequest &Caller,
                                                    const Admitted &Request,
                                                    HopSpan &Hop) {
  const Result<void> Spent = co_await this->spendRate(Request);
  if (!Spent) {
    this->Context.Metrics
        .counter("lavenderdale_rate_limited_total",
                 "Requests over the rate of their workspace",
                 {{"workspace", Request.Payer->Name}})
        .add();
    co_return ExecutionResult::failed(Spent.error(), AttemptOutcome::NotSent);
  }
  this->countRequest(Request.Payer->Name, steadyNow());
  ExecutionRequest Message =
      messageOf(Caller, *Request.Target, *Request.Payer, Request.Deadline);
  Message.Seen = Request.Session.position(Request.Target->Group);
  Message.AcceptedAge = Caller.MaxAge;
  if (!Message.AcceptedAge && Request.Target->Limits.MaxAge)
    Message.AcceptedAge = *Request.Target->Limits.MaxAge;
  Message.TraceParent = Hop.traceParent();
  if (!Caller.Transaction.empty())
    co_return co_await this->Run.execute(holderOf(Caller.Transaction),
                                         std::move(Message));
  co_return co_await this->runWithRetries(Caller, Request, std::move(Message));
}

asio::awaitable<Result<AttemptPlan>> Entry::plan(const CallerRequest &Caller,
                                                 const Admitted &Request,
                                                 bool Refresh) {
  const std::string Group = Request.Target->Group;
  Result<AttemptPlan> Planned = AttemptPlan();
  GroupViewPointer View = this->Views.find(Group);
  if (View && !Refresh) {
    Planned = this->planFor(Caller, Request, *View);
    // The primary may be chosen due to an old view. A replica that is behind
    // tells its position itself, at less cost than a view.
    const bool Suffices = Planned && !Planned.value().Attempts.empty() &&
                          Planned.value().Reason != PrimaryReason::NoReplica &&
                          Planned.value().Reason != PrimaryReason::Age;
    if (!isOutdated(*View, this->Views.doubtedAt(Group), Suffices, steadyNow()))
      co_return Planned;
  }
  co_await this->RefreshView(Group);
  View = this->Views.find(Group);
  if (View)
    Planned = this->planFor(Caller, Request, *View);
  co_return Planned;
}

// A request gets further rounds of attempts until its deadline as long as
// nothing was sent; after that the retry table and the retry budget decide.
asio::awaitable<ExecutionResult>
Entry::runWithRetries(const CallerRequest &Caller, const Admitted &Request,
                      ExecutionRequest Message) {
  const RequestMark Mark = markOf(Caller);
  ExecutionResult Last = ExecutionResult::failed(
      ErrorKind::Unavailable, "no view of group " + Message.Group,
      AttemptOutcome::NotSent);
  bool Refresh = false;
  std::optional<PrimaryReason> Reason;
  while (steadyNow() < Request.Deadline) {
    const Result<AttemptPlan> Planned =
        co_await this->plan(Caller, Request, Refresh);
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
      Last = co_await this->Run.execute(Next.Host, Message);
      if (Last.Answer) {
        this->countServed(Caller, *Last.Answer, Reason);
        if (Last.Answer->Reached && Next.Role == UpstreamRole::Replica)
          this->Views.reached(Message.Group, Next.Upstream,
                              *Last.Answer->Reached);
      }
      if (Last.Answer || isFinal(Last.Failure.Reason.Kind))
        co_return Last;
      this->Views.doubt(Message.Group, steadyNow());
      const AttemptOutcome Outcome = Last.Failure.Outcome;
      const NextStep Step = nextStep(Outcome, Mark);
      if (!isRetry(Step))
        co_return finalFailure(std::move(Last), Step);
      // Trying the next place costs the upstreams nothing if the statement was
      // not sent, or was answered without effect by a replica.
      const bool Free =
          notSent(Outcome) || Outcome == AttemptOutcome::ReplicaBehind;
      if (!Free && !this->mayRetry(Request.Payer->Name, steadyNow()))
        co_return finalFailure(std::move(Last),
                               stepWithoutRetry(Outcome, Mark));
    }
    const TimePoint Again = steadyNow() + RoundPause;
    if (Again >= Request.Deadline)
      break;
    co_await sleepUntil(Again);
  }
  const NextStep Step = stepWithoutRetry(Last.Failure.Outcome, Mark);
  co_return finalFailure(std::move(Last), Step);
}

Result<AttemptPlan> Entry::planFor(const CallerRequest &Caller,
                                   const Admitted &Request,
                                   const PublishedGroupView &View) const {
  std::optional<ReadRequest> Read;
  // A replica that is behind is asked again, so a statement that must not be
  // repeated goes to the primary.
  if (Caller.ReadOnly && !Caller.NeverRepeat) {
    Read.emplace();
    Read->Demand.Seen = Request.Session.position(Request.Target->Group);
    Read->Demand.AcceptedAge = Caller.MaxAge;
    if (!Read->Demand.AcceptedAge && Request.Target->Limits.MaxAge)
      Read->Demand.AcceptedAge = *Request.Target->Limits.MaxAge;
    Read->OwnFailureDomain = this->Context.Config.Host.FailureDomain;
    Read->Deadline = Request.Deadline;
  }
  const auto Places =
      [&](const std::string &Name) -> std::optional<UpstreamPlaces> {
    const Upstream *Member = Request.Members->upstream(Name);
    if (!Member)
      return std::nullopt;
    return UpstreamPlaces{Member->State == UpstreamState::Leaving,
                          this->Fleet()->holders(*Member)};
  };
  ReadGroupView Routing;
  if (Read)
    Routing = this->Views.routingOf(Request.Target->Group, View);
  std::optional<RoundRobin> InTurn;
  if (Read && this->Context.Config.Experiment.Reads == "round-robin")
    InTurn.emplace(this->Turn++);
  return planAttempts({std::move(Routing), View.Primary, View.At}, Read, Places,
                      this->Context.hostName(), steadyNow(),
                      InTurn ? &*InTurn : nullptr);
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
  // The plan had a replica, but none answered in time.
  const PrimaryReason Counted = Reason.value_or(PrimaryReason::Behind);
  this->Context.Metrics
      .counter("lavenderdale_primary_reads_total",
               "Reads served by the primary, by reason",
               {{"reason", std::string(toString(Counted))}})
      .add();
}

void Entry::countRequest(const std::string &Workspace, TimePoint Now) {
  RetryShard &Place = this->RetryShards[std::hash<std::string>()(Workspace) %
                                        this->RetryShards.size()];
  const std::lock_guard Guard(Place.Lock);
  Place.Budgets[Workspace].countRequest(Now);
}

bool Entry::mayRetry(const std::string &Workspace, TimePoint Now) {
  RetryShard &Place = this->RetryShards[std::hash<std::string>()(Workspace) %
                                        this->RetryShards.size()];
  const std::lock_guard Guard(Place.Lock);
  return Place.Budgets[Workspace].tryRetry(Now);
}

HttpResponse Entry::answer(const Admitted &Request,
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
    Session.advance(Request.Target->Group, *Result.Answer->Reached);
  const auto &Secrets = Request.Snapshot->signingSecrets();
  if (Secrets.empty() || Session.positions().empty())
    return Response;
  // The newest secret signs; all verify.
  const auto Codec = codecOf(*Secrets.rbegin()->second);
  if (!Codec)
    return Response;
  const auto Text = Codec.value().encode(Session);
  if (Text)
    Response.Fields.add("Lavenderdale-Session", Text.value());
  return Response;
}

} // namespace lavenderdale
