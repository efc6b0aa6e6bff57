#pragma once

#include "base/timepoint.h"

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
  std::string Workspace; ///< A connection serves one workspace only.
  unsigned Priority = 0; ///< 0 is the most urgent.
  TimePoint Target{};    ///< Served by then it meets its latency objective.
  TimePoint GiveUp{};    ///< Not served by then it is refused.
};

/// What the owner of the pool has to do next.
struct PoolAction {
  enum class Kind {
    Assign, ///< Give the connection to the waiter.
    Open,   ///< Open a connection for the workspace.
    Close,  ///< Close the idle connection.
    Refuse, ///< The waiter cannot be served in time; it has not run.
  };
  Kind Type = Kind::Assign;
  WaiterId Waiter = 0;
  ConnectionId Connection = 0;
  std::string Workspace;
};

/// Decides which connections one host keeps to one upstream, and who uses
/// them. It opens no socket: actions go out, events come in.
///
/// Upstreams count connections over all hosts, and a connection belongs to
/// one workspace. Load pattern: more workspaces are active than connections
/// are allowed, so that connections have to change hands without a handshake
/// for every statement.
class UpstreamPool {
public:
  /// An upstream that refused a connection for its limit is not asked again
  /// for this long, about the time of a statement; doubled at each further
  /// refusal up to the maximum.
  static constexpr std::chrono::milliseconds LimitPause{15};
  static constexpr std::chrono::milliseconds LastLimitPause{120};
  /// For this long after such a refusal, no connection beyond the guaranteed
  /// share is tried, so that the hosts that lack theirs get it.
  static constexpr std::chrono::milliseconds LimitMemory{600};
  /// Pause after a failed connect, doubled up to the maximum.
  static constexpr std::chrono::milliseconds FirstRetryPause{50};
  static constexpr std::chrono::milliseconds LastRetryPause{800};
  /// A waiter leaves an idle connection of another workspace alone for this
  /// long while a statement of its own workspace is about to end.
  static constexpr std::chrono::milliseconds EvictAfter{8};
  /// Connections above the guaranteed share are closed after this idle time,
  /// so that other hosts get them.
  static constexpr std::chrono::milliseconds SurplusIdle{400};
  /// Handshakes under way at once; each holds a slot of the upstream.
  static constexpr std::size_t MaxOpening = 2;

  /// \param Guaranteed connections that are kept while idle; may be 0.
  /// \param Most connections that may be tried while others leave room.
  void setCapacity(std::size_t Guaranteed, std::size_t Most);

  void enqueue(PoolWaiter Waiter, TimePoint Now);
  /// \returns false if the waiter is not queued (any more).
  bool cancel(WaiterId Waiter);

  /// The actions due at \p Now. Their effect is already counted.
  std::vector<PoolAction> decide(TimePoint Now);

  /// Outcome of an Open. The new connection is idle.
  void opened(ConnectionId Connection, const std::string &Workspace,
              TimePoint Now);
  /// \param AtLimit the upstream refused for its connection limit.
  void openFailed(const std::string &Workspace, bool AtLimit, TimePoint Now);

  /// An assigned connection is free again.
  void released(ConnectionId Connection, TimePoint Now);
  /// An assigned or idle connection is gone.
  void closed(ConnectionId Connection);

  /// Marks an assigned connection as held by a transaction, which can last.
  void pinned(ConnectionId Connection);

  /// Takes an idle connection out for a short command of the proxy itself.
  std::optional<ConnectionId> borrowIdle();

  bool hasIdle(const std::string &Workspace) const;
  std::size_t connections() const { return this->Connections.size(); }
  std::size_t waiting() const { return this->Waiting.size(); }
  std::size_t opening() const { return this->Opening; }
  std::size_t assigned() const;
  std::size_t capacity() const { return this->Most; }
  /// Whether connecting failed at the last try.
  bool failing() const { return this->RetryPause.count() != 0; }

  /// When decide() may next have something to do without another event.
  std::optional<TimePoint> nextDecision(TimePoint Now) const;

private:
  struct Connection {
    std::string Workspace;
    bool Assigned = false;
    bool Pinned = false;
    TimePoint IdleSince{};
  };
  struct Queued {
    PoolWaiter Waiter;
    TimePoint Since{};
  };

  void refuseExpired(TimePoint Now, std::vector<PoolAction> &Actions);
  void assignIdle(TimePoint Now, std::vector<PoolAction> &Actions);
  void openForWaiters(TimePoint Now, std::vector<PoolAction> &Actions);
  void closeSurplus(TimePoint Now, std::vector<PoolAction> &Actions);
  void sortQueue(TimePoint Now);
  std::optional<ConnectionId> idleOf(const std::string &Workspace) const;
  std::optional<ConnectionId> leastUsefulIdle() const;
  bool endsSoon(const std::string &Workspace) const;
  std::size_t openingFor(const std::string &Workspace) const;
  void endOpening(const std::string &Workspace);

  std::map<ConnectionId, Connection> Connections;
  std::deque<Queued> Waiting;
  std::map<std::string, std::size_t> OpeningFor;
  std::size_t Opening = 0;
  std::size_t Guaranteed = 1;
  std::size_t Most = 1;
  TimePoint NoOpenBefore{};
  TimePoint NoSurplusBefore{};
  Duration RetryPause{};
  Duration NextLimitPause{LimitPause};
};

} // namespace lavenderdale
