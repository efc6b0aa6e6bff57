#pragma once

#include "base/timepoint.h"
#include "scheduling/workqueue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

using ConnectionId = std::uint64_t;
using WaiterId = std::uint64_t;

/// A statement or transaction that needs a connection to an upstream.
struct PoolWaiter {
  WaiterId Id = 0;
  std::string Workspace; ///< A connection serves only one workspace.
  unsigned Priority = 0; ///< 0 is the most urgent.
  TimePoint Target{};    ///< Latest time that meets the latency objective.
  TimePoint GiveUpAt{};  ///< When it is refused if not served yet.
  /// Whether it takes an execution slot of the upstream. Commands of the proxy
  /// itself, such as the start of a transaction, take none.
  bool TakesSlot = true;
  double Rate = 0; ///< Rate limit of the workspace, a second; 0 if unknown.
};

/// An action that the owner of the pool must perform.
struct UpstreamPoolAction {
  enum class Kind {
    Assign, ///< Hand the connection to the waiter.
    Open,   ///< Open a connection for the workspace.
    Close,  ///< Close the idle connection.
    Refuse, ///< Refuse the waiter; nothing has run for it.
  };
  Kind Type = Kind::Assign;
  WaiterId Waiter = 0;
  ConnectionId Connection = 0;
  std::string Workspace;
  /// Refuse only: time until there will be room, if the waiter was refused
  /// because it would have had to wait too long; else 0.
  Duration RetryAfter{};
};

/// Decides which connections one host keeps to one upstream and which waiters
/// use them. Performs no I/O: the owner reports events and performs the actions
/// that decide() returns.
///
/// An upstream limits the connections of all hosts together, and a connection
/// belongs to one workspace. Load pattern: more workspaces are active than
/// connections are permitted, so connections must be replaced, but without a
/// handshake for every statement.
///
/// With a limit of concurrency, statements and handshakes beyond it wait here,
/// in the order of WorkQueue, and not in the FIFO queue of the upstream. A
/// statement that arrives when the expected wait ends after its GiveUpAt is
/// refused at once. A connection
/// that a transaction holds counts only while one of its statements runs; these
/// statements go before new work, since others may wait for their locks.
class UpstreamPool {
public:
  /// Back-off after the upstream refused a connection because of its connection
  /// limit. Starts at about the duration of a statement and doubles with each
  /// further refusal up to the maximum.
  static constexpr std::chrono::milliseconds InitialLimitBackoff{15};
  static constexpr std::chrono::milliseconds MaxLimitBackoff{120};
  /// For this long after such a refusal, the pool keeps to the number of
  /// connections that it had then: a waiter gets a connection in the place of
  /// an idle one. Load pattern: a host was restarted after a loss of power, and
  /// the upstream still counts the connections of its previous process.
  static constexpr std::chrono::milliseconds LimitHoldTime{600};
  /// Back-off after another failure to connect; doubles up to the maximum.
  static constexpr std::chrono::milliseconds InitialRetryBackoff{50};
  static constexpr std::chrono::milliseconds MaxRetryBackoff{800};
  /// While a statement of its own workspace is about to end, a waiter waits
  /// this long before it opens a connection or evicts one of another workspace.
  static constexpr std::chrono::milliseconds EvictionDelay{8};
  /// Connections beyond the guaranteed share are closed after this idle time,
  /// so that other hosts can use them.
  static constexpr std::chrono::milliseconds SurplusIdleTimeout{400};
  /// Minimum time until there will be room that is told when the queue is full.
  static constexpr std::chrono::milliseconds FullQueuePause{20};
  /// Maximum number of concurrent handshakes; each occupies a slot of the
  /// upstream.
  static constexpr std::size_t MaxOpening = 2;

  /// Sets the number of connections.
  /// \param Guaranteed connections that may stay open while idle; may be 0.
  /// \param Max maximum while other hosts leave connections free.
  void setCapacity(std::size_t Guaranteed, std::size_t Max);
  /// Sets how many statements and handshakes may be in progress at the upstream
  /// at the same time; nothing for no limit.
  /// \param ServiceTime response time of recent statements; nothing if too few
  ///        were answered lately. Nothing is then refused on arrival.
  void setConcurrency(std::optional<std::size_t> Limit,
                      std::optional<Duration> ServiceTime = std::nullopt) {
    this->Concurrency = Limit;
    this->ServiceTime = ServiceTime;
  }

  /// Returns the time until a statement like \p Waiter that arrives at \p Now
  /// can start; nothing without a limit or a service time.
  std::optional<Duration> expectedWait(const PoolWaiter &Waiter,
                                       TimePoint Now) const;

  /// Adds a waiter; decide() assigns it a connection or refuses it.
  void enqueue(PoolWaiter Waiter, TimePoint Now);
  /// Adds a waiter for a slot to run a statement on \p Held, the connection
  /// that its transaction holds. decide() assigns it that connection again, at
  /// the latest at \p Until: the statement is then queued by the upstream.
  void enqueueHeld(WaiterId Waiter, ConnectionId Held, TimePoint Until);
  /// Removes a waiter.
  /// \returns false if the waiter is not or no longer queued.
  bool cancel(WaiterId Waiter);

  /// Returns the actions to perform at \p Now. The state of the pool already
  /// includes their effect.
  std::vector<UpstreamPoolAction> decide(TimePoint Now);

  /// Reports that an Open succeeded. The new connection is idle.
  void opened(ConnectionId Connection, const std::string &Workspace,
              TimePoint Now);
  /// Reports that an Open failed. If it was not because of the connection limit
  /// and no connection is left, the waiters are refused: an upstream that
  /// cannot be reached answers none of them, and reads can go to another one.
  /// \param AtLimit whether the upstream refused because of its connection
  /// limit.
  void openFailed(const std::string &Workspace, bool AtLimit, TimePoint Now);

