#include "statementexecutor.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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
  bool MayHaveRun = false; ///< In this try or an earlier one.
  std::optional<UpstreamReply> Reply;
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
      if (Try.Outcome == AttemptOutcome::RefusedBeforeRun)
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
  Try.Upstream = Gate->entry().Id;
  ConnectionLease Lease = co_await this->acquire(Call, Gate);
  if (!Lease)
    co_return this->notRun(Call, "no connection to the primary");
  std::vector<UpstreamCommand> Commands = this->setUp(Call, Lease);
  if (Call.Writes) {
    Commands.push_back(this->forward(Call));
    const std::size_t Answer = Commands.size() - 1;
    co_await this->send(Call, Try, Lease, std::move(Commands), Answer,
                        deadline(Call));
    if (Try.Reply && Try.Reply->ok() && Try.Reply->At)
      Call.Group->proved(*Gate, Try.SentAt, *Try.Reply->At);
    co_return std::nullopt;
  }
  // A replaced primary still serves plain reads, but no writing transaction;
  // the read is sent once the transaction has started.
  Commands.push_back(ownCommand(Command::Kind::Begin));
  const std::size_t Begin = Commands.size() - 1;
  co_await this->send(Call, Try, Lease, std::move(Commands), Begin,
                      deadline(Call));
  if (!Try.Reply || !Try.Reply->ok() || !Lease->isOpen())
    co_return std::nullopt;
  if (Try.Reply->At)
    Call.Group->proved(*Gate, Try.SentAt, *Try.Reply->At);
  Commands.clear();
  Commands.push_back(this->forward(Call));
  Commands.push_back(ownCommand(Command::Kind::Rollback));
  const TimePoint Limit = readLimit(Call, Try, *Gate);
  co_await this->send(Call, Try, Lease, std::move(Commands), 0, Limit);
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
  Try.Upstream = Gate->entry().Id;
  Try.Excluded.insert(Try.Upstream);
  ConnectionLease Lease = co_await this->acquire(Call, Gate);
  if (!Lease) {
    if (steadyNow() >= giveUp(Call) || Call.Abandoned)
      co_return this->notRun(Call, "no connection to an upstream");
    co_return std::nullopt;
  }
  std::vector<UpstreamCommand> Commands = this->setUp(Call, Lease);
  Commands.push_back(this->forward(Call));
  Commands.back().After = Required;
  const std::size_t Answer = Commands.size() - 1;
  const TimePoint Limit = readLimit(Call, Try, *Gate);
  co_await this->send(Call, Try, Lease, std::move(Commands), Answer, Limit);
  if (Try.Outcome == AttemptOutcome::ReplicaBehind)
    Gate->countBehind(steadyNow());
  co_return std::nullopt;
}

