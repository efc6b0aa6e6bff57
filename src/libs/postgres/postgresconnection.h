#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "connectoptions.h"
#include "statement.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace lavenderdale {

/// One connection to a PostgreSQL database in pipeline mode. It belongs to the
/// executor that open() ran on, and all its members are called from there; no
/// member blocks the thread.
class PostgresConnection {
public:
  /// Results of a list of groups, each a list of statements.
  using GroupResults = std::vector<std::vector<StatementResult>>;

  /// Connects, by numeric address only.
  /// \param Deadline when the attempt is given up.
  /// \returns the idle connection, or InvalidSettings (address),
  /// TooManyConnections (SQLSTATE 53300), DeadlineExceeded or Unavailable.
  static boost::asio::awaitable<Result<std::unique_ptr<PostgresConnection>>>
  open(const ConnectOptions &Options, TimePoint Deadline);

  ~PostgresConnection();
  PostgresConnection(const PostgresConnection &) = delete;
  PostgresConnection &operator=(const PostgresConnection &) = delete;

  /// Sends all groups in one go and collects their results in one round trip.
  /// Each group ends with a sync: it is one implicit transaction unless it
  /// contains BEGIN or COMMIT. A statement that fails has a Failure; later
  /// statements of its group are skipped and have AbortedSqlState; the next
  /// group runs again. One run at a time.
  ///
  /// A statement with a name is prepared in the same round trip if this
  /// connection has not done so. If the session no longer has it (SQLSTATE
  /// 26000) that use fails, and the next one prepares it again. If the name is
  /// taken by a statement of somebody else, the connection is broken after it.
  ///
  /// Errors after which the connection is unchanged, nothing was sent:
  /// - BadRequest: a zero byte in a text, or more than 65,535 parameters.
  /// - DeadlineExceeded: \p Deadline had passed before the call.
  ///
  /// Errors after which the connection is broken:
  /// - Unavailable: no byte of the groups was written to the socket.
  /// - OutcomeUnknown: some may have been written (deadline, reset, close()).
  /// - ResultTooLarge: the rows of all results exceed \p MaxResultBytes.
  /// - StatementNotAllowed: a statement started a COPY.
  ///
  /// The connection is also broken if the coroutine is cancelled or destroyed.
  /// \param Deadline when the exchange is given up.
  /// \param MaxResultBytes bytes of all rows, counted as the protocol's row
  /// messages (values, 4 bytes per value, 7 bytes per row). Rows are counted
  /// one by one as they arrive; libpq holds a single row whole before that.
  boost::asio::awaitable<Result<GroupResults>>
  run(std::vector<std::vector<Statement>> Groups, TimePoint Deadline,
      std::size_t MaxResultBytes);

  /// Whether the session is outside a transaction and no run() is under way.
  bool isIdle() const;

  /// Whether the connection must not be used any more. A connection that the
  /// database closed while it was idle is found out by the next run().
  bool isBroken() const;

  /// Process id of the session at the database.
  int backendPid() const;

  /// Closes the socket. A run() under way ends with OutcomeUnknown.
  void close();

private:
  struct State;
  explicit PostgresConnection(std::shared_ptr<State> Shared);

  // run() keeps a reference, so that close() and the destructor are safe
  // while it waits.
  std::shared_ptr<State> Shared;
};

} // namespace lavenderdale
