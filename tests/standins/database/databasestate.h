#pragma once

#include "databaseoptions.h"
#include "logrecord.h"
#include "waitqueue.h"

#include <sqlite3.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lavenderdale::standin {

/// What other sessions and the administrator see of one session.
struct SessionInfo {
  int Pid = 0;
  int Fd = -1;
  std::string ApplicationName;
  std::string User;
  std::string Database;
  std::string Status = "starting"; ///< As in pg_stat_activity.state.
  bool IsClient = false;           ///< Counts towards the connection limit.
  bool IsReplication = false;
  sqlite3 *Handle = nullptr; ///< To interrupt a statement.
  std::atomic<bool> Terminated{false};
};

/// One statement as it was run, for GET /log.
struct StatementEntry {
  std::uint64_t Number = 0;
  int Pid = 0;
  std::string ApplicationName;
  std::uint64_t Transaction = 0; ///< Differs for each transaction.
  std::string Sql;
  std::vector<std::optional<std::string>> Params;
  std::string Answer; ///< Command tag or SQLSTATE.
};

/// The cuts of POST /cut.
struct Cuts {
  bool New = false;         ///< Connections are refused.
  bool All = false;         ///< Also, all existing ones are closed.
  bool Replication = false; ///< No replication, as sender or receiver.
};

/// The state that the sessions, the replication threads and the administrator
/// of one database share. All members are thread-safe.
class DatabaseState {
public:
  using Clock = std::chrono::steady_clock;

  DatabaseState(const DatabaseOptions &Options, std::string File);

  const std::string File; ///< The SQLite file.
  const std::string Name;

  /// Held by the transaction that writes, by replay and by rejoin.
  WaitQueue Writer{1};
  /// Held by statements on tables, see DatabaseSettings::Slots.
  WaitQueue Slots;

  DatabaseSettings settings() const;
  void setSettings(const DatabaseSettings &Changed);

  // Role and positions.
  bool isInRecovery() const;
  TimelineHistory history() const;
  Lsn written() const;  ///< End of the log.
  Lsn replayed() const; ///< What statements see.
  /// The receive position; nothing if the database never was a replica.
  std::optional<Lsn> received() const;

  /// The value of primary_conninfo that is in force.
  std::string primaryConninfo();
  void setPendingConninfo(std::string Value);
  void reload();

  /// Ends recovery and raises the timeline. Replays first what was received.
  /// \returns false if the database is a primary or stops.
  bool promote();

  /// Becomes a replica with the given state.
  void becomeReplica(std::string Conninfo, TimelineHistory NewHistory,
                     Lsn Position);

  /// Commits a transaction of a primary and appends it to the log.
  /// \param SqliteCommit commits and returns whether it did.
  /// \returns false if there was no commit.
  bool commit(std::vector<LoggedStatement> Statements,
              const std::function<bool()> &SqliteCommit);

  // Log.
  Lsn logStart() const;

  /// Waits for records after a position.
  /// \returns at most \p MaxCount records, or none after \p Timeout.
  std::vector<std::shared_ptr<const LogRecord>>
  readLog(Lsn After, std::size_t MaxCount, std::chrono::milliseconds Timeout);

  // Receiver and replay.
  /// Whether the receiver may run now; \p Conninfo is its target.
  bool receiverTarget(std::string &Conninfo);
  void setReceiver(bool Streaming, const std::string &Problem);
  bool isReceiving() const;
  std::string receiverProblem() const;
  /// Adopts the primary's timelines up to the receive position.
  void setUpstreamHistory(TimelineHistory Upstream);
  /// Appends a record at a replica; refused unless the receiver is streaming.
  bool receive(LogRecord Record);
  /// Records that may be replayed now; waits up to \p Timeout for one.
  std::vector<std::shared_ptr<const LogRecord>>
  takeDueRecords(std::chrono::milliseconds Timeout);
  void setReplayed(Lsn Position);

  // Sessions.
  std::shared_ptr<SessionInfo> addSession(int Fd);
  void removeSession(const SessionInfo &Removed);
  /// Registers a started session.
  /// \returns false if the connection limit is reached.
  bool admitSession(SessionInfo &Started, const SessionInfo &Values);
  void setSessionStatus(SessionInfo &Session, std::string Status);
  void setSessionHandle(SessionInfo &Session, sqlite3 *Handle);
  void setApplicationName(SessionInfo &Session, std::string Value);
  bool terminateSession(int Pid);
  void terminateSessions(const std::function<bool(const SessionInfo &)> &Which);
  void forEachSession(const std::function<void(const SessionInfo &)> &Visit);
  std::size_t clientCount();

  // Faults.
  void freeze(std::chrono::milliseconds Duration);
  void waitWhileFrozen();
  Cuts cuts() const;
  void setCuts(Cuts Changed);
  void stop();
  const std::atomic<bool> &stopping() const { return this->Stopping; }

  /// Sleeps, or returns early when the session is terminated.
  void sleep(Clock::duration Duration, const std::atomic<bool> &Terminated);

  // Statement log.
  std::uint64_t nextTransaction() { return ++this->Transactions; }
  void logStatement(StatementEntry Entry);
  std::vector<StatementEntry> statements(std::size_t Limit) const;
  std::uint64_t statementCount() const;

  /// Held while the SQLite commit and the log have to agree.
  std::mutex CommitMutex;

private:
  void applyReload();
  void appendRecord(LogRecord Record);
  void adoptHistory();
  std::size_t firstAfter(Lsn Position) const;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  DatabaseSettings Settings;
  bool InRecovery;
  bool Promoting = false;
  TimelineHistory History{TimelineStart{}};
  TimelineHistory Upstream;
  Lsn Written = InitialLsn;
  Lsn Replayed = InitialLsn;
  Lsn LogStart = InitialLsn;
  std::optional<Lsn> ReceivedAtPromotion;
  std::string Conninfo;
  std::string PendingConninfo;
  std::optional<Clock::time_point> ReloadAt;
  std::deque<std::shared_ptr<const LogRecord>> Log;
  std::size_t LogSize = 0; // Bytes.
  bool Receiving = false;
  std::string ReceiverProblem;
  std::map<int, std::shared_ptr<SessionInfo>> Sessions;
  int NextPid = 1000;
  Clock::time_point FrozenUntil;
  Cuts ActiveCuts;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Transactions{0};
  mutable std::mutex StatementMutex;
  std::deque<StatementEntry> Statements;
  std::uint64_t StatementCount = 0;
};

} // namespace lavenderdale::standin
