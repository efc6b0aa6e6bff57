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

// Pause before the position of a replica that is behind is read again.
constexpr milliseconds ReplicaPollInterval{10};
// A transaction that is still open after this time is rolled back.
constexpr milliseconds MaxTransactionDuration{60000};
// Larger answers of requests with an idempotency key are not stored; a repeated
// request then gets an answer marked "answerNotStored".
constexpr std::size_t MaxStoredAnswerBytes = 65536;

constexpr std::string_view UndefinedTable = "42P01";
constexpr std::string_view UniqueViolation = "23505";

QueueDemand queueDemandFor(const ExecutionRequest &Request) {
  QueueDemand Demand;
  Demand.Workspace = Request.Workspace;
  Demand.Class = static_cast<QueueClass>(Request.Class);
  Demand.Limits = {Request.Weight, Request.QueueLength};
  Demand.Deadline = Request.Deadline;
  return Demand;
}

/// The statements of a read at a replica: the last group has the caller's
/// statement and a query of the replay position. With \p PositionFirst the
/// position is also read before, to check that the replica is recent enough.
/// That query is in a group of its own: within the group of the statement, the
/// position could be newer than the snapshot of a REPEATABLE READ transaction.
StatementGroups makeReplicaRead(const Statement &Sql, bool PositionFirst) {
  StatementGroups Groups(PositionFirst ? 2 : 1);
  if (PositionFirst)
    Groups.front().push_back(replayStatement());
  Groups.back().push_back(Sql);
  Groups.back().push_back(replayStatement());
  return Groups;
}

/// The result of the statements of makeReplicaRead().
ExecutionResult
replicaReadResult(const PostgresConnection::GroupResults &Results) {
  const StatementResult &Result = Results.back()[0];
  if (Result.Failure)
    return resultOfSqlError(*Result.Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  Answer.Role = UpstreamRole::Replica;
  // The data can be newer than a position that was read before the statement.
  Answer.Reached = readReplay(Results.back()[1]);
  // Without a position, a later read of the session could return older data.
  if (!Answer.Reached)
    return ExecutionResult::failed(ErrorKind::ReplicaBehind, "",
                                   AttemptOutcome::ReplicaBehind);
  return ExecutionResult::answered(std::move(Answer));
}

ExecutionResult noPrimaryFailure() {
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
    co_return co_await this->beginTransaction(std::move(Target), Request);
  case Operation::Commit:
  case Operation::Rollback:
    co_return co_await this->endTransaction(Request);
  case Operation::Run:
    break;
  }
  if (!Request.Transaction.empty())
    co_return co_await this->runInTransaction(Request);
  if (Request.ReadOnly && Request.Role == UpstreamRole::Replica)
    co_return co_await this->readReplica(std::move(Target), Request);
  if (Request.ReadOnly)
    co_return co_await this->readPrimary(std::move(Target), Request);
  if (!Request.IdempotencyKey.empty())
    co_return co_await this->keyedWrite(std::move(Target), Request);
  co_return co_await this->write(std::move(Target), Request);
}

asio::awaitable<Result<StatementRunner::GroupResults>>
StatementRunner::run(TargetPointer Target,
                     UpstreamService::Lease ConnectionLease,
                     StatementGroups Groups, const ExecutionRequest &Request) {
  HopSpan Hop(this->Context, Request.TraceParent, "upstream");
  Hop.set("upstream", Request.Upstream);
  co_return co_await Target->run(ConnectionLease, std::move(Groups),
                                 Request.Deadline,
                                 this->Context.Config.Limits.MaxResultBytes);
}

asio::awaitable<Result<UpstreamService::Lease>>
StatementRunner::acquireForWrite(TargetPointer Target,
                                 const ExecutionRequest &Request) {
  const auto Refused = failure(ErrorKind::NoPrimary,
                               "the primary may not acknowledge writes now");
  if (!this->State.mayWrite(steadyNow()))
    co_return Refused;
  const auto ConnectionLease =
      co_await Target->acquire(queueDemandFor(Request));
  // The permission to write can expire while the request is queued.
  if (ConnectionLease && !this->State.mayWrite(steadyNow())) {
    Target->release(ConnectionLease.value(), true);
    co_return Refused;
  }
  co_return ConnectionLease;
}

