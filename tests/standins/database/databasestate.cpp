#include "databasestate.h"

#include <algorithm>
#include <sys/socket.h>

namespace lavenderdale::standin {
namespace {

constexpr std::size_t MaxLogBytes = std::size_t{64} << 20;
constexpr std::size_t MaxStatements = 20000;

// Records replayed in one SQLite transaction.
constexpr std::size_t MaxReplayBatch = 100;

} // namespace

DatabaseState::DatabaseState(const DatabaseOptions &Options, std::string File)
    : File(std::move(File)), Name(Options.Name), Slots(Options.Settings.Slots),
      Settings(Options.Settings), InRecovery(!Options.PrimaryConninfo.empty()),
      Conninfo(Options.PrimaryConninfo),
      PendingConninfo(Options.PrimaryConninfo) {}

DatabaseSettings DatabaseState::settings() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Settings;
}

void DatabaseState::setSettings(const DatabaseSettings &Values) {
  const std::scoped_lock Lock(this->Mutex);
  this->Settings = Values;
  this->Slots.setLimit(Values.Slots);
  this->Changed.notify_all();
}

bool DatabaseState::isInRecovery() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->InRecovery;
}

TimelineHistory DatabaseState::history() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->History;
}

Lsn DatabaseState::written() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Written;
}

Lsn DatabaseState::replayed() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Replayed;
}

std::optional<Lsn> DatabaseState::received() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->InRecovery ? this->Written : this->ReceivedAtPromotion;
}

std::string DatabaseState::primaryConninfo() {
  const std::scoped_lock Lock(this->Mutex);
  this->applyReload();
  return this->Conninfo;
}

void DatabaseState::setPendingConninfo(std::string Value) {
  const std::scoped_lock Lock(this->Mutex);
  this->applyReload();
  this->PendingConninfo = std::move(Value);
}

void DatabaseState::reload() {
  const std::scoped_lock Lock(this->Mutex);
  this->ReloadAt = Clock::now() + this->Settings.ReloadDelay;
  this->Changed.notify_all();
}

void DatabaseState::applyReload() {
  if (!this->ReloadAt || Clock::now() < *this->ReloadAt)
    return;
  this->ReloadAt.reset();
  this->Conninfo = this->PendingConninfo;
  this->Changed.notify_all();
}

bool DatabaseState::promote() {
  std::unique_lock Lock(this->Mutex);
  if (!this->InRecovery || this->Promoting)
    return false;
  this->Promoting = true;
  this->Changed.notify_all();
  this->Changed.wait(Lock, [this] {
    return this->Stopping ||
           (!this->Receiving && this->Replayed == this->Written);
  });
  this->Promoting = false;
  if (this->Stopping)
    return false;
  // A timeline number that was seen at a primary is never used again.
  std::uint32_t Highest = this->History.back().Timeline;
  if (!this->Upstream.empty())
    Highest = std::max(Highest, this->Upstream.back().Timeline);
  this->History.push_back({Highest + 1, this->Written});
  this->Upstream.clear();
  this->ReceivedAtPromotion = this->Written;
  this->InRecovery = false;
  this->Changed.notify_all();
  return true;
}

void DatabaseState::becomeReplica(std::string NewConninfo,
                                  TimelineHistory NewHistory, Lsn Position) {
  const std::scoped_lock Lock(this->Mutex);
  this->InRecovery = true;
  this->History = std::move(NewHistory);
  this->Upstream.clear();
  this->Log.clear();
  this->LogSize = 0;
  this->LogStart = this->Written = this->Replayed = Position;
  this->ReloadAt.reset();
  this->Conninfo = this->PendingConninfo = std::move(NewConninfo);
  this->Changed.notify_all();
}

bool DatabaseState::commit(std::vector<LoggedStatement> Logged,
                           const std::function<bool()> &SqliteCommit) {
  this->waitWhileFrozen();
  const std::scoped_lock CommitLock(this->CommitMutex);
  LogRecord Record;
  {
    // The position grows before the transaction is visible, as with
    // PostgreSQL: whoever sees the data sees its position too.
    const std::scoped_lock Lock(this->Mutex);
    if (this->InRecovery)
      return false;
    this->Written += logBytes(Logged);
    Record.End = this->Written;
  }
  const bool Committed = SqliteCommit();
  if (Committed)
    Record.Statements = std::move(Logged);
  const std::scoped_lock Lock(this->Mutex);
  this->Replayed = Record.End;
  this->appendRecord(std::move(Record));
  return Committed;
}

