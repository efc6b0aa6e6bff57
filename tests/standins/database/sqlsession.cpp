#include "sqlsession.h"

#include "sqlcommand.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <thread>
#include <utility>

namespace lavenderdale::standin {
namespace {

// Longest wait for the write lock, as PostgreSQL's lock_timeout.
constexpr std::chrono::milliseconds LockTimeout{5000};

// Longest wait for a slot; only a guard against a stand-in that hangs.
constexpr std::chrono::milliseconds SlotTimeout{60000};

constexpr std::size_t AllTokens = SIZE_MAX;

SqlResult failed(std::string SqlState, std::string Message) {
  SqlResult Result;
  Result.Failure = SqlFailure{std::move(SqlState), std::move(Message)};
  return Result;
}

SqlResult tagged(std::string Tag) {
  SqlResult Result;
  Result.Tag = std::move(Tag);
  return Result;
}

SqlFailure terminated() {
  return {"57P01", "terminating connection due to administrator command"};
}

std::string unquoted(const std::string &Token) {
  const bool Quoted =
      !Token.empty() && (Token.front() == '\'' || Token.front() == '"');
  return Quoted ? Token.substr(1) : Token;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

bool isOn(const std::string &Value) {
  const std::string Lower = lowerCase(Value);
  return Lower == "on" || Lower == "true" || Lower == "1" || Lower == "yes";
}

struct MessageState {
  std::string_view Text;
  const char *SqlState;
};

// SQLite gives no finer codes than SQLITE_ERROR for these.
constexpr std::array MessageStates = {
    MessageState{"syntax error", "42601"},
    MessageState{"incomplete input", "42601"},
    MessageState{"unrecognized token", "42601"},
    MessageState{"no such table", "42P01"},
    MessageState{"no such column", "42703"},
    MessageState{"no such function", "42883"},
    MessageState{"already exists", "42P07"},
    MessageState{"ambiguous column", "42702"},
};

std::string sqlStateOf(int Code, std::string_view Message) {
  switch (Code) {
  case SQLITE_CONSTRAINT_UNIQUE:
  case SQLITE_CONSTRAINT_PRIMARYKEY:
  case SQLITE_CONSTRAINT_ROWID:
    return "23505";
  case SQLITE_CONSTRAINT_NOTNULL:
    return "23502";
  case SQLITE_CONSTRAINT_FOREIGNKEY:
    return "23503";
  case SQLITE_CONSTRAINT_CHECK:
    return "23514";
  default:
    break;
  }
  constexpr int PrimaryCodeMask = 0xFF;
  const int Primary = Code & PrimaryCodeMask;
  if (Primary == SQLITE_BUSY || Primary == SQLITE_LOCKED)
    return "40001";
  if (Primary == SQLITE_CONSTRAINT)
    return "23000";
  if (Primary == SQLITE_INTERRUPT)
    return "57014";
  const auto *Row = std::find_if(
      MessageStates.begin(), MessageStates.end(), [&](const MessageState &Row) {
        return Message.find(Row.Text) != std::string_view::npos;
      });
  return Row == MessageStates.end() ? "XX000" : Row->SqlState;
}

std::uint32_t declaredType(const char *Declared) {
  if (Declared == nullptr)
    return 0;
  const std::string Type = lowerCase(Declared);
  const auto Has = [&Type](const char *Part) {
    return Type.find(Part) != std::string::npos;
  };
  if (Has("int") || Has("serial"))
    return typeoid::Int8;
  if (Has("bool"))
    return typeoid::Bool;
  if (Has("real") || Has("floa") || Has("doub"))
    return typeoid::Float8;
  if (Has("bytea") || Has("blob"))
    return typeoid::Bytea;
  return typeoid::Text;
}

// The type of an expression, from its value in the first row.
std::uint32_t valueType(sqlite3_stmt *Prepared, int Index) {
  switch (sqlite3_column_type(Prepared, Index)) {
  case SQLITE_INTEGER:
    return sqlite3_value_subtype(sqlite3_column_value(Prepared, Index)) ==
                   BooleanSubtype
               ? typeoid::Bool
               : typeoid::Int8;
  case SQLITE_FLOAT:
    return typeoid::Float8;
  case SQLITE_BLOB:
    return typeoid::Bytea;
  default:
    return typeoid::Text;
  }
}

// PostgreSQL names the column of a call by its function.
std::string columnName(const char *Name) {
  const std::string_view Text = Name;
  const std::size_t Open = Text.find('(');
  const bool IsCall = Open != std::string_view::npos && Open > 0 &&
                      Text.back() == ')' && Text.find_first_of(" +-*/|") > Open;
  return std::string(IsCall ? Text.substr(0, Open) : Text);
}

std::vector<ResultColumn> readColumns(sqlite3_stmt *Prepared, bool HasRow) {
  std::vector<ResultColumn> Columns;
  for (int I = 0; I < sqlite3_column_count(Prepared); ++I) {
    std::uint32_t Type = declaredType(sqlite3_column_decltype(Prepared, I));
    if (Type == 0)
      Type = HasRow ? valueType(Prepared, I) : typeoid::Text;
    Columns.push_back({columnName(sqlite3_column_name(Prepared, I)), Type});
  }
  return Columns;
}

std::string printFloat(double Value) {
  constexpr std::size_t MaxDigits = 32;
  std::array<char, MaxDigits> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value).ptr;
  return {Text.data(), End};
}

std::string printBlob(sqlite3_stmt *Prepared, int Index) {
  constexpr auto Digits = "0123456789abcdef";
  constexpr unsigned HalfByte = 4;
  constexpr unsigned LowHalf = 0xF;
  const auto *Bytes =
      static_cast<const unsigned char *>(sqlite3_column_blob(Prepared, Index));
  std::string Text = "\\x";
  for (int I = 0; I < sqlite3_column_bytes(Prepared, Index); ++I) {
    Text.push_back(Digits[Bytes[I] >> HalfByte]);
    Text.push_back(Digits[Bytes[I] & LowHalf]);
  }
  return Text;
}

std::optional<std::string> readValue(sqlite3_stmt *Prepared, int Index,
                                     std::uint32_t Type) {
  switch (sqlite3_column_type(Prepared, Index)) {
  case SQLITE_NULL:
    return std::nullopt;
  case SQLITE_INTEGER:
    if (Type == typeoid::Bool)
      return sqlite3_column_int(Prepared, Index) != 0 ? "t" : "f";
    return std::to_string(sqlite3_column_int64(Prepared, Index));
  case SQLITE_FLOAT:
    return printFloat(sqlite3_column_double(Prepared, Index));
  case SQLITE_BLOB:
    return printBlob(Prepared, Index);
  default:
    return std::string(
        reinterpret_cast<const char *>(sqlite3_column_text(Prepared, Index)),
        static_cast<std::size_t>(sqlite3_column_bytes(Prepared, Index)));
  }
}

// The command tag. Statements may start with WITH, so that the verb is looked
// for anywhere.
std::string dataTag(const std::vector<std::string> &Words, bool IsRead,
                    std::size_t Rows, sqlite3 *Handle) {
  if (IsRead)
    return "SELECT " + std::to_string(Rows);
  std::string Changes = std::to_string(sqlite3_changes64(Handle));
  for (const std::string &Word : Words) {
    if (Word == "INSERT")
      return Changes.insert(0, "INSERT 0 ");
    if (Word == "UPDATE" || Word == "DELETE")
      return Changes.insert(0, " ").insert(0, Word);
    if ((Word == "CREATE" || Word == "DROP" || Word == "ALTER") &&
        Words.size() > 1)
      return std::string(Word).append(" ").append(Words[1]);
  }
  return Words.empty() ? "" : Words.front();
}

// SQLite has no row locks; the write lock of the whole database replaces them.
bool removeRowLock(std::string &Sql, const std::vector<std::string> &Words) {
  if (!contains(Words, {"FOR", "UPDATE"}) || Words.back() != "UPDATE")
    return false;
  const std::size_t At = lowerCase(Sql).rfind("for");
  Sql.erase(At);
  return true;
}

// The views of the control functions, which cost no slot.
bool isControlTable(std::string_view Name) {
  return Name == "json_each" || Name == "pg_stat_activity" ||
         Name == "pg_stat_wal_receiver";
}

// Parameters are named "$1"; their number follows the sign.
std::size_t paramNumber(sqlite3_stmt *Prepared, int Index) {
  const char *Name = sqlite3_bind_parameter_name(Prepared, Index);
  std::size_t Number = 0;
  if (Name != nullptr && Name[0] == '$')
    std::from_chars(Name + 1, Name + std::strlen(Name), Number);
  return Number;
}

} // namespace

SqlSession::SqlSession(DatabaseState &State, SessionInfo &Session)
    : State(State), Session(Session), Context{State, &Session, {}, false, {}},
      Handle(openSqlite(State.File)) {
  addControlFunctions(this->Handle.get(), this->Context);
  sqlite3_set_authorizer(this->Handle.get(), &SqlSession::authorize, this);
  this->State.setSessionHandle(this->Session, this->Handle.get());
}

SqlSession::~SqlSession() {
  this->State.setSessionHandle(this->Session, nullptr);
  this->undo();
}

// Notes what a statement touches while it is prepared.
int SqlSession::authorize(void *Arg, int Action, const char *First,
                          const char *Second, const char *Database,
                          const char *) {
  auto *Self = static_cast<SqlSession *>(Arg);
  // The database name is missing when no column is read, as by count(*).
  const bool OnMain = Database == nullptr || std::strcmp(Database, "main") == 0;
  if (OnMain && Action != SQLITE_FUNCTION && First != nullptr &&
      !isControlTable(First))
    Self->UsesTables = true;
  if (Action == SQLITE_FUNCTION && std::strcmp(Second, "pg_sleep") == 0)
    Self->UsesTables = true;
  if (Action == SQLITE_CREATE_TEMP_TABLE || Action == SQLITE_CREATE_TEMP_VIEW ||
      Action == SQLITE_ATTACH || Action == SQLITE_DETACH)
    Self->IsTemporary = true;
  return SQLITE_OK;
}

struct SqlSession::CommandRow {
  std::string_view Word;
  Command Run;
};

SqlResult SqlSession::execute(const std::string &Sql, const Params &Values,
                              bool Keep) {
  SqlResult Result;
  if (this->isTerminated())
    Result.Failure = terminated();
  else
    Result = Keep ? this->runKept(Sql, Values)
                  : this->dispatch(stripped(Sql), Values);
  if (Result.Failure && this->isTerminated())
    Result.Failure = terminated();
  const std::string Answer =
      Result.Failure ? Result.Failure->SqlState : Result.Tag;
  this->State.logStatement({0, this->Session.Pid, this->Session.ApplicationName,
                            this->Transaction, Sql, Values, Answer});
  if (Result.Failure)
    this->fail();
  return Result;
}

SqlResult SqlSession::dispatch(const std::string &Sql, const Params &Values) {
  static constexpr std::array Commands = {
      CommandRow{"BEGIN", &SqlSession::begin},
      CommandRow{"START", &SqlSession::begin},
      CommandRow{"COMMIT", &SqlSession::commit},
      CommandRow{"END", &SqlSession::commit},
      CommandRow{"ROLLBACK", &SqlSession::rollback},
      CommandRow{"ABORT", &SqlSession::rollback},
      CommandRow{"DISCARD", &SqlSession::discard},
      CommandRow{"DEALLOCATE", &SqlSession::deallocate},
      CommandRow{"SET", &SqlSession::set},
      CommandRow{"RESET", &SqlSession::reset},
      CommandRow{"SHOW", &SqlSession::show},
      CommandRow{"COPY", &SqlSession::copy},
      CommandRow{"SAVEPOINT", &SqlSession::refuse},
      CommandRow{"RELEASE", &SqlSession::refuse},
      CommandRow{"PRAGMA", &SqlSession::refuse},
      CommandRow{"ATTACH", &SqlSession::refuse},
      CommandRow{"DETACH", &SqlSession::refuse},
      CommandRow{"VACUUM", &SqlSession::refuse},
  };
  const Tokens Words = tokenize(Sql, AllTokens);
  if (Words.empty()) {
    SqlResult Result;
    Result.IsEmpty = true;
    return Result;
  }
  const std::string &First = Words.front();
  const bool Ends = First == "COMMIT" || First == "END" ||
                    First == "ROLLBACK" || First == "ABORT";
  if (this->Current == Mode::Failed && !Ends)
    return failed("25P02", "current transaction is aborted, commands ignored "
                           "until end of transaction block");
  if (startsWith(Words, {"ALTER", "SYSTEM"}))
    return this->alterSystem(Words);
  const auto *Row =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const CommandRow &Row) { return Row.Word == First; });
  if (Row != Commands.end())
    return (this->*(Row->Run))(Words);
  return this->runData(Sql, Words, Values);
}

