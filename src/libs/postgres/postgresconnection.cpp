#include "postgresconnection.h"

#include "base/softassert.h"
#include "preparedstatements.h"
#include "resultcollector.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <libpq-fe.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace asio = boost::asio;

namespace lavenderdale {
namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
using WaitType = asio::posix::stream_descriptor::wait_type;

// Limit of the protocol: the count is a 16-bit number.
constexpr std::size_t MaxParams = 65535;

// How SQLSTATE 53300 (too_many_connections) shows in libpq's verbose message.
// libpq offers the SQLSTATE of a failed connect in no other way.
constexpr std::string_view TooManyConnectionsText = ":  53300: ";

std::string trimmed(std::string Text) {
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  return Text;
}

bool hasZeroByte(const std::string &Text) {
  return Text.find('\0') != std::string::npos;
}

Result<void> validate(const Statement &Checked) {
  if (Checked.Params.size() > MaxParams)
    return failure(ErrorKind::BadRequest,
                   "a statement has more than 65535 parameters");
  const bool BadParam = std::any_of(
      Checked.Params.begin(), Checked.Params.end(),
      [](const auto &Param) { return Param && hasZeroByte(*Param); });
  if (BadParam || hasZeroByte(Checked.Sql))
    return failure(ErrorKind::BadRequest,
                   "a statement or parameter contains a zero byte");
  return success();
}

Result<void> validate(const std::vector<std::vector<Statement>> &Groups) {
  for (const auto &Group : Groups)
    for (const Statement &Checked : Group) {
      BOOST_OUTCOME_TRY(validate(Checked));
    }
  return success();
}

bool sendStatement(PGconn *Connection, const SentStatement &Entry) {
  const Statement &Sent = *Entry.What;
  if (Entry.IsPreparation)
    return PQsendPrepare(Connection, Sent.Name.c_str(), Sent.Sql.c_str(), 0,
                         nullptr) == 1;
  std::vector<const char *> Values;
  Values.reserve(Sent.Params.size());
  for (const auto &Param : Sent.Params)
    Values.push_back(Param ? Param->c_str() : nullptr);
  if (!Sent.Name.empty())
    return PQsendQueryPrepared(Connection, Sent.Name.c_str(),
                               static_cast<int>(Values.size()), Values.data(),
                               nullptr, nullptr, 0) == 1;
  return PQsendQueryParams(Connection, Sent.Sql.c_str(),
                           static_cast<int>(Values.size()), nullptr,
                           Values.data(), nullptr, nullptr, 0) == 1;
}

// Holds back partial segments while it exists. libpq writes to the socket at
// each sync, and every segment would wake the database separately.
class SegmentJoiner {
public:
  explicit SegmentJoiner(int Socket) : Socket(Socket) { this->set(1); }
  SegmentJoiner(const SegmentJoiner &) = delete;
  SegmentJoiner &operator=(const SegmentJoiner &) = delete;
  ~SegmentJoiner() { this->set(0); }

private:
  void set(int On) const {
    ::setsockopt(this->Socket, IPPROTO_TCP, TCP_CORK, &On, sizeof(On));
  }

  int Socket;
};

// Sends every group followed by a sync. libpq may write to the socket early.
bool sendGroups(PGconn *Connection, const SentGroups &Groups) {
  const SegmentJoiner Joiner(PQsocket(Connection));
  for (const auto &Group : Groups) {
    for (const SentStatement &Sent : Group)
      if (!sendStatement(Connection, Sent))
        return false;
    if (PQpipelineSync(Connection) != 1)
      return false;
  }
  return true;
}

PGconn *startConnect(const ConnectOptions &Options) {
  const std::string Port = std::to_string(Options.Port);
  // GSS encryption is off because its credential lookup may block.
  const std::array<const char *, 8> Keywords = {
      "hostaddr",        "port",       "dbname", "user", "application_name",
      "client_encoding", "gssencmode", nullptr};
  const std::array<const char *, 8> Values = {Options.Address.c_str(),
                                              Port.c_str(),
                                              Options.Database.c_str(),
                                              Options.User.c_str(),
                                              Options.ApplicationName.c_str(),
                                              "UTF8",
                                              "disable",
                                              nullptr};
  return PQconnectStartParams(Keywords.data(), Values.data(), 0);
}

Error connectFailure(PGconn *Connection) {
  std::string Message = trimmed(PQerrorMessage(Connection));
  const bool Full = Message.find(TooManyConnectionsText) != std::string::npos;
  return failure(Full ? ErrorKind::TooManyConnections : ErrorKind::Unavailable,
                 std::move(Message));
}

} // namespace

