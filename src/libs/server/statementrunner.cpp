#include "statementrunner.h"

#include "attemptresult.h"
#include "groupqueries.h"
#include "http/runon.h"
#include "http/sleepuntil.h"
#include "idempotencyrecord.h"
#include "resultjson.h"
#include "statementgroups.h"

#include <boost/asio/this_coro.hpp>

#include <string_view>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Pause before a replica that is behind is asked again.
constexpr milliseconds CatchUpInterval{10};
// A transaction that is not ended by then is rolled back.
constexpr milliseconds TransactionLimit{60000};
// Stored answers of keyed requests; a larger one is not kept in full.
constexpr std::size_t MaxStoredAnswerBytes = 65536;

constexpr std::string_view NoTable = "42P01";
constexpr std::string_view UniqueViolation = "23505";

QueueDemand demandOf(const ExecutionRequest &Request) {
  QueueDemand Demand;
  Demand.Workspace = Request.Workspace;
  Demand.Class = static_cast<QueueClass>(Request.Class);
  Demand.Limits = {Request.Weight, Request.QueueLength};
  Demand.Deadline = Request.Deadline;
  return Demand;
}

/// A read at a replica: statement and position in the last group. If the
/// replica must have reached something before, another position precedes them.
/// It has a group of its own: under REPEATABLE READ it could otherwise be newer
/// than the snapshot of the statement.
StatementGroups replicaRead(const Statement &Sql, bool PositionFirst) {
  StatementGroups Groups(PositionFirst ? 2 : 1);
  if (PositionFirst)
    Groups.front().push_back(replayStatement());
  Groups.back().push_back(Sql);
  Groups.back().push_back(replayStatement());
  return Groups;
}

/// The answer to replicaRead().
ExecutionResult replicaAnswer(const PostgresConnection::GroupResults &Results) {
  const StatementResult &Result = Results.back()[0];
  if (Result.Failure)
    return sqlFailure(*Result.Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  Answer.Role = UpstreamRole::Replica;
  // The data can be newer than the position that was read before it.
  Answer.Reached = readReplay(Results.back()[1]);
  // Without a position the session could go back to older data.
  if (!Answer.Reached)
    return ExecutionResult::failed(ErrorKind::ReplicaBehind, "",
                                   AttemptOutcome::ReplicaBehind);
  return ExecutionResult::answered(std::move(Answer));
}

ExecutionResult noPrimary() {
  return ExecutionResult::failed(ErrorKind::NoPrimary,
                                 "the primary may not acknowledge writes now",
                                 AttemptOutcome::RefusedBeforeRun);
}

} // namespace

StatementRunner::StatementRunner(const DaemonContext &Context,
                                 GroupState &State)
    : Context(Context), State(State), Random(std::random_device{}()) {}

asio::awaitable<ExecutionResult>
StatementRunner::execute(TargetPointer Target, ExecutionRequest Request) {
  switch (Request.Action) {
  case Operation::Begin:
    co_return co_await this->begin(std::move(Target), Request);
  case Operation::Commit:
  case Operation::Rollback:
    co_return co_await this->end(Request);
  case Operation::Run:
    break;
  }
  if (!Request.Transaction.empty())
    co_return co_await this->runInside(Request);
  if (Request.ReadOnly && Request.Role == UpstreamRole::Replica)
    co_return co_await this->readReplica(std::move(Target), Request);
  if (Request.ReadOnly)
    co_return co_await this->readPrimary(std::move(Target), Request);
  if (!Request.IdempotencyKey.empty())
    co_return co_await this->keyedWrite(std::move(Target), Request);
  co_return co_await this->write(std::move(Target), Request);
}

asio::awaitable<Result<StatementRunner::GroupResults>>
StatementRunner::run(TargetPointer Target, UpstreamService::Lease Held,
                     StatementGroups Statements,
                     const ExecutionRequest &Request) {
  HopSpan Hop(this->Context, Request.TraceParent, "upstream");
  Hop.set("upstream", Request.Upstream);
  co_return co_await Target->run(Held, std::move(Statements), Request.Deadline,
                                 this->Context.Config.Limits.MaxResultBytes);
}

