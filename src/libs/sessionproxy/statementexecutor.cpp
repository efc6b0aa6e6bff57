#include "statementexecutor.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using Command = UpstreamCommand;

UpstreamCommand proxyCommand(Command::Kind Kind) {
  UpstreamCommand Own;
  Own.Type = Kind;
  return Own;
}

/// Doubles with each failure, since each one closes a connection.
std::chrono::milliseconds pauseAfterSetUpFailures(std::size_t Failures) {
  std::chrono::milliseconds Pause = UpstreamClient::MinBusyPause;
  for (; Failures > 0 && Pause < UpstreamClient::MaxBusyPause; --Failures)
    Pause *= 2;
  return std::min(Pause, UpstreamClient::MaxBusyPause);
}

AttemptOutcome outcomeOf(UpstreamFailure Failure) {
  switch (Failure) {
  case UpstreamFailure::Busy:
  case UpstreamFailure::UnknownStatement:
  case UpstreamFailure::WrongUpstream:
  case UpstreamFailure::ConnectionLimit:
    return AttemptOutcome::RefusedBeforeRun;
  case UpstreamFailure::Behind:
    return AttemptOutcome::ReplicaBehind;
  case UpstreamFailure::ReadOnly:
    return AttemptOutcome::NotPrimary;
  case UpstreamFailure::None:
  case UpstreamFailure::Failed:
  case UpstreamFailure::Timeout:
  case UpstreamFailure::Malformed:
  case UpstreamFailure::Other:
    return AttemptOutcome::StatementError;
  }
  return AttemptOutcome::StatementError;
}

const char *nameOf(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::NotSent:
    return "not_sent";
  case AttemptOutcome::RefusedBeforeRun:
    return "busy";
  case AttemptOutcome::AnswerLost:
    return "answer_lost";
  case AttemptOutcome::Terminated:
    return "failed_read";
  case AttemptOutcome::ReplicaBehind:
    return "behind";
  case AttemptOutcome::NotPrimary:
    return "not_primary";
  default:
    return "failed";
  }
}

// An error that says that the statement did not run must hold for all attempts;
// if one of them may have run, the outcome is unknown.
Error finalError(const Error &NotRun, bool MayHaveRun) {
  if (!MayHaveRun)
    return NotRun;
  return failure(ErrorKind::OutcomeUnknown,
                 "no reply to an earlier attempt; last error: " +
                     NotRun.Detail);
}

std::int64_t millisecondsSince(TimePoint Start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() -
                                                               Start)
      .count();
}

} // namespace

/// The current attempt of a statement, and what carries over from earlier ones.
struct StatementExecutor::Attempt {
  std::set<std::string> Excluded; ///< Members that failed to serve it.
  std::size_t Tries = 0;
  std::string Upstream;
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  bool MayHaveRun = false;            ///< In this attempt or an earlier one.
  std::optional<UpstreamReply> Guard; ///< Reply to the guard command.
  std::optional<UpstreamReply> Reply; ///< Reply to the statement.
  BootTime SentAt{};
  /// Pause before a busy upstream or one without a free connection is tried
  /// again.
  std::chrono::milliseconds BusyPause{UpstreamClient::MinBusyPause};
  std::size_t SetUpFailures = 0; ///< Each cost the upstream a connection.
  std::size_t Refusals = 0;      ///< Attempts that were refused on arrival.
  bool Refused = false;          ///< The current attempt was.
  /// Shortest time after which one of the refusing members will have room.
  std::chrono::milliseconds RetryAfter{};
};