SqlResult SqlSession::begin(const Tokens &Words) {
  if (this->Current == Mode::Explicit)
    return tagged("BEGIN"); // PostgreSQL only warns.
  // An implicit transaction becomes part of the block.
  if (this->Current == Mode::None)
    this->startTransaction(Mode::Explicit);
  this->Current = Mode::Explicit;
  this->applyOptions(Words);
  return tagged("BEGIN");
}

void SqlSession::startTransaction(Mode Started) {
  this->Current = Started;
  this->Transaction = this->State.nextTransaction();
  this->Context.ReadOnly =
      isOn(this->Context.SessionSettings["default_transaction_read_only"]);
  this->IsSnapshot = false;
}

void SqlSession::applyOptions(const Tokens &Words) {
  if (contains(Words, {"READ", "ONLY"}))
    this->Context.ReadOnly = true;
  if (contains(Words, {"READ", "WRITE"}))
    this->Context.ReadOnly = false;
  if (contains(Words, {"REPEATABLE", "READ"}) ||
      contains(Words, {"SERIALIZABLE"}))
    this->IsSnapshot = true;
}

SqlResult SqlSession::commit(const Tokens &) {
  if (this->Current == Mode::Failed) {
    this->Current = Mode::None;
    return tagged("ROLLBACK");
  }
  if (const auto Failure = this->finish())
    return failed(Failure->SqlState, Failure->Message);
  return tagged("COMMIT");
}