asio::awaitable<Result<UpstreamService::Lease>>
StatementRunner::acquireForWrite(TargetPointer Target,
                                 const ExecutionRequest &Request) {
  const auto Refused = failure(ErrorKind::NoPrimary,
                               "the primary may not acknowledge writes now");
  if (!this->State.mayWrite(steadyNow()))
    co_return Refused;
  const auto Held = co_await Target->acquire(demandOf(Request));
  // The permission may have expired in the queue.
  if (Held && !this->State.mayWrite(steadyNow())) {
    Target->release(Held.value(), true);
    co_return Refused;
  }
  co_return Held;
}

asio::awaitable<ExecutionResult>
StatementRunner::write(TargetPointer Target, ExecutionRequest &Request) {
  const auto Held = co_await this->acquireForWrite(Target, Request);
  if (!Held)
    co_return runFailure(Held.error());
  const TimePoint SentAt = steadyNow();
  StatementGroups Statements = pairOf(Request.Sql, positionStatement());
  const auto Results =
      co_await this->run(Target, Held.value(), std::move(Statements), Request);
  Target->release(Held.value(), Results && isPlain(Results.value()[0][0]));
  if (!Results)
    co_return runFailure(Results.error());
  const StatementResult &Result = Results.value()[0][0];
  if (Result.Failure)
    co_return sqlFailure(*Result.Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return co_await this->acknowledge(Request, std::move(Answer), SentAt);
}

asio::awaitable<ExecutionResult>
StatementRunner::acknowledge(ExecutionRequest &Request, ExecutionAnswer Answer,
                             TimePoint SentAt) {
  while (Answer.Reached) {
    const AckDecision Decision =
        this->State.decide(*Answer.Reached, Request.Mode, SentAt, steadyNow());
    if (Decision == AckDecision::Acknowledge)
      co_return ExecutionResult::answered(std::move(Answer));
    if (Decision == AckDecision::Withhold || steadyNow() >= Request.Deadline)
      break;
    co_await this->State.nextPoll(Request.Deadline);
  }
  co_return ExecutionResult::failed(
      ErrorKind::OutcomeUnknown,
      "the write was run, but the primary may not acknowledge it",
      AttemptOutcome::PermissionLost);
}

asio::awaitable<ExecutionResult>
StatementRunner::keyedWrite(TargetPointer Target, ExecutionRequest &Request) {
  const auto Held = co_await this->acquireForWrite(Target, Request);
  if (!Held)
    co_return runFailure(Held.error());
  bool Plain = true;
  const TimePoint SentAt = steadyNow();
  ExecutionResult Result =
      co_await this->runKeyed(Target, Request, Held.value(), Plain);
  Target->release(Held.value(), Plain);
  if (!Result.Answer)
    co_return Result;
  co_return co_await this->acknowledge(Request, std::move(*Result.Answer),
                                       SentAt);
}

// The record is written in the transaction of the statement, so that both are
// there or neither is.
asio::awaitable<ExecutionResult>
StatementRunner::runKeyed(TargetPointer Target, ExecutionRequest &Request,
                          UpstreamService::Lease Held, bool &Plain) {
  const Statement Record =
      recordStatement(Request, fingerprintOf(Request.Sql), unixSeconds());
  for (int Try = 0; Try < 2; ++Try) {
    StatementGroups Statements(1, insideBegin("BEGIN", Record, Request.Sql));
    const auto Results =
        co_await this->run(Target, Held, std::move(Statements), Request);
    if (!Results)
      co_return runFailure(Results.error());
    const std::vector<StatementResult> &List = Results.value()[0];
    const SqlError *Failure = firstFailure(List);
    Plain = isPlain(List[2]);
    if (!Failure)
      co_return co_await this->finishKeyed(Target, Request, Held, List[2]);
    const auto RolledBack =
        co_await this->run(Target, Held, single("ROLLBACK"), Request);
    const bool AtRecord = List[1].Failure.has_value();
    if (!RolledBack)
      co_return runFailure(RolledBack.error());
    if (AtRecord && Failure->SqlState == UniqueViolation)
      co_return co_await this->storedAnswer(Target, Request, Held);
    if (!AtRecord || Failure->SqlState != NoTable)
      co_return sqlFailure(*Failure);
    const auto Created =
        co_await this->run(Target, Held, single(CreateRequestsTable), Request);
    if (!Created)
      co_return runFailure(Created.error());
  }
  co_return ExecutionResult::failed(
      ErrorKind::StatementFailed, "the table lavenderdale_requests is missing",
      AttemptOutcome::StatementError);
}

asio::awaitable<ExecutionResult>
StatementRunner::finishKeyed(TargetPointer Target, ExecutionRequest &Request,
                             UpstreamService::Lease Held,
                             StatementResult Result) {
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  const bool Fits = Answer.Body.size() <= MaxStoredAnswerBytes;
  const Statement Store =
      storeStatement(Request, Fits ? std::optional(Answer.Body) : std::nullopt);
  StatementGroups Statements = pairOf(Store, positionStatement());
  Statements.front().push_back(plain("COMMIT"));
  const auto Results =
      co_await this->run(Target, Held, std::move(Statements), Request);
  if (!Results)
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      Results.error().Detail,
                                      AttemptOutcome::AnswerLost);
  if (const SqlError *Failure = firstFailure(Results.value()[0]))
    co_return sqlFailure(*Failure);
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return ExecutionResult::answered(std::move(Answer));
}