void DatabaseState::appendRecord(LogRecord Record) {
  this->LogSize += logBytes(Record.Statements);
  this->Log.push_back(std::make_shared<const LogRecord>(std::move(Record)));
  while (this->LogSize > MaxLogBytes &&
         this->Log.front()->End <= this->Replayed) {
    this->LogSize -= logBytes(this->Log.front()->Statements);
    this->LogStart = this->Log.front()->End;
    this->Log.pop_front();
  }
  this->Changed.notify_all();
}

Lsn DatabaseState::logStart() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->LogStart;
}

std::size_t DatabaseState::firstAfter(Lsn Position) const {
  const auto First = std::upper_bound(
      this->Log.begin(), this->Log.end(), Position,
      [](Lsn Value, const auto &Record) { return Value < Record->End; });
  return static_cast<std::size_t>(First - this->Log.begin());
}

std::vector<std::shared_ptr<const LogRecord>>
DatabaseState::readLog(Lsn After, std::size_t MaxCount,
                       std::chrono::milliseconds Timeout) {
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait_for(Lock, Timeout, [&] {
    return this->Stopping || this->firstAfter(After) < this->Log.size();
  });
  std::vector<std::shared_ptr<const LogRecord>> Records;
  for (std::size_t I = this->firstAfter(After);
       I < this->Log.size() && Records.size() < MaxCount; ++I)
    Records.push_back(this->Log[I]);
  return Records;
}

bool DatabaseState::receiverTarget(std::string &Target) {
  const std::scoped_lock Lock(this->Mutex);
  this->applyReload();
  Target = this->Conninfo;
  return this->InRecovery && !this->Promoting && !this->Stopping &&
         !Target.empty() && !this->ActiveCuts.Replication &&
         !this->ActiveCuts.All;
}

void DatabaseState::setReceiver(bool Streaming, const std::string &Problem) {
  const std::scoped_lock Lock(this->Mutex);
  this->Receiving = Streaming;
  this->ReceiverProblem = Problem;
  this->Changed.notify_all();
}

bool DatabaseState::isReceiving() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Receiving;
}

std::string DatabaseState::receiverProblem() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->ReceiverProblem;
}

void DatabaseState::setUpstreamHistory(TimelineHistory NewUpstream) {
  const std::scoped_lock Lock(this->Mutex);
  this->Upstream = std::move(NewUpstream);
  this->adoptHistory();
}

void DatabaseState::adoptHistory() {
  while (this->History.size() < this->Upstream.size() &&
         this->Upstream[this->History.size()].Start <= this->Written)
    this->History.push_back(this->Upstream[this->History.size()]);
}

bool DatabaseState::receive(LogRecord Record) {
  const std::scoped_lock Lock(this->Mutex);
  if (!this->InRecovery || this->Promoting || !this->Receiving ||
      Record.End <= this->Written)
    return false;
  this->Written = Record.End;
  this->appendRecord(std::move(Record));
  this->adoptHistory();
  return true;
}

std::vector<std::shared_ptr<const LogRecord>>
DatabaseState::takeDueRecords(std::chrono::milliseconds Timeout) {
  std::unique_lock Lock(this->Mutex);
  const auto End = Clock::now() + Timeout;
  const auto DueAt = [this](std::size_t Index) {
    return this->Promoting
               ? Clock::time_point()
               : this->Log[Index]->ReceivedAt + this->Settings.ReplayLag;
  };
  std::vector<std::shared_ptr<const LogRecord>> Records;
  while (!this->Stopping && this->InRecovery && Records.empty()) {
    std::size_t I = this->firstAfter(this->Replayed);
    const auto Wake = I < this->Log.size() ? std::min(DueAt(I), End) : End;
    for (const auto Now = Clock::now();
         I < this->Log.size() && DueAt(I) <= Now &&
         Records.size() < MaxReplayBatch;
         ++I)
      Records.push_back(this->Log[I]);
    if (!Records.empty() || Clock::now() >= End)
      break;
    this->Changed.wait_until(Lock, Wake);
  }
  if (!this->InRecovery)
    this->Changed.wait_until(
        Lock, End, [this] { return this->InRecovery || this->Stopping; });
  return Records;
}

void DatabaseState::setReplayed(Lsn Position) {
  const std::scoped_lock Lock(this->Mutex);
  this->Replayed = Position;
  this->Changed.notify_all();
}

std::shared_ptr<SessionInfo> DatabaseState::addSession(int Fd) {
  const std::scoped_lock Lock(this->Mutex);
  auto Added = std::make_shared<SessionInfo>();
  Added->Pid = this->NextPid++;
  Added->Fd = Fd;
  this->Sessions.emplace(Added->Pid, Added);
  return Added;
}

void DatabaseState::removeSession(const SessionInfo &Removed) {
  const std::scoped_lock Lock(this->Mutex);
  this->Sessions.erase(Removed.Pid);
}

