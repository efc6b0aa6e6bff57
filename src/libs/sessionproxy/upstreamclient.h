#pragma once

#include "limits/coldrate.h"
#include "placement/evacuations.h"
#include "pooling/concurrencylimit.h"
#include "pooling/upstreampool.h"
#include "upstreamconnection.h"
#include "upstreamentry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lavenderdale {

class UpstreamClient;

/// Exclusive use of a connection for one statement or transaction. When the
/// lease ends, the connection returns to the pool if markReusable() was called
/// and is closed otherwise.
class ConnectionLease {
public:
  ConnectionLease() = default;
  ConnectionLease(std::shared_ptr<UpstreamClient> Client, ConnectionId Id,
                  std::shared_ptr<UpstreamConnection> Connection);
  ConnectionLease(ConnectionLease &&Other) noexcept;
  ConnectionLease &operator=(ConnectionLease &&Other) noexcept;
  ~ConnectionLease();

  explicit operator bool() const { return this->Connection != nullptr; }
  UpstreamConnection &operator*() const { return *this->Connection; }
  UpstreamConnection *operator->() const { return this->Connection.get(); }
  const std::shared_ptr<UpstreamClient> &client() const { return this->Client; }

  /// Lets the connection return to the pool when the lease ends. Only for a
  /// connection in a known state, outside of any transaction.
  void markReusable() { this->Reusable = true; }
  /// Tells the pool that a transaction holds the connection from now on.
  void pin();
  /// Waits for a slot of the upstream, unless the lease was acquired with one.
  /// Ends after MaxHeldWait at the latest.
  boost::asio::awaitable<void> startStatement();
  /// Counts a command that takes a slot without waiting for one.
  void occupySlot();
  /// Reports that the statement or command has ended.
  /// \param Ended what it tells about the upstream; nothing if it did not run.
  void endStatement(std::optional<ConcurrencyLimit::Outcome> Ended);
  /// Ends the lease early.
  void reset();

private:
  std::shared_ptr<UpstreamClient> Client;
  ConnectionId Id = 0;
  std::shared_ptr<UpstreamConnection> Connection;
  bool Reusable = false;
};

/// Lets another party cancel a wait for a connection or a primary.
class WaitHandle {
public:
  /// Cancels the wait; set only while one is in progress.
  std::function<void()> Cancel;
  /// Set by a wait that was refused because it would have been too long: the
  /// time until there will be room. Otherwise 0.
  std::chrono::milliseconds RetryAfter{};
};

/// Connections of this host to one upstream. Carries out the decisions of
/// UpstreamPool, and tracks response times, load and log positions.
class UpstreamClient : public std::enable_shared_from_this<UpstreamClient> {
public:
  /// Timeout of connect and handshake, which normally take tens of
  /// milliseconds; an upstream that needs longer is down or overloaded.
  static constexpr std::chrono::milliseconds ConnectTimeout{700};
  /// Idle time after which a connection is checked for a close by the peer
  /// before it is used.
  static constexpr std::chrono::milliseconds IdleCheckThreshold{20};
  /// Weight of the newest response time in the smoothed response time.
  static constexpr double SmoothingWeight = 0.2;
  /// Half-life with which the smoothed response time returns to its initial
  /// value while there are no replies, so that a member that was slow is tried
  /// again.
  static constexpr std::chrono::milliseconds ResponseTimeHalfLife{700};
  /// How long a load that another host reported is used; the duration of a few
  /// statements.
  static constexpr std::chrono::milliseconds LoadLifetime{100};
  /// Maximum wait of a statement in a transaction for a slot. Statements of
  /// transactions go first, so a longer wait means that the upstream hardly
  /// answers; the statement is then queued there.
  static constexpr std::chrono::milliseconds MaxHeldWait{100};
  /// Bounds of the pause after a busy refusal. The lower one is the pause at
  /// an upstream that declares no slots.
  static constexpr std::chrono::milliseconds MinBusyPause{6};
  static constexpr std::chrono::milliseconds MaxBusyPause{200};
  /// Refusals on arrival are logged for each upstream at most this often.
  static constexpr std::chrono::seconds RefusalLogInterval{1};
  /// Response time assumed before the first reply.
  static constexpr std::chrono::microseconds InitialResponseTime{10000};

