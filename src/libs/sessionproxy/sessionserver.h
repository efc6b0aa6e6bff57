#pragma once

#include "callersession.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace lavenderdale {

/// Accepts callers' connections and closes them at shutdown.
class SessionServer : public std::enable_shared_from_this<SessionServer> {
public:
  /// How often the deadlines of sessions are checked. They are seconds long.
  static constexpr std::chrono::milliseconds CheckInterval{250};
  /// Time between summaries of refusals in the log.
  static constexpr std::chrono::milliseconds SummaryInterval{1000};
  /// Large enough for many callers that reconnect at once, as after a loss of
  /// power.
  static constexpr int Backlog = 1024;

  SessionServer(const boost::asio::any_io_executor &Executor, ProxyState &State,
                StatementExecutor &Statements, const CallerProtocol &Protocol);

  /// Starts to accept connections.
  /// Errors: Unavailable if the endpoint cannot be bound.
  Result<void> listen(const Endpoint &Where);

  /// Closes the listener and every session without a statement or transaction.
  /// The other sessions close when theirs have ended.
  void closeIdle();
  /// Closes the open sessions as closeIdle() does, but goes on accepting new
  /// ones.
  void moveSessions();
  /// Rolls back open transactions and closes all sessions. Statements that are
  /// running are still answered.
  void endTransactions();
  /// Refuses the statements that are still waiting for an upstream.
  void stopWaiting();

  /// Returns the number of open sessions.
  std::size_t sessions() const { return this->Sessions.size(); }

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<CallerSession> Session);
  boost::asio::awaitable<void> checkLimits();
  void summarise();

  boost::asio::any_io_executor Executor;
  ProxyState &State;
  StatementExecutor &Statements;
  const CallerProtocol &Protocol;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<CallerSession>> Sessions;
  bool Stopped = false;
};

} // namespace lavenderdale
