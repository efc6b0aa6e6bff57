#include "upstreamwork.h"

#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using Command = UpstreamCommand;

// A rollback needs no execution slot of the upstream, so it is answered at
// once.
constexpr std::chrono::milliseconds RollbackLimit{300};

// Removes the replies to the set-up commands from \p Replies.
// \returns the error code of the first one that failed; empty if none did.
std::string extractSetUpError(std::vector<UpstreamReply> &Replies,
                              std::size_t SetUp) {
  const std::size_t Answered = std::min(SetUp, Replies.size());
  std::string Error;
  for (std::size_t Index = 0; Index < Answered && Error.empty(); ++Index)
    if (!Replies[Index].ok())
      Error = Replies[Index].FailureCode;
  Replies.erase(Replies.begin(),
                Replies.begin() + static_cast<std::ptrdiff_t>(Answered));
  return Error;
}

// What the result of a statement tells about the capacity of the upstream.
// \returns nothing if the statement did not reach it.
std::optional<ConcurrencyLimit::Outcome> endOf(const WorkResult &Result) {
  using Outcome = ConcurrencyLimit::Outcome;
  if (Result.Lost)
    return Outcome::Lost;
  const UpstreamReply *Reply =
      Result.Replies.empty() ? Result.firstReply() : &Result.Replies.front();
  if (!Reply || !Result.SetUpError.empty())
    return std::nullopt;
  if (Reply->Failure == UpstreamFailure::Busy)
    return Outcome::Busy;
  return Reply->ok() ? Outcome::Answered : Outcome::Failed;
}

} // namespace

bool UpstreamWork::hasStatement() const {
  return std::any_of(this->Commands.begin(), this->Commands.end(),
                     [](const Command &Each) { return !Each.Id.empty(); });
}

// A single read has a guard, or the log position that it has to see.
bool UpstreamWork::mayWrite() const {
  return !this->Guard && !this->Commands.front().After;
}

// A single statement without a guard or a position is a write, see mayWrite().
bool UpstreamWork::provesLeadership() const {
  if (this->Guard || this->Commands.front().Type == Command::Kind::Begin)
    return true;
  return this->hasStatement() && this->mayWrite() && !this->InTransaction;
}

const UpstreamReply *WorkResult::firstReply() const {
  if (this->Guard)
    return &*this->Guard;
  return this->Replies.empty() ? nullptr : &this->Replies.front();
}

TransactionState WorkResult::state() const {
  if (!this->Replies.empty())
    return this->Replies.back().State;
  return this->Guard ? this->Guard->State : TransactionState::Open;
}

namespace {

/// Sends the set-up commands of a statement and waits for their answers.
/// \param [out] Result gets the error of the first one that failed, or is lost
///        if the connection must not be used any more.
asio::awaitable<void> setUp(ConnectionLease &Lease,
                            std::vector<Command> Commands, TimePoint Deadline,
                            WorkResult &Result) {
  const std::size_t Count = Commands.size();
  ExchangeResult Exchange =
      co_await Lease->exchange(std::move(Commands), Deadline);
  Result.SentAt = Exchange.SentAt;
  Result.Lost = Exchange.Lost.has_value();
  Result.SetUpError = extractSetUpError(Exchange.Replies, Count);
  const TimePoint Now = steadyNow();
  const bool MayGoOn = Lease.client()->maySend(Now) && Now < Deadline;
  if (Result.Lost || !Result.SetUpError.empty() || MayGoOn)
    co_return;
  Lease->close();
  Result.Lost = true;
}

} // namespace