asio::awaitable<ExecutionResult>
StatementRunner::write(TargetPointer Target, ExecutionRequest &Request) {
  const auto ConnectionLease = co_await this->acquireForWrite(Target, Request);
  if (!ConnectionLease)
    co_return resultOfFailedRun(ConnectionLease.error());
  const TimePoint SentAt = steadyNow();
  StatementGroups Groups = makeTwoGroups(Request.Sql, positionStatement());
  const auto Results = co_await this->run(Target, ConnectionLease.value(),
                                          std::move(Groups), Request);
  Target->release(ConnectionLease.value(),
                  Results && leavesNoSessionState(Results.value()[0][0]));
  if (!Results)
    co_return resultOfFailedRun(Results.error());
  const StatementResult &Result = Results.value()[0][0];
  if (Result.Failure)
    co_return resultOfSqlError(*Result.Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return co_await this->acknowledge(Request, std::move(Answer), SentAt);
}

asio::awaitable<ExecutionResult>
StatementRunner::acknowledge(ExecutionRequest &Request, ExecutionAnswer Answer,
                             TimePoint SentAt) {
  while (Answer.Reached) {
    const AcknowledgeDecision Decision =
        this->State.decide(*Answer.Reached, Request.Mode, SentAt, steadyNow());
    if (Decision == AcknowledgeDecision::Acknowledge)
      co_return ExecutionResult::answered(std::move(Answer));
    if (Decision == AcknowledgeDecision::Withhold ||
        steadyNow() >= Request.Deadline)
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
  const auto ConnectionLease = co_await this->acquireForWrite(Target, Request);
  if (!ConnectionLease)
    co_return resultOfFailedRun(ConnectionLease.error());
  bool NoSessionState = true;
  const TimePoint SentAt = steadyNow();
  ExecutionResult Result = co_await this->runKeyedTransaction(
      Target, Request, ConnectionLease.value(), NoSessionState);
  Target->release(ConnectionLease.value(), NoSessionState);
  if (!Result.Answer)
    co_return Result;
  co_return co_await this->acknowledge(Request, std::move(*Result.Answer),
                                       SentAt);
}

// The record is written in the transaction of the statement, so that either
// both are committed or neither is.
asio::awaitable<ExecutionResult> StatementRunner::runKeyedTransaction(
    TargetPointer Target, ExecutionRequest &Request,
    UpstreamService::Lease ConnectionLease, bool &NoSessionState) {
  const Statement Record = insertRecordStatement(
      Request, fingerprintOf(Request.Sql), unixSecondsNow());
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    StatementGroups Groups(1,
                           makeTransactionGroup("BEGIN", Record, Request.Sql));
    const auto Results =
        co_await this->run(Target, ConnectionLease, std::move(Groups), Request);
    if (!Results)
      co_return resultOfFailedRun(Results.error());
    const std::vector<StatementResult> &List = Results.value()[0];
    const SqlError *Failure = firstFailure(List);
    NoSessionState = leavesNoSessionState(List[2]);
    if (!Failure)
      co_return co_await this->commitKeyedWrite(Target, Request,
                                                ConnectionLease, List[2]);
    const auto RolledBack = co_await this->run(
        Target, ConnectionLease, makeGroupFromSql("ROLLBACK"), Request);
    const bool RecordFailed = List[1].Failure.has_value();
    if (!RolledBack)
      co_return resultOfFailedRun(RolledBack.error());
    if (RecordFailed && Failure->SqlState == UniqueViolation)
      co_return co_await this->readStoredAnswer(Target, Request,
                                                ConnectionLease);
    if (!RecordFailed || Failure->SqlState != UndefinedTable)
      co_return resultOfSqlError(*Failure);
    const auto Created =
        co_await this->run(Target, ConnectionLease,
                           makeGroupFromSql(CreateRequestsTableSql), Request);
    if (!Created)
      co_return resultOfFailedRun(Created.error());
  }
  co_return ExecutionResult::failed(
      ErrorKind::StatementFailed, "the table lavenderdale_requests is missing",
      AttemptOutcome::StatementError);
}

asio::awaitable<ExecutionResult> StatementRunner::commitKeyedWrite(
    TargetPointer Target, ExecutionRequest &Request,
    UpstreamService::Lease ConnectionLease, StatementResult Result) {
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Result);
  const bool Fits = Answer.Body.size() <= MaxStoredAnswerBytes;
  const Statement Store = storeAnswerStatement(
      Request, Fits ? std::optional(Answer.Body) : std::nullopt);
  StatementGroups Groups = makeTwoGroups(Store, positionStatement());
  Groups.front().push_back(makeStatement("COMMIT"));
  const auto Results =
      co_await this->run(Target, ConnectionLease, std::move(Groups), Request);
  if (!Results)
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      Results.error().Detail,
                                      AttemptOutcome::AnswerLost);
  if (const SqlError *Failure = firstFailure(Results.value()[0]))
    co_return resultOfSqlError(*Failure);
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return ExecutionResult::answered(std::move(Answer));
}