SqlResult SqlSession::rollback(const Tokens &Words) {
  if (contains(Words, {"TO"}))
    return this->refuse(Words);
  this->undo();
  this->Current = Mode::None;
  return tagged("ROLLBACK");
}

SqlResult SqlSession::discard(const Tokens &Words) {
  if (this->Current == Mode::Explicit)
    return failed("25001", "DISCARD ALL cannot run inside a transaction block");
  if (!startsWith(Words, {"DISCARD", "ALL"}))
    return this->refuse(Words);
  this->Context.SessionSettings.clear();
  this->Plans.clear();
  return tagged("DISCARD ALL");
}

SqlResult SqlSession::deallocate(const Tokens &Words) {
  if (!startsWith(Words, {"DEALLOCATE", "ALL"}))
    return this->refuse(Words);
  this->Plans.clear();
  return tagged("DEALLOCATE ALL");
}

SqlResult SqlSession::set(const Tokens &Words) {
  if (startsWith(Words, {"SET", "TRANSACTION"})) {
    this->applyOptions(Words);
    return tagged("SET");
  }
  auto &Settings = this->Context.SessionSettings;
  if (startsWith(Words, {"SET", "SESSION", "CHARACTERISTICS"})) {
    Settings["default_transaction_read_only"] =
        contains(Words, {"READ", "ONLY"}) ? "on" : "off";
    return tagged("SET");
  }
  const bool HasScope =
      Words.size() > 1 && (Words[1] == "SESSION" || Words[1] == "LOCAL");
  const std::size_t Name = HasScope ? 2 : 1;
  if (Words.size() < Name + 3 ||
      (Words[Name + 1] != "=" && Words[Name + 1] != "TO"))
    return failed("42601", "syntax error in SET");
  const std::string Key = lowerCase(unquoted(Words[Name]));
  const std::string Value = unquoted(Words[Name + 2]);
  if (Key == "application_name")
    this->State.setApplicationName(this->Session, Value);
  else
    Settings[Key] = Words[Name + 2].front() == '\'' ? Value : lowerCase(Value);
  return tagged("SET");
}