asio::awaitable<ExecutionResult>
StatementRunner::storedAnswer(TargetPointer Target, ExecutionRequest &Request,
                              UpstreamService::Lease Held) {
  const Statement Find = findStatement(Request);
  StatementGroups Statements = pairOf(Find, positionStatement());
  const auto Results =
      co_await this->run(Target, Held, std::move(Statements), Request);
  if (!Results)
    co_return runFailure(Results.error());
  const StatementResult &Found = Results.value()[0][0];
  if (Found.Failure)
    co_return sqlFailure(*Found.Failure);
  if (Found.Rows.size() != 1)
    co_return ExecutionResult::failed(
        ErrorKind::StatementFailed, "the request with this key was rolled back",
        AttemptOutcome::SerializationFailure);
  if (Found.Rows[0][0] != fingerprintOf(Request.Sql))
    co_return ExecutionResult::failed(ErrorKind::IdempotencyConflict,
                                      "the key belongs to another statement",
                                      AttemptOutcome::StatementError);
  ExecutionAnswer Answer;
  Answer.Body = Found.Rows[0][1].value_or(
      R"({"columns":[],"rows":[],"affected":0,"answerNotStored":true})");
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return ExecutionResult::answered(std::move(Answer));
}

// A replica that is catching up is asked for its position alone until it is
// there, so that a waiting read does not run its statement again and again.
asio::awaitable<ExecutionResult>
StatementRunner::readReplica(TargetPointer Target, ExecutionRequest &Request) {
  const ReadDemand Demand{Request.Seen, Request.AcceptedAge};
  const bool PositionFirst = Demand.Seen || Demand.AcceptedAge;
  bool PositionOnly = Request.WaitUntil.has_value();
  while (true) {
    const auto Held = co_await Target->acquire(demandOf(Request));
    if (!Held)
      co_return runFailure(Held.error());
    StatementGroups Statements = oneGroup(replayStatement());
    if (!PositionOnly)
      Statements = replicaRead(Request.Sql, PositionFirst);
    const auto Results = co_await this->run(Target, Held.value(),
                                            std::move(Statements), Request);
    const bool Plain =
        Results && (PositionOnly || isPlain(Results.value().back()[0]));
    Target->release(Held.value(), Plain);
    if (!Results)
      co_return runFailure(Results.error());
    const std::vector<StatementResult> &Last = Results.value().back();
    // Its position was skipped then, so nothing can be judged by it.
    if (!PositionFirst && !PositionOnly && Last[0].Failure)
      co_return sqlFailure(*Last[0].Failure);
    const std::optional<Position> Replayed =
        readReplay(PositionFirst ? Results.value().front()[0] : Last.back());
    const ReadVerdict Verdict = this->judge(Demand, Replayed);
    if (Verdict == ReadVerdict::WriteLost)
      co_return ExecutionResult::failed(ErrorKind::SessionLost, "",
                                        AttemptOutcome::StatementError);
    if (Verdict == ReadVerdict::MayServe && !PositionOnly)
      co_return replicaAnswer(Results.value());
    const TimePoint Again = steadyNow() + CatchUpInterval;
    if (!Replayed || !Request.WaitUntil || Again >= *Request.WaitUntil)
      co_return ExecutionResult::failed(ErrorKind::ReplicaBehind, "",
                                        AttemptOutcome::ReplicaBehind);
    PositionOnly = Verdict != ReadVerdict::MayServe;
    if (PositionOnly)
      co_await sleepUntil(Again);
  }
}

