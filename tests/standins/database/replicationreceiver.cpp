#include "replicationreceiver.h"

#include "controlfunctions.h"
#include "replicationsender.h"
#include "sqlite.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <sstream>

namespace lavenderdale::standin {
namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds RetryInterval{50};

// Longest time until a changed primary_conninfo or a cut is noticed.
constexpr std::chrono::milliseconds PollInterval{10};

constexpr std::chrono::milliseconds HandshakeTimeout{2000};
constexpr std::chrono::milliseconds LockTimeout{1000};
constexpr std::chrono::milliseconds ReplayWait{50};
constexpr std::chrono::milliseconds ReplayRetry{200};
constexpr std::uint32_t ProtocolVersion3 = 0x00030000;

std::optional<WireMessage> readWithin(WireConnection &Wire,
                                      std::chrono::milliseconds Timeout) {
  if (!Wire.waitReadable(Timeout))
    return std::nullopt;
  return Wire.readMessage();
}

std::string errorText(const WireMessage &Message) {
  MessageReader Body(Message.Body);
  for (char Field = static_cast<char>(Body.byte()); Field != '\0';
       Field = static_cast<char>(Body.byte())) {
    std::string Value = Body.text();
    if (Field == 'M')
      return Value;
  }
  return "unknown error";
}

// Opens a replication connection and sends one command.
std::unique_ptr<WireConnection> startCommand(const ConnectTarget &Target,
                                             const std::string &Name,
                                             const std::string &Command) {
  const int Fd =
      WireConnection::connectTo(Target.Host, Target.Port, ConnectTimeout);
  if (Fd < 0)
    return nullptr;
  auto Wire = std::make_unique<WireConnection>(Fd);
  MessageWriter Startup;
  Startup.int32(ProtocolVersion3);
  for (const auto &[Key, Value] :
       std::map<std::string, std::string>{{"user", "replication"},
                                          {"application_name", Name},
                                          {"replication", "true"}})
    Startup.text(Key).text(Value);
  Startup.byte('\0');
  constexpr std::size_t LengthBytes = 4;
  Wire->putRaw(
      MessageWriter().int32(Startup.body().size() + LengthBytes).body());
  Wire->putRaw(Startup.body());
  Wire->put('Q', MessageWriter().text(Command).body());
  if (!Wire->flush())
    return nullptr;
  return Wire;
}

// Skips the answer to the startup message.
std::optional<WireMessage> readAnswer(WireConnection &Wire) {
  while (true) {
    auto Message = readWithin(Wire, HandshakeTimeout);
    if (!Message || (Message->Type != 'R' && Message->Type != 'Z'))
      return Message;
  }
}

int applyStatement(sqlite3 *Handle, const LoggedStatement &Statement) {
  sqlite3_stmt *Raw = nullptr;
  const int Code =
      sqlite3_prepare_v2(Handle, Statement.Sql.c_str(), -1, &Raw, nullptr);
  const SqliteStatement Prepared(Raw);
  if (Code != SQLITE_OK)
    return Code;
  for (int I = 1; I <= sqlite3_bind_parameter_count(Raw); ++I) {
    // Parameters are named "$1".
    const std::string_view Name = sqlite3_bind_parameter_name(Raw, I);
    std::size_t Number = 0;
    std::from_chars(Name.data() + 1, Name.data() + Name.size(), Number);
    if (Number == 0 || Number > Statement.Params.size())
      return SQLITE_RANGE;
    if (const auto &Value = Statement.Params[Number - 1])
      sqlite3_bind_text(Raw, I, Value->c_str(), static_cast<int>(Value->size()),
                        SQLITE_STATIC);
  }
  int Stepped = SQLITE_ROW;
  while (Stepped == SQLITE_ROW)
    Stepped = sqlite3_step(Raw);
  return Stepped == SQLITE_DONE ? SQLITE_OK : Stepped;
}

} // namespace

std::optional<ConnectTarget> parseConninfo(const std::string &Conninfo) {
  std::istringstream Words(Conninfo);
  ConnectTarget Target;
  for (std::string Word; Words >> Word;) {
    const std::size_t Equals = Word.find('=');
    if (Equals == std::string::npos)
      return std::nullopt;
    const std::string Key = Word.substr(0, Equals);
    const std::string Value = Word.substr(Equals + 1);
    if (Key == "host" || Key == "hostaddr")
      Target.Host = Value;
    if (Key == "port")
      std::from_chars(Value.data(), Value.data() + Value.size(), Target.Port);
  }
  if (Target.Host.empty() || Target.Port == 0)
    return std::nullopt;
  return Target;
}

std::optional<BaseBackup> fetchBackup(const ConnectTarget &Target) {
  const auto Wire = startCommand(Target, "rejoin", "BASE_BACKUP");
  if (!Wire)
    return std::nullopt;
  BaseBackup Backup;
  auto Message = readAnswer(*Wire);
  if (!Message || Message->Type != 'H')
    return std::nullopt;
  for (Message = readWithin(*Wire, HandshakeTimeout);
       Message && Message->Type == 'd';
       Message = readWithin(*Wire, HandshakeTimeout)) {
    const char Type = Message->Body.empty() ? '\0' : Message->Body[0];
    const std::string Body = Message->Body.substr(1);
    if (Type == replicationtype::History)
      Backup.History = decodeHistory(Body).value_or(TimelineHistory());
    if (Type == replicationtype::Position)
      Backup.Position = MessageReader(Body).int64();
    if (Type == replicationtype::Image)
      Backup.Image = Body;
  }
  if (!Message || Message->Type != 'c' || Backup.History.empty())
    return std::nullopt;
  return Backup;
}