SqlResult SqlSession::reset(const Tokens &Words) {
  if (startsWith(Words, {"RESET", "ALL"}))
    this->Context.SessionSettings.clear();
  else if (Words.size() > 1)
    this->Context.SessionSettings.erase(lowerCase(Words[1]));
  return tagged("RESET");
}

SqlResult SqlSession::show(const Tokens &Words) {
  const std::string Name = Words.size() > 1 ? lowerCase(Words[1]) : "";
  const auto Value = settingValue(this->Context, Name);
  if (!Value)
    return failed("42704",
                  "unrecognized configuration parameter \"" + Name + "\"");
  SqlResult Result = tagged("SHOW");
  Result.Columns = {{Name, typeoid::Text}};
  Result.Rows = {{*Value}};
  return Result;
}

SqlResult SqlSession::alterSystem(const Tokens &Words) {
  if (this->Current == Mode::Explicit)
    return failed("25001",
                  "ALTER SYSTEM cannot run inside a transaction block");
  constexpr std::size_t ValueIndex = 5;
  const bool Resets = startsWith(Words, {"ALTER", "SYSTEM", "RESET"});
  const bool Sets =
      startsWith(Words, {"ALTER", "SYSTEM", "SET", "PRIMARY_CONNINFO"}) &&
      Words.size() == ValueIndex + 1 && Words[ValueIndex].front() == '\'';
  if (!Resets && !Sets)
    return failed("0A000", "only primary_conninfo can be changed");
  this->State.setPendingConninfo(Sets ? unquoted(Words[ValueIndex]) : "");
  return tagged("ALTER SYSTEM");
}