asio::awaitable<ExecutionResult>
StatementRunner::readStoredAnswer(TargetPointer Target,
                                  ExecutionRequest &Request,
                                  UpstreamService::Lease ConnectionLease) {
  const Statement Find = selectRecordStatement(Request);
  StatementGroups Groups = makeTwoGroups(Find, positionStatement());
  const auto Results =
      co_await this->run(Target, ConnectionLease, std::move(Groups), Request);
  if (!Results)
    co_return resultOfFailedRun(Results.error());
  const StatementResult &Found = Results.value()[0][0];
  if (Found.Failure)
    co_return resultOfSqlError(*Found.Failure);
  if (Found.Rows.size() != 1)
    co_return ExecutionResult::failed(
        ErrorKind::StatementFailed,
        "the request with this idempotency key was rolled back",
        AttemptOutcome::SerializationFailure);
  if (Found.Rows[0][0] != fingerprintOf(Request.Sql))
    co_return ExecutionResult::failed(
        ErrorKind::IdempotencyConflict,
        "the idempotency key was used with another statement",
        AttemptOutcome::StatementError);
  ExecutionAnswer Answer;
  Answer.Body = Found.Rows[0][1].value_or(
      R"({"columns":[],"rows":[],"affected":0,"answerNotStored":true})");
  Answer.Reached = readPosition(Results.value()[1][0]);
  co_return ExecutionResult::answered(std::move(Answer));
}

// While a replica is catching up, only its position is queried, so that the
// statement of a waiting read is not run repeatedly.
asio::awaitable<ExecutionResult>
StatementRunner::readReplica(TargetPointer Target, ExecutionRequest &Request) {
  const ReadDemand Demand{Request.Seen, Request.AcceptedAge};
  const bool PositionFirst = Demand.Seen || Demand.AcceptedAge;
  bool PositionOnly = Request.WaitUntil.has_value();
  while (true) {
    const auto ConnectionLease =
        co_await Target->acquire(queueDemandFor(Request));
    if (!ConnectionLease)
      co_return resultOfFailedRun(ConnectionLease.error());
    StatementGroups Groups = makeGroup(replayStatement());
    if (!PositionOnly)
      Groups = makeReplicaRead(Request.Sql, PositionFirst);
    const auto Results = co_await this->run(Target, ConnectionLease.value(),
                                            std::move(Groups), Request);
    const bool NoSessionState =
        Results &&
        (PositionOnly || leavesNoSessionState(Results.value().back()[0]));
    Target->release(ConnectionLease.value(), NoSessionState);
    if (!Results)
      co_return resultOfFailedRun(Results.error());
    const std::vector<StatementResult> &Last = Results.value().back();
    // PostgreSQL skips the rest of a group after an error, so there is no
    // position to check.
    if (!PositionFirst && !PositionOnly && Last[0].Failure)
      co_return resultOfSqlError(*Last[0].Failure);
    const std::optional<Position> Replayed =
        readReplay(PositionFirst ? Results.value().front()[0] : Last.back());
    const ReadEligibility Verdict =
        this->judgeReplicaPosition(Demand, Replayed);
    if (Verdict == ReadEligibility::WriteLost)
      co_return ExecutionResult::failed(ErrorKind::SessionLost, "",
                                        AttemptOutcome::StatementError);
    if (Verdict == ReadEligibility::MayServe && !PositionOnly)
      co_return replicaReadResult(Results.value());
    const TimePoint NextPollAt = steadyNow() + ReplicaPollInterval;
    if (!Replayed || !Request.WaitUntil || NextPollAt >= *Request.WaitUntil)
      co_return ExecutionResult::failed(ErrorKind::ReplicaBehind, "",
                                        AttemptOutcome::ReplicaBehind);
    PositionOnly = Verdict != ReadEligibility::MayServe;
    if (PositionOnly)
      co_await sleepUntil(NextPollAt);
  }
}

