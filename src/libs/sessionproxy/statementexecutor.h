#pragma once

#include "proxygroup.h"
#include "proxymetrics.h"
#include "retry/retrytable.h"
#include "sessioncatalogue.h"
#include "statements/sessionstate.h"
#include "statements/statement.h"
#include "upstreamaccess.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>
#include <string>
#include <variant>

namespace lavenderdale {

/// A caller's statement that is being processed, with its session.
struct StatementCall {
  SessionRoute Route;
  std::string Workspace;
  std::shared_ptr<ProxyGroup> Group;
  SessionState &Session;
  HeldConnection &Pinned; ///< Holds the session's open transaction.
  const Statement &Request;
  const PreparedStatement *Prepared = nullptr; ///< Only for executions of one.
  bool Writes = false;
  TimePoint Arrived{};          ///< When the statement arrived, steady clock.
  BootTime ArrivedAtBootTime{}; ///< The same, counting suspended time.
  WaitHandle &Wait;
  /// Whether the caller has disconnected or this host is stopping.
  const bool &Abandoned;
  Duration Waited{};     ///< Time waited for connections, over all attempts.
  Duration Ran{};        ///< Time spent at upstreams, over all attempts.
  std::size_t Tries = 0; ///< Attempts so far.
  std::string Upstream;  ///< Id of the upstream of the last attempt.
};

/// An upstream's reply, or the error that explains why there is none.
using StatementOutcome = std::variant<UpstreamReply, Error>;

/// Runs the statements of callers at upstreams. Chooses a member of the group,
/// retries what can safely be retried, and reports for every other failure
/// whether the statement may have run.
///
/// Errors of its outcomes: NoPrimary, QueueDeadline if the statement did not
/// run, TransactionLost, OutcomeUnknown if it may have run.
class StatementExecutor {
public:
  /// Fraction of the statement timeout that may be spent waiting for a
  /// connection. The rest is needed to run the statement.
  static constexpr double QueueTimeFraction = 0.7;
  /// Members at which a read is tried while each refuses it on arrival, because
  /// it could not start in time there: as many as most groups have.
  static constexpr std::size_t MaxRefusals = 3;
  /// Minimum time that the first attempt of a read waits for its reply before
  /// the read is retried at another member.
  static constexpr std::chrono::milliseconds MinReadAttemptTime{150};
  /// The first attempt of a read times out after this multiple of the
  /// upstream's smoothed response time, but not before MinReadAttemptTime.
  static constexpr int ReadTimeoutFactor = 6;

  StatementExecutor(UpstreamAccess &Access, ProxyMetrics &Metrics)
      : Access(Access), Metrics(Metrics) {}

  /// Runs a read or write outside of a transaction.
  /// \returns the upstream's reply, which may report a failure, or an error.
  boost::asio::awaitable<StatementOutcome> runSingle(StatementCall &Call);

  /// Runs a read, write or commit in the session's transaction. The first
  /// statement starts the transaction at an upstream.
  /// \returns the upstream's reply, which may report a failure, or an error.
  boost::asio::awaitable<StatementOutcome>
  runInTransaction(StatementCall &Call);

  /// Rolls back the transaction on \p Pinned without waiting for the upstream.
  void rollBack(HeldConnection Pinned);

private:
  struct Attempt;

  boost::asio::awaitable<std::optional<Error>> runAtPrimary(StatementCall &Call,
                                                            Attempt &Try);
  boost::asio::awaitable<std::optional<Error>> runAtReader(StatementCall &Call,
                                                           Attempt &Try);
  boost::asio::awaitable<bool> run(StatementCall &Call, Attempt &Try,
                                   std::shared_ptr<UpstreamClient> Client,
                                   UpstreamWork Work, HeldConnection *Hold);
  void recordResult(StatementCall &Call, Attempt &Try, UpstreamClient &Client,
                    WorkResult Result, bool Measured);
  boost::asio::awaitable<std::optional<Error>>
  openTransaction(StatementCall &Call);
  boost::asio::awaitable<std::optional<Error>>
  beginAt(StatementCall &Call, const std::shared_ptr<UpstreamClient> &Client,
          std::optional<Position> After, Attempt &Try);
  StatementOutcome handleFailure(StatementCall &Call, Attempt &Try);

  /// Obtains a proof of leadership that requiredPosition() can use.
  static boost::asio::awaitable<void> proveLeadership(StatementCall &Call);
  /// A proof from this time on covers all commits that a read has to see.
  static BootTime oldestProofTime(const StatementCall &Call);
  std::optional<Position> requiredPosition(const StatementCall &Call) const;
  static UpstreamWork workFor(const StatementCall &Call);
  static TimePoint queueDeadline(const StatementCall &Call);
  static TimePoint deadline(const StatementCall &Call);
  /// Deadline of one attempt of a read. The first attempt ends early enough for
  /// a retry at another member; a retry has the rest of the statement timeout.
  static TimePoint readAttemptDeadline(const StatementCall &Call,
                                       const Attempt &Try,
                                       const UpstreamClient &Client);
  Error reportNotRun(const StatementCall &Call, const std::string &Why) const;
  Error reportNoRoom(const StatementCall &Call, const Attempt &Try) const;

  UpstreamAccess &Access;
  ProxyMetrics &Metrics;
};

} // namespace lavenderdale
