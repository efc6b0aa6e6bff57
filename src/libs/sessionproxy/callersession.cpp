#include "callersession.h"

#include "http/resumewith.h"
#include "memoryreservation.h"
#include "socketoptions.h"
#include "telemetry/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Use = MemoryBudget::Use;

/// Returns whether a transfer of \p Bytes that began at \p Since is too slow.
bool exceedsTime(TimePoint Since, std::size_t Bytes, TimePoint Now) {
  return Now - Since >
         CallerSession::TransferGrace +
             std::chrono::seconds(Bytes / CallerSession::SlowestBytesPerSecond);
}

Error outOfMemory() {
  return failure(ErrorKind::QueueFull,
                 "no memory for large messages; retry-after-ms=1000");
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket,
                             const std::string &From, ProxyState &State,
                             StatementExecutor &Executor,
                             const CallerProtocol &Protocol)
    : Socket(std::move(Socket)), State(State), Executor(Executor),
      Protocol(Protocol), Memory(State.memory(), MemoryBudget::Role::Caller,
                                 From, [this] { this->closeNow(); }) {
  setLivenessOptions(this->Socket, UnacknowledgedLimit);
}

asio::awaitable<void> CallerSession::run() {
  const std::shared_ptr<CallerSession> Keep = this->shared_from_this();
  this->Deadline = steadyNow() + StartTimeout;
  if (co_await this->start())
    while (co_await this->serveNext())
      ;
  this->Deadline.reset();
  // Rolls back a transaction that is still open, because the caller
  // disconnected or the session was closed.
  this->Executor.rollBack(std::move(this->Pinned));
  error_code Ignored;
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
}

asio::awaitable<bool> CallerSession::start() {
  const std::optional<std::string> Line = co_await this->readLine();
  if (!Line)
    co_return false;
  this->Deadline.reset();
  std::string Out;
  Result<SessionStart> Decoded = this->Protocol.decodeStart(*Line);
  Result<std::string> Admitted =
      Decoded ? this->State.admitSession(Decoded.value(), steadyNow())
              : Result<std::string>(Decoded.error());
  if (!Admitted) {
    logInfo(std::string("event=session_refused database=") +
            (Decoded ? Decoded.value().Database : "unreadable") +
            " kind=" + std::string(errorAnswer(Admitted.error().Kind).Name) +
            " reason=\"" + Admitted.error().Detail + "\" catalogue=" +
            std::to_string(this->State.catalogue()
                               ? this->State.catalogue()->Version
                               : 0));
    this->Protocol.encodeError(Admitted.error(), Out);
    co_await this->write(std::move(Out));
    co_return false;
  }
  this->Start = Decoded.value();
  this->Workspace = Admitted.value();
  if (!this->Workspace.empty())
    this->Memory.setOwner("workspace " + this->Workspace);
  this->Memory.reserve(Use::Receiving, this->Incoming.bytes());
  this->State.metrics().Sessions.add();
  this->Protocol.encodeReady(TransactionPhase::None, std::nullopt, Out);
  co_return co_await this->write(std::move(Out));
}

asio::awaitable<bool> CallerSession::serveNext() {
  if (this->ClosingAfterStatement ||
      (this->ClosingWhenIdle && !this->Session.inTransaction()))
    co_return false;
  std::optional<std::string> Line = co_await this->readLine();
  this->Deadline.reset();
  // A statement that arrives while the session is being closed is not run,
  // because its reply could no longer be sent.
  if (!Line || this->ClosingAfterStatement)
    co_return false;
  Result<std::optional<Statement>> Decoded =
      this->Protocol.decodeStatement(*Line);
  std::string Out;
  if (!Decoded) {
    this->Protocol.encodeError(Decoded.error(), Out);
    co_await this->write(std::move(Out));
    co_return false;
  }
  if (!Decoded.value())
    co_return false;
  const std::size_t Size = Line->size();
  Line.reset(); // A large message is not kept once more while it runs.
  this->Serving = true;
  this->Memory.setBusy(true);
  Result<void> Reserved = success();
  if (Size > MemoryBudget::OrdinaryBytes)
    Reserved = co_await this->reserveForWork(Size);
  if (Reserved)
    co_await this->handle(*Decoded.value(), Out);
  else
    this->encodeRefusal(Reserved.error(), Out);
  Decoded = std::optional<Statement>();
  this->Memory.reserve(Use::Receiving, this->Incoming.bytes());
  this->Memory.setBusy(this->Session.inTransaction());
  this->Serving = false;
  if (this->Disconnected)
    co_return false;
  if (this->Session.inTransaction() && this->State.catalogue())
    this->Deadline =
        steadyNow() + this->State.catalogue()->TransactionIdleTimeout;
  co_return co_await this->write(std::move(Out));
}