ReadVerdict
StatementRunner::judge(const ReadDemand &Demand,
                       const std::optional<Position> &Replayed) const {
  if (!Replayed)
    return ReadVerdict::Behind;
  return judgeRead(Demand, {Replayed->InTerm, Replayed->Log},
                   this->State.ageOf(*Replayed, steadyNow()),
                   this->State.history());
}

// A read at the primary is answered under the same permission as a write: a
// replaced primary would return old data.
asio::awaitable<ExecutionResult>
StatementRunner::readPrimary(TargetPointer Target, ExecutionRequest &Request) {
  if (!this->State.mayWrite(steadyNow()))
    co_return noPrimary();
  const auto Held = co_await Target->acquire(demandOf(Request));
  if (!Held)
    co_return runFailure(Held.error());
  const TimePoint SentAt = steadyNow();
  StatementGroups Statements(
      1, insideBegin("BEGIN READ ONLY", Request.Sql, plain("COMMIT")));
  Statements.push_back({});
  Statements.back().push_back(positionStatement());
  const auto Results =
      co_await this->run(Target, Held.value(), std::move(Statements), Request);
  bool Plain = Results && isPlain(Results.value()[0][1]);
  if (Results && firstFailure(Results.value()[0])) {
    const auto RolledBack =
        co_await this->run(Target, Held.value(), single("ROLLBACK"), Request);
    Plain = RolledBack.has_value();
  }
  Target->release(Held.value(), Plain);
  if (!Results)
    co_return runFailure(Results.error());
  if (const SqlError *Failure = firstFailure(Results.value()[0]))
    co_return sqlFailure(*Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Results.value()[0][1]);
  Answer.Reached = readPosition(Results.value()[1][0]);
  if (!Answer.Reached ||
      this->State.decide(*Answer.Reached, Acknowledge::Primary, SentAt,
                         steadyNow()) != AckDecision::Acknowledge)
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      "the primary may not answer reads now",
                                      AttemptOutcome::PermissionLost);
  if (Request.Seen &&
      this->State.history().fate(*Request.Seen) == WriteFate::Lost)
    co_return ExecutionResult::failed(ErrorKind::SessionLost, "",
                                      AttemptOutcome::StatementError);
  co_return ExecutionResult::answered(std::move(Answer));
}

std::string StatementRunner::newTransactionId(const std::string &Group) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id = this->Context.hostName() + "~" + Group + "~";
  for (int I = 0; I < 24; ++I)
    Id += Digits[this->Random() % Digits.size()];
  return Id;
}

asio::awaitable<ExecutionResult>
StatementRunner::begin(TargetPointer Target, ExecutionRequest &Request) {
  if (!this->State.mayWrite(steadyNow()))
    co_return noPrimary();
  const auto Held =
      co_await Target->pin(demandOf(Request), steadyNow() + TransactionLimit);
  if (!Held)
    co_return runFailure(Held.error());
  const auto Started = Target->beginStatement(Held.value(), Request.Deadline);
  if (!Started) {
    Target->unpin(Held.value());
    co_return runFailure(Started.error());
  }
  const auto Results =
      co_await this->run(Target, Held.value(), single("BEGIN"), Request);
  Target->endStatement(Held.value());
  if (!Results || Results.value()[0][0].Failure) {
    Target->unpin(Held.value());
    co_return ExecutionResult::failed(ErrorKind::Unavailable,
                                      "cannot begin a transaction",
                                      AttemptOutcome::NotSent);
  }
  ExecutionAnswer Answer;
  Answer.Transaction = this->newTransactionId(Request.Group);
  this->Open[Answer.Transaction] = {Request.Workspace, Target, Held.value()};
  this->OpenCount = this->Open.size();
  co_return ExecutionResult::answered(std::move(Answer));
}