asio::awaitable<StatementOutcome>
StatementExecutor::runSingle(StatementCall &Call) {
  const bool AtPrimary =
      Call.Writes || Call.Route.Consistency == ReadConsistency::Primary;
  const RetryClass Mark = Call.Writes ? RetryClass::Write : RetryClass::Read;
  Attempt Try;
  while (true) {
    ++Try.Tries;
    Try.Reply.reset();
    Try.Guard.reset();
    Try.Outcome = AttemptOutcome::NotSent;
    Try.Refused = false;
    std::optional<Error> NotRun;
    if (AtPrimary)
      NotRun = co_await this->runAtPrimary(Call, Try);
    else
      NotRun = co_await this->runAtReader(Call, Try);
    if (NotRun)
      co_return finalError(*NotRun, Try.MayHaveRun);
    if (Try.Reply && Try.Reply->ok()) {
      if (Call.Writes && Try.Reply->At)
        Call.Session.recordCommit(*Try.Reply->At);
      if (!Call.Writes) {
        this->Metrics.Reads.add();
        if (Call.Group->tracker().lastPrimary() != Try.Upstream)
          this->Metrics.ReplicaReads.add();
      }
      co_return std::move(*Try.Reply);
    }
    // A read that failed at one member may succeed at another, so it is retried
    // once.
    if (Try.Outcome == AttemptOutcome::StatementError && !Call.Writes &&
        Try.Tries == 1)
      Try.Outcome = AttemptOutcome::Terminated;
    const bool InTime = steadyNow() < queueDeadline(Call) && !Call.Abandoned;
    const NextStep Step = nextStep(Try.Outcome, Mark);
    const bool Retry = isRetry(Step) && InTime;
    this->Metrics.countAttempt(nameOf(Try.Outcome));
    logInfo(std::string("event=attempt_failed id=") + Call.Request.Id +
            " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
            " outcome=" + nameOf(Try.Outcome) +
            " try=" + std::to_string(Try.Tries) +
            " age_ms=" + std::to_string(millisecondsSince(Call.Arrived)) +
            (Retry ? " next=retry" : " next=answer"));
    if (Retry) {
      if (!Try.Refused && notSent(Try.Outcome))
        co_await sleepUntil(steadyNow() + Try.BusyPause);
      continue;
    }
    if (Try.Reply)
      co_return std::move(*Try.Reply);
    co_return finalError(this->reportNotRun(Call, "no upstream replied"),
                         Try.MayHaveRun);
  }
}

asio::awaitable<std::optional<Error>>
StatementExecutor::runAtPrimary(StatementCall &Call, Attempt &Try) {
  const std::shared_ptr<UpstreamClient> Client =
      co_await Call.Group->waitForPrimary(queueDeadline(Call), Call.Wait);
  if (!Client)
    co_return failure(ErrorKind::NoPrimary, "no primary is known");
  UpstreamWork Work = workFor(Call);
  if (!Call.Writes) {
    // A replaced primary still serves plain reads, but starts no read-write
    // transaction. The read is sent only after the transaction has started.
    Work.Guard = proxyCommand(Command::Kind::Begin);
    Work.Commands.push_back(proxyCommand(Command::Kind::Rollback));
    Work.Deadline = readAttemptDeadline(Call, Try, *Client);
  }
  const bool Connected =
      co_await this->run(Call, Try, Client, std::move(Work), nullptr);
  if (Try.Refused)
    co_return this->reportNoRoom(Call, Try);
  if (!Connected && (steadyNow() >= queueDeadline(Call) || Call.Abandoned))
    co_return this->reportNotRun(Call, "no connection to the primary");
  const std::optional<UpstreamReply> &Proof =
      Call.Writes ? Try.Reply : Try.Guard;
  if (Proof && Proof->ok() && Proof->At)
    Call.Group->recordLeadershipProof(*Client, Try.SentAt, *Proof->At);
  co_return std::nullopt;
}

asio::awaitable<std::optional<Error>>
StatementExecutor::runAtReader(StatementCall &Call, Attempt &Try) {
  std::optional<Position> Required = this->requiredPosition(Call);
  if (!Required) {
    co_await this->proveLeadership(Call);
    Required = this->requiredPosition(Call);
  }
  if (!Required)
    co_return co_await this->runAtPrimary(Call, Try);
  const std::shared_ptr<UpstreamClient> Client =
      Call.Group->chooseReader(Call.Workspace, Call.Route.Priority, *Required,
                               Try.Excluded, steadyNow());
  if (!Client) {
    Try.Excluded.clear();
    co_return co_await this->runAtPrimary(Call, Try);
  }
  Try.Excluded.insert(Client->entry().Id);
  UpstreamWork Work = workFor(Call);
  Work.Commands.back().After = Required;
  Work.Deadline = readAttemptDeadline(Call, Try, *Client);
  const bool Connected =
      co_await this->run(Call, Try, Client, std::move(Work), nullptr);
  if (Try.Refused && Try.Refusals >= MaxRefusals)
    co_return this->reportNoRoom(Call, Try);
  if (!Connected && (steadyNow() >= queueDeadline(Call) || Call.Abandoned))
    co_return this->reportNotRun(Call, "no connection to an upstream");
  if (Try.Outcome == AttemptOutcome::ReplicaBehind)
    Client->recordBehind(steadyNow());
  co_return std::nullopt;
}