/// Sends \p Commands and takes over the reply to the one at index \p Answer.
/// The lease can be kept if all of them left the connection in a known state.
asio::awaitable<void>
StatementExecutor::send(StatementCall &Call, Attempt &Try,
                        ConnectionLease &Lease,
                        std::vector<UpstreamCommand> Commands,
                        std::size_t Answer, TimePoint Deadline) {
  const std::shared_ptr<UpstreamGate> Gate = Lease.gate();
  const std::size_t Count = Commands.size();
  const bool Measured = !Commands[Answer].Id.empty();
  const TimePoint Start = steadyNow();
  Try.Reply.reset();
  ExchangeResult Exchange =
      co_await Lease->exchange(std::move(Commands), Deadline);
  const TimePoint End = steadyNow();
  Call.Ran += End - Start;
  Call.Upstream = Try.Upstream;
  ++Call.Tries;
  Try.SentAt = Exchange.SentAt;
  for (std::size_t Index = 0; Index < std::min(Answer, Exchange.Replies.size());
       ++Index)
    if (!Exchange.Replies[Index].ok()) {
      // A connection whose set-up failed is in an unknown state.
      Try.Outcome = AttemptOutcome::RefusedBeforeRun;
      if (Answer < Exchange.Replies.size() && Exchange.Replies[Answer].ok())
        Try.Outcome = AttemptOutcome::AnswerLost;
      logWarn("event=set_up_failed upstream=" + Try.Upstream + " error=\"" +
              Exchange.Replies[Index].FailureCode + "\"");
      Lease->close();
      co_return;
    }
  if (Exchange.Replies.size() <= Answer) {
    Try.Outcome =
        Exchange.Sent ? AttemptOutcome::AnswerLost : AttemptOutcome::NotSent;
    if (Measured) {
      Gate->countService(End - Start, End);
      Try.MayHaveRun = Try.MayHaveRun || Exchange.Sent;
    }
    co_return;
  }
  if (Measured)
    Gate->countService(End - Start, End);
  Try.Reply = std::move(Exchange.Replies[Answer]);
  const TransactionState Last =
      Exchange.Replies.size() == Count && Count - 1 > Answer
          ? Exchange.Replies.back().State
          : Try.Reply->State;
  if (!Exchange.Lost && Last == TransactionState::None)
    Lease.keep();
  if (Try.Reply->At)
    Gate->sawPosition(*Try.Reply->At, End);
  if (!Try.Reply->ok()) {
    Try.Outcome = outcomeOf(Try.Reply->Failure);
    if (Measured && Try.Outcome == AttemptOutcome::StatementError)
      Try.MayHaveRun = true;
    if (Try.Reply->Failure == UpstreamFailure::ReadOnly)
      Call.Group->refusedLead(*Gate);
    if (Try.Reply->Failure == UpstreamFailure::UnknownStatement &&
        Call.Prepared)
      Lease->Image.forgetPrepared(
          this->Names.nameOf(Call.Prepared->Definition));
  }
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
    std::vector<UpstreamCommand> Commands = this->setUp(Call, Call.Pinned);
    Commands.push_back(this->forward(Call));
    const std::size_t Answer = Commands.size() - 1;
    co_await this->send(Call, Try, Call.Pinned, std::move(Commands), Answer,
                        deadline(Call));
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
  if (!Lost && Call.Pinned->isOpen() &&
      Try.Reply->State != TransactionState::None)
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
  Try.Upstream = Gate->entry().Id;
  ConnectionLease Lease = co_await this->acquire(Call, Gate);
  if (!Lease) {
    if (steadyNow() >= giveUp(Call) || Call.Abandoned)
      co_return this->notRun(Call, "no connection for the transaction");
    co_return std::nullopt;
  }
  std::vector<UpstreamCommand> Commands = this->setUp(Call, Lease);
  Commands.push_back(
      ownCommand(After ? Command::Kind::BeginReadOnly : Command::Kind::Begin));
  Commands.back().After = After;
  const std::size_t Answer = Commands.size() - 1;
  co_await this->send(
      Call, Try, Lease, std::move(Commands), Answer,
      std::min(deadline(Call), steadyNow() + ShortestReadTry * 2));
  if (!Try.Reply || !Try.Reply->ok()) {
    logInfo(std::string("event=begin_failed id=") + Call.Request.Id +
            " group=" + Call.Group->name() + " upstream=" + Try.Upstream +
            " outcome=" + nameOf(Try.Outcome));
    if (Try.Outcome == AttemptOutcome::ReplicaBehind)
      Gate->countBehind(steadyNow());
    co_return std::nullopt;
  }
  if (!After && Try.Reply->At)
    Call.Group->proved(*Gate, Try.SentAt, *Try.Reply->At);
  Lease.pin();
  Call.Pinned = std::move(Lease);
  Call.Session.opened();
  co_return std::nullopt;
}

void StatementExecutor::rollBack(ConnectionLease Pinned) {
  if (!Pinned)
    return;
  asio::co_spawn(
      this->Executor,
      [](ConnectionLease Lease) -> asio::awaitable<void> {
        std::vector<UpstreamCommand> Commands;
        Commands.push_back(ownCommand(Command::Kind::Rollback));
        const ExchangeResult Exchange = co_await Lease->exchange(
            std::move(Commands), steadyNow() + ShortestReadTry * 2);
        if (!Exchange.Lost && !Exchange.Replies.empty() &&
            Exchange.Replies.front().State == TransactionState::None)
          Lease.keep();
      }(std::move(Pinned)),
      asio::detached);
}

asio::awaitable<ConnectionLease>
StatementExecutor::acquire(StatementCall &Call,
                           const std::shared_ptr<UpstreamGate> &Gate) {
  Call.Group->countUse(Call.Workspace, steadyNow());
  PoolWaiter Waiter;
  Waiter.Workspace = Call.Workspace;
  Waiter.Priority = Call.Route.Priority;
  Waiter.Target = Call.Arrived + Call.Route.LatencyObjective;
  Waiter.GiveUp = giveUp(Call);
  const TimePoint Start = steadyNow();
  ConnectionLease Lease = co_await Gate->acquire(std::move(Waiter), Call.Wait);
  const Duration Waited = steadyNow() - Start;
  Call.Waited += Waited;
  this->Metrics.WaitTime.record(Waited);
  co_return Lease;
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

UpstreamCommand StatementExecutor::forward(const StatementCall &Call) {
  UpstreamCommand Forward;
  Forward.Id = Call.Request.Id;
  if (!Call.Prepared) {
    Forward.Text = Call.Request.Text;
    return Forward;
  }
  Forward.Type = Command::Kind::Execute;
  Forward.Name = this->Names.nameOf(Call.Prepared->Definition);
  Forward.Argument = Call.Request.Argument;
  return Forward;
}

std::vector<UpstreamCommand> StatementExecutor::setUp(const StatementCall &Call,
                                                      ConnectionLease &Lease) {
  return Lease->Image.adopt(
      Call.Session.values(),
      Call.Prepared ? &Call.Prepared->Definition : nullptr, this->Names,
      Call.Session.phase() == TransactionPhase::Open);
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
