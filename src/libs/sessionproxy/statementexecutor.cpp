#include "statementexecutor.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using Command = UpstreamCommand;

UpstreamCommand ownCommand(Command::Kind Kind) {
  UpstreamCommand Own;
  Own.Type = Kind;
  return Own;
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

// A refusal says that the statement has not run, which has to be true of all
// tries.
Error refusal(const Error &NotRun, bool MayHaveRun) {
  if (!MayHaveRun)
    return NotRun;
  return failure(ErrorKind::OutcomeUnknown,
                 "an answer was lost; last: " + NotRun.Detail);
}

std::int64_t millisecondsSince(TimePoint Start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() -
                                                               Start)
      .count();
}

} // namespace

/// One try of a statement, and what earlier ones taught.
struct StatementExecutor::Attempt {
  std::set<std::string> Excluded; ///< Members that did not serve it.
  std::size_t Tries = 0;
  std::string Upstream;
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  bool MayHaveRun = false;            ///< In this try or an earlier one.
  std::optional<UpstreamReply> Guard; ///< To what was sent first.
  std::optional<UpstreamReply> Reply; ///< To the statement.
  BootTime SentAt{};
};

asio::awaitable<StatementOutcome>
StatementExecutor::runSingle(StatementCall &Call) {
  const bool AtPrimary =
      Call.Writes || Call.Route.Consistency == ReadConsistency::Primary;
  const RequestMark Mark = Call.Writes ? RequestMark::Write : RequestMark::Read;
  Attempt Try;
  while (true) {
    ++Try.Tries;
    Try.Reply.reset();
    Try.Guard.reset();
    Try.Outcome = AttemptOutcome::NotSent;
    std::optional<Error> NotRun;
    if (AtPrimary)
      NotRun = co_await this->runAtPrimary(Call, Try);
    else
      NotRun = co_await this->runAtReader(Call, Try);
    if (NotRun)
      co_return refusal(*NotRun, Try.MayHaveRun);
    if (Try.Reply && Try.Reply->ok()) {
      if (Call.Writes && Try.Reply->At)
        Call.Session.committedAt(*Try.Reply->At);
      if (!Call.Writes) {
        this->Metrics.Reads.add();
        if (Call.Group->tracker().lastPrimary() != Try.Upstream)
          this->Metrics.ReplicaReads.add();
      }
      co_return std::move(*Try.Reply);
    }
    // A read that failed at one member may succeed at another.
    if (Try.Outcome == AttemptOutcome::StatementError && !Call.Writes &&
        Try.Tries == 1)
      Try.Outcome = AttemptOutcome::Terminated;
    const bool InTime = steadyNow() < giveUp(Call) && !Call.Abandoned;
    const NextStep Step = nextStep(Try.Outcome, Mark);
    const bool Again = isRetry(Step) && InTime;
    this->Metrics.countAttempt(nameOf(Try.Outcome));
    logInfo(std::string("event=attempt_failed id=") + Call.Request.Id +
            " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
            " outcome=" + nameOf(Try.Outcome) +
            " try=" + std::to_string(Try.Tries) +
            " age_ms=" + std::to_string(millisecondsSince(Call.Arrived)) +
            (Again ? " next=retry" : " next=answer"));
    if (Again) {
      if (Try.Outcome == AttemptOutcome::RefusedBeforeRun ||
          Try.Outcome == AttemptOutcome::NotSent)
        co_await sleepUntil(steadyNow() + BusyPause);
      continue;
    }
    if (Try.Reply)
      co_return std::move(*Try.Reply);
    co_return refusal(this->notRun(Call, "no upstream answered"),
                      Try.MayHaveRun);
  }
}