bool StatementRunner::forget(const std::string &Id) {
  const bool Known = this->Open.erase(Id) > 0;
  this->OpenCount = this->Open.size();
  return Known;
}

asio::awaitable<ExecutionResult>
StatementRunner::runInside(ExecutionRequest &Request) {
  const auto Found = this->Open.find(Request.Transaction);
  if (Found == this->Open.end() || Found->second.Workspace != Request.Workspace)
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  const Transaction Current = Found->second;
  const auto Started =
      Current.Target->beginStatement(Current.Held, Request.Deadline);
  if (!Started) {
    if (Started.error().Kind == ErrorKind::TransactionLost) {
      if (this->forget(Request.Transaction))
        Current.Target->unpin(Current.Held);
    }
    co_return runFailure(Started.error());
  }
  const auto Results = co_await this->run(Current.Target, Current.Held,
                                          oneGroup(Request.Sql), Request);
  Current.Target->endStatement(Current.Held);
  if (!Results) {
    if (this->forget(Request.Transaction))
      Current.Target->unpin(Current.Held);
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      "the transaction was lost: " +
                                          Results.error().Detail,
                                      AttemptOutcome::AnswerLost);
  }
  const StatementResult &Result = Results.value()[0][0];
  if (Result.Failure)
    co_return sqlFailure(*Result.Failure);
  if (endsTransaction(Result)) {
    if (this->forget(Request.Transaction))
      Current.Target->unpin(Current.Held);
    co_return ExecutionResult::failed(
        ErrorKind::StatementNotAllowed,
        "the statement ended the transaction; use commit or rollback",
        AttemptOutcome::StatementError);
  }
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  co_return ExecutionResult::answered(std::move(Answer));
}

asio::awaitable<ExecutionResult>
StatementRunner::end(ExecutionRequest &Request) {
  const auto Found = this->Open.find(Request.Transaction);
  if (Found == this->Open.end() || Found->second.Workspace != Request.Workspace)
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  const Transaction Current = Found->second;
  const bool Commits = Request.Action == Operation::Commit;
  const bool Allowed = !Commits || this->State.mayWrite(steadyNow());
  const auto Started =
      Current.Target->beginStatement(Current.Held, Request.Deadline);
  if (!Started && Started.error().Kind != ErrorKind::TransactionLost)
    co_return runFailure(Started.error());
  if (!this->forget(Request.Transaction))
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  if (!Started) {
    Current.Target->unpin(Current.Held);
    co_return runFailure(Started.error());
  }
  const TimePoint SentAt = steadyNow();
  StatementGroups Statements = pairOf(
      plain(Commits && Allowed ? "COMMIT" : "ROLLBACK"), positionStatement());
  const auto Results = co_await this->run(Current.Target, Current.Held,
                                          std::move(Statements), Request);
  Current.Target->endStatement(Current.Held);
  Current.Target->unpin(Current.Held);
  if (!Allowed)
    co_return ExecutionResult::failed(
        ErrorKind::TransactionLost,
        "rolled back: the primary may not acknowledge writes now",
        AttemptOutcome::RefusedBeforeRun);
  if (!Results)
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      Results.error().Detail,
                                      AttemptOutcome::AnswerLost);
  const StatementResult &Result = Results.value()[0][0];
  if (Result.Failure)
    co_return sqlFailure(*Result.Failure);
  // PostgreSQL answers COMMIT of a failed transaction with ROLLBACK.
  if (Commits && Result.CommandTag != "COMMIT")
    co_return ExecutionResult::failed(ErrorKind::TransactionLost,
                                      "a statement of it had failed",
                                      AttemptOutcome::RefusedBeforeRun);
  ExecutionAnswer Answer;
  Answer.Body = R"({"columns":[],"rows":[],"affected":0})";
  Answer.Reached = readPosition(Results.value()[1][0]);
  if (!Commits)
    co_return ExecutionResult::answered(std::move(Answer));
  co_return co_await this->acknowledge(Request, std::move(Answer), SentAt);
}

} // namespace lavenderdale