// The times of transfers are taken here, so that ordinary messages need no
// clock.
bool CallerSession::isTooSlow(TimePoint Now) {
  if (this->Writing > 0) {
    if (!this->WritingSince)
      this->WritingSince = Now;
    return exceedsTime(*this->WritingSince, this->Writing, Now);
  }
  if (this->Serving || this->Incoming.pending() == 0)
    return false;
  if (!this->ReceivingSince)
    this->ReceivingSince = Now;
  return exceedsTime(*this->ReceivingSince, this->Incoming.pending(), Now);
}

void CallerSession::checkLimits(TimePoint Now) {
  if (this->Memory.isClosing())
    return;
  if (this->Deadline && *this->Deadline <= Now) {
    logInfo("event=session_limit workspace=" + this->Workspace +
            (this->Session.inTransaction() ? " reason=transaction_idle"
                                           : " reason=no_start"));
    this->closeNow();
    return;
  }
  if (this->isTooSlow(Now)) {
    this->State.memory().countTooSlow(this->Memory);
    this->closeNow();
  }
}

// Memory for a large message while it is worked on. What is refused has not
// run.
asio::awaitable<Result<void>> CallerSession::reserveForWork(std::size_t Size) {
  const std::size_t Bytes = WorkingCopies * Size + this->Incoming.bytes();
  if (this->Memory.reserve(Use::Receiving, Bytes) ==
          MemoryBudget::Grant::Given ||
      co_await awaitMemory(this->Memory, Use::Receiving, Bytes))
    co_return success();
  co_return outOfMemory();
}

// Memory for a value or prepared statement that is about to be kept.
asio::awaitable<Result<void>>
CallerSession::reserveForChange(const Statement &Request) {
  const std::size_t Bytes = this->Session.bytes() + Request.Name.size() +
                            Request.Argument.size() + SessionState::EntryBytes;
  if (this->Memory.reserve(Use::SessionState, Bytes) ==
          MemoryBudget::Grant::Given ||
      co_await awaitMemory(this->Memory, Use::SessionState, Bytes))
    co_return success();
  co_return failure(ErrorKind::QueueFull,
                    "no memory for session state; retry-after-ms=1000");
}

// Cancels only the pending read: a statement that has already arrived is still
// answered.
void CallerSession::closeWhenIdle() {
  this->ClosingWhenIdle = true;
  error_code Ignored;
  if (!this->Serving && !this->Session.inTransaction())
    this->Socket.cancel(Ignored);
}

void CallerSession::closeAfterStatement() {
  this->ClosingWhenIdle = true;
  this->ClosingAfterStatement = true;
  if (!this->Serving)
    this->closeNow();
}

void CallerSession::stopWaiting() {
  this->WaitCancelled = true;
  if (this->Wait.Cancel)
    this->Wait.Cancel();
}

void CallerSession::closeNow() {
  this->Deadline.reset();
  error_code Ignored;
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  this->Socket.cancel(Ignored);
}