/// Runs \p Work at the upstream of \p Client and stores the result in \p Try.
/// \returns whether a connection was obtained.
asio::awaitable<bool>
StatementExecutor::run(StatementCall &Call, Attempt &Try,
                       std::shared_ptr<UpstreamClient> Client,
                       UpstreamWork Work, HeldConnection *Hold) {
  Call.Group->recordUse(Call.Workspace, steadyNow());
  PoolWaiter Waiter;
  Waiter.Workspace = Call.Workspace;
  Waiter.Priority = Call.Route.Priority;
  Waiter.Target = Call.Arrived + Call.Route.LatencyObjective;
  Waiter.GiveUpAt = queueDeadline(Call);
  Try.Upstream = Client->entry().Id;
  const bool Measured = Work.hasStatement();
  const std::shared_ptr<UpstreamClient> Target = Client;
  WorkResult Result = co_await this->Access.run(
      std::move(Client), std::move(Waiter), std::move(Work), Call.Wait, Hold);
  Call.Waited += Result.Waited;
  this->Metrics.WaitTime.record(Result.Waited);
  const bool Connected = Result.Connected;
  this->recordResult(Call, Try, *Target, std::move(Result), Measured);
  co_return Connected;
}

/// Evaluates \p Result into \p Try, and updates the statistics of the upstream.
/// \param Measured whether the work contained a caller's statement, so that its
///        duration counts as a response time of the upstream.
void StatementExecutor::recordResult(StatementCall &Call, Attempt &Try,
                                     UpstreamClient &Client, WorkResult Result,
                                     bool Measured) {
  const TimePoint Now = steadyNow();
  Call.Ran += Result.Ran;
  Call.Upstream = Try.Upstream;
  ++Call.Tries;
  Try.BusyPause = Client.busyPause(Now);
  if (!Result.Connected && Result.RetryAfter.count() > 0) {
    Try.Refused = true;
    Try.RetryAfter = ++Try.Refusals == 1
                         ? Result.RetryAfter
                         : std::min(Try.RetryAfter, Result.RetryAfter);
  }
  Try.SentAt = Result.SentAt;
  Try.Guard = std::move(Result.Guard);
  Try.Reply.reset();
  const bool Answered = !Result.Replies.empty();
  if ((Result.Lost || Result.Unreachable) &&
      Call.Group->tracker().primary(Now) == Try.Upstream)
    Call.Group->recordTrouble();
  if (!Result.SetUpError.empty()) {
    // The statement waits for its set-up, but a relaying host of an earlier
    // version sends them together.
    const bool MayHaveRun =
        Answered ? Result.Replies.front().ok() : Result.Sent;
    Try.Outcome = MayHaveRun ? AttemptOutcome::AnswerLost
                             : AttemptOutcome::RefusedBeforeRun;
    Try.MayHaveRun = Try.MayHaveRun || (Measured && MayHaveRun);
    Try.BusyPause = pauseAfterSetUpFailures(++Try.SetUpFailures);
    return;
  }
  if (Try.Guard && !Try.Guard->ok()) {
    Try.Reply = Try.Guard;
  } else if (Answered) {
    Try.Reply = std::move(Result.Replies.front());
  } else {
    Try.Outcome =
        Result.Sent ? AttemptOutcome::AnswerLost : AttemptOutcome::NotSent;
    Try.MayHaveRun = Try.MayHaveRun || (Measured && Result.Sent);
  }
  if (Measured && Result.Connected && !Result.RelayFailed)
    Client.recordResponseTime(Result.Ran, Now);
  if (!Try.Reply)
    return;
  if (Try.Reply->At)
    Client.recordPosition(*Try.Reply->At, Now);
  if (Try.Reply->ok())
    return;
  Try.Outcome = outcomeOf(Try.Reply->Failure);
  if (Measured && Try.Outcome == AttemptOutcome::StatementError)
    Try.MayHaveRun = true;
  if (Try.Reply->Failure == UpstreamFailure::ReadOnly)
    Call.Group->recordLeadershipRefusal(Client);
}