bool DatabaseState::admitSession(SessionInfo &Started,
                                 const SessionInfo &Values) {
  const std::scoped_lock Lock(this->Mutex);
  const auto Clients =
      std::count_if(this->Sessions.begin(), this->Sessions.end(),
                    [](const auto &Entry) { return Entry.second->IsClient; });
  if (!Values.IsReplication &&
      static_cast<std::size_t>(Clients) >= this->Settings.Connections)
    return false;
  Started.ApplicationName = Values.ApplicationName;
  Started.User = Values.User;
  Started.Database = Values.Database;
  Started.IsReplication = Values.IsReplication;
  Started.IsClient = !Values.IsReplication;
  Started.Status = "idle";
  return true;
}

void DatabaseState::setSessionStatus(SessionInfo &Session, std::string Status) {
  const std::scoped_lock Lock(this->Mutex);
  Session.Status = std::move(Status);
}

void DatabaseState::setSessionHandle(SessionInfo &Session, sqlite3 *Handle) {
  const std::scoped_lock Lock(this->Mutex);
  Session.Handle = Handle;
}

void DatabaseState::setApplicationName(SessionInfo &Session,
                                       std::string Value) {
  const std::scoped_lock Lock(this->Mutex);
  Session.ApplicationName = std::move(Value);
}

bool DatabaseState::terminateSession(int Pid) {
  bool Found = false;
  this->terminateSessions([&](const SessionInfo &Session) {
    const bool Match = Session.Pid == Pid;
    Found = Found || Match;
    return Match;
  });
  return Found;
}

void DatabaseState::terminateSessions(
    const std::function<bool(const SessionInfo &)> &Which) {
  {
    const std::scoped_lock Lock(this->Mutex);
    for (auto &[Pid, Session] : this->Sessions) {
      if (!Which(*Session))
        continue;
      Session->Terminated = true;
      if (Session->Handle != nullptr)
        sqlite3_interrupt(Session->Handle);
      // Ends a blocked read; the session can still send its last message.
      ::shutdown(Session->Fd, SHUT_RD);
    }
    this->Changed.notify_all();
  }
  this->Writer.wake();
  this->Slots.wake();
}

void DatabaseState::forEachSession(
    const std::function<void(const SessionInfo &)> &Visit) {
  const std::scoped_lock Lock(this->Mutex);
  for (const auto &[Pid, Session] : this->Sessions)
    Visit(*Session);
}

std::size_t DatabaseState::clientCount() {
  std::size_t Count = 0;
  this->forEachSession(
      [&](const SessionInfo &Session) { Count += Session.IsClient ? 1 : 0; });
  return Count;
}

void DatabaseState::freeze(std::chrono::milliseconds Duration) {
  const std::scoped_lock Lock(this->Mutex);
  this->FrozenUntil = Clock::now() + Duration;
  this->Changed.notify_all();
}

void DatabaseState::waitWhileFrozen() {
  std::unique_lock Lock(this->Mutex);
  while (!this->Stopping && Clock::now() < this->FrozenUntil)
    this->Changed.wait_until(Lock, this->FrozenUntil);
}

Cuts DatabaseState::cuts() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->ActiveCuts;
}

void DatabaseState::setCuts(Cuts Values) {
  {
    const std::scoped_lock Lock(this->Mutex);
    this->ActiveCuts = Values;
    this->Changed.notify_all();
  }
  this->terminateSessions([&](const SessionInfo &Session) {
    return Values.All || (Values.Replication && Session.IsReplication);
  });
}

void DatabaseState::stop() {
  this->Stopping = true;
  this->terminateSessions([](const SessionInfo &) { return true; });
}

void DatabaseState::sleep(Clock::duration Duration,
                          const std::atomic<bool> &Terminated) {
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait_for(Lock, Duration,
                         [&] { return Terminated || this->Stopping; });
}

void DatabaseState::logStatement(StatementEntry Entry) {
  const std::scoped_lock Lock(this->StatementMutex);
  Entry.Number = ++this->StatementCount;
  this->Statements.push_back(std::move(Entry));
  if (this->Statements.size() > MaxStatements)
    this->Statements.pop_front();
}

std::vector<StatementEntry> DatabaseState::statements(std::size_t Limit) const {
  const std::scoped_lock Lock(this->StatementMutex);
  const std::size_t Count = std::min(Limit, this->Statements.size());
  return {this->Statements.end() - static_cast<std::ptrdiff_t>(Count),
          this->Statements.end()};
}

std::uint64_t DatabaseState::statementCount() const {
  const std::scoped_lock Lock(this->StatementMutex);
  return this->StatementCount;
}

} // namespace lavenderdale::standin