SqlResult SqlSession::copy(const Tokens &Words) {
  if (!contains(Words, {"TO", "STDOUT"}))
    return this->refuse(Words);
  SqlResult Result = tagged("COPY 0");
  Result.IsCopyOut = true;
  return Result;
}

SqlResult SqlSession::refuse(const Tokens &Words) {
  return failed("0A000", Words.front() + " is not supported by the stand-in");
}

namespace {

// pg_control_checkpoint() is a function that returns a row; here it is a view.
std::string withoutCallsOfViews(std::string Sql) {
  static const std::string Call = "pg_control_checkpoint()";
  const std::size_t At = Sql.find(Call);
  if (At != std::string::npos)
    Sql.erase(At + Call.size() - 2, 2);
  return Sql;
}

} // namespace

SqliteStatement SqlSession::prepare(const std::string &Sql) {
  this->UsesTables = false;
  this->IsTemporary = false;
  this->Context.Failure.reset();
  sqlite3_stmt *Raw = nullptr;
  const std::string Text = withoutCallsOfViews(Sql);
  const char *Rest = nullptr;
  sqlite3_prepare_v2(this->Handle.get(), Text.c_str(),
                     static_cast<int>(Text.size()), &Raw, &Rest);
  SqliteStatement Prepared(Raw);
  if (Rest != nullptr && std::string_view(Rest).find_first_not_of("; \t\r\n") !=
                             std::string_view::npos) {
    this->Context.Failure =
        SqlFailure{"42601", "cannot insert multiple commands into a prepared "
                            "statement"};
    return {};
  }
  return Prepared;
}

SqlResult SqlSession::describe(const std::string &Sql,
                               std::size_t &ParamCount) {
  ParamCount = 0;
  std::string Text = stripped(Sql);
  removeRowLock(Text, tokenize(Text, AllTokens));
  const SqliteStatement Prepared = this->prepare(Text);
  SqlResult Result;
  if (!Prepared)
    return Result; // Commands of the session have no columns.
  for (int I = 1; I <= sqlite3_bind_parameter_count(Prepared.get()); ++I)
    ParamCount = std::max(ParamCount, paramNumber(Prepared.get(), I));
  Result.Columns = readColumns(Prepared.get(), false);
  return Result;
}