asio::awaitable<WorkResult>
executeWork(ConnectionLease &Lease, UpstreamWork Work, StatementNames &Names) {
  WorkResult Result;
  Result.Connected = true;
  const bool TakesSlot = Work.hasStatement();
  if (TakesSlot)
    co_await Lease.startStatement();
  if (!Lease.client()->maySend(steadyNow())) {
    Lease->close();
    Result.Lost = true;
    co_return Result;
  }
  if (TakesSlot && Work.mayWrite() && !Work.InTransaction &&
      !Lease.client()->mayWrite(steadyNow())) {
    Lease.endStatement(std::nullopt);
    Lease.markReusable();
    Result.Connected = false;
    co_return Result;
  }
  if (TakesSlot)
    Lease.client()->countCold(steadyNow());
  const std::string *Definition = Work.Definition ? &*Work.Definition : nullptr;
  std::vector<Command> Batch =
      Lease->Image.switchTo(Work.Values, Definition, Names, Work.InTransaction);
  std::size_t SetUp = Batch.size();
  for (Command &Each : Work.Commands)
    if (Each.Type == Command::Kind::Execute && Definition)
      Each.Name = Names.nameOf(*Definition);
  const std::size_t Count = Work.Commands.size();
  TimePoint Start = steadyNow();
  ExchangeResult Exchange;
  // A statement that is sent together with its set-up runs even if that fails.
  // A guard may be: the commands wait for it.
  if (SetUp > 0 && !Work.Guard) {
    co_await setUp(Lease, std::exchange(Batch, {}), Work.Deadline, Result);
    SetUp = 0;
  }
  const bool IsSetUp = !Result.Lost && Result.SetUpError.empty();
  if (Work.Guard)
    Batch.push_back(*Work.Guard);
  else
    std::move(Work.Commands.begin(), Work.Commands.end(),
              std::back_inserter(Batch));
  if (IsSetUp) {
    Start = steadyNow();
    Exchange = co_await Lease->exchange(std::move(Batch), Work.Deadline);
    Result.SentAt = Exchange.SentAt;
    Result.Lost = Exchange.Lost.has_value();
    Result.SetUpError = extractSetUpError(Exchange.Replies, SetUp);
  }
  if (Work.Guard) {
    if (!Exchange.Replies.empty())
      Result.Guard = std::move(Exchange.Replies.front());
    const bool SendCommands = !Result.Lost && Result.SetUpError.empty() &&
                              Result.Guard && Result.Guard->ok() && Count > 0;
    Exchange.Replies.clear();
    Exchange.Sent = false;
    if (SendCommands && !Lease.client()->maySend(steadyNow())) {
      Lease->close();
      Result.Lost = true;
    } else if (SendCommands) {
      Start = steadyNow();
      Exchange =
          co_await Lease->exchange(std::move(Work.Commands), Work.Deadline);
      Result.Lost = Exchange.Lost.has_value();
    }
  }
  Result.Ran = steadyNow() - Start;
  Result.Sent = Exchange.Sent;
  Result.Replies = std::move(Exchange.Replies);
  if (TakesSlot)
    Lease.endStatement(endOf(Result));
  if (!Result.SetUpError.empty()) {
    // The session state of the connection is unknown.
    logWarn("event=set_up_failed upstream=" + Lease.client()->entry().Id +
            " error=\"" + Result.SetUpError + "\"");
    Lease->close();
    co_return Result;
  }
  for (const UpstreamReply &Each : Result.Replies)
    if (Each.Failure == UpstreamFailure::UnknownStatement && Definition)
      Lease->Image.forgetPrepared(Names.nameOf(*Definition));
  if (!Result.Lost && Result.state() == TransactionState::None)
    Lease.markReusable();
  co_return Result;
}

void rollBackAndRelease(const asio::any_io_executor &Executor,
                        ConnectionLease Lease) {
  // The lease closes a connection that must not be used, so that the upstream
  // rolls back.
  if (!Lease || !Lease->isOpen() || !Lease.client()->maySend(steadyNow()))
    return;
  asio::co_spawn(
      Executor,
      [](ConnectionLease Ending) -> asio::awaitable<void> {
        std::vector<Command> Commands(1);
        Commands[0].Type = Command::Kind::Rollback;
        const ExchangeResult Exchange = co_await Ending->exchange(
            std::move(Commands), steadyNow() + RollbackLimit);
        if (!Exchange.Lost && !Exchange.Replies.empty() &&
            Exchange.Replies.front().State == TransactionState::None)
          Ending.markReusable();
      }(std::move(Lease)),
      asio::detached);
}

} // namespace lavenderdale