asio::awaitable<StatementOutcome>
StatementExecutor::runInTransaction(StatementCall &Call) {
  if (Call.Session.phase() == TransactionPhase::Pending)
    if (std::optional<Error> NotRun = co_await this->openTransaction(Call)) {
      Call.Session.failTransaction();
      co_return *NotRun;
    }
  const bool Commits = Call.Request.Kind == StatementKind::Commit;
  Attempt Try;
  while (true) {
    ++Try.Tries;
    Try.Upstream = Call.Pinned.client()->entry().Id;
    UpstreamWork Work = workFor(Call);
    Work.InTransaction = true;
    const std::shared_ptr<UpstreamClient> Client = Call.Pinned.client();
    WorkResult Result =
        co_await this->Access.runHeld(Call.Pinned, std::move(Work));
    this->recordResult(Call, Try, *Client, std::move(Result), true);
    const bool Busy = Try.Reply && Try.Reply->State == TransactionState::Open &&
                      Try.Outcome == AttemptOutcome::RefusedBeforeRun &&
                      !Try.Reply->ok();
    if (!Busy || steadyNow() >= queueDeadline(Call) || Call.Abandoned)
      break;
    co_await sleepUntil(steadyNow() + Try.BusyPause);
  }
  if (!Try.Reply || !Try.Reply->ok())
    co_return this->handleFailure(Call, Try);
  if (!Commits) {
    if (Call.Writes)
      Call.Session.markWritten();
    co_return std::move(*Try.Reply);
  }
  const std::shared_ptr<UpstreamClient> Client = Call.Pinned.client();
  if (Try.Reply->At && Call.Session.hasWritten()) {
    Call.Session.recordCommit(*Try.Reply->At);
    Call.Group->recordLeadershipProof(*Client, Try.SentAt, *Try.Reply->At);
  }
  Call.Pinned.reset();
  Call.Session.endTransaction();
  co_return std::move(*Try.Reply);
}

StatementOutcome StatementExecutor::handleFailure(StatementCall &Call,
                                                  Attempt &Try) {
  const bool Commits = Call.Request.Kind == StatementKind::Commit;
  logInfo(std::string("event=transaction_failed id=") + Call.Request.Id +
          " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
          " outcome=" + nameOf(Try.Outcome) + (Commits ? " at=commit" : "") +
          " age_ms=" + std::to_string(millisecondsSince(Call.Arrived)));
  const bool Lost = !Try.Reply;
  if (!Lost && Try.Reply->State != TransactionState::None)
    this->rollBack(std::move(Call.Pinned));
  Call.Pinned.reset();
  if (Commits)
    Call.Session.endTransaction();
  else
    Call.Session.failTransaction();
  if (!Lost)
    return std::move(*Try.Reply);
  if (Commits && Try.Outcome != AttemptOutcome::NotSent)
    return failure(ErrorKind::OutcomeUnknown, "no reply to the commit");
  return failure(ErrorKind::TransactionLost,
                 "the connection that held the transaction was lost");
}

asio::awaitable<std::optional<Error>>
StatementExecutor::openTransaction(StatementCall &Call) {
  const bool AtPrimary = !Call.Session.isReadOnly() ||
                         Call.Route.Consistency == ReadConsistency::Primary;
  Attempt Try;
  while (true) {
    std::optional<Position> Required =
        AtPrimary ? std::nullopt : this->requiredPosition(Call);
    if (!AtPrimary && !Required) {
      co_await this->proveLeadership(Call);
      Required = this->requiredPosition(Call);
    }
    std::shared_ptr<UpstreamClient> Client;
    if (Required)
      Client = Call.Group->chooseReader(Call.Workspace, Call.Route.Priority,
                                        *Required, Try.Excluded, steadyNow());
    const bool Reader = Client != nullptr;
    if (!Client)
      Client =
          co_await Call.Group->waitForPrimary(queueDeadline(Call), Call.Wait);
    if (!Client)
      co_return failure(ErrorKind::NoPrimary, "no primary is known");
    ++Try.Tries;
    const std::optional<Position> After = Reader ? Required : std::nullopt;
    const std::optional<Error> NotRun =
        co_await this->beginAt(Call, Client, After, Try);
    if (NotRun)
      co_return NotRun;
    if (Call.Session.phase() == TransactionPhase::Open)
      co_return std::nullopt;
    if (Reader)
      Try.Excluded.insert(Client->entry().Id);
    if (steadyNow() >= queueDeadline(Call) || Call.Abandoned)
      co_return this->reportNotRun(Call, "no upstream started the transaction");
    if (!Reader)
      co_await sleepUntil(steadyNow() + Try.BusyPause);
  }
}

