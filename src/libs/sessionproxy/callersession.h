#pragma once

#include "limits/memorybudget.h"
#include "messagebuffer.h"
#include "proxystate.h"
#include "statementexecutor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// A caller's session: one connection, from its first message until it closes.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// Time within which a caller must send its start message.
  static constexpr std::chrono::milliseconds StartTimeout{3000};
  /// Maximum length of a message, as the protocol defines it.
  static constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;
  /// A connection whose peer does not acknowledge data for this long is closed.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{8000};

  /// A message or an answer may take this long, and in addition a second for
  /// each SlowestBytesPerSecond. A caller that is slower is disconnected.
  static constexpr std::chrono::seconds TransferGrace{10};
  /// A message of the largest size takes 64 s at this pace, which is a
  /// hundredth of the slowest link.
  static constexpr std::size_t SlowestBytesPerSecond = 16384;
  /// How often a large message is held while it is worked on: decoded, as a
  /// command, encoded, and as what is sent.
  static constexpr std::size_t WorkingCopies = 4;

  /// \param From address of the caller, until its workspace is known.
  CallerSession(boost::asio::ip::tcp::socket Socket, const std::string &From,
                ProxyState &State, StatementExecutor &Executor,
                const CallerProtocol &Protocol);

  /// Serves the session until it ends.
  boost::asio::awaitable<void> run();

  /// Closes the session if the caller has missed the deadline for its start
  /// message, or for the next statement of an open transaction, or sends a
  /// message or takes an answer too slowly.
  void checkLimits(TimePoint Now);

  /// Closes the session as soon as neither a statement nor a transaction is
  /// open.
  void closeWhenIdle();
  /// Closes the session after the statement that is running, if any. An open
  /// transaction is rolled back.
  void closeAfterStatement();
  /// Refuses a statement that is still waiting for an upstream.
  void stopWaiting();
  /// Closes the connection immediately.
  void closeNow();

private:
  using Handler = boost::asio::awaitable<void> (CallerSession::*)(
      const Statement &, std::string &);

  boost::asio::awaitable<bool> start();
  boost::asio::awaitable<bool> serveNext();
  boost::asio::awaitable<std::optional<std::string>> readLine();
  boost::asio::awaitable<bool> write(std::string Out);
  boost::asio::awaitable<void> handle(const Statement &Request,
                                      std::string &Out);

  boost::asio::awaitable<void> begin(const Statement &Request,
                                     std::string &Out);
  boost::asio::awaitable<void> rollBack(const Statement &Request,
                                        std::string &Out);
  boost::asio::awaitable<void> commit(const Statement &Request,
                                      std::string &Out);
  boost::asio::awaitable<void> executeStatement(const Statement &Request,
                                                std::string &Out);
  boost::asio::awaitable<void> changeSession(const Statement &Request,
                                             std::string &Out);
  boost::asio::awaitable<void> reject(const Statement &Request,
                                      std::string &Out);
  static Handler handlerOf(StatementKind Kind);

  boost::asio::awaitable<void> forward(const Statement &Request,
                                       const PreparedStatement *Prepared,
                                       bool Writes, std::string &Out);
  boost::asio::awaitable<Result<void>> admitOperation(bool Reads);
  Result<void> checkAccess();
  void answerError(const Error &Failure, const Statement &Request,
                   std::string &Out);
  void encodeRefusal(const Error &Failure, std::string &Out);
  void answerLocally(std::string &Out);
  void logIfSlow(const StatementCall &Call) const;
  void watchDisconnect();
  boost::asio::awaitable<Result<void>> reserveForWork(std::size_t Size);
  boost::asio::awaitable<Result<void>>
  reserveForChange(const Statement &Request);
  bool isTooSlow(TimePoint Now);

  boost::asio::ip::tcp::socket Socket;
  ProxyState &State;
  StatementExecutor &Executor;
  const CallerProtocol &Protocol;
  MessageBuffer Incoming;
  MemoryBudget::Account Memory;
  SessionStart Start;
  std::string Workspace;
  SessionState Session;
  HeldConnection Pinned;
  SessionRoute Route; ///< Of the current operation.
  std::shared_ptr<ProxyGroup> Group;
  WaitHandle Wait;
  bool Disconnected = false;  ///< The caller has closed its connection.
  bool WaitCancelled = false; ///< The statement must not wait any longer.
  bool Serving = false;       ///< A statement is running.
  bool WatchingDisconnect = false;
  bool ClosingWhenIdle = false; ///< Closes when no transaction is open.
  bool ClosingAfterStatement = false;
  /// For the start message, or the next statement of a transaction.
  std::optional<TimePoint> Deadline;
  /// Bytes of the answer that is being written; 0 if none is.
  std::size_t Writing = 0;
  /// When checkLimits() first saw the present message unfinished, or the
  /// present answer not taken.
  std::optional<TimePoint> ReceivingSince;
  std::optional<TimePoint> WritingSince;
};

} // namespace lavenderdale