  /// Reports that an assigned connection is idle again.
  void released(ConnectionId Connection, TimePoint Now);
  /// Reports that an assigned or idle connection was closed.
  void closed(ConnectionId Connection);

  /// Marks an assigned connection as held by a transaction, which may take
  /// long.
  void pinned(ConnectionId Connection);

  /// Reports that a statement runs on an assigned connection without having
  /// waited for a slot.
  void started(ConnectionId Connection, TimePoint Now);
  /// Reports that the statement on an assigned connection ended. The connection
  /// stays assigned.
  /// \returns the time since the statement was assigned or started; nothing if
  ///          none was running.
  std::optional<Duration> ended(ConnectionId Connection, TimePoint Now);

  /// Assigns an idle connection for a short command of the proxy itself. Return
  /// it with released() or closed().
  /// \returns nothing if no connection is idle.
  std::optional<ConnectionId> borrowIdle();

  /// Returns whether a connection of \p Workspace is idle.
  bool hasIdle(const std::string &Workspace) const;
  /// Returns the number of open connections.
  std::size_t connections() const { return this->Connections.size(); }
  /// Returns the number of queued waiters.
  std::size_t waiting() const {
    return this->Waiting.size() + this->Queue.size() + this->Commands.size() +
           this->Held.size();
  }
  /// Returns the number of connections being opened.
  std::size_t opening() const { return this->Opening; }
  /// Returns the number of connections in use.
  std::size_t assigned() const;
  /// Returns the number of statements that run at the upstream.
  std::size_t running() const { return this->Running; }
  /// Returns whether a statement runs on \p Connection.
  bool isRunning(ConnectionId Connection) const;
  /// Returns the maximum number of connections.
  std::size_t capacity() const { return this->Max; }
  /// Returns whether the last attempt to connect failed for another reason than
  /// the connection limit.
  bool failing() const { return this->RetryBackoff.count() != 0; }

  /// Returns when decide() must be called next if no event occurs before;
  /// nothing if it need not be called.
  std::optional<TimePoint> nextDecision(TimePoint Now) const;

private:
  struct Connection {
    std::string Workspace;
    bool Assigned = false;
    bool Pinned = false;
    TimePoint IdleSince{};
    std::optional<TimePoint> RunningSince; ///< Set while a statement runs.
  };
  struct Queued {
    PoolWaiter Waiter;
    TimePoint QueuedAt{};
  };
  struct HeldWaiter {
    WaiterId Waiter = 0;
    ConnectionId Connection = 0;
    TimePoint Until{};
  };

  void refuse(WaiterId Waiter, Duration RetryAfter);
  void enqueueWithinLimit(const PoolWaiter &Waiter, TimePoint Now);
  void refuseExpired(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  void assignIdle(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  void openForWaiters(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  bool canOpen(TimePoint Now) const;
  void dispatchWithinLimit(TimePoint Now,
                           std::vector<UpstreamPoolAction> &Actions);
  void resumeHeld(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  void dispatchCommands(TimePoint Now,
                        std::vector<UpstreamPoolAction> &Actions);
  bool assignIdleTo(const PoolWaiter &Waiter, TimePoint Now,
                    std::vector<UpstreamPoolAction> &Actions);
  bool makeRoomToOpen(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  void startOpening(const std::string &Workspace,
                    std::vector<UpstreamPoolAction> &Actions);
  std::size_t freeSlots() const;
  bool serveWithinLimit(WorkQueue::Item &Next, TimePoint Now,
                        std::vector<UpstreamPoolAction> &Actions);
  void markRunning(Connection &Each, TimePoint Now);
  void markEnded(Connection &Each);
  std::size_t allowedConnections(TimePoint Now) const;
  void closeSurplus(TimePoint Now, std::vector<UpstreamPoolAction> &Actions);
  void sortQueue(TimePoint Now);
  std::optional<ConnectionId> idleOf(const std::string &Workspace) const;
  std::optional<ConnectionId> longestIdle(bool SkipWanted) const;
  bool hasRunningStatement(const std::string &Workspace) const;
  std::size_t openingFor(const std::string &Workspace) const;
  void finishOpening(const std::string &Workspace);

  std::map<ConnectionId, Connection> Connections;
  std::deque<Queued> Waiting;               ///< Without a limit of concurrency.
  WorkQueue Queue;                          ///< With one.
  std::vector<UpstreamPoolAction> Refusals; ///< To be returned by decide().
  /// Waiters that take no slot, kept apart while there is a limit.
  std::deque<Queued> Commands;
  std::deque<HeldWaiter> Held; ///< In the order of arrival.
  std::optional<std::size_t> Concurrency;
  std::optional<Duration> ServiceTime;
  std::size_t Running = 0; ///< Connections on which a statement runs.
  std::map<std::string, std::size_t> OpeningFor;
  std::size_t Opening = 0;
  bool RefuseAll = false; ///< The upstream was found to be unreachable.
  std::size_t Guaranteed = 1;
  std::size_t Max = 1;
  TimePoint OpenNotBefore{}; ///< After a failure to connect.
  TimePoint LimitedUntil{};  ///< End of the back-off after a limit refusal.
  TimePoint SurplusNotBefore{};
  /// Connections at the last limit refusal, and one more than were opened
  /// since.
  std::size_t Permitted = 0;
  Duration RetryBackoff{};
  Duration NextLimitBackoff{InitialLimitBackoff};
};

} // namespace lavenderdale
