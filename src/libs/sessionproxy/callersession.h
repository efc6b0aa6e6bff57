#pragma once

#include "proxystate.h"
#include "statementexecutor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// One caller's connection, from its first message to its end.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// A caller that connects has to name its database within this time.
  static constexpr std::chrono::milliseconds StartLimit{3000};
  /// Protocol limit of one message.
  static constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;
  /// A caller that does not acknowledge bytes for this long is gone.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{8000};

  CallerSession(boost::asio::ip::tcp::socket Socket, ProxyState &State,
                StatementExecutor &Executor, const CallerProtocol &Protocol);

  /// Serves the session until it ends.
  boost::asio::awaitable<void> run();

  /// Closes the session when its time to start, or to go on with a
  /// transaction, is over.
  void checkLimits(TimePoint Now);

  /// Closes the session as soon as no statement and no transaction is open.
  void closeWhenIdle();
  /// As closeWhenIdle(), but a transaction is ended too, after the statement
  /// under way.
  void endTransaction();
  /// Refuses a statement that still waits for an upstream.
  void stopWaiting();
  /// Closes the connection whatever it does.
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
  boost::asio::awaitable<void> access(const Statement &Request,
                                      std::string &Out);
  boost::asio::awaitable<void> changeSession(const Statement &Request,
                                             std::string &Out);
  boost::asio::awaitable<void> reject(const Statement &Request,
                                      std::string &Out);
  static Handler handlerOf(StatementKind Kind);

  boost::asio::awaitable<void> forward(const Statement &Request,
                                       const PreparedStatement *Prepared,
                                       bool Writes, std::string &Out);
  boost::asio::awaitable<Result<void>> admitOperation();
  Result<void> checkAccess();
  void answerError(const Error &Failure, const Statement &Request,
                   std::string &Out);
  void answerLocally(std::string &Out);
  void logIfSlow(const StatementCall &Call) const;
  void watchDeparture();

  boost::asio::ip::tcp::socket Socket;
  ProxyState &State;
  StatementExecutor &Executor;
  const CallerProtocol &Protocol;
  std::string Buffer;
  SessionStart Start;
  std::string Workspace;
  SessionState Session;
  HeldConnection Pinned;
  SessionRoute Route; ///< Of the operation under way.
  std::shared_ptr<ProxyGroup> Group;
  WaitHandle Wait;
  bool Departed = false;  ///< The caller has closed its connection.
  bool Abandoned = false; ///< The statement under way is not to wait on.
  bool Serving = false;   ///< A statement is under way.
  bool Watching = false;
  bool Closing = false; ///< Ends when no transaction is open.
  bool Ending = false;  ///< Ends after the statement under way.
  std::optional<TimePoint> Limit;
};

} // namespace lavenderdale
