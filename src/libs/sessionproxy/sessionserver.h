#pragma once

#include "callersession.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace lavenderdale {

/// Accepts callers' connections and ends them in an orderly way.
class SessionServer : public std::enable_shared_from_this<SessionServer> {
public:
  /// How often the time limits of sessions are checked; they are seconds.
  static constexpr std::chrono::milliseconds CheckInterval{250};
  /// Callers that connect at once, as after a loss of power.
  static constexpr int Backlog = 1024;

  SessionServer(const boost::asio::any_io_executor &Executor, ProxyState &State,
                StatementExecutor &Statements, const CallerProtocol &Protocol);

  /// Errors: Unavailable if the endpoint cannot be bound.
  Result<void> listen(const Endpoint &Where);

  /// Closes the listener and every session without a statement or transaction;
  /// the others follow as they end.
  void closeIdle();
  /// Ends transactions and their sessions; statements under way are answered.
  void endTransactions();
  /// Refuses the statements that still wait for an upstream.
  void stopWaiting();

  std::size_t sessions() const { return this->Sessions.size(); }

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<CallerSession> Session);
  boost::asio::awaitable<void> checkLimits();

  boost::asio::any_io_executor Executor;
  ProxyState &State;
  StatementExecutor &Statements;
  const CallerProtocol &Protocol;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<CallerSession>> Sessions;
  bool Stopped = false;
};

} // namespace lavenderdale
