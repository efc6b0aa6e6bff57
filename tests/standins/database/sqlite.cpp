#include "sqlite.h"

#include <stdexcept>

namespace lavenderdale::standin {
namespace {

constexpr int BusyTimeoutMs = 5000;

// The database header's format bytes. An in-memory database cannot be opened
// with the value 2 (WAL) of the file it was copied from.
constexpr std::size_t WriteVersionByte = 18;
constexpr std::size_t ReadVersionByte = 19;
constexpr char RollbackJournalVersion = 1;

// The file needs no durability, because it is removed at exit.
constexpr auto Pragmas = "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF; "
                         "PRAGMA temp_store=MEMORY; PRAGMA foreign_keys=ON;";

} // namespace

SqliteHandle openSqlite(const std::string &File) {
  sqlite3 *Raw = nullptr;
  const int Code = sqlite3_open_v2(File.c_str(), &Raw,
                                   SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
                                       SQLITE_OPEN_NOMUTEX,
                                   nullptr);
  SqliteHandle Handle(Raw);
  if (Code != SQLITE_OK)
    throw std::runtime_error("cannot open " + File);
  sqlite3_busy_timeout(Raw, BusyTimeoutMs);
  if (execSqlite(Raw, Pragmas) != SQLITE_OK)
    throw std::runtime_error("cannot set up " + File + ": " +
                             sqlite3_errmsg(Raw));
  return Handle;
}

int execSqlite(sqlite3 *Handle, const std::string &Sql) {
  return sqlite3_exec(Handle, Sql.c_str(), nullptr, nullptr, nullptr);
}

std::string dumpSqlite(sqlite3 *Handle) {
  sqlite3_int64 Size = 0;
  unsigned char *Bytes = sqlite3_serialize(Handle, "main", &Size, 0);
  if (Bytes == nullptr)
    return {};
  std::string Image(reinterpret_cast<char *>(Bytes),
                    static_cast<std::size_t>(Size));
  sqlite3_free(Bytes);
  return Image;
}

bool restoreSqlite(sqlite3 *Handle, std::string Image) {
  if (Image.size() <= ReadVersionByte)
    return false;
  Image[WriteVersionByte] = RollbackJournalVersion;
  Image[ReadVersionByte] = RollbackJournalVersion;
  sqlite3 *Raw = nullptr;
  const int Opened = sqlite3_open(":memory:", &Raw);
  const SqliteHandle Memory(Raw);
  const auto Size = static_cast<sqlite3_int64>(Image.size());
  if (Opened != SQLITE_OK ||
      sqlite3_deserialize(Raw, "main",
                          reinterpret_cast<unsigned char *>(Image.data()), Size,
                          Size, SQLITE_DESERIALIZE_READONLY) != SQLITE_OK)
    return false;
  sqlite3_backup *Backup = sqlite3_backup_init(Handle, "main", Raw, "main");
  if (Backup == nullptr)
    return false;
  sqlite3_backup_step(Backup, -1);
  return sqlite3_backup_finish(Backup) == SQLITE_OK;
}

} // namespace lavenderdale::standin
