#pragma once

#include "controlfunctions.h"
#include "sqlite.h"

#include <cstdint>
#include <map>

namespace lavenderdale::standin {

/// Runs the statements of one session on SQLite with PostgreSQL's transaction
/// rules at isolation level READ COMMITTED: until its first write a transaction
/// reads the last committed data; from then on it holds the one write lock.
/// With REPEATABLE READ or SERIALIZABLE it has one snapshot, and a write after
/// another transaction's commit fails with SQLSTATE 40001.
class SqlSession {
public:
  SqlSession(DatabaseState &State, SessionInfo &Session);
  ~SqlSession();
  SqlSession(const SqlSession &) = delete;
  SqlSession &operator=(const SqlSession &) = delete;

  /// Runs one statement.
  /// \param Keep whether its plan is kept, as for a named statement.
  SqlResult execute(const std::string &Sql,
                    const std::vector<std::optional<std::string>> &Params,
                    bool Keep = false);

  /// The columns of a statement without running it.
  SqlResult describe(const std::string &Sql, std::size_t &ParamCount);

  /// Ends the implicit transaction, as Sync and the end of a query do.
  std::optional<SqlFailure> endImplicit();

  /// Rolls the implicit transaction back after a failure.
  void abortImplicit();

  /// 'I', 'T' or 'E', as in ReadyForQuery.
  char status() const;

private:
  enum class Mode { None, Implicit, Explicit, Failed };
  using Tokens = std::vector<std::string>;
  using Params = std::vector<std::optional<std::string>>;
  using Command = SqlResult (SqlSession::*)(const Tokens &);
  struct CommandRow;

  /// A named statement after its first use.
  struct Plan {
    SqliteStatement Prepared;
    Tokens Words;
    bool UsesTables = false;
  };

  SqlResult dispatch(const std::string &Sql, const Params &Values);
  SqlResult runKept(const std::string &Sql, const Params &Values);
  SqlResult begin(const Tokens &Words);
  SqlResult commit(const Tokens &Words);
  SqlResult rollback(const Tokens &Words);
  SqlResult discard(const Tokens &Words);
  SqlResult deallocate(const Tokens &Words);
  SqlResult set(const Tokens &Words);
  SqlResult reset(const Tokens &Words);
  SqlResult show(const Tokens &Words);
  SqlResult alterSystem(const Tokens &Words);
  SqlResult copy(const Tokens &Words);
  SqlResult refuse(const Tokens &Words);

  SqlResult runData(const std::string &Sql, const Tokens &Words,
                    const Params &Values);
  SqlResult runPrepared(sqlite3_stmt *Prepared, bool Write,
                        const Tokens &Words);
  SqlResult step(sqlite3_stmt *Prepared, const Tokens &Words);
  SqliteStatement prepare(const std::string &Sql);
  std::optional<SqlFailure> bind(sqlite3_stmt *Prepared, const Params &Values);
  std::optional<SqlFailure> occupySlot(bool &Held);
  std::optional<SqlFailure> startWrite();
  std::optional<SqlFailure> finish();
  void startTransaction(Mode Started);
  void applyOptions(const Tokens &Words);
  void undo();
  void fail();
  SqlFailure lastFailure();
  bool isTerminated() const { return this->Session.Terminated; }
  static int authorize(void *Arg, int Action, const char *First,
                       const char *Second, const char *Database, const char *);

  DatabaseState &State;
  SessionInfo &Session;
  ControlContext Context;
  SqliteHandle Handle;
  std::map<std::string, Plan> Plans; // By text; destroyed before the handle.
  Mode Current = Mode::None;
  bool IsSnapshot = false;
  bool HoldsWriter = false;
  bool InSqlite = false;    // A SQLite transaction is open.
  bool UsesTables = false;  // Set while a statement is prepared.
  bool IsTemporary = false; // Likewise.
  std::uint64_t Transaction = 0;
  std::vector<LoggedStatement> Pending;
};

} // namespace lavenderdale::standin