ReadEligibility StatementRunner::judgeReplicaPosition(
    const ReadDemand &Demand, const std::optional<Position> &Replayed) const {
  if (!Replayed)
    return ReadEligibility::Behind;
  return evaluateRead(Demand, {Replayed->InTerm, Replayed->Log},
                      this->State.ageOf(*Replayed, steadyNow()),
                      this->State.history());
}

// A read at the primary needs the same permission as a write: a primary that
// was replaced would return outdated data.
asio::awaitable<ExecutionResult>
StatementRunner::readPrimary(TargetPointer Target, ExecutionRequest &Request) {
  if (!this->State.mayWrite(steadyNow()))
    co_return noPrimaryFailure();
  const auto ConnectionLease =
      co_await Target->acquire(queueDemandFor(Request));
  if (!ConnectionLease)
    co_return resultOfFailedRun(ConnectionLease.error());
  const TimePoint SentAt = steadyNow();
  StatementGroups Groups(1, makeTransactionGroup("BEGIN READ ONLY", Request.Sql,
                                                 makeStatement("COMMIT")));
  Groups.push_back({});
  Groups.back().push_back(positionStatement());
  const auto Results = co_await this->run(Target, ConnectionLease.value(),
                                          std::move(Groups), Request);
  bool NoSessionState = Results && leavesNoSessionState(Results.value()[0][1]);
  if (Results && firstFailure(Results.value()[0])) {
    const auto RolledBack = co_await this->run(
        Target, ConnectionLease.value(), makeGroupFromSql("ROLLBACK"), Request);
    NoSessionState = RolledBack.has_value();
  }
  Target->release(ConnectionLease.value(), NoSessionState);
  if (!Results)
    co_return resultOfFailedRun(Results.error());
  if (const SqlError *Failure = firstFailure(Results.value()[0]))
    co_return resultOfSqlError(*Failure);
  ExecutionAnswer Answer;
  Answer.Body = resultToJson(Results.value()[0][1]);
  Answer.Reached = readPosition(Results.value()[1][0]);
  if (!Answer.Reached ||
      this->State.decide(*Answer.Reached, Acknowledge::Primary, SentAt,
                         steadyNow()) != AcknowledgeDecision::Acknowledge)
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      "the primary may not answer reads now",
                                      AttemptOutcome::PermissionLost);
  if (Request.Seen &&
      this->State.history().writeStatus(*Request.Seen) == WriteStatus::Lost)
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
StatementRunner::beginTransaction(TargetPointer Target,
                                  ExecutionRequest &Request) {
  if (!this->State.mayWrite(steadyNow()))
    co_return noPrimaryFailure();
  const auto ConnectionLease = co_await Target->pin(
      queueDemandFor(Request), steadyNow() + MaxTransactionDuration);
  if (!ConnectionLease)
    co_return resultOfFailedRun(ConnectionLease.error());
  const auto Started =
      Target->beginStatement(ConnectionLease.value(), Request.Deadline);
  if (!Started) {
    Target->unpin(ConnectionLease.value());
    co_return resultOfFailedRun(Started.error());
  }
  const auto Results = co_await this->run(Target, ConnectionLease.value(),
                                          makeGroupFromSql("BEGIN"), Request);
  Target->endStatement(ConnectionLease.value());
  if (!Results || Results.value()[0][0].Failure) {
    Target->unpin(ConnectionLease.value());
    co_return ExecutionResult::failed(ErrorKind::Unavailable,
                                      "cannot begin a transaction",
                                      AttemptOutcome::NotSent);
  }
  ExecutionAnswer Answer;
  Answer.Transaction = this->newTransactionId(Request.Group);
  this->OpenTransactions[Answer.Transaction] = {Request.Workspace, Target,
                                                ConnectionLease.value()};
  this->OpenTransactionCount = this->OpenTransactions.size();
  co_return ExecutionResult::answered(std::move(Answer));
}

