#pragma once

#include "databasestate.h"
#include "wireconnection.h"

namespace lavenderdale::standin {

/// Message types inside CopyData between stand-ins.
namespace replicationtype {
inline constexpr char History = 'h';   ///< encodeHistory().
inline constexpr char Record = 'w';    ///< encodeRecord().
inline constexpr char KeepAlive = 'k'; ///< No content.
inline constexpr char Position = 'p';  ///< Position of a base backup.
inline constexpr char Image = 'b';     ///< dumpSqlite().
} // namespace replicationtype

/// Serves a connection whose startup message has replication=true. Queries:
/// "START_REPLICATION <lsn> <history>" streams records, "BASE_BACKUP" sends
/// the whole state.
class ReplicationSender {
public:
  ReplicationSender(DatabaseState &State, SessionInfo &Session,
                    WireConnection &Wire)
      : State(State), Session(Session), Wire(Wire) {}

  /// Returns when the connection has ended.
  void run();

private:
  void stream(const std::string &Position, const std::string &History);
  void sendBackup();
  void sendFailure(const std::string &Message);
  void putCopy(char Type, const std::string &Body);
  bool flush();
  bool mustEnd() const;

  DatabaseState &State;
  SessionInfo &Session;
  WireConnection &Wire;
};

/// The history as one word, "1:3000000,2:30000A8" (hexadecimal positions).
std::string printHistory(const TimelineHistory &History);
std::optional<TimelineHistory> readHistory(const std::string &Text);

} // namespace lavenderdale::standin