asio::awaitable<std::optional<Error>>
StatementExecutor::beginAt(StatementCall &Call,
                           const std::shared_ptr<UpstreamClient> &Client,
                           std::optional<Position> After, Attempt &Try) {
  UpstreamWork Work;
  Work.Values = Call.Session.values();
  Work.Commands.push_back(proxyCommand(After ? Command::Kind::BeginReadOnly
                                             : Command::Kind::Begin));
  Work.Commands.back().After = After;
  Work.Deadline =
      std::min(deadline(Call), steadyNow() + MinReadAttemptTime * 2);
  HeldConnection Held;
  const bool Connected =
      co_await this->run(Call, Try, Client, std::move(Work), &Held);
  if (!Connected) {
    if (steadyNow() >= queueDeadline(Call) || Call.Abandoned)
      co_return this->reportNotRun(Call, "no connection for the transaction");
    co_return std::nullopt;
  }
  if (!Try.Reply || !Try.Reply->ok() || !Held) {
    logInfo(std::string("event=begin_failed id=") + Call.Request.Id +
            " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
            " outcome=" + nameOf(Try.Outcome));
    if (Try.Outcome == AttemptOutcome::ReplicaBehind)
      Client->recordBehind(steadyNow());
    co_return std::nullopt;
  }
  if (!After && Try.Reply->At)
    Call.Group->recordLeadershipProof(*Client, Try.SentAt, *Try.Reply->At);
  Call.Pinned = std::move(Held);
  Call.Session.markTransactionOpen();
  co_return std::nullopt;
}

void StatementExecutor::rollBack(HeldConnection Pinned) {
  this->Access.rollBack(std::move(Pinned));
}

BootTime StatementExecutor::oldestProofTime(const StatementCall &Call) {
  return Call.ArrivedAtBootTime - Call.Route.AcceptedAge;
}

asio::awaitable<void> StatementExecutor::proveLeadership(StatementCall &Call) {
  Call.Group->recordUse(Call.Workspace, steadyNow());
  co_await Call.Group->proveLeadership(oldestProofTime(Call),
                                       queueDeadline(Call));
}

std::optional<Position>
StatementExecutor::requiredPosition(const StatementCall &Call) const {
  std::optional<Position> Required =
      Call.Group->includingAll(oldestProofTime(Call));
  const std::optional<Position> &Own = Call.Session.lastCommit();
  if (Required && Own && *Required < *Own &&
      Call.Route.Consistency == ReadConsistency::ReadYourWrites)
    Required = Own;
  return Required;
}

UpstreamWork StatementExecutor::workFor(const StatementCall &Call) {
  UpstreamWork Work;
  Work.Values = Call.Session.values();
  Work.Deadline = deadline(Call);
  UpstreamCommand Forward;
  Forward.Id = Call.Request.Id;
  if (Call.Prepared) {
    Work.Definition = Call.Prepared->Definition;
    Forward.Type = Command::Kind::Execute;
    Forward.Argument = Call.Request.Argument;
  } else {
    Forward.Text = Call.Request.Text;
  }
  Work.Commands.push_back(std::move(Forward));
  return Work;
}

TimePoint StatementExecutor::queueDeadline(const StatementCall &Call) {
  return Call.Arrived + std::chrono::duration_cast<Duration>(
                            Call.Route.StatementTimeout * QueueTimeFraction);
}

TimePoint StatementExecutor::deadline(const StatementCall &Call) {
  return Call.Arrived + Call.Route.StatementTimeout;
}

TimePoint StatementExecutor::readAttemptDeadline(const StatementCall &Call,
                                                 const Attempt &Try,
                                                 const UpstreamClient &Client) {
  if (Try.Tries > 1)
    return deadline(Call);
  const TimePoint Now = steadyNow();
  const Duration ReadTimeout = std::max<Duration>(
      MinReadAttemptTime, Client.responseTime(Now) * ReadTimeoutFactor);
  return std::min(deadline(Call), Now + ReadTimeout);
}

Error StatementExecutor::reportNotRun(const StatementCall &Call,
                                      const std::string &Why) const {
  logInfo(std::string("event=not_run id=") + Call.Request.Id +
          " group=" + Call.Group->name() + " workspace=" + Call.Workspace +
          " age_ms=" + std::to_string(millisecondsSince(Call.Arrived)) +
          " reason=\"" + Why + "\"");
  return failure(ErrorKind::QueueDeadline, Why);
}

Error StatementExecutor::reportNoRoom(const StatementCall &Call,
                                      const Attempt &Try) const {
  return this->reportNotRun(
      Call, "retry-after-ms=" + std::to_string(Try.RetryAfter.count()) +
                " the upstreams cannot start it in time");
}

} // namespace lavenderdale
