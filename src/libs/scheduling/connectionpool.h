#pragma once

#include "base/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lavenderdale {

using ConnectionId = std::uint64_t;

enum class ConnectionState {
  Opening,
  Idle,
  Busy,     ///< Runs one statement, with a deadline.
  Pinned,   ///< Reserved for a transaction, with its deadline.
  Checking, ///< Health check, or reset after a transaction.
  Broken,   ///< Unusable; the next poll() closes it.
};

enum class PoolActionKind {
  Open,  ///< Open a connection; report with opened() or openFailed().
  Check, ///< Check an idle connection; report with checked().
  Reset, ///< Run DISCARD ALL; report with checked().
  Close, ///< Close the socket immediately, so that late answers are lost.
};

/// An action that the caller of ConnectionPool::poll() must perform.
struct PoolAction {
  PoolActionKind Kind;
  ConnectionId Id;
};

/// Why a connection could not be opened.
enum class OpenFailure {
  LimitReached, ///< Too many connections (SQLSTATE 53300).
  Unreachable,  ///< Refused, timed out or failed otherwise.
};

/// Whether a connection may be reused after a statement.
enum class ConnectionUse {
  Clean,   ///< Transaction status is idle and only data statements ran.
  Tainted, ///< Otherwise; the connection is closed and replaced.
};

/// Limits of a ConnectionPool.
struct PoolLimits {
  std::uint32_t MaxConnections = 5; ///< Connections in any state.
  std::uint32_t MinIdle = 2; ///< Idle, checked or opening connections to keep.
  std::uint32_t MaxInFlight = 2; ///< Statements running at the same time.
  std::uint32_t MaxPinned =
      4; ///< Transactions; the rest is left for statements.
  std::uint32_t MaxOpening = 2; ///< Connections being opened at the same time.
};

/// Time-outs and intervals of a ConnectionPool.
struct PoolTimes {
  Duration OpenDeadline = std::chrono::seconds(2);
  Duration CheckInterval = std::chrono::seconds(2);
  Duration CheckDeadline = std::chrono::milliseconds(500);
  Duration InitialBackoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(2);
};

/// Decides which connections to one upstream are opened, checked and closed.
/// Performs no I/O. Connections are never opened on the request path: acquire()
/// only takes idle connections, and poll() opens missing ones.
class ConnectionPool {
public:
  using Generator = std::mt19937_64;

  explicit ConnectionPool(PoolLimits Limits, PoolTimes Times = {});

  /// Changes the limits. Surplus idle connections are closed by poll().
  void setLimits(PoolLimits Limits);

  /// Returns the actions to perform at \p Now. Call it after each event and at
  /// nextPoll().
  /// \param Random source of the jitter in the back-off after a failed open.
  std::vector<PoolAction> poll(TimePoint Now, Generator &Random);

  /// Returns when poll() must be called next if no event occurs before.
  TimePoint nextPoll() const;

  /// Reports that a connection was opened.
  /// \returns false if the open has timed out; the caller must close the
  /// socket.
  bool opened(ConnectionId Id, TimePoint Now);
  /// Reports that a connection could not be opened.
  void openFailed(ConnectionId Id, OpenFailure Failure, TimePoint Now,
                  Generator &Random);
  /// Reports the result of a Check or Reset.
  /// \param Answered false if it failed; the connection is then closed.
  void checked(ConnectionId Id, bool Answered, TimePoint Now);
  /// Reports that the connection was closed by the peer or had an error.
  void broken(ConnectionId Id);

  /// Takes an idle connection for one statement.
  /// \returns nothing if none is idle, the limit of running statements is
  /// reached, or the upstream is leaving.
  std::optional<ConnectionId> acquire(TimePoint Deadline);
  /// Returns a busy connection after its statement.
  /// \returns false if the answer is late: the connection is closed and the
  /// answer must not be used.
  bool release(ConnectionId Id, ConnectionUse Use, TimePoint Now);

  /// Takes an idle connection for a transaction.
  /// \returns nothing if none is idle, the limit of transactions is reached, or
  /// the upstream is leaving.
  std::optional<ConnectionId> pin(TimePoint TransactionDeadline);
  /// Starts a statement on a pinned connection. It is not subject to the limit
  /// of running statements, because those may be waiting for a lock of this
  /// transaction.
  /// \returns false if the connection is no longer pinned or already runs a
  /// statement.
  bool beginStatement(ConnectionId Id, TimePoint Deadline);
  /// Ends a statement on a pinned connection.
  /// \returns false if the answer is late, as release() does.
  bool endStatement(ConnectionId Id, TimePoint Now);
  /// Ends a transaction. A clean connection is reset before it is reused.
  /// \returns false if the connection was already closed.
  bool unpin(ConnectionId Id, ConnectionUse Use, TimePoint Now);

  /// Sets whether the upstream is leaving. If so, it gets no new work, idle
  /// connections are closed, and running statements and transactions may finish
  /// until their deadlines.
  void setLeaving(bool IsLeaving);
  /// Returns whether the upstream is leaving and no connection is left.
  bool drained() const;

  /// Returns the state of a connection, or nothing if it does not exist.
  std::optional<ConnectionState> state(ConnectionId Id) const;
  /// Returns the number of connections in \p State.
  std::uint32_t count(ConnectionState State) const;
  /// Returns the number of connections in any state.
  std::uint32_t size() const;
  /// Returns the number of running statements.
  std::uint32_t inFlight() const;
  /// Returns whether acquire() would succeed.
  bool canAcquire() const;

private:
  struct Connection {
    ConnectionState State = ConnectionState::Opening;
    TimePoint Deadline{}; ///< Deadline of the state; next check if idle.
    bool StatementRunning = false; ///< Only if Pinned.
    TimePoint StatementDeadline{};
    bool ResetDue = false; ///< Checking; the next poll() returns Reset.
  };

  Connection *find(ConnectionId Id, ConnectionState State);
  std::optional<ConnectionId> mostRecentIdle() const;
  void toIdle(Connection &Each, TimePoint Now) const;
  void startBackoff(TimePoint Now, Generator &Random);
  void markOverdueBroken(TimePoint Now, Generator &Random);
  void markSurplusBroken();
  void closeBroken(std::vector<PoolAction> &Actions);
  void startChecks(TimePoint Now, std::vector<PoolAction> &Actions);
  bool shouldOpen() const;

  PoolLimits Limits;
  PoolTimes Times;
  std::map<ConnectionId, Connection> Connections;
  ConnectionId LastId = 0;
  std::uint32_t ConsecutiveFailures = 0;
  TimePoint OpenNotBefore{};
  bool Leaving = false;
};

} // namespace lavenderdale
