#pragma once

#include <sqlite3.h>

#include <memory>
#include <string>

namespace lavenderdale::standin {

struct CloseSqlite {
  void operator()(sqlite3 *Closed) const { sqlite3_close_v2(Closed); }
};
struct FinalizeSqlite {
  void operator()(sqlite3_stmt *Finalized) const {
    sqlite3_finalize(Finalized);
  }
};

using SqliteHandle = std::unique_ptr<sqlite3, CloseSqlite>;
using SqliteStatement = std::unique_ptr<sqlite3_stmt, FinalizeSqlite>;

/// Opens the database file in WAL mode.
/// \throws std::runtime_error if it cannot be opened.
SqliteHandle openSqlite(const std::string &File);

/// Runs statements without results.
/// \returns the SQLite result code.
int execSqlite(sqlite3 *Handle, const std::string &Sql);

/// Copies the whole database into one string.
std::string dumpSqlite(sqlite3 *Handle);

/// Replaces the content of the database by that of dumpSqlite().
/// \returns false if it could not be replaced.
bool restoreSqlite(sqlite3 *Handle, std::string Image);

} // namespace lavenderdale::standin
