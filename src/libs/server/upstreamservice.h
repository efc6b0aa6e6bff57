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

/// Connections of each database that the pools leave free: for three hosts that
/// poll it, the second holder of a primary, and one short-lived control
/// connection.
inline constexpr std::uint32_t ReservedConnections = 5;

/// Number of hosts that share the connections of an upstream.
inline constexpr std::uint32_t HoldersPerUpstream = 2;

/// The limits of the connection pool at each holder of \p Config.
PoolLimits poolLimitsPerHolder(const Upstream &Config);

/// Parameters of a request for the queue of an upstream.
struct QueueDemand {
  std::string Workspace;
  QueueClass Class = QueueClass::Standard;
  WorkspaceQueueLimits Limits;
  TimePoint Deadline;
};

/// The connections to one upstream and the queue of requests for them. All
/// members run on one worker, so there is no lock.
class UpstreamService : public std::enable_shared_from_this<UpstreamService> {
public:
  UpstreamService(boost::asio::io_context &IoContext, ConnectOptions Options,
                  const Upstream &Config, const QueueDiscipline &Discipline);
  ~UpstreamService();

  /// Starts the loop that opens and checks connections.
  void start();

  /// Closes all connections; waiting requests fail with Unavailable.
  void stop();

  /// Applies a changed configuration of the upstream.
  void update(const Upstream &Config);

  /// Refuses new requests; running exchanges and transactions continue to their
  /// end.
  void retire();

  /// Fails all waiting requests with Unavailable, so that they can be retried
  /// at another upstream instead of waiting for one that is down.
  void failWaitingRequests();

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
  run(Lease ConnectionLease, std::vector<std::vector<Statement>> Groups,
      TimePoint Deadline, std::size_t MaxResultBytes);

  /// Ends the exchange of acquire().
  /// \param NoSessionState whether the statement left no state in the database
  /// session, so that the connection needs no reset.
  void release(Lease ConnectionLease, bool NoSessionState);

  /// Starts a statement on a pinned connection.
  /// \returns TransactionLost if the connection was closed, or TransactionBusy
  /// if another statement runs on it.
  Result<void> beginStatement(Lease ConnectionLease, TimePoint Deadline);
  /// Ends the statement of beginStatement().
  void endStatement(Lease ConnectionLease);
  /// Ends the transaction of pin() and returns its connection to the pool.
  void unpin(Lease ConnectionLease);

  /// Expected wait of a request of class Standard in the queue.
  Duration expectedWait() const;

private:
  struct Waiter;

  boost::asio::awaitable<Result<Lease>>
  wait(QueueDemand Demand, std::optional<TimePoint> TransactionDeadline);
  boost::asio::awaitable<void> poolLoop();
  boost::asio::awaitable<void> openConnection(ConnectionId Id);
  boost::asio::awaitable<void> checkConnection(ConnectionId Id,
                                               std::string Sql);
  void performAction(const PoolAction &Action);
  void grantWaiting();
  void grant(Waiter &Next);
  void wakePoolLoop();
  ConnectionUse connectionUse(ConnectionId Id, bool NoSessionState) const;

  boost::asio::io_context &IoContext;
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