asio::awaitable<std::optional<std::string>> CallerSession::readLine() {
  error_code Failure;
  std::string Line;
  bool Arrived = true;
  while (Arrived) {
    Failure = co_await this->Incoming.read(this->Socket, MaxLineBytes,
                                           this->Memory, Line);
    error_code Ignored;
    Arrived = Failure == asio::error::operation_aborted &&
              this->ClosingWhenIdle && !this->ClosingAfterStatement &&
              this->Socket.available(Ignored) > 0;
  }
  this->ReceivingSince.reset();
  std::string Out;
  if (Failure == asio::error::not_found)
    this->Protocol.encodeError(
        failure(ErrorKind::PayloadTooLarge, "the message is too long"), Out);
  if (Failure == asio::error::no_buffer_space && !this->Memory.isClosing())
    this->Protocol.encodeError(outOfMemory(), Out);
  if (!Out.empty())
    co_await this->write(std::move(Out));
  if (Failure)
    co_return std::nullopt;
  co_return Line;
}

asio::awaitable<bool> CallerSession::write(std::string Out) {
  // A very large answer is counted as half of all, so that it is delivered when
  // few others are.
  const std::size_t Counted =
      std::min(Out.capacity(), this->State.memory().limit(Use::Answers) / 2);
  if (this->Memory.reserve(Use::Answers, Counted) !=
          MemoryBudget::Grant::Given &&
      !co_await awaitMemory(this->Memory, Use::Answers, Counted))
    co_return false;
  error_code Failure;
  this->Memory.touch();
  this->Writing = Out.size();
  co_await asio::async_write(this->Socket, asio::buffer(Out),
                             resumeWith(Failure));
  this->Writing = 0;
  this->WritingSince.reset();
  std::string().swap(Out);
  this->Memory.reserve(Use::Answers, 0);
  co_return !Failure;
}

// A caller sends nothing while it waits for a reply. If its connection becomes
// readable in that time without data, the caller has closed it.
void CallerSession::watchDisconnect() {
  if (this->WatchingDisconnect)
    return;
  this->WatchingDisconnect = true;
  this->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = this->shared_from_this()](error_code Failure) {
        Self->WatchingDisconnect = false;
        if (Failure || !Self->Serving)
          return;
        char Byte = 0;
        const ssize_t Size = recv(Self->Socket.native_handle(), &Byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
        if (Size > 0 || (Size < 0 && errno == EAGAIN))
          return;
        Self->Disconnected = true;
        Self->stopWaiting();
      });
}

CallerSession::Handler CallerSession::handlerOf(StatementKind Kind) {
  struct Row {
    StatementKind Kind;
    Handler Handle;
  };
  static constexpr std::array<Row, 11> Table = {{
      {StatementKind::Begin, &CallerSession::begin},
      {StatementKind::BeginReadOnly, &CallerSession::begin},
      {StatementKind::Commit, &CallerSession::commit},
      {StatementKind::Rollback, &CallerSession::rollBack},
      {StatementKind::Read, &CallerSession::executeStatement},
      {StatementKind::Write, &CallerSession::executeStatement},
      {StatementKind::SetValue, &CallerSession::changeSession},
      {StatementKind::Prepare, &CallerSession::changeSession},
      {StatementKind::Execute, &CallerSession::executeStatement},
      {StatementKind::Deallocate, &CallerSession::changeSession},
      {StatementKind::Malformed, &CallerSession::reject},
  }};
  for (const Row &Each : Table)
    if (Each.Kind == Kind)
      return Each.Handle;
  return &CallerSession::reject;
}

asio::awaitable<void> CallerSession::handle(const Statement &Request,
                                            std::string &Out) {
  const bool Ends = Request.Kind == StatementKind::Rollback ||
                    Request.Kind == StatementKind::Commit;
  if (this->Session.phase() == TransactionPhase::Failed && !Ends) {
    this->answerError(
        failure(ErrorKind::BadRequest, "the transaction has failed"), Request,
        Out);
    co_return;
  }
  co_await (this->*handlerOf(Request.Kind))(Request, Out);
}

