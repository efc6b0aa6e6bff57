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

/// A statement on its way, with the session it belongs to.
struct StatementCall {
  SessionRoute Route;
  std::string Workspace;
  std::shared_ptr<ProxyGroup> Group;
  SessionState &Session;
  HeldConnection &Pinned; ///< Of the session's open transaction.
  const Statement &Request;
  const PreparedStatement *Prepared = nullptr; ///< Executions only.
  bool Writes = false;
  TimePoint Arrived{};
  BootTime ArrivedAt{};
  WaitHandle &Wait;
  const bool &Abandoned; ///< The caller left, or the host stops.
  Duration Waited{};     ///< For connections, over all tries.
  Duration Ran{};        ///< At upstreams, over all tries.
  std::size_t Tries = 0;
  std::string Upstream; ///< Asked last.
};

/// An upstream's reply, or why there is none.
using StatementOutcome = std::variant<UpstreamReply, Error>;

/// Runs the statements of callers at upstreams: chooses the member, repeats
/// what may be repeated, and says of everything else whether it ran.
class StatementExecutor {
public:
  /// Part of a statement's timeout for which it may wait for a connection.
  /// What is left is needed to run it.
  static constexpr double QueuePart = 0.7;
  /// Pause before a busy upstream is asked again.
  static constexpr std::chrono::milliseconds BusyPause{6};
  /// Bounds of the time after which an unanswered read is tried elsewhere.
  static constexpr std::chrono::milliseconds ShortestReadTry{150};
  static constexpr int ReadTryServices = 6; ///< In smoothed answer times.

  StatementExecutor(UpstreamAccess &Access, ProxyMetrics &Metrics)
      : Access(Access), Metrics(Metrics) {}

  /// Runs a read or write outside of a transaction.
  boost::asio::awaitable<StatementOutcome> runSingle(StatementCall &Call);

  /// Runs a read, write or commit of the session's transaction.
  boost::asio::awaitable<StatementOutcome>
  runInTransaction(StatementCall &Call);

  /// Ends the transaction on \p Pinned without waiting for the upstream.
  void rollBack(HeldConnection Pinned);

private:
  struct Attempt;

  boost::asio::awaitable<std::optional<Error>> runAtPrimary(StatementCall &Call,
                                                            Attempt &Try);
  boost::asio::awaitable<std::optional<Error>> runAtReader(StatementCall &Call,
                                                           Attempt &Try);
  boost::asio::awaitable<bool> run(StatementCall &Call, Attempt &Try,
                                   std::shared_ptr<UpstreamGate> Gate,
                                   UpstreamWork Work, HeldConnection *Hold);
  void take(StatementCall &Call, Attempt &Try, UpstreamGate &Gate,
            WorkResult Result, bool Measured);
  boost::asio::awaitable<std::optional<Error>>
  openTransaction(StatementCall &Call);
  boost::asio::awaitable<std::optional<Error>>
  beginAt(StatementCall &Call, const std::shared_ptr<UpstreamGate> &Gate,
          std::optional<Position> After, Attempt &Try);
  StatementOutcome endFailed(StatementCall &Call, Attempt &Try);

  std::optional<Position> requiredPosition(const StatementCall &Call) const;
  static UpstreamWork workFor(const StatementCall &Call);
  static TimePoint giveUp(const StatementCall &Call);
  static TimePoint deadline(const StatementCall &Call);
  /// Until when a read waits for its answer before it is tried elsewhere; a
  /// repeated one has the rest of its time.
  static TimePoint readLimit(const StatementCall &Call, const Attempt &Try,
                             const UpstreamGate &Gate);
  Error notRun(const StatementCall &Call, const std::string &Why) const;

  UpstreamAccess &Access;
  ProxyMetrics &Metrics;
};

} // namespace lavenderdale