void ReplicationReceiver::receive() {
  while (!this->State.stopping()) {
    std::string Conninfo;
    if (!this->State.receiverTarget(Conninfo)) {
      this->State.sleep(PollInterval, this->State.stopping());
      continue;
    }
    const std::string Problem = this->stream(Conninfo);
    this->InFlight.clear();
    this->State.setReceiver(false, Problem);
    this->State.sleep(RetryInterval, this->State.stopping());
  }
}

std::string ReplicationReceiver::stream(const std::string &Conninfo) {
  this->State.waitWhileFrozen();
  const auto Target = parseConninfo(Conninfo);
  if (!Target)
    return "invalid primary_conninfo";
  const auto Position = this->State.received();
  if (!Position)
    return "not a replica";
  const auto Wire = startCommand(*Target, this->State.Name,
                                 "START_REPLICATION " + formatLsn(*Position) +
                                     " " + printHistory(this->State.history()));
  if (!Wire)
    return "could not connect to the primary";
  const auto Answer = readAnswer(*Wire);
  if (!Answer)
    return "the primary did not answer";
  if (Answer->Type != 'W')
    return errorText(*Answer);
  return this->readStream(*Wire, Conninfo);
}

bool ReplicationReceiver::isTarget(const std::string &Conninfo) {
  std::string Current;
  return this->State.receiverTarget(Current) && Current == Conninfo;
}

std::string ReplicationReceiver::readStream(WireConnection &Wire,
                                            const std::string &Conninfo) {
  auto LastMessage = Clock::now();
  while (true) {
    this->State.waitWhileFrozen();
    if (!this->isTarget(Conninfo))
      return "replication was stopped";
    this->takeDue();
    if (!Wire.waitReadable(this->InFlight.empty()
                               ? PollInterval
                               : std::chrono::milliseconds(1))) {
      if (Clock::now() - LastMessage > this->State.settings().ReceiverTimeout)
        return "the primary is silent";
      continue;
    }
    const auto Message = Wire.readMessage();
    if (!Message)
      return "the primary closed the connection";
    LastMessage = Clock::now();
    if (Message->Type == 'E')
      return errorText(*Message);
    if (!this->takeMessage(*Message))
      return "the primary sent an invalid message";
  }
}

bool ReplicationReceiver::takeMessage(const WireMessage &Message) {
  if (Message.Type != 'd' || Message.Body.empty())
    return false;
  const std::string Body = Message.Body.substr(1);
  switch (Message.Body[0]) {
  case replicationtype::KeepAlive:
    return true;
  case replicationtype::History: {
    auto History = decodeHistory(Body);
    if (!History)
      return false;
    this->State.setUpstreamHistory(std::move(*History));
    this->State.setReceiver(true, {});
    return true;
  }
  case replicationtype::Record: {
    auto Record = decodeRecord(Body);
    if (!Record)
      return false;
    this->InFlight.push_back(
        {std::move(*Record), Clock::now() + this->State.settings().ReceiveLag});
    this->takeDue();
    return true;
  }
  default:
    return false;
  }
}

void ReplicationReceiver::takeDue() {
  const auto Now = Clock::now();
  while (!this->InFlight.empty() && this->InFlight.front().DueAt <= Now) {
    LogRecord Record = std::move(this->InFlight.front().Record);
    this->InFlight.pop_front();
    Record.ReceivedAt = Now;
    this->State.receive(std::move(Record));
  }
}

void ReplicationReceiver::replay() {
  ControlContext Context{this->State, nullptr, {}, false, {}};
  const SqliteHandle Handle = openSqlite(this->State.File);
  addControlFunctions(Handle.get(), Context);
  while (!this->State.stopping()) {
    const auto Records = this->State.takeDueRecords(ReplayWait);
    if (Records.empty())
      continue;
    this->State.waitWhileFrozen();
    if (!this->State.Writer.acquire(LockTimeout, this->State.stopping()))
      continue;
    // Rejoin may have replaced the state since the records were taken.
    bool Replayed = true;
    if (this->State.isInRecovery() &&
        this->State.replayed() < Records.front()->End) {
      Replayed = this->replayBatch(Handle.get(), Records);
      if (Replayed)
        this->State.setReplayed(Records.back()->End);
    }
    this->State.Writer.release();
    if (!Replayed)
      this->State.sleep(ReplayRetry, this->State.stopping());
  }
}

bool ReplicationReceiver::replayBatch(
    sqlite3 *Handle,
    const std::vector<std::shared_ptr<const LogRecord>> &Records) {
  int Code = execSqlite(Handle, "BEGIN IMMEDIATE");
  for (const auto &Record : Records)
    for (const LoggedStatement &Statement : Record->Statements) {
      if (Code == SQLITE_OK)
        Code = applyStatement(Handle, Statement);
    }
  if (Code == SQLITE_OK)
    Code = execSqlite(Handle, "COMMIT");
  if (Code == SQLITE_OK)
    return true;
  std::cerr << this->State.Name << ": replay failed: " << sqlite3_errmsg(Handle)
            << '\n';
  execSqlite(Handle, "ROLLBACK");
  return false;
}

} // namespace lavenderdale::standin
