#pragma once

#include "base/boottime.h"
#include "base/timepoint.h"
#include "statements/connectionimage.h"
#include "statements/upstreamcommand.h"
#include "statements/upstreamreply.h"
#include "upstreamgate.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Commands for one connection to an upstream, with the session state that
/// the connection needs for them. Can be carried out by another host.
struct UpstreamWork {
  SessionValues Values;
  /// Of the prepared statement that the commands execute. Whoever carries the
  /// work out prepares it if need be, and fills its name in.
  std::optional<std::string> Definition;
  /// The connection already holds the session's transaction.
  bool InTransaction = false;
  /// Sent first; the commands are sent only after it succeeded.
  std::optional<UpstreamCommand> Guard;
  std::vector<UpstreamCommand> Commands;
  TimePoint Deadline{};

  /// Whether a caller's statement is among the commands.
  bool hasStatement() const;
};

/// What became of an UpstreamWork.
struct WorkResult {
  bool Connected = false; ///< False: no connection was had, nothing was sent.
  /// The upstream could not be reached at all, as far as is known.
  bool Unreachable = false;
  std::string SetUpError; ///< Not empty: adapting the connection failed.
  std::optional<UpstreamReply> Guard;
  std::vector<UpstreamReply> Replies; ///< One for each answered command.
  bool Sent = false; ///< Bytes of the commands may have reached the upstream.
  bool Lost = false; ///< The connection failed on the way.
  /// Lost, because the host that carried the work out did not answer.
  bool RelayFailed = false;
  BootTime SentAt{}; ///< Not later than the upstream got the first bytes.
  Duration Waited{}; ///< For the connection.
  Duration Ran{};    ///< At the upstream, for the commands.

  /// State after the last reply; Open if nothing is known.
  TransactionState state() const;
};

/// Carries \p Work out on \p Lease. The lease may be kept by the pool
/// afterwards if its state is known and no transaction is open.
boost::asio::awaitable<WorkResult>
performWork(ConnectionLease &Lease, UpstreamWork Work, StatementNames &Names);

/// Rolls the transaction on \p Lease back and returns the connection to the
/// pool, without keeping the caller waiting.
void rollBackAndKeep(const boost::asio::any_io_executor &Executor,
                     ConnectionLease Lease);

} // namespace lavenderdale