// The connection as libpq and Asio see it.
struct PostgresConnection::State : std::enable_shared_from_this<State> {
  explicit State(const asio::any_io_executor &Executor)
      : Descriptor(Executor), Timer(Executor) {}
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() { this->close(); }

  void close();
  void arm(TimePoint Deadline);
  void disarm();

  /// Gives Asio the socket, which libpq continues to own.
  void attach() { this->Descriptor.assign(PQsocket(this->Connection)); }
  void detach() {
    if (this->Descriptor.is_open())
      this->Descriptor.release();
  }

  /// Finds out whether the database closed the connection while it was idle.
  bool isStillOpen();

  /// Ends an exchange; an incomplete one breaks the connection.
  void endExchange(bool Completed);

  asio::posix::stream_descriptor Descriptor;
  asio::steady_timer Timer;
  PGconn *Connection = nullptr;
  PreparedStatements Prepared;
  std::uint64_t ArmCount = 0; // Tells a late timer handler from the current.
  bool Expired = false;
  bool Busy = false;
  bool Broken = false;
  bool Terminated = false; // The database announced the end of the session.
};

namespace {

// Messages of severity FATAL or PANIC that arrive while the session is idle
// come as notices; the database closes the connection after them.
template <typename State> void noticeReceiver(void *Arg, const PGresult *Res) {
  const char *Severity = PQresultErrorField(Res, PG_DIAG_SEVERITY_NONLOCALIZED);
  if (Severity != nullptr && (std::strcmp(Severity, "FATAL") == 0 ||
                              std::strcmp(Severity, "PANIC") == 0))
    static_cast<State *>(Arg)->Terminated = true;
}

// Breaks the connection unless the exchange was completed, also when the
// coroutine is destroyed while it waits.
template <typename State> class ExchangeGuard {
public:
  explicit ExchangeGuard(State &Guarded) : Guarded(Guarded) {
    this->Guarded.Busy = true;
  }
  ExchangeGuard(const ExchangeGuard &) = delete;
  ExchangeGuard &operator=(const ExchangeGuard &) = delete;
  ~ExchangeGuard() { this->Guarded.endExchange(this->Completed); }

  void complete() { this->Completed = true; }

private:
  State &Guarded;
  bool Completed = false;
};

// Waits until the socket is ready for \p Type, or sooner.
// \returns false if the exchange has to stop.
template <typename State>
asio::awaitable<bool> waitReady(State &Waiting, WaitType Type) {
  if (Waiting.Expired || Waiting.Broken)
    co_return false;
  const auto [Failure] = co_await Waiting.Descriptor.async_wait(Type, AsTuple);
  const auto Cancellation = co_await asio::this_coro::cancellation_state;
  const bool Aborted = Failure == asio::error::operation_aborted;
  co_return !Waiting.Expired && !Waiting.Broken &&
      Cancellation.cancelled() == asio::cancellation_type::none &&
      (!Failure || Aborted);
}

// Waits until the socket is readable or writable. The write wait ends the read
// wait by cancelling it; if it does so late, a later wait returns early.
template <typename State>
asio::awaitable<bool> waitReadOrWrite(std::shared_ptr<State> Shared) {
  if (Shared->Expired || Shared->Broken)
    co_return false;
  Shared->Descriptor.async_wait(
      WaitType::wait_write,
      [Weak = std::weak_ptr<State>(Shared)](boost::system::error_code Failure) {
        const auto Waiting = Weak.lock();
        if (!Failure && Waiting && Waiting->Descriptor.is_open())
          Waiting->Descriptor.cancel();
      });
  const bool GoOn = co_await waitReady(*Shared, WaitType::wait_read);
  if (Shared->Descriptor.is_open())
    Shared->Descriptor.cancel();
  co_return GoOn;
}

// Takes all results that libpq has complete.
Result<void> takeResults(PGconn *Connection, ResultCollector &Collector) {
  while (!Collector.isComplete() && PQisBusy(Connection) == 0) {
    BOOST_OUTCOME_TRY(Collector.take(PQgetResult(Connection)));
    // Has an effect only before the first row of a statement.
    PQsetSingleRowMode(Connection);
  }
  return success();
}

Error unknownOutcome(const std::string &Reason) {
  return failure(ErrorKind::OutcomeUnknown, Reason);
}

template <typename State> Error stoppedExchange(const State &Stopped) {
  return unknownOutcome(Stopped.Expired
                            ? "the deadline passed before the answer was there"
                            : "the exchange was cancelled");
}

template <typename State>
asio::awaitable<Result<void>> exchange(std::shared_ptr<State> Shared,
                                       ResultCollector &Collector) {
  PGconn *Connection = Shared->Connection;
  while (true) {
    const int Flushed = PQflush(Connection);
    if (Flushed < 0)
      co_return unknownOutcome(trimmed(PQerrorMessage(Connection)));
    Result<void> Taken = takeResults(Connection, Collector);
    if (!Taken || Collector.isComplete())
      co_return Taken;
    const bool GoOn = Flushed == 0
                          ? co_await waitReady(*Shared, WaitType::wait_read)
                          : co_await waitReadOrWrite(Shared);
    if (!GoOn)
      co_return stoppedExchange(*Shared);
    if (PQconsumeInput(Connection) == 0)
      co_return unknownOutcome(trimmed(PQerrorMessage(Connection)));
  }
}

template <typename State>
asio::awaitable<Result<PostgresConnection::GroupResults>>
runGroups(std::shared_ptr<State> Shared,
          std::vector<std::vector<Statement>> Groups, TimePoint Deadline,
          std::size_t MaxResultBytes) {
  BOOST_OUTCOME_CO_TRY(validate(Groups));
  if (!softAssert(!Shared->Busy, "one run of a connection at a time"))
    co_return failure(ErrorKind::Internal, "the connection is in use");
  if (Shared->Broken)
    co_return failure(ErrorKind::Unavailable, "the connection is broken");
  if (steadyNow() >= Deadline)
    co_return failure(ErrorKind::DeadlineExceeded,
                      "the deadline had passed before the statement was sent");
  if (!Shared->isStillOpen()) {
    Shared->close();
    co_return failure(ErrorKind::Unavailable,
                      "the database had closed the connection");
  }
  const SentGroups Sent = Shared->Prepared.plan(Groups);
  ResultCollector Collector(Sent, MaxResultBytes);
  if (Collector.isComplete())
    co_return Collector.release();

  ExchangeGuard<State> Guard(*Shared);
  Shared->arm(Deadline);
  if (!sendGroups(Shared->Connection, Sent))
    co_return unknownOutcome(trimmed(PQerrorMessage(Shared->Connection)));
  PQsetSingleRowMode(Shared->Connection);
  BOOST_OUTCOME_CO_TRY(co_await exchange(Shared, Collector));
  auto Results = Shared->Prepared.take(Sent, Collector.release());
  if (!Shared->Prepared.hasConflict())
    Guard.complete();
  co_return Results;
}

template <typename State>
asio::awaitable<Result<void>> connect(std::shared_ptr<State> Shared,
                                      ConnectOptions Options,
                                      TimePoint Deadline) {
  boost::system::error_code BadAddress;
  asio::ip::make_address(Options.Address, BadAddress);
  if (BadAddress)
    co_return failure(ErrorKind::InvalidSettings,
                      "not a numeric address: " + Options.Address);
  Shared->Connection = startConnect(Options);
  PGconn *Connection = Shared->Connection;
  if (Connection == nullptr || PQstatus(Connection) == CONNECTION_BAD)
    co_return connectFailure(Connection);
  PQsetErrorVerbosity(Connection, PQERRORS_VERBOSE);
  PQsetNoticeReceiver(Connection, &noticeReceiver<State>, Shared.get());

  Shared->arm(Deadline);
  PostgresPollingStatusType Status = PGRES_POLLING_WRITING;
  while (Status != PGRES_POLLING_OK) {
    // libpq may replace the socket in each step, also by one of the same
    // number, so Asio has to be told anew.
    Shared->attach();
    const bool GoOn = co_await waitReady(
        *Shared, Status == PGRES_POLLING_READING ? WaitType::wait_read
                                                 : WaitType::wait_write);
    if (!GoOn)
      co_return failure(ErrorKind::DeadlineExceeded,
                        "no connection before the deadline");
    Shared->detach();
    Status = PQconnectPoll(Connection);
    if (Status == PGRES_POLLING_FAILED)
      co_return connectFailure(Connection);
  }
  Shared->attach();
  Shared->disarm();
  PQsetErrorVerbosity(Connection, PQERRORS_DEFAULT);
  if (PQsetnonblocking(Connection, 1) != 0 ||
      PQenterPipelineMode(Connection) != 1)
    co_return connectFailure(Connection);
  co_return success();
}

} // namespace