std::optional<SqlFailure> SqlSession::bind(sqlite3_stmt *Prepared,
                                           const Params &Values) {
  for (int I = 1; I <= sqlite3_bind_parameter_count(Prepared); ++I) {
    const std::size_t Number = paramNumber(Prepared, I);
    if (Number == 0 || Number > Values.size())
      return SqlFailure{"08P01", "bind message supplies " +
                                     std::to_string(Values.size()) +
                                     " parameters, but the statement needs $" +
                                     std::to_string(Number)};
    const auto &Value = Values[Number - 1];
    if (Value)
      sqlite3_bind_text(Prepared, I, Value->c_str(),
                        static_cast<int>(Value->size()), SQLITE_STATIC);
  }
  return std::nullopt;
}

SqlResult SqlSession::runData(const std::string &Sql, const Tokens &Words,
                              const Params &Values) {
  std::string Text = Sql;
  const bool Locks = removeRowLock(Text, Words);
  const SqliteStatement Prepared = this->prepare(Text);
  if (!Prepared) {
    const SqlFailure Failure = this->lastFailure();
    return failed(Failure.SqlState, Failure.Message);
  }
  if (this->IsTemporary)
    return this->refuse(Words);
  if (const auto Failure = this->bind(Prepared.get(), Values))
    return failed(Failure->SqlState, Failure->Message);
  if (this->Current == Mode::None)
    this->startTransaction(Mode::Implicit);
  const bool Write = Locks || sqlite3_stmt_readonly(Prepared.get()) == 0;
  SqlResult Result = this->runPrepared(Prepared.get(), Write, Words);
  if (!Result.Failure && sqlite3_stmt_readonly(Prepared.get()) == 0)
    this->Pending.push_back({Text, Values});
  return Result;
}

// PostgreSQL parses and plans a named statement once. Only reads outside a
// failed transaction are kept here; all others are parsed each time.
SqlResult SqlSession::runKept(const std::string &Sql, const Params &Values) {
  const auto Found = this->Plans.find(Sql);
  if (this->Current == Mode::Failed || !Values.empty())
    return this->dispatch(stripped(Sql), Values);
  if (Found != this->Plans.end()) {
    this->UsesTables = Found->second.UsesTables;
    this->Context.Failure.reset();
    if (this->Current == Mode::None)
      this->startTransaction(Mode::Implicit);
    return this->runPrepared(Found->second.Prepared.get(), false,
                             Found->second.Words);
  }
  const std::string Text = stripped(Sql);
  SqlResult Result = this->dispatch(Text, Values);
  Tokens Words = tokenize(Text, AllTokens);
  if (Result.Failure || !startsWith(Words, {"SELECT"}) ||
      contains(Words, {"FOR", "UPDATE"}))
    return Result;
  Plan Kept;
  Kept.Prepared = this->prepare(Text);
  Kept.UsesTables = this->UsesTables;
  Kept.Words = std::move(Words);
  if (Kept.Prepared)
    this->Plans[Sql] = std::move(Kept);
  return Result;
}

SqlResult SqlSession::runPrepared(sqlite3_stmt *Prepared, bool Write,
                                  const Tokens &Words) {
  if (Write && (this->Context.ReadOnly || this->State.isInRecovery()))
    return failed("25006", "cannot execute " + Words.front() +
                               " in a read-only transaction");
  bool HoldsSlot = false;
  std::optional<SqlFailure> Failure;
  if (this->UsesTables)
    Failure = this->occupySlot(HoldsSlot);
  if (!Failure && this->IsSnapshot && !this->InSqlite) {
    this->InSqlite = true;
    execSqlite(this->Handle.get(), "BEGIN");
  }
  // A slot is never held while waiting for the write lock, because the lock's
  // holder needs a slot for its next statement.
  if (Write && HoldsSlot && !this->HoldsWriter) {
    this->State.Slots.release();
    HoldsSlot = false;
  }
  if (!Failure && Write)
    Failure = this->startWrite();
  SqlResult Result = Failure ? failed(Failure->SqlState, Failure->Message)
                             : this->step(Prepared, Words);
  sqlite3_reset(Prepared);
  if (HoldsSlot)
    this->State.Slots.release();
  return Result;
}