  UpstreamClient(const boost::asio::any_io_executor &Executor,
                 const UpstreamProtocol &Protocol, UpstreamEntry Entry);

  /// Replaces the entry, and closes all connections if the upstream has
  /// restarted or moved to another address.
  void update(const UpstreamEntry &Entry);
  /// Closes the idle connections of a removed upstream. Leased connections are
  /// closed when their leases end.
  void retire();

  /// Applies the order to evacuate the upstream's failure domain, or its
  /// withdrawal. While there is one, no connection is opened or leased, waiters
  /// are refused and idle connections are closed. Leased ones are closed when
  /// the deadlines of the order pass.
  /// \param Given the order, or nullptr.
  void applyEvacuation(const Evacuations::Order *Given);
  /// Whether nothing new may be sent to the upstream.
  bool isEvacuated() const { return this->Evacuation.has_value(); }
  /// Whether a leased connection may still be used at \p Now.
  bool maySend(TimePoint Now) const {
    return !this->Evacuation || Now < this->Evacuation->TransactionsEndAt;
  }

  /// \param Check whether a write may be sent at a time; called for each.
  void setWriteCheck(std::function<bool(TimePoint)> Check) {
    this->WriteCheck = std::move(Check);
  }
  /// Whether a leased connection may be used for a write at \p Now.
  bool mayWrite(TimePoint Now) const {
    return !this->WriteCheck || this->WriteCheck(Now);
  }

  /// \param Limit requests in ColdRate::Window that this host may send to the
  ///        upstream while it is cold; nothing for no limit.
  void setColdLimit(std::optional<std::size_t> Limit) {
    this->ColdLimit = Limit;
  }
  /// Whether the number of requests is limited at \p Now.
  bool isCold(TimePoint Now) const {
    return this->ColdLimit && Now < this->ColdUntil;
  }
  /// Whether another request may be sent at \p Now over this host.
  bool admitsCold(TimePoint Now) {
    return !this->isCold(Now) || this->Cold.hasRoom(*this->ColdLimit, Now);
  }
  /// Counts a request that is sent over this host at \p Now.
  void countCold(TimePoint Now) {
    if (this->isCold(Now))
      this->Cold.count(Now);
  }

  /// Waits for a connection until the waiter gives up or \p Wait cancels.
  /// \returns an empty lease if no connection was assigned.
  boost::asio::awaitable<ConnectionLease> acquire(PoolWaiter Waiter,
                                                  WaitHandle &Wait);
  /// Leases an idle connection without waiting.
  /// \returns an empty lease if there is none.
  ConnectionLease tryAcquireIdle();

  /// Adds the response time of a statement to the smoothed response time.
  void recordResponseTime(Duration ResponseTime, TimePoint Now);
  /// Smoothed response time of the upstream at \p Now.
  std::chrono::microseconds responseTime(TimePoint Now) const;

  /// Whether this host has no connection and its attempts to open one fail.
  bool unreachable() const {
    return this->Pool.failing() && this->Pool.connections() == 0;
  }

  /// Records that \p Statements of all hosts were running or waiting at the
  /// host that holds the upstream's connections.
  void recordRemoteLoad(std::size_t Statements, TimePoint Now) {
    this->RemoteLoad = Statements;
    this->RemoteLoadAt = Now;
  }
  /// Statements known to run or wait at the upstream, those of other hosts
  /// included where their number was reported recently.
  std::size_t load(TimePoint Now) const;

  /// Records what the host that holds the upstream's connections told with an
  /// answer.
  /// \param ExpectedWait of a statement like the answered one; nothing if not
  ///        told.
  void recordRemoteEstimate(const ConcurrencyLimit::Estimate &Told,
                            std::optional<Duration> ExpectedWait,
                            TimePoint Now);
  /// Time until a statement like \p Waiter could start; nothing if unknown.
  /// \param Remote whether another host holds the upstream's connections.
  std::optional<Duration> expectedWait(const PoolWaiter &Waiter, bool Remote,
                                       TimePoint Now);
  /// Number of statements that the upstream is known to handle at the same
  /// time; the number of connections if it declares no slots.
  std::size_t concurrency(TimePoint Now) const;
  /// Pause before a statement that the upstream refused as busy is repeated:
  /// one service time, or the expected wait if that is longer.
  std::chrono::milliseconds busyPause(TimePoint Now) const;