asio::awaitable<std::optional<Error>>
StatementExecutor::runAtPrimary(StatementCall &Call, Attempt &Try) {
  const std::shared_ptr<UpstreamGate> Gate =
      co_await Call.Group->waitForPrimary(giveUp(Call), Call.Wait);
  if (!Gate)
    co_return failure(ErrorKind::NoPrimary, "no primary is known");
  UpstreamWork Work = workFor(Call);
  if (!Call.Writes) {
    // A replaced primary still serves plain reads, but no writing transaction;
    // the read is sent once the transaction has started.
    Work.Guard = ownCommand(Command::Kind::Begin);
    Work.Commands.push_back(ownCommand(Command::Kind::Rollback));
    Work.Deadline = readLimit(Call, Try, *Gate);
  }
  const bool Connected =
      co_await this->run(Call, Try, Gate, std::move(Work), nullptr);
  if (!Connected && (steadyNow() >= giveUp(Call) || Call.Abandoned))
    co_return this->notRun(Call, "no connection to the primary");
  const std::optional<UpstreamReply> &Proof =
      Call.Writes ? Try.Reply : Try.Guard;
  if (Proof && Proof->ok() && Proof->At)
    Call.Group->proved(*Gate, Try.SentAt, *Proof->At);
  co_return std::nullopt;
}

asio::awaitable<std::optional<Error>>
StatementExecutor::runAtReader(StatementCall &Call, Attempt &Try) {
  const std::optional<Position> Required = this->requiredPosition(Call);
  if (!Required)
    co_return co_await this->runAtPrimary(Call, Try);
  const std::shared_ptr<UpstreamGate> Gate = Call.Group->chooseReader(
      Call.Workspace, *Required, Try.Excluded, steadyNow());
  if (!Gate) {
    Try.Excluded.clear();
    co_return co_await this->runAtPrimary(Call, Try);
  }
  Try.Excluded.insert(Gate->entry().Id);
  UpstreamWork Work = workFor(Call);
  Work.Commands.back().After = Required;
  Work.Deadline = readLimit(Call, Try, *Gate);
  const bool Connected =
      co_await this->run(Call, Try, Gate, std::move(Work), nullptr);
  if (!Connected && (steadyNow() >= giveUp(Call) || Call.Abandoned))
    co_return this->notRun(Call, "no connection to an upstream");
  if (Try.Outcome == AttemptOutcome::ReplicaBehind)
    Gate->countBehind(steadyNow());
  co_return std::nullopt;
}

/// Carries \p Work out at the upstream of \p Gate.
/// \returns whether a connection was had; what came of it is in \p Try.
asio::awaitable<bool> StatementExecutor::run(StatementCall &Call, Attempt &Try,
                                             std::shared_ptr<UpstreamGate> Gate,
                                             UpstreamWork Work,
                                             HeldConnection *Hold) {
  Call.Group->countUse(Call.Workspace, steadyNow());
  PoolWaiter Waiter;
  Waiter.Workspace = Call.Workspace;
  Waiter.Priority = Call.Route.Priority;
  Waiter.Target = Call.Arrived + Call.Route.LatencyObjective;
  Waiter.GiveUp = giveUp(Call);
  Try.Upstream = Gate->entry().Id;
  const bool Measured = Work.hasStatement();
  const std::shared_ptr<UpstreamGate> Target = Gate;
  WorkResult Result = co_await this->Access.run(
      std::move(Gate), std::move(Waiter), std::move(Work), Call.Wait, Hold);
  Call.Waited += Result.Waited;
  this->Metrics.WaitTime.record(Result.Waited);
  const bool Connected = Result.Connected;
  this->take(Call, Try, *Target, std::move(Result), Measured);
  co_return Connected;
}