void PostgresConnection::State::close() {
  this->Broken = true;
  this->disarm();
  this->detach();
  if (!this->Busy && this->Connection != nullptr)
    PQfinish(std::exchange(this->Connection, nullptr));
}

void PostgresConnection::State::arm(TimePoint Deadline) {
  this->Expired = false;
  this->Timer.expires_at(Deadline);
  this->Timer.async_wait(
      [Weak = this->weak_from_this(), Count = ++this->ArmCount](auto Failure) {
        const auto Shared = Weak.lock();
        if (Failure || !Shared || Shared->ArmCount != Count)
          return;
        Shared->Expired = true;
        if (Shared->Descriptor.is_open())
          Shared->Descriptor.cancel();
      });
}

void PostgresConnection::State::disarm() {
  ++this->ArmCount;
  this->Timer.cancel();
}

bool PostgresConnection::State::isStillOpen() {
  char Byte = 0;
  while (true) {
    const ssize_t Peeked =
        ::recv(PQsocket(this->Connection), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Peeked < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    if (Peeked == 0 || PQconsumeInput(this->Connection) == 0)
      return false;
    PQisBusy(this->Connection); // Parses what has arrived.
    if (this->Terminated || PQstatus(this->Connection) == CONNECTION_BAD)
      return false;
  }
}

void PostgresConnection::State::endExchange(bool Completed) {
  this->Busy = false;
  if (!Completed || this->Broken || this->Terminated) {
    this->close();
    return;
  }
  this->disarm();
  while (PGnotify *Notification = PQnotifies(this->Connection))
    PQfreemem(Notification);
}

PostgresConnection::PostgresConnection(std::shared_ptr<State> Shared)
    : Shared(std::move(Shared)) {}

PostgresConnection::~PostgresConnection() { this->Shared->close(); }

asio::awaitable<Result<std::unique_ptr<PostgresConnection>>>
PostgresConnection::open(const ConnectOptions &Options, TimePoint Deadline) {
  // Not a coroutine itself, so that the options are copied at the call.
  return [](ConnectOptions Options, TimePoint Deadline)
             -> asio::awaitable<Result<std::unique_ptr<PostgresConnection>>> {
    auto Shared = std::make_shared<State>(co_await asio::this_coro::executor);
    // Destroys the connection if the attempt fails or is cancelled.
    std::unique_ptr<PostgresConnection> Opened(new PostgresConnection(Shared));
    BOOST_OUTCOME_CO_TRY(
        co_await connect(Shared, std::move(Options), Deadline));
    co_return Opened;
  }(Options, Deadline);
}

asio::awaitable<Result<PostgresConnection::GroupResults>>
PostgresConnection::run(std::vector<std::vector<Statement>> Groups,
                        TimePoint Deadline, std::size_t MaxResultBytes) {
  return runGroups(this->Shared, std::move(Groups), Deadline, MaxResultBytes);
}

bool PostgresConnection::isIdle() const {
  return !this->isBroken() && !this->Shared->Busy &&
         PQtransactionStatus(this->Shared->Connection) == PQTRANS_IDLE;
}

bool PostgresConnection::isBroken() const { return this->Shared->Broken; }

int PostgresConnection::backendPid() const {
  return PQbackendPID(this->Shared->Connection);
}

void PostgresConnection::close() { this->Shared->close(); }

} // namespace lavenderdale
