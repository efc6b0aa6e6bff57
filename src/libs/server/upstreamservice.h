#pragma once

#include "base/result.h"
#include "catalogue/group.h"
#include "postgres/postgresconnection.h"
#include "scheduling/connectionpool.h"
#include "scheduling/fairqueue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace lavenderdale {

/// Connections kept back at each database: three watchers, the second holder
/// of a primary, and one short-lived control connection.
inline constexpr std::uint32_t ReservedConnections = 5;

/// Hosts that share the connections of an upstream.
inline constexpr std::uint32_t HoldersPerUpstream = 2;

/// The pool limits of one of the holders of \p Config.
PoolLimits poolLimitsOf(const Upstream &Config);

/// What a request needs from the queue of an upstream.
struct QueueDemand {
  std::string Workspace;
  QueueClass Class = QueueClass::Standard;
  WorkspaceQueueLimits Limits;
  TimePoint Deadline;
};

/// The connections to one upstream and the queue before them. Everything runs
/// on one worker, so there is no lock.
class UpstreamService : public std::enable_shared_from_this<UpstreamService> {
public:
  UpstreamService(boost::asio::io_context &Home, ConnectOptions Options,
                  const Upstream &Config, const QueueDiscipline &Discipline);
  ~UpstreamService();

  /// Starts to open connections.
  void start();

  /// Closes all connections; waiting requests fail with Unavailable.
  void stop();

  void update(const Upstream &Config);

  /// Takes no new work; exchanges and transactions go on until they end.
  void retire();

  /// Fails all waiting requests with Unavailable, so that they can be tried
  /// elsewhere instead of waiting for an upstream that is down.
  void refuseWaiting();

  /// A connection taken for one exchange or one transaction.
  struct Lease {
    ConnectionId Id = 0;
    TimePoint GrantedAt;
  };

  /// Waits in the queue for a connection for one exchange.
  /// \returns QueueFull, QueueDeadline or Unavailable when there is none.
  boost::asio::awaitable<Result<Lease>> acquire(QueueDemand Demand);

  /// As acquire(), for a transaction that ends at \p TransactionDeadline.
  boost::asio::awaitable<Result<Lease>> pin(QueueDemand Demand,
                                            TimePoint TransactionDeadline);

  /// Runs groups of statements on a leased connection.
  boost::asio::awaitable<Result<PostgresConnection::GroupResults>>
  run(Lease Held, std::vector<std::vector<Statement>> Groups,
      TimePoint Deadline, std::size_t MaxResultBytes);

  /// Ends the exchange of acquire(). \p PlainStatement tells whether the
  /// statement left no state behind in the session.
  void release(Lease Held, bool PlainStatement);

  /// Starts a statement on a pinned connection.
  /// \returns TransactionLost if the connection is gone, or TransactionBusy if
  /// another statement runs on it.
  Result<void> beginStatement(Lease Held, TimePoint Deadline);
  void endStatement(Lease Held);
  void unpin(Lease Held);

  Duration expectedWait() const;

private:
  struct Waiter;

  boost::asio::awaitable<Result<Lease>>
  wait(QueueDemand Demand, std::optional<TimePoint> TransactionDeadline);
  boost::asio::awaitable<void> poolLoop();
  boost::asio::awaitable<void> openConnection(ConnectionId Id);
  boost::asio::awaitable<void> checkConnection(ConnectionId Id,
                                               std::string Sql);
  void perform(const PoolAction &Action);
  void pump();
  void grant(Waiter &Next);
  void kick();
  ConnectionUse useOf(ConnectionId Id, bool PlainStatement) const;

  boost::asio::io_context &Home;
  ConnectOptions Options;
  Upstream Config;
  ConnectionPool Pool;
  FairQueue Queue;
  std::mt19937_64 Random;
  boost::asio::steady_timer PoolTimer;
  std::map<ConnectionId, std::unique_ptr<PostgresConnection>> Connections;
  std::map<QueueItemId, Waiter *> Waiters;
  QueueItemId LastItem = 0;
  bool Retired = false;
  bool Stopped = false;
};

} // namespace lavenderdale