Result<void> CallerSession::checkAccess() {
  const Result<std::string> Admitted =
      this->State.admitSession(this->Start, steadyNow());
  if (!Admitted)
    return Admitted.error();
  this->Workspace = Admitted.value();
  this->Route = *this->State.catalogue()->findRoute(this->Start.Database);
  this->Group = this->State.findGroup(this->Route.Group);
  if (!this->Group)
    return failure(ErrorKind::Unavailable, "the group has no upstreams");
  return success();
}

// Key, route and rate are checked once per operation, which is a single
// statement or a whole transaction.
asio::awaitable<Result<void>> CallerSession::admitOperation(bool Reads) {
  if (const Result<void> Allowed = this->checkAccess(); !Allowed)
    co_return Allowed.error();
  const bool AtReplica =
      Reads && this->Route.Consistency != ReadConsistency::Primary;
  this->Group->prepareOperation(
      this->Workspace,
      AtReplica ? std::optional(BootClock::now() - this->Route.AcceptedAge)
                : std::nullopt);
  co_return co_await this->State.admitOperation(this->Workspace);
}

asio::awaitable<void> CallerSession::begin(const Statement &Request,
                                           std::string &Out) {
  if (this->Session.inTransaction()) {
    this->answerError(
        failure(ErrorKind::BadRequest, "a transaction is already open"),
        Request, Out);
    co_return;
  }
  const Result<void> Admitted = co_await this->admitOperation(
      Request.Kind == StatementKind::BeginReadOnly);
  if (!Admitted) {
    this->answerError(Admitted.error(), Request, Out);
    co_return;
  }
  const Result<void> Begun =
      this->Session.begin(Request.Kind == StatementKind::BeginReadOnly);
  if (!Begun)
    this->answerError(Begun.error(), Request, Out);
  else
    this->answerLocally(Out);
}

asio::awaitable<void> CallerSession::rollBack(const Statement &Request,
                                              std::string &Out) {
  if (!this->Session.inTransaction()) {
    this->answerError(failure(ErrorKind::BadRequest, "no transaction is open"),
                      Request, Out);
    co_return;
  }
  this->Executor.rollBack(std::move(this->Pinned));
  this->Session.endTransaction();
  this->answerLocally(Out);
}

asio::awaitable<void> CallerSession::commit(const Statement &Request,
                                            std::string &Out) {
  if (!this->Session.inTransaction()) {
    this->answerError(failure(ErrorKind::BadRequest, "no transaction is open"),
                      Request, Out);
    co_return;
  }
  if (this->Session.phase() == TransactionPhase::Failed) {
    this->Session.endTransaction();
    this->answerError(
        failure(ErrorKind::TransactionLost, "the transaction was rolled back"),
        Request, Out);
    co_return;
  }
  co_await this->forward(Request, nullptr, false, Out);
  // A commit that could not be sent also ends the transaction.
  if (this->Session.inTransaction()) {
    this->Executor.rollBack(std::move(this->Pinned));
    this->Session.endTransaction();
  }
}

asio::awaitable<void> CallerSession::executeStatement(const Statement &Request,
                                                      std::string &Out) {
  const PreparedStatement *Prepared = nullptr;
  bool Writes = Request.Kind == StatementKind::Write;
  if (Request.Kind == StatementKind::Execute) {
    Prepared = this->Session.findPrepared(Request.Name);
    if (!Prepared) {
      this->answerError(
          failure(ErrorKind::UnknownStatement, "no statement " + Request.Name),
          Request, Out);
      co_return;
    }
    Writes = Prepared->Writes;
  }
  if (!this->Session.inTransaction()) {
    const Result<void> Admitted = co_await this->admitOperation(!Writes);
    if (!Admitted) {
      this->answerError(Admitted.error(), Request, Out);
      co_return;
    }
  }
  co_await this->forward(Request, Prepared, Writes, Out);
}