bool StatementRunner::removeTransaction(const std::string &Id) {
  const bool Known = this->OpenTransactions.erase(Id) > 0;
  this->OpenTransactionCount = this->OpenTransactions.size();
  return Known;
}

asio::awaitable<ExecutionResult>
StatementRunner::runInTransaction(ExecutionRequest &Request) {
  const auto Found = this->OpenTransactions.find(Request.Transaction);
  if (Found == this->OpenTransactions.end() ||
      Found->second.Workspace != Request.Workspace)
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  const Transaction Current = Found->second;
  const auto Started =
      Current.Target->beginStatement(Current.ConnectionLease, Request.Deadline);
  if (!Started) {
    if (Started.error().Kind == ErrorKind::TransactionLost) {
      if (this->removeTransaction(Request.Transaction))
        Current.Target->unpin(Current.ConnectionLease);
    }
    co_return resultOfFailedRun(Started.error());
  }
  const auto Results = co_await this->run(
      Current.Target, Current.ConnectionLease, makeGroup(Request.Sql), Request);
  Current.Target->endStatement(Current.ConnectionLease);
  if (!Results) {
    if (this->removeTransaction(Request.Transaction))
      Current.Target->unpin(Current.ConnectionLease);
    co_return ExecutionResult::failed(ErrorKind::OutcomeUnknown,
                                      "the transaction was lost: " +
                                          Results.error().Detail,
                                      AttemptOutcome::AnswerLost);
  }
  const StatementResult &Result = Results.value()[0][0];
  if (Result.Failure)
    co_return resultOfSqlError(*Result.Failure);
  if (endsTransaction(Result)) {
    if (this->removeTransaction(Request.Transaction))
      Current.Target->unpin(Current.ConnectionLease);
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
StatementRunner::endTransaction(ExecutionRequest &Request) {
  const auto Found = this->OpenTransactions.find(Request.Transaction);
  if (Found == this->OpenTransactions.end() ||
      Found->second.Workspace != Request.Workspace)
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  const Transaction Current = Found->second;
  const bool Commits = Request.Action == Operation::Commit;
  const bool Allowed = !Commits || this->State.mayWrite(steadyNow());
  const auto Started =
      Current.Target->beginStatement(Current.ConnectionLease, Request.Deadline);
  if (!Started && Started.error().Kind != ErrorKind::TransactionLost)
    co_return resultOfFailedRun(Started.error());
  if (!this->removeTransaction(Request.Transaction))
    co_return ExecutionResult::failed(ErrorKind::UnknownTransaction,
                                      Request.Transaction,
                                      AttemptOutcome::RefusedBeforeRun);
  if (!Started) {
    Current.Target->unpin(Current.ConnectionLease);
    co_return resultOfFailedRun(Started.error());
  }
  const TimePoint SentAt = steadyNow();
  StatementGroups Groups =
      makeTwoGroups(makeStatement(Commits && Allowed ? "COMMIT" : "ROLLBACK"),
                    positionStatement());
  const auto Results = co_await this->run(
      Current.Target, Current.ConnectionLease, std::move(Groups), Request);
  Current.Target->endStatement(Current.ConnectionLease);
  Current.Target->unpin(Current.ConnectionLease);
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
    co_return resultOfSqlError(*Result.Failure);
  // PostgreSQL rolls a failed transaction back on COMMIT and answers ROLLBACK.
  if (Commits && Result.CommandTag != "COMMIT")
    co_return ExecutionResult::failed(
        ErrorKind::TransactionLost,
        "rolled back: a statement of the transaction had failed",
        AttemptOutcome::RefusedBeforeRun);
  ExecutionAnswer Answer;
  Answer.Body = R"({"columns":[],"rows":[],"affected":0})";
  Answer.Reached = readPosition(Results.value()[1][0]);
  if (!Commits)
    co_return ExecutionResult::answered(std::move(Answer));
  co_return co_await this->acknowledge(Request, std::move(Answer), SentAt);
}

} // namespace lavenderdale
