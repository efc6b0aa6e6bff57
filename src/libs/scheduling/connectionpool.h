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
  Busy,     ///< One statement or exchange, with a deadline.
  Pinned,   ///< Held by a transaction, with the transaction's deadline.
  Checking, ///< Idle check, or reset after a transaction.
  Broken,   ///< Closed by the next poll().
};

enum class PoolActionKind {
  Open,  ///< Open a connection; answer with opened() or openFailed().
  Check, ///< Check an idle connection; answer with checked().
  Reset, ///< Run DISCARD ALL; answer with checked().
  Close, ///< Close the socket at once. A late answer is dropped with it.
};

struct PoolAction {
  PoolActionKind Kind;
  ConnectionId Id;
};

enum class OpenFailure {
  LimitReached, ///< SQLSTATE 53300.
  Unreachable,  ///< Refused, timed out, or failed in another way.
};

/// Whether a connection may be used again after an exchange.
enum class ConnectionUse {
  Clean,   ///< Transaction status idle and a plain data statement.
  Tainted, ///< Anything else: closed and replaced.
};

struct PoolLimits {
  std::uint32_t Budget = 5;      ///< Most connections, in any state.
  std::uint32_t MinimumWarm = 2; ///< Idle or opening ones that are kept.
  std::uint32_t InFlight = 2;    ///< Most statements at the same time.
  std::uint32_t Pinned = 4;  ///< Most transactions, so that statements go on.
  std::uint32_t Opening = 2; ///< Most connections being opened.
};

struct PoolTimes {
  Duration OpenDeadline = std::chrono::seconds(2);
  Duration CheckInterval = std::chrono::seconds(2);
  Duration CheckDeadline = std::chrono::milliseconds(500);
  Duration BackoffFirst = std::chrono::milliseconds(50);
  Duration BackoffMost = std::chrono::seconds(2);
};

/// Decides which connections of one upstream are opened, checked and closed.
/// Opening is never on the request path: acquire() only takes idle ones, and
/// a connection that was lost or is missing is opened by poll().
class ConnectionPool {
public:
  using Generator = std::mt19937_64;

  explicit ConnectionPool(PoolLimits Limits, PoolTimes Times = {});

  void setLimits(PoolLimits Limits);

  /// Returns what has to be done at \p Now. Called after each event and at
  /// nextPoll().
  /// \param Random source of the jitter of the pause after a failed opening.
  std::vector<PoolAction> poll(TimePoint Now, Generator &Random);

  /// Returns when poll() has to be called next without an event.
  TimePoint nextPoll() const;

  /// \returns false if the opening was given up before; close the socket.
  bool opened(ConnectionId Id, TimePoint Now);
  void openFailed(ConnectionId Id, OpenFailure Failure, TimePoint Now,
                  Generator &Random);
  void checked(ConnectionId Id, bool Answered, TimePoint Now);
  /// The connection was closed by the other side or had an error.
  void broken(ConnectionId Id);

  /// Takes an idle connection for one exchange.
  /// \returns nothing if none is idle, the limit of statements in flight is
  /// reached, or the upstream is leaving.
  std::optional<ConnectionId> acquire(TimePoint Deadline);
  /// Ends the exchange of a busy connection.
  /// \returns false if the answer is late: the connection is closed, and the
  /// answer must not be used.
  bool release(ConnectionId Id, ConnectionUse Use, TimePoint Now);

  /// Takes an idle connection for a transaction.
  std::optional<ConnectionId> pin(TimePoint TransactionDeadline);
  /// Starts a statement on a pinned connection. It does not wait for the limit
  /// of statements in flight: those may wait for a lock of this transaction.
  /// \returns false if the connection is not pinned any more or has a
  /// statement already.
  bool beginStatement(ConnectionId Id, TimePoint Deadline);
  /// Ends it. \returns false if the answer is late, as release() does.
  bool endStatement(ConnectionId Id, TimePoint Now);
  /// Ends the transaction; a clean connection is reset before it is used
  /// again.
  /// \returns false if the connection was closed before.
  bool unpin(ConnectionId Id, ConnectionUse Use, TimePoint Now);

  /// Sets whether the upstream is leaving: no new work, idle connections are
  /// closed, exchanges and transactions end until their deadlines.
  void setLeaving(bool IsLeaving);
  /// True if the upstream is leaving and no connection is left.
  bool drained() const;

  std::optional<ConnectionState> state(ConnectionId Id) const;
  std::uint32_t count(ConnectionState State) const;
  std::uint32_t size() const;
  std::uint32_t inFlight() const;
  /// True if acquire() would succeed.
  bool canAcquire() const;

private:
  struct Connection {
    ConnectionState State = ConnectionState::Opening;
    TimePoint Deadline{};          ///< Of the state; next check if idle.
    bool StatementRunning = false; ///< Pinned only.
    TimePoint StatementDeadline{};
    bool ResetDue = false; ///< Checking, but Reset was not given yet.
  };

  Connection *find(ConnectionId Id, ConnectionState State);
  std::optional<ConnectionId> freshestIdle() const;
  void toIdle(Connection &Each, TimePoint Now) const;
  void openingFailed(TimePoint Now, Generator &Random);
  void breakOverdue(TimePoint Now, Generator &Random);
  void breakSurplus();
  void closeBroken(std::vector<PoolAction> &Actions);
  void check(TimePoint Now, std::vector<PoolAction> &Actions);
  bool opensMore() const;

  PoolLimits Limits;
  PoolTimes Times;
  std::map<ConnectionId, Connection> Connections;
  ConnectionId LastId = 0;
  std::uint32_t FailuresInRow = 0;
  TimePoint OpenNotBefore{};
  bool Leaving = false;
};

} // namespace lavenderdale
