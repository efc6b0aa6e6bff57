#include "controlfunctions.h"

#include "sqlite.h"

#include "base/strictjson.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace lavenderdale::standin {
namespace {

using Arguments = sqlite3_value **;

ControlContext &contextOf(sqlite3_context *Call) {
  return *static_cast<ControlContext *>(sqlite3_user_data(Call));
}

void resultText(sqlite3_context *Call, const std::string &Text) {
  sqlite3_result_text(Call, Text.c_str(), static_cast<int>(Text.size()),
                      SQLITE_TRANSIENT);
}

void resultBool(sqlite3_context *Call, bool Value) {
  sqlite3_result_int(Call, Value ? 1 : 0);
  sqlite3_result_subtype(Call, BooleanSubtype);
}

void resultLsn(sqlite3_context *Call, std::optional<Lsn> Position) {
  if (Position)
    resultText(Call, formatLsn(*Position));
  else
    sqlite3_result_null(Call);
}

void resultFailure(sqlite3_context *Call, SqlFailure Failure) {
  sqlite3_result_error(Call, Failure.Message.c_str(), -1);
  contextOf(Call).Failure = std::move(Failure);
}

std::string argumentText(sqlite3_value *Argument) {
  const auto *Text =
      reinterpret_cast<const char *>(sqlite3_value_text(Argument));
  return Text == nullptr ? "" : Text;
}

void isInRecovery(sqlite3_context *Call, int, Arguments) {
  resultBool(Call, contextOf(Call).State.isInRecovery());
}

// Whether a log function may run; PostgreSQL refuses them during recovery.
bool allowLogFunction(sqlite3_context *Call) {
  ControlContext &Context = contextOf(Call);
  if (Context.Session == nullptr || !Context.State.isInRecovery())
    return true;
  resultFailure(Call, {"55000", "recovery is in progress"});
  return false;
}

void currentWalLsn(sqlite3_context *Call, int, Arguments) {
  if (allowLogFunction(Call))
    resultLsn(Call, contextOf(Call).State.written());
}

void lastReceiveLsn(sqlite3_context *Call, int, Arguments) {
  resultLsn(Call, contextOf(Call).State.received());
}

void lastReplayLsn(sqlite3_context *Call, int, Arguments) {
  DatabaseState &State = contextOf(Call).State;
  if (State.isInRecovery())
    resultLsn(Call, State.replayed());
  else
    resultLsn(Call, State.received());
}

void walFileNameOf(sqlite3_context *Call, int, Arguments Values) {
  if (!allowLogFunction(Call))
    return;
  const auto Position = parseLsn(argumentText(Values[0]));
  if (!Position)
    resultFailure(Call, {"22P02", "invalid input syntax for type pg_lsn"});
  else
    resultText(Call,
               walFileName(contextOf(Call).State.history().back().Timeline,
                           *Position));
}

void walLsnDiff(sqlite3_context *Call, int, Arguments Values) {
  const auto First = parseLsn(argumentText(Values[0]));
  const auto Second = parseLsn(argumentText(Values[1]));
  if (First && Second)
    sqlite3_result_int64(Call, static_cast<sqlite3_int64>(*First - *Second));
  else
    resultFailure(Call, {"22P02", "invalid input syntax for type pg_lsn"});
}

void currentSetting(sqlite3_context *Call, int Count, Arguments Values) {
  const std::string Name = argumentText(Values[0]);
  const auto Value = settingValue(contextOf(Call), Name);
  const bool MissingOk = Count > 1 && sqlite3_value_int(Values[1]) != 0;
  if (Value)
    resultText(Call, *Value);
  else if (MissingOk)
    sqlite3_result_null(Call);
  else
    resultFailure(Call, {"42704", "unrecognized configuration parameter \"" +
                                      Name + "\""});
}

void promote(sqlite3_context *Call, int, Arguments) {
  ControlContext &Context = contextOf(Call);
  if (!Context.State.isInRecovery())
    resultFailure(Call, {"55000", "recovery is not in progress"});
  else
    resultBool(Call, Context.State.promote());
}

void reloadConf(sqlite3_context *Call, int, Arguments) {
  contextOf(Call).State.reload();
  resultBool(Call, true);
}

void backendPid(sqlite3_context *Call, int, Arguments) {
  const SessionInfo *Session = contextOf(Call).Session;
  sqlite3_result_int(Call, Session == nullptr ? 0 : Session->Pid);
}

void terminateBackend(sqlite3_context *Call, int, Arguments Values) {
  const int Pid = sqlite3_value_int(Values[0]);
  resultBool(Call, contextOf(Call).State.terminateSession(Pid));
}

void sleepSeconds(sqlite3_context *Call, int, Arguments Values) {
  ControlContext &Context = contextOf(Call);
  const std::chrono::duration<double> Seconds(sqlite3_value_double(Values[0]));
  if (Context.Session != nullptr)
    Context.State.sleep(
        std::chrono::duration_cast<DatabaseState::Clock::duration>(Seconds),
        Context.Session->Terminated);
  resultText(Call, "");
}

void activityJson(sqlite3_context *Call, int, Arguments) {
  Json::Value Sessions(Json::arrayValue);
  contextOf(Call).State.forEachSession([&](const SessionInfo &Session) {
    if (!Session.IsClient && !Session.IsReplication)
      return;
    Json::Value Row;
    Row["pid"] = Session.Pid;
    Row["application_name"] = Session.ApplicationName;
    Row["usename"] = Session.User;
    Row["datname"] = Session.Database;
    Row["state"] = Session.Status;
    Row["backend_type"] =
        Session.IsReplication ? "walsender" : "client backend";
    Sessions.append(Row);
  });
  resultText(Call, writeCompactJson(Sessions));
}

void receiverJson(sqlite3_context *Call, int, Arguments) {
  DatabaseState &State = contextOf(Call).State;
  Json::Value Rows(Json::arrayValue);
  if (State.isReceiving()) {
    Json::Value Row;
    Row["status"] = "streaming";
    Row["received_tli"] = State.history().back().Timeline;
    Row["conninfo"] = State.primaryConninfo();
    Row["flushed_lsn"] = formatLsn(State.received().value_or(InitialLsn));
    Rows.append(Row);
  }
  resultText(Call, writeCompactJson(Rows));
}

void timelineOf(sqlite3_context *Call, int, Arguments) {
  sqlite3_result_int64(Call,
                       static_cast<sqlite3_int64>(
                           contextOf(Call).State.history().back().Timeline));
}

struct Function {
  const char *Name;
  int ArgumentCount;
  void (*Call)(sqlite3_context *, int, Arguments);
};

constexpr Function Functions[] = {
    {"pg_is_in_recovery", 0, isInRecovery},
    {"pg_current_wal_lsn", 0, currentWalLsn},
    {"pg_last_wal_receive_lsn", 0, lastReceiveLsn},
    {"pg_last_wal_replay_lsn", 0, lastReplayLsn},
    {"pg_walfile_name", 1, walFileNameOf},
    {"pg_wal_lsn_diff", 2, walLsnDiff},
    {"current_setting", 1, currentSetting},
    {"current_setting", 2, currentSetting},
    {"pg_promote", 0, promote},
    {"pg_promote", 1, promote},
    {"pg_promote", 2, promote},
    {"pg_reload_conf", 0, reloadConf},
    {"pg_backend_pid", 0, backendPid},
    {"pg_terminate_backend", 1, terminateBackend},
    {"pg_sleep", 1, sleepSeconds},
    {"standin_activity", 0, activityJson},
    {"standin_receiver", 0, receiverJson},
    {"standin_timeline", 0, timelineOf},
};

constexpr auto Views =
    "CREATE TEMP VIEW pg_stat_activity AS SELECT"
    " json_extract(value, '$.pid') AS pid,"
    " json_extract(value, '$.datname') AS datname,"
    " json_extract(value, '$.usename') AS usename,"
    " json_extract(value, '$.application_name') AS application_name,"
    " json_extract(value, '$.state') AS state,"
    " json_extract(value, '$.backend_type') AS backend_type"
    " FROM json_each(standin_activity());"
    "CREATE TEMP VIEW pg_stat_wal_receiver AS SELECT"
    " json_extract(value, '$.status') AS status,"
    " json_extract(value, '$.received_tli') AS received_tli,"
    " json_extract(value, '$.flushed_lsn') AS flushed_lsn,"
    " json_extract(value, '$.conninfo') AS conninfo"
    " FROM json_each(standin_receiver());"
    "CREATE TEMP VIEW pg_control_checkpoint AS SELECT"
    " standin_timeline() AS timeline_id;";

} // namespace

