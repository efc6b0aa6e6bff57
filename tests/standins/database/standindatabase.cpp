#include "standindatabase.h"

#include "clientsession.h"
#include "databasestate.h"
#include "listener.h"
#include "replicationreceiver.h"
#include "sqlite.h"

#include <filesystem>
#include <list>
#include <stdexcept>
#include <thread>

namespace lavenderdale::standin {
namespace {

constexpr std::chrono::milliseconds RejoinLockTimeout{5000};

// A directory that is removed with its content.
class TemporaryDirectory {
public:
  TemporaryDirectory() {
    std::string Template =
        std::filesystem::temp_directory_path() / "database-standin-XXXXXX";
    if (::mkdtemp(Template.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary directory");
    this->Path = Template;
  }
  ~TemporaryDirectory() {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Path, Ignored);
  }
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

  std::string file() const { return this->Path / "data.sqlite"; }

private:
  std::filesystem::path Path;
};

std::string fileWithSchema(const TemporaryDirectory &Directory,
                           const std::string &InitSql) {
  const SqliteHandle Handle = openSqlite(Directory.file());
  if (execSqlite(Handle.get(), InitSql) != SQLITE_OK)
    throw std::runtime_error(std::string("the initial statements failed: ") +
                             sqlite3_errmsg(Handle.get()));
  return Directory.file();
}

Json::Value settingsJson(const DatabaseSettings &Settings) {
  Json::Value Value;
  Value["connections"] = Settings.Connections;
  Value["slots"] = Settings.Slots;
  Value["serviceTimeUs"] = Json::Int64(Settings.ServiceTime.count());
  Value["connectDelayMs"] = Json::Int64(Settings.ConnectDelay.count());
  Value["receiverTimeoutMs"] = Json::Int64(Settings.ReceiverTimeout.count());
  Value["receiveLagMs"] = Json::Int64(Settings.ReceiveLag.count());
  Value["replayLagMs"] = Json::Int64(Settings.ReplayLag.count());
  Value["reloadDelayMs"] = Json::Int64(Settings.ReloadDelay.count());
  return Value;
}

Json::Value historyJson(const TimelineHistory &History) {
  Json::Value Value(Json::arrayValue);
  for (const TimelineStart &Entry : History) {
    Json::Value Row;
    Row["timeline"] = Entry.Timeline;
    Row["start"] = formatLsn(Entry.Start);
    Value.append(Row);
  }
  return Value;
}

Json::Value sessionsJson(DatabaseState &State) {
  Json::Value Value(Json::arrayValue);
  State.forEachSession([&](const SessionInfo &Session) {
    Json::Value Row;
    Row["pid"] = Session.Pid;
    Row["applicationName"] = Session.ApplicationName;
    Row["state"] = Session.Status;
    Row["replication"] = Session.IsReplication;
    Value.append(Row);
  });
  return Value;
}

Json::Value entryJson(const StatementEntry &Entry) {
  Json::Value Row;
  Row["number"] = Json::UInt64(Entry.Number);
  Row["pid"] = Entry.Pid;
  Row["applicationName"] = Entry.ApplicationName;
  Row["transaction"] = Json::UInt64(Entry.Transaction);
  Row["sql"] = Entry.Sql;
  Row["params"] = Json::Value(Json::arrayValue);
  for (const auto &Param : Entry.Params)
    Row["params"].append(Param ? Json::Value(*Param) : Json::Value());
  Row["answer"] = Entry.Answer;
  return Row;
}

} // namespace

class StandinDatabase::Impl {
public:
  explicit Impl(const DatabaseOptions &Options)
      : Address(Options.Address),
        State(Options, fileWithSchema(this->Directory, Options.InitSql)),
        Entry(Options.Address, Options.Port), Receiver(State),
        ReceiveThread([this] { this->Receiver.receive(); }),
        ReplayThread([this] { this->Receiver.replay(); }),
        AcceptThread([this] { this->acceptSessions(); }) {}