  /// Records the log position that a reply reported.
  void recordPosition(const Position &At, TimePoint Now);
  /// Records that a read was refused because the upstream lags behind.
  void recordBehind(TimePoint Now) { this->BehindAt = Now; }

  const UpstreamEntry &entry() const { return this->Entry; }
  UpstreamPool &pool() { return this->Pool; }
  const UpstreamPool &pool() const { return this->Pool; }
  const std::optional<Position> &lastPosition() const {
    return this->LastSeenPosition;
  }
  TimePoint lastPositionAt() const { return this->LastSeenPositionAt; }
  TimePoint behindAt() const { return this->BehindAt; }

  /// The learned limit of concurrency; nullptr if the entry declares no slots.
  const ConcurrencyLimit *concurrencyLimit() const {
    return this->Limit ? &*this->Limit : nullptr;
  }

  /// Returns the number of statements refused on arrival since the last call.
  std::size_t takeRefusedOnArrival() {
    return std::exchange(this->RefusedOnArrival, 0);
  }

  /// Carries out all pending decisions of the pool.
  void runPoolActions();

private:
  friend class ConnectionLease;
  friend class UsageCounter;
  struct PendingWait;

  void applySlots();
  void refreshLimit(TimePoint Now);
  void recordRefusal(const PoolWaiter &Waiter, Duration RetryAfter,
                     TimePoint Now);
  boost::asio::awaitable<void> startStatement(ConnectionId Id);
  void endStatement(ConnectionId Id,
                    std::optional<ConcurrencyLimit::Outcome> Ended);
  void returnConnection(ConnectionId Id, bool Reusable);
  void perform(const UpstreamPoolAction &Action);
  bool dropIfClosed(ConnectionId Id);
  boost::asio::awaitable<void> open(std::string Workspace);
  void armTimer();
  void closeIdle();
  void armEvacuationTimer(TimePoint Now);
  void endEvacuatedWork(TimePoint Now);

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  UpstreamEntry Entry;
  UpstreamPool Pool;
  std::optional<ConcurrencyLimit> Limit; ///< Set if the entry declares slots.
  std::map<ConnectionId, std::shared_ptr<UpstreamConnection>> Connections;
  std::map<ConnectionId, TimePoint> IdleSince;
  std::map<WaiterId, PendingWait *> Waiters;
  ConnectionId NextConnection = 1;
  WaiterId NextWaiter = 1;
  boost::asio::steady_timer Timer;
  std::optional<TimePoint> TimerAt;
  boost::asio::steady_timer EvacuationTimer;
  std::optional<Evacuations::Order> Evacuation;
  std::function<bool(TimePoint)> WriteCheck;
  std::optional<std::size_t> ColdLimit;
  TimePoint ColdUntil{};
  ColdRate Cold;
  std::chrono::microseconds ResponseTime{InitialResponseTime};
  TimePoint ResponseTimeAt{};
  std::optional<Position> LastSeenPosition;
  TimePoint LastSeenPositionAt{};
  TimePoint BehindAt{};
  std::size_t InUse = 0; ///< Statements of this host's callers in progress.
  std::size_t RemoteLoad = 0;
  TimePoint RemoteLoadAt{};
  std::optional<Duration> RemoteWait;
  TimePoint RemoteWaitAt{};
  std::size_t RefusedOnArrival = 0;
  std::size_t UnloggedRefusals = 0;
  TimePoint RefusalsLoggedAt{};
  bool Retired = false;
};

/// Counts one statement of this host's callers as in use at an upstream during
/// the lifetime of the object.
class UsageCounter {
public:
  explicit UsageCounter(UpstreamClient &Client) : Client(Client) {
    ++Client.InUse;
  }
  ~UsageCounter() { --this->Client.InUse; }
  UsageCounter(const UsageCounter &) = delete;
  UsageCounter &operator=(const UsageCounter &) = delete;

private:
  UpstreamClient &Client;
};

} // namespace lavenderdale