std::optional<SqlFailure> SqlSession::occupySlot(bool &Held) {
  Held = this->State.Slots.acquire(SlotTimeout, this->Session.Terminated);
  if (!Held)
    return SqlFailure{"57014", "no slot became free"};
  const auto ServiceTime = this->State.settings().ServiceTime;
  if (ServiceTime.count() > 0)
    std::this_thread::sleep_for(ServiceTime);
  return std::nullopt;
}

std::optional<SqlFailure> SqlSession::startWrite() {
  if (!this->HoldsWriter) {
    this->HoldsWriter =
        this->State.Writer.acquire(LockTimeout, this->Session.Terminated);
    if (!this->HoldsWriter)
      return SqlFailure{"40001", "could not get the write lock in time"};
  }
  if (this->State.isInRecovery())
    return SqlFailure{"25006", "cannot write in a read-only transaction"};
  if (this->InSqlite)
    return std::nullopt;
  if (execSqlite(this->Handle.get(), "BEGIN IMMEDIATE") != SQLITE_OK)
    return this->lastFailure();
  this->InSqlite = true;
  return std::nullopt;
}

SqlResult SqlSession::step(sqlite3_stmt *Prepared, const Tokens &Words) {
  SqlResult Result;
  int Code = sqlite3_step(Prepared);
  Result.Columns = readColumns(Prepared, Code == SQLITE_ROW);
  const int Count = sqlite3_column_count(Prepared);
  for (; Code == SQLITE_ROW; Code = sqlite3_step(Prepared)) {
    auto &Row = Result.Rows.emplace_back();
    for (int I = 0; I < Count; ++I)
      Row.push_back(readValue(
          Prepared, I, Result.Columns[static_cast<std::size_t>(I)].Type));
  }
  if (Code != SQLITE_DONE) {
    const SqlFailure Failure = this->lastFailure();
    return failed(Failure.SqlState, Failure.Message);
  }
  Result.Tag = dataTag(Words, sqlite3_stmt_readonly(Prepared) != 0,
                       Result.Rows.size(), this->Handle.get());
  return Result;
}

SqlFailure SqlSession::lastFailure() {
  if (this->Context.Failure)
    return *std::exchange(this->Context.Failure, std::nullopt);
  const std::string Message = sqlite3_errmsg(this->Handle.get());
  return {sqlStateOf(sqlite3_extended_errcode(this->Handle.get()), Message),
          Message};
}

std::optional<SqlFailure> SqlSession::finish() {
  bool Committed = true;
  if (!this->Pending.empty())
    Committed = !this->isTerminated() &&
                this->State.commit(std::exchange(this->Pending, {}), [this] {
                  return execSqlite(this->Handle.get(), "COMMIT") == SQLITE_OK;
                });
  if (Committed && sqlite3_get_autocommit(this->Handle.get()) != 0)
    this->InSqlite = false;
  this->undo(); // Ends a transaction that wrote nothing.
  this->Current = Mode::None;
  if (Committed)
    return std::nullopt;
  if (this->isTerminated())
    return terminated();
  return SqlFailure{"40001", "the transaction could not be committed"};
}

void SqlSession::undo() {
  if (this->InSqlite)
    execSqlite(this->Handle.get(), "ROLLBACK");
  this->InSqlite = false;
  this->Pending.clear();
  if (std::exchange(this->HoldsWriter, false))
    this->State.Writer.release();
}

void SqlSession::fail() {
  this->undo();
  this->Current =
      this->Current == Mode::Explicit || this->Current == Mode::Failed
          ? Mode::Failed
          : Mode::None;
}

std::optional<SqlFailure> SqlSession::endImplicit() {
  if (this->Current != Mode::Implicit)
    return std::nullopt;
  return this->finish();
}

void SqlSession::abortImplicit() {
  if (this->Current == Mode::Implicit)
    this->fail();
}

char SqlSession::status() const {
  switch (this->Current) {
  case Mode::Explicit:
    return 'T';
  case Mode::Failed:
    return 'E';
  default:
    return 'I';
  }
}

} // namespace lavenderdale::standin