  ~Impl() {
    this->State.stop();
    this->Entry.setOpen(false);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  bool cut(const std::string &What, bool On);
  bool rejoin(const std::string &Conninfo);

private:
  struct Served {
    std::atomic<bool> Done{false};
    std::jthread Thread;
  };

  void acceptSessions();
  void serve(int Fd, Served &Entry);

  TemporaryDirectory Directory;

public:
  const std::string Address;
  DatabaseState State;
  Listener Entry;

private:
  ReplicationReceiver Receiver;
  std::list<Served> Sessions; // Used by the accept thread only.
  std::jthread ReceiveThread;
  std::jthread ReplayThread;
  std::jthread AcceptThread;
};

void StandinDatabase::Impl::acceptSessions() {
  while (!this->State.stopping()) {
    this->State.waitWhileFrozen();
    this->Sessions.remove_if([](const Served &Old) { return Old.Done.load(); });
    const int Fd = this->Entry.accept();
    if (Fd < 0)
      continue;
    Served &Added = this->Sessions.emplace_back();
    Added.Thread = std::jthread([this, Fd, &Added] { this->serve(Fd, Added); });
  }
  // Sessions that were accepted while stop() ran.
  this->State.terminateSessions([](const SessionInfo &) { return true; });
}

void StandinDatabase::Impl::serve(int Fd, Served &Entry) {
  {
    ClientSession Session(this->State, Fd);
    if (!this->State.stopping())
      Session.run();
  }
  Entry.Done = true;
}

bool StandinDatabase::Impl::cut(const std::string &What, bool On) {
  Cuts Changed = this->State.cuts();
  if (What == "new")
    Changed.New = On;
  else if (What == "all")
    Changed.All = On;
  else if (What == "replication")
    Changed.Replication = On;
  else
    return false;
  this->Entry.setOpen(!Changed.New && !Changed.All);
  this->State.setCuts(Changed);
  return true;
}

bool StandinDatabase::Impl::rejoin(const std::string &Conninfo) {
  const auto Target = parseConninfo(Conninfo);
  if (!Target)
    return false;
  auto Backup = fetchBackup(*Target);
  if (!Backup)
    return false;
  this->State.terminateSessions([](const SessionInfo &) { return true; });
  if (!this->State.Writer.acquire(RejoinLockTimeout, this->State.stopping()))
    return false;
  const std::scoped_lock Lock(this->State.CommitMutex);
  const bool Restored =
      restoreSqlite(openSqlite(this->State.File).get(), Backup->Image);
  if (Restored)
    this->State.becomeReplica(Conninfo, Backup->History, Backup->Position);
  this->State.Writer.release();
  return Restored;
}

StandinDatabase::StandinDatabase(const DatabaseOptions &Options)
    : Internal(std::make_unique<Impl>(Options)) {}

StandinDatabase::~StandinDatabase() = default;

std::uint16_t StandinDatabase::port() const {
  return this->Internal->Entry.port();
}

std::string StandinDatabase::conninfo() const {
  return "host=" + this->Internal->Address +
         " port=" + std::to_string(this->port());
}

DatabaseSettings StandinDatabase::settings() const {
  return this->Internal->State.settings();
}

void StandinDatabase::setSettings(const DatabaseSettings &Settings) {
  this->Internal->State.setSettings(Settings);
}

void StandinDatabase::freeze(std::chrono::milliseconds Duration) {
  this->Internal->State.freeze(Duration);
}

bool StandinDatabase::cut(const std::string &What, bool On) {
  return this->Internal->cut(What, On);
}

bool StandinDatabase::promote() { return this->Internal->State.promote(); }

bool StandinDatabase::rejoin(const std::string &PrimaryConninfo) {
  return this->Internal->rejoin(PrimaryConninfo);
}

Json::Value StandinDatabase::state() const {
  DatabaseState &State = this->Internal->State;
  Json::Value Value;
  Value["name"] = State.Name;
  Value["port"] = this->port();
  Value["inRecovery"] = State.isInRecovery();
  Value["timeline"] = State.history().back().Timeline;
  Value["history"] = historyJson(State.history());
  Value["written"] = formatLsn(State.written());
  Value["replayed"] = formatLsn(State.replayed());
  Value["primaryConninfo"] = State.primaryConninfo();
  Value["receiving"] = State.isReceiving();
  Value["receiverProblem"] = State.receiverProblem();
  Value["connections"] = Json::UInt64(State.clientCount());
  Value["sessions"] = sessionsJson(State);
  Value["statements"] = Json::UInt64(State.statementCount());
  Value["settings"] = settingsJson(State.settings());
  const Cuts Active = State.cuts();
  Value["cuts"]["new"] = Active.New;
  Value["cuts"]["all"] = Active.All;
  Value["cuts"]["replication"] = Active.Replication;
  return Value;
}

Json::Value StandinDatabase::log(std::size_t Limit) const {
  Json::Value Entries(Json::arrayValue);
  for (const StatementEntry &Entry : this->Internal->State.statements(Limit))
    Entries.append(entryJson(Entry));
  return Entries;
}

} // namespace lavenderdale::standin
