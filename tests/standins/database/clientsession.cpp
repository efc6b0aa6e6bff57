#include "clientsession.h"

#include "replicationsender.h"
#include "sqlcommand.h"

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <utility>

namespace lavenderdale::standin {
namespace {

// Codes that take the place of a protocol version in the startup message.
constexpr std::uint32_t ProtocolVersion3 = 0x00030000;
constexpr std::uint32_t SslRequest = 80877103;
constexpr std::uint32_t GssEncRequest = 80877104;

constexpr std::size_t VariableSize = 0xFFFF; // Type size -1.
constexpr std::size_t Int8Size = 8;
constexpr std::size_t BoolSize = 1;

std::size_t typeSize(std::uint32_t Type) {
  if (Type == typeoid::Int8 || Type == typeoid::Float8)
    return Int8Size;
  return Type == typeoid::Bool ? BoolSize : VariableSize;
}

} // namespace

ClientSession::ClientSession(DatabaseState &State, int Fd)
    : State(State), Info(State.addSession(Fd)), Wire(Fd) {}

ClientSession::~ClientSession() {
  this->Sql.reset();
  this->State.removeSession(*this->Info);
}

void ClientSession::run() {
  if (!this->startUp())
    return;
  if (this->Info->IsReplication) {
    ReplicationSender(this->State, *this->Info, this->Wire).run();
    return;
  }
  this->Sql = std::make_unique<SqlSession>(this->State, *this->Info);
  this->greet();
  this->serve();
  if (this->Info->Terminated && !this->State.cuts().All) {
    this->putFailure(
        {"57P01", "terminating connection due to administrator command"},
        "FATAL");
    this->flush();
  }
}

bool ClientSession::startUp() {
  while (true) {
    const auto Message = this->Wire.readUntyped();
    if (!Message)
      return false;
    this->State.waitWhileFrozen();
    MessageReader Body(*Message);
    const std::uint32_t Code = Body.int32();
    if (Code == SslRequest || Code == GssEncRequest) {
      this->Wire.putRaw("N");
      if (!this->flush())
        return false;
      continue;
    }
    if (Code != ProtocolVersion3)
      return false; // Cancel requests are ignored.
    std::map<std::string, std::string> Params;
    while (true) {
      std::string Name = Body.text();
      if (Name.empty())
        break;
      Params[std::move(Name)] = Body.text();
    }
    return this->admit(Params);
  }
}

bool ClientSession::admit(const std::map<std::string, std::string> &Params) {
  const auto Param = [&](const char *Name) {
    const auto Found = Params.find(Name);
    return Found == Params.end() ? std::string() : Found->second;
  };
  SessionInfo Values;
  Values.ApplicationName = Param("application_name");
  Values.User = Param("user");
  Values.Database = Param("database");
  Values.IsReplication = Param("replication") == "true";
  if (!Values.IsReplication)
    this->State.sleep(this->State.settings().ConnectDelay,
                      this->Info->Terminated);
  if (this->State.admitSession(*this->Info, Values))
    return true;
  this->putFailure({"53300", "sorry, too many clients already"}, "FATAL");
  this->flush();
  return false;
}

void ClientSession::greet() {
  constexpr std::array<std::array<const char *, 2>, 6> Statuses = {{
      {"server_version", "15.0"},
      {"server_encoding", "UTF8"},
      {"client_encoding", "UTF8"},
      {"standard_conforming_strings", "on"},
      {"integer_datetimes", "on"},
      {"DateStyle", "ISO, MDY"},
  }};
  this->Wire.put('R', MessageWriter().int32(0).body()); // AuthenticationOk.
  for (const auto &[Name, Value] : Statuses)
    this->Wire.put('S', MessageWriter().text(Name).text(Value).body());
  const auto Pid = static_cast<std::uint64_t>(this->Info->Pid);
  this->Wire.put('K', MessageWriter().int32(Pid).int32(Pid).body());
  this->putReady();
  this->flush();
}

void ClientSession::serve() {
  while (!this->Ended && !this->Info->Terminated) {
    const auto Message = this->Wire.readMessage();
    this->State.waitWhileFrozen();
    if (!Message || Message->Type == 'X' || this->Info->Terminated)
      return;
    this->handle(*Message);
  }
}

struct ClientSession::HandlerRow {
  char Type;
  Handler Run;
};

void ClientSession::handle(const WireMessage &Message) {
  static constexpr std::array Handlers = {
      HandlerRow{'Q', &ClientSession::query},
      HandlerRow{'P', &ClientSession::parse},
      HandlerRow{'B', &ClientSession::bind},
      HandlerRow{'D', &ClientSession::describe},
      HandlerRow{'E', &ClientSession::execute},
      HandlerRow{'C', &ClientSession::closeNamed},
      HandlerRow{'S', &ClientSession::sync},
      HandlerRow{'H', &ClientSession::flushOutput},
  };
  if (this->SkipUntilSync && Message.Type != 'S')
    return;
  const auto *Row = std::find_if(
      Handlers.begin(), Handlers.end(),
      [&](const HandlerRow &Row) { return Row.Type == Message.Type; });
  MessageReader Body(Message.Body);
  if (Row != Handlers.end())
    (this->*(Row->Run))(Body);
  if (Row != Handlers.end() && !Body.isBad())
    return;
  this->putFailure({"08P01", "invalid frontend message"}, "FATAL");
  this->flush();
  this->Ended = true;
}

void ClientSession::query(MessageReader &Body) {
  const auto Parts = splitStatements(Body.text());
  std::optional<SqlFailure> Failure;
  if (Parts.empty())
    this->Wire.put('I', {});
  for (const std::string &Part : Parts) {
    const SqlResult Result = this->Sql->execute(Part, {});
    Failure = Result.Failure;
    if (Failure)
      break;
    this->putResult(Result, true);
  }
  if (!Failure)
    Failure = this->Sql->endImplicit();
  if (Failure)
    this->putFailure(*Failure);
  this->putReady();
  this->flush();
}

void ClientSession::parse(MessageReader &Body) {
  std::string Name = Body.text();
  const bool Taken = !Name.empty() && this->Statements.contains(Name);
  std::string Sql = Body.text();
  // Parameter types are ignored: all values are bound as text.
  for (std::uint16_t Count = Body.int16(); Count > 0 && !Body.isBad(); --Count)
    Body.int32();
  if (Taken)
    return this->failExtended({"42P05", "prepared statement already exists"});
  this->Statements[std::move(Name)] = std::move(Sql);
  this->Wire.put('1', {});
}

void ClientSession::bind(MessageReader &Body) {
  std::string PortalName = Body.text();
  const std::string StatementName = Body.text();
  const auto Statement = this->Statements.find(StatementName);
  bool AnyBinary = false;
  for (std::uint16_t Count = Body.int16(); Count > 0 && !Body.isBad(); --Count)
    AnyBinary |= Body.int16() != 0;
  Portal Bound;
  for (std::uint16_t Count = Body.int16(); Count > 0 && !Body.isBad();
       --Count) {
    const std::uint32_t Size = Body.int32();
    if (Size == UINT32_MAX)
      Bound.Params.emplace_back();
    else
      Bound.Params.emplace_back(Body.bytes(Size));
  }
  for (std::uint16_t Count = Body.int16(); Count > 0 && !Body.isBad(); --Count)
    AnyBinary |= Body.int16() != 0;
  if (Statement == this->Statements.end())
    return this->failExtended({"26000", "no such prepared statement"});
  if (AnyBinary)
    return this->failExtended({"0A000", "binary format is not supported"});
  Bound.Sql = Statement->second;
  Bound.IsNamed = !StatementName.empty();
  this->Portals[std::move(PortalName)] = std::move(Bound);
  this->Wire.put('2', {});
}

void ClientSession::describe(MessageReader &Body) {
  const std::uint8_t Kind = Body.byte();
  const std::string Name = Body.text();
  if (Kind == 'P') {
    // Types of expressions are known with the first row, so that the answer
    // waits for Execute, which follows in all uses by libpq.
    if (const auto Found = this->Portals.find(Name);
        Found != this->Portals.end())
      Found->second.WantsColumns = true;
    else
      this->failExtended({"34000", "no such portal"});
    return;
  }
  const auto Found = this->Statements.find(Name);
  if (Found == this->Statements.end())
    return this->failExtended({"26000", "no such prepared statement"});
  std::size_t ParamCount = 0;
  const SqlResult Described = this->Sql->describe(Found->second, ParamCount);
  MessageWriter Params;
  Params.int16(ParamCount);
  for (std::size_t I = 0; I < ParamCount; ++I)
    Params.int32(typeoid::Text);
  this->Wire.put('t', Params.body());
  this->putColumns(Described);
}

void ClientSession::execute(MessageReader &Body) {
  const auto Found = this->Portals.find(Body.text());
  Body.int32(); // The row limit; all rows are sent.
  if (Found == this->Portals.end())
    return this->failExtended({"34000", "no such portal"});
  this->State.setSessionStatus(*this->Info, "active");
  const SqlResult Result = this->Sql->execute(
      Found->second.Sql, Found->second.Params, Found->second.IsNamed);
  if (Result.Failure)
    return this->failExtended(*Result.Failure);
  if (Result.Tag == "DISCARD ALL" || Result.Tag == "DEALLOCATE ALL")
    this->Statements.clear();
  this->putResult(Result, Found->second.WantsColumns);
}

void ClientSession::closeNamed(MessageReader &Body) {
  const std::uint8_t Kind = Body.byte();
  const std::string Name = Body.text();
  if (Kind == 'P')
    this->Portals.erase(Name);
  else
    this->Statements.erase(Name);
  this->Wire.put('3', {});
}

void ClientSession::sync(MessageReader &) {
  if (!std::exchange(this->SkipUntilSync, false))
    if (const auto Failure = this->Sql->endImplicit())
      this->putFailure(*Failure);
  this->Portals.clear();
  this->putReady();
  this->flush();
}

void ClientSession::flushOutput(MessageReader &) { this->flush(); }

void ClientSession::failExtended(const SqlFailure &Failure) {
  this->Sql->abortImplicit();
  this->putFailure(Failure);
  this->SkipUntilSync = true;
}

void ClientSession::putResult(const SqlResult &Result, bool WithColumns) {
  if (Result.IsEmpty) {
    if (WithColumns)
      this->Wire.put('n', {});
    this->Wire.put('I', {});
    return;
  }
  if (Result.IsCopyOut) {
    this->Wire.put('H', MessageWriter().byte(0).int16(0).body());
    this->Wire.put('c', {});
  } else if (WithColumns && !(Result.Columns.empty() && Result.Rows.empty())) {
    this->putColumns(Result);
  } else if (WithColumns) {
    this->Wire.put('n', {});
  }
  for (const auto &Row : Result.Rows) {
    MessageWriter Writer;
    Writer.int16(Row.size());
    for (const auto &Value : Row)
      Writer.value(Value);
    this->Wire.put('D', Writer.body());
  }
  this->Wire.put('C', MessageWriter().text(Result.Tag).body());
}

void ClientSession::putColumns(const SqlResult &Result) {
  if (Result.Columns.empty()) {
    this->Wire.put('n', {}); // NoData.
    return;
  }
  MessageWriter Writer;
  Writer.int16(Result.Columns.size());
  for (const ResultColumn &Column : Result.Columns)
    Writer.text(Column.Name)
        .int32(0) // Table.
        .int16(0) // Column of the table.
        .int32(Column.Type)
        .int16(typeSize(Column.Type))
        .int32(UINT32_MAX) // Type modifier -1.
        .int16(0);         // Text format.
  this->Wire.put('T', Writer.body());
}

void ClientSession::putFailure(const SqlFailure &Failure,
                               const char *Severity) {
  this->Wire.put('E', MessageWriter()
                          .byte('S')
                          .text(Severity)
                          .byte('V')
                          .text(Severity)
                          .byte('C')
                          .text(Failure.SqlState)
                          .byte('M')
                          .text(Failure.Message)
                          .byte('\0')
                          .body());
}

void ClientSession::putReady() {
  this->Wire.put('Z', MessageWriter().byte(this->Sql->status()).body());
  this->State.setSessionStatus(
      *this->Info, this->Sql->status() == 'I' ? "idle" : "idle in transaction");
}

bool ClientSession::flush() {
  this->State.waitWhileFrozen();
  if (!this->Wire.flush())
    this->Ended = true;
  return !this->Ended;
}

} // namespace lavenderdale::standin
