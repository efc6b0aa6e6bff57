#pragma once

#include "base/boottime.h"
#include "base/timepoint.h"
#include "statements/upstreamcommand.h"
#include "statements/upstreamconnectionstate.h"
#include "statements/upstreamreply.h"
#include "upstreamclient.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Commands to run on one connection to an upstream, with the session state
/// that the connection needs for them. Can be relayed to another host.
struct UpstreamWork {
  SessionValues Values;
  /// Definition of the prepared statement that the commands execute. The host
  /// that runs the work prepares it if needed and fills in its name.
  std::optional<std::string> Definition;
  /// The connection already holds the session's transaction.
  bool InTransaction = false;
  /// Sent first; the commands are sent only if it succeeds.
  std::optional<UpstreamCommand> Guard;
  std::vector<UpstreamCommand> Commands;
  TimePoint Deadline{};
  /// For a probe that starts and ends a transaction to prove that the upstream
  /// is the primary: the host that holds the upstream's connections may answer
  /// with a proof of this age instead. Zero for all other work.
  std::chrono::milliseconds MaxProofAge{};

  /// Whether a caller's statement is among the commands.
  bool hasStatement() const;
  /// Whether the commands are not just a single read: they may write, commit,
  /// or be part of a transaction.
  bool mayWrite() const;
  /// Whether a successful reply to the first command shows that the upstream is
  /// the primary: others refuse to start a transaction that may write, and to
  /// write.
  bool provesLeadership() const;
};

/// The result of running an UpstreamWork.
struct WorkResult {
  /// False if no connection was obtained, so that nothing was sent.
  bool Connected = false;
  /// The upstream cannot be reached from the host that ran the work.
  bool Unreachable = false;
  /// Error code of applying the session state; empty if it succeeded. Otherwise
  /// no command was sent.
  std::string SetUpError;
  std::optional<UpstreamReply> Guard;
  /// One for each command that was answered.
  std::vector<UpstreamReply> Replies;
  bool Sent = false; ///< Bytes of the commands may have reached the upstream.
  bool Lost = false; ///< The connection failed during the exchange.
  /// Lost because the host that the work was relayed to did not answer.
  bool RelayFailed = false;
  BootTime SentAt{}; ///< Not after the first bytes reached the upstream.
  /// Age of the proof of leadership that the reply repeats; zero if the work
  /// was run.
  std::chrono::milliseconds ProofAge{};
  /// If the work was refused because it would have had to wait too long: the
  /// time until there will be room. Otherwise 0.
  std::chrono::milliseconds RetryAfter{};
  Duration Waited{}; ///< Time waited for the connection.
  Duration Ran{};    ///< Time that the upstream took for the commands.

  /// Transaction state after the last reply; Open without any reply, as the
  /// commands may have started a transaction.
  TransactionState state() const;
  /// The reply to the guard, or else to the first command; nullptr without one.
  const UpstreamReply *firstReply() const;
};

/// Runs \p Work on \p Lease. Marks the connection as reusable if its state is
/// known afterwards and no transaction is open.
/// \param Names the names that this host gives to prepared statements.
boost::asio::awaitable<WorkResult>
executeWork(ConnectionLease &Lease, UpstreamWork Work, StatementNames &Names);

/// Rolls back the transaction on \p Lease in the background and returns the
/// connection to the pool. The connection is closed if the rollback fails.
void rollBackAndRelease(const boost::asio::any_io_executor &Executor,
                        ConnectionLease Lease);

} // namespace lavenderdale
