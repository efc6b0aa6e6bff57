#pragma once

#include "pooling/upstreampool.h"
#include "upstreamentry.h"
#include "upstreamlink.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

class UpstreamGate;

/// A connection lent to one statement or transaction. Given back when it ends:
/// to the pool after keep(), else closed.
class ConnectionLease {
public:
  ConnectionLease() = default;
  ConnectionLease(std::shared_ptr<UpstreamGate> Gate, ConnectionId Id,
                  std::shared_ptr<UpstreamLink> Link);
  ConnectionLease(ConnectionLease &&Other) noexcept;
  ConnectionLease &operator=(ConnectionLease &&Other) noexcept;
  ~ConnectionLease();

  explicit operator bool() const { return this->Link != nullptr; }
  UpstreamLink &operator*() const { return *this->Link; }
  UpstreamLink *operator->() const { return this->Link.get(); }
  const std::shared_ptr<UpstreamGate> &gate() const { return this->Gate; }

  /// The connection is in a known state, outside of any transaction.
  void keep() { this->Reusable = true; }
  /// A transaction holds the connection from now on.
  void pin();
  /// Ends the lease now.
  void reset();

private:
  std::shared_ptr<UpstreamGate> Gate;
  ConnectionId Id = 0;
  std::shared_ptr<UpstreamLink> Link;
  bool Reusable = false;
};

/// Lets a waiting caller be told to stop waiting.
class WaitHandle {
public:
  /// Set while a wait is under way.
  std::function<void()> Cancel;
};

/// Connections of this host to one upstream: performs what UpstreamPool
/// decides, and measures answer times.
class UpstreamGate : public std::enable_shared_from_this<UpstreamGate> {
public:
  /// A handshake takes tens of milliseconds; one that takes this long is at
  /// an upstream that is down or overloaded.
  static constexpr std::chrono::milliseconds ConnectLimit{700};
  /// An idle connection is checked for a close before it is used, if it was
  /// idle for this long.
  static constexpr std::chrono::milliseconds CheckAfterIdle{20};
  /// Weight of the newest answer time in the smoothed one.
  static constexpr double SmoothingWeight = 0.2;
  /// The smoothed answer time falls to half towards the expected one over
  /// this time without answers, so that a member that was slow is tried again.
  static constexpr std::chrono::milliseconds ServiceHalfLife{700};
  /// How long what another host told of its load counts; a few statements.
  static constexpr std::chrono::milliseconds LoadLifetime{100};
  /// Answer time assumed before the first answer.
  static constexpr std::chrono::microseconds ExpectedService{10000};

  UpstreamGate(const boost::asio::any_io_executor &Executor,
               const UpstreamProtocol &Protocol, UpstreamEntry Entry);

  /// Replaces the entry; a restarted upstream loses its connections.
  void update(const UpstreamEntry &Entry);
  /// The upstream is gone. Leases end on their own.
  void retire();

  /// Waits for a connection. \p Wait can cancel.
  /// \returns an empty lease if none was to be had until GiveUp.
  boost::asio::awaitable<ConnectionLease> acquire(PoolWaiter Waiter,
                                                  WaitHandle &Wait);
  /// An idle connection, if there is one now.
  ConnectionLease borrow();

  void countService(Duration Service, TimePoint Now);
  std::chrono::microseconds service(TimePoint Now) const;

  /// Whether no connection can be had at present, as far as is known here.
  bool unreachable() const {
    return this->Pool.failing() && this->Pool.connections() == 0;
  }

  /// The holder of the upstream's connections had \p Statements of all hosts
  /// running or waiting.
  void countRemoteLoad(std::size_t Statements, TimePoint Now) {
    this->RemoteLoad = Statements;
    this->RemoteLoadAt = Now;
  }
  /// Statements that run or wait at the upstream, as far as is known.
  std::size_t load(TimePoint Now) const;

  void sawPosition(const Position &At, TimePoint Now);
  void countBehind(TimePoint Now) { this->BehindAt = Now; }

  const UpstreamEntry &entry() const { return this->Entry; }
  UpstreamPool &pool() { return this->Pool; }
  const UpstreamPool &pool() const { return this->Pool; }
  const std::optional<Position> &lastPosition() const { return this->LastAt; }
  TimePoint lastPositionAt() const { return this->LastAtTime; }
  TimePoint behindAt() const { return this->BehindAt; }

  /// Runs the pool's decisions now.
  void pump();

private:
  friend class ConnectionLease;
  friend class UseCount;
  struct Waiting;

  void giveBack(ConnectionId Id, bool Reusable);
  void perform(const PoolAction &Action);
  bool dropIfClosed(ConnectionId Id);
  boost::asio::awaitable<void> open(std::string Workspace);
  void armTimer();

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  UpstreamEntry Entry;
  UpstreamPool Pool;
  std::map<ConnectionId, std::shared_ptr<UpstreamLink>> Links;
  std::map<ConnectionId, TimePoint> IdleSince;
  std::map<WaiterId, Waiting *> Waiters;
  ConnectionId NextConnection = 1;
  WaiterId NextWaiter = 1;
  boost::asio::steady_timer Timer;
  std::optional<TimePoint> TimerAt;
  std::chrono::microseconds Service{ExpectedService};
  TimePoint ServiceAt{};
  std::optional<Position> LastAt;
  TimePoint LastAtTime{};
  TimePoint BehindAt{};
  std::size_t InUse = 0; ///< Statements of this host's callers.
  std::size_t RemoteLoad = 0;
  TimePoint RemoteLoadAt{};
  bool Retired = false;
};

/// Counts a statement of this host's callers at an upstream while it exists.
class UseCount {
public:
  explicit UseCount(UpstreamGate &Gate) : Gate(Gate) { ++Gate.InUse; }
  ~UseCount() { --this->Gate.InUse; }
  UseCount(const UseCount &) = delete;
  UseCount &operator=(const UseCount &) = delete;

private:
  UpstreamGate &Gate;
};

} // namespace lavenderdale