/// Takes over what \p Result says of the try.
/// \param Measured whether its time is that of a caller's statement.
void StatementExecutor::take(StatementCall &Call, Attempt &Try,
                             UpstreamGate &Gate, WorkResult Result,
                             bool Measured) {
  const TimePoint Now = steadyNow();
  Call.Ran += Result.Ran;
  Call.Upstream = Try.Upstream;
  ++Call.Tries;
  Try.SentAt = Result.SentAt;
  Try.Guard = std::move(Result.Guard);
  Try.Reply.reset();
  const bool Answered = !Result.Replies.empty();
  if (!Result.SetUpError.empty()) {
    // The statement may have run with other session values, or, unanswered,
    // in any way.
    const bool MayHaveRun =
        Answered ? Result.Replies.front().ok() : Result.Sent;
    Try.Outcome = MayHaveRun ? AttemptOutcome::AnswerLost
                             : AttemptOutcome::RefusedBeforeRun;
    Try.MayHaveRun = Try.MayHaveRun || (Measured && MayHaveRun);
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
    Gate.countService(Result.Ran, Now);
  if (!Try.Reply)
    return;
  if (Try.Reply->At)
    Gate.sawPosition(*Try.Reply->At, Now);
  if (Try.Reply->ok())
    return;
  Try.Outcome = outcomeOf(Try.Reply->Failure);
  if (Measured && Try.Outcome == AttemptOutcome::StatementError)
    Try.MayHaveRun = true;
  if (Try.Reply->Failure == UpstreamFailure::ReadOnly)
    Call.Group->refusedLead(Gate);
}

asio::awaitable<StatementOutcome>
StatementExecutor::runInTransaction(StatementCall &Call) {
  if (Call.Session.phase() == TransactionPhase::Announced)
    if (std::optional<Error> NotRun = co_await this->openTransaction(Call)) {
      Call.Session.failTransaction();
      co_return *NotRun;
    }
  const bool Commits = Call.Request.Kind == StatementKind::Commit;
  Attempt Try;
  while (true) {
    ++Try.Tries;
    Try.Upstream = Call.Pinned.gate()->entry().Id;
    UpstreamWork Work = workFor(Call);
    Work.InTransaction = true;
    const std::shared_ptr<UpstreamGate> Gate = Call.Pinned.gate();
    WorkResult Result =
        co_await this->Access.runHeld(Call.Pinned, std::move(Work));
    this->take(Call, Try, *Gate, std::move(Result), true);
    const bool Busy = Try.Reply && Try.Reply->State == TransactionState::Open &&
                      Try.Outcome == AttemptOutcome::RefusedBeforeRun &&
                      !Try.Reply->ok();
    if (!Busy || steadyNow() >= giveUp(Call) || Call.Abandoned)
      break;
    co_await sleepUntil(steadyNow() + BusyPause);
  }
  if (!Try.Reply || !Try.Reply->ok())
    co_return this->endFailed(Call, Try);
  if (!Commits) {
    if (Call.Writes)
      Call.Session.wrote();
    co_return std::move(*Try.Reply);
  }
  const std::shared_ptr<UpstreamGate> Gate = Call.Pinned.gate();
  if (Try.Reply->At && Call.Session.hasWritten()) {
    Call.Session.committedAt(*Try.Reply->At);
    Call.Group->proved(*Gate, Try.SentAt, *Try.Reply->At);
  }
  Call.Pinned.reset();
  Call.Session.endTransaction();
  co_return std::move(*Try.Reply);
}

StatementOutcome StatementExecutor::endFailed(StatementCall &Call,
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
    return failure(ErrorKind::OutcomeUnknown,
                   "the answer to the commit was lost");
  return failure(ErrorKind::TransactionLost,
                 "the connection of the transaction was lost");
}

asio::awaitable<std::optional<Error>>
StatementExecutor::openTransaction(StatementCall &Call) {
  const bool AtPrimary = !Call.Session.isReadOnly() ||
                         Call.Route.Consistency == ReadConsistency::Primary;
  Attempt Try;
  while (true) {
    const std::optional<Position> Required =
        AtPrimary ? std::nullopt : this->requiredPosition(Call);
    std::shared_ptr<UpstreamGate> Gate;
    if (Required)
      Gate = Call.Group->chooseReader(Call.Workspace, *Required, Try.Excluded,
                                      steadyNow());
    const bool Reader = Gate != nullptr;
    if (!Gate)
      Gate = co_await Call.Group->waitForPrimary(giveUp(Call), Call.Wait);
    if (!Gate)
      co_return failure(ErrorKind::NoPrimary, "no primary is known");
    ++Try.Tries;
    const std::optional<Position> After = Reader ? Required : std::nullopt;
    const std::optional<Error> NotRun =
        co_await this->beginAt(Call, Gate, After, Try);
    if (NotRun)
      co_return NotRun;
    if (Call.Session.phase() == TransactionPhase::Open)
      co_return std::nullopt;
    if (Reader)
      Try.Excluded.insert(Gate->entry().Id);
    if (steadyNow() >= giveUp(Call) || Call.Abandoned)
      co_return this->notRun(Call, "no upstream started the transaction");
    if (!Reader)
      co_await sleepUntil(steadyNow() + BusyPause);
  }
}

asio::awaitable<std::optional<Error>>
StatementExecutor::beginAt(StatementCall &Call,
                           const std::shared_ptr<UpstreamGate> &Gate,
                           std::optional<Position> After, Attempt &Try) {
  UpstreamWork Work;
  Work.Values = Call.Session.values();
  Work.Commands.push_back(
      ownCommand(After ? Command::Kind::BeginReadOnly : Command::Kind::Begin));
  Work.Commands.back().After = After;
  Work.Deadline = std::min(deadline(Call), steadyNow() + ShortestReadTry * 2);
  HeldConnection Held;
  const bool Connected =
      co_await this->run(Call, Try, Gate, std::move(Work), &Held);
  if (!Connected) {
    if (steadyNow() >= giveUp(Call) || Call.Abandoned)
      co_return this->notRun(Call, "no connection for the transaction");
    co_return std::nullopt;
  }
  if (!Try.Reply || !Try.Reply->ok() || !Held) {
    logInfo(std::string("event=begin_failed id=") + Call.Request.Id +
            " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
            " outcome=" + nameOf(Try.Outcome));
    if (Try.Outcome == AttemptOutcome::ReplicaBehind)
      Gate->countBehind(steadyNow());
    co_return std::nullopt;
  }
  if (!After && Try.Reply->At)
    Call.Group->proved(*Gate, Try.SentAt, *Try.Reply->At);
  Call.Pinned = std::move(Held);
  Call.Session.opened();
  co_return std::nullopt;
}

void StatementExecutor::rollBack(HeldConnection Pinned) {
  this->Access.rollBack(std::move(Pinned));
}

std::optional<Position>
StatementExecutor::requiredPosition(const StatementCall &Call) const {
  std::optional<Position> Required =
      Call.Group->includingAll(Call.ArrivedAt - Call.Route.AcceptedAge);
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

TimePoint StatementExecutor::giveUp(const StatementCall &Call) {
  return Call.Arrived + std::chrono::duration_cast<Duration>(
                            Call.Route.StatementTimeout * QueuePart);
}

TimePoint StatementExecutor::deadline(const StatementCall &Call) {
  return Call.Arrived + Call.Route.StatementTimeout;
}

TimePoint StatementExecutor::readLimit(const StatementCall &Call,
                                       const Attempt &Try,
                                       const UpstreamGate &Gate) {
  if (Try.Tries > 1)
    return deadline(Call);
  const TimePoint Now = steadyNow();
  const Duration Patience =
      std::max<Duration>(ShortestReadTry, Gate.service(Now) * ReadTryServices);
  return std::min(deadline(Call), Now + Patience);
}

Error StatementExecutor::notRun(const StatementCall &Call,
                                const std::string &Why) const {
  logInfo(std::string("event=not_run id=") + Call.Request.Id +
          " group=" + Call.Group->name() + " workspace=" + Call.Workspace +
          " age_ms=" + std::to_string(millisecondsSince(Call.Arrived)) +
          " reason=\"" + Why + "\"");
  return failure(ErrorKind::QueueDeadline, Why);
}

} // namespace lavenderdale