void addControlFunctions(sqlite3 *Handle, ControlContext &Context) {
  for (const Function &Added : Functions)
    sqlite3_create_function_v2(Handle, Added.Name, Added.ArgumentCount,
                               SQLITE_UTF8, &Context, Added.Call, nullptr,
                               nullptr, nullptr);
  if (execSqlite(Handle, Views) != SQLITE_OK)
    throw std::runtime_error(std::string("cannot create the views: ") +
                             sqlite3_errmsg(Handle));
}

std::optional<std::string> settingValue(ControlContext &Context,
                                        const std::string &Name) {
  std::string Key(Name);
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  const bool Recovery = Context.State.isInRecovery();
  if (Key == "primary_conninfo")
    return Context.State.primaryConninfo();
  if (Key == "transaction_read_only")
    return Recovery || Context.ReadOnly ? "on" : "off";
  if (Key == "application_name" && Context.Session != nullptr)
    return Context.Session->ApplicationName;
  if (const auto Found = Context.SessionSettings.find(Key);
      Found != Context.SessionSettings.end())
    return Found->second;
  if (Key == "server_version")
    return "15.0";
  if (Key == "max_connections")
    return std::to_string(Context.State.settings().Connections);
  if (Key == "default_transaction_read_only")
    return "off";
  return std::nullopt;
}

} // namespace lavenderdale::standin