asio::awaitable<void> CallerSession::forward(const Statement &Request,
                                             const PreparedStatement *Prepared,
                                             bool Writes, std::string &Out) {
  StatementCall Call{this->Route,
                     this->Workspace,
                     this->Group,
                     this->Session,
                     this->Pinned,
                     Request,
                     Prepared,
                     Writes,
                     steadyNow(),
                     BootClock::now(),
                     this->Wait,
                     this->WaitCancelled,
                     {},
                     {},
                     0,
                     {}};
  this->WaitCancelled = this->Disconnected;
  this->watchDisconnect();
  StatementOutcome Outcome;
  if (this->Session.inTransaction())
    Outcome = co_await this->Executor.runInTransaction(Call);
  else
    Outcome = co_await this->Executor.runSingle(Call);
  if (const Error *Failure = std::get_if<Error>(&Outcome)) {
    this->State.metrics().countRefusal(Failure->Kind);
    this->Protocol.encodeError(*Failure, Out);
    this->Protocol.encodeReady(this->Session.phase(), std::nullopt, Out);
    co_return;
  }
  this->logIfSlow(Call);
  ProxyMetrics &Metrics = this->State.metrics();
  Metrics.StatementsServed.add();
  Metrics.StatementTime.record(steadyNow() - Call.Arrived);
  Metrics.UpstreamTime.record(Call.Ran);
  const UpstreamReply &Reply = std::get<UpstreamReply>(Outcome);
  this->Protocol.encodeReply(Reply, Out);
  this->Protocol.encodeReady(this->Session.phase(), Reply.At, Out);
}

void CallerSession::logIfSlow(const StatementCall &Call) const {
  const Duration Took = steadyNow() - Call.Arrived;
  if (Took < this->Route.LatencyObjective / 2)
    return;
  const auto Milliseconds = [](Duration Length) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
  };
  logInfo("event=served_slowly id=" + Call.Request.Id +
          " group=" + Call.Route.Group + " upstream=" + Call.Upstream +
          " workspace=" + Call.Workspace + " took_ms=" + Milliseconds(Took) +
          " waited_ms=" + Milliseconds(Call.Waited) + " ran_ms=" +
          Milliseconds(Call.Ran) + " tries=" + std::to_string(Call.Tries) +
          " priority=" + std::to_string(Call.Route.Priority));
}

asio::awaitable<void> CallerSession::changeSession(const Statement &Request,
                                                   std::string &Out) {
  Result<void> Changed = co_await this->reserveForChange(Request);
  if (!Changed) {
    this->encodeRefusal(Changed.error(), Out);
    co_return;
  }
  if (Request.Kind == StatementKind::SetValue)
    Changed = this->Session.setValue(Request.Name, Request.Argument);
  else if (Request.Kind == StatementKind::Prepare)
    Changed = this->Session.prepare(
        Request.Name, {Request.Argument, Request.DefinitionWrites});
  else
    Changed = this->Session.deallocate(Request.Name);
  this->Memory.reserve(Use::SessionState, this->Session.bytes());
  if (!Changed)
    this->answerError(Changed.error(), Request, Out);
  else
    this->answerLocally(Out);
}

asio::awaitable<void> CallerSession::reject(const Statement &Request,
                                            std::string &Out) {
  this->answerError(failure(ErrorKind::BadRequest, "unknown statement"),
                    Request, Out);
  co_return;
}

void CallerSession::answerError(const Error &Failure, const Statement &Request,
                                std::string &Out) {
  logInfo("event=refused id=" + Request.Id + " database=" +
          this->Start.Database + " workspace=" + this->Workspace +
          " kind=" + std::string(errorAnswer(Failure.Kind).Name) +
          " detail=\"" + Failure.Detail + "\"");
  this->encodeRefusal(Failure, Out);
}

// Without a log line: refusals for want of memory are summarised.
void CallerSession::encodeRefusal(const Error &Failure, std::string &Out) {
  this->State.metrics().countRefusal(Failure.Kind);
  this->Protocol.encodeError(Failure, Out);
  this->Protocol.encodeReady(this->Session.phase(), std::nullopt, Out);
}

void CallerSession::answerLocally(std::string &Out) {
  this->Protocol.encodeLocalCompletion(Out);
  this->Protocol.encodeReady(this->Session.phase(), std::nullopt, Out);
}

} // namespace lavenderdale
