#pragma once

#include "databasestate.h"
#include "wireconnection.h"

#include <deque>
#include <map>
#include <memory>

namespace lavenderdale::standin {

/// Address and port of a conninfo string.
struct ConnectTarget {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Reads "host=H port=P"; other settings in the string are ignored.
std::optional<ConnectTarget> parseConninfo(const std::string &Conninfo);

/// The state of a primary as sent by BASE_BACKUP.
struct BaseBackup {
  TimelineHistory History;
  Lsn Position = InitialLsn;
  std::string Image;
};

/// Fetches the state of the database at \p Target.
std::optional<BaseBackup> fetchBackup(const ConnectTarget &Target);

/// The receiving side of replication. receive() and replay() each run on a
/// thread of their own until the state stops.
class ReplicationReceiver {
public:
  explicit ReplicationReceiver(DatabaseState &State) : State(State) {}

  /// Follows the primary of primary_conninfo as long as there is one.
  void receive();

  /// Applies received records after the replay lag.
  void replay();

private:
  using Clock = DatabaseState::Clock;
  struct Arrived {
    LogRecord Record;
    Clock::time_point DueAt;
  };

  /// \returns why the stream ended.
  std::string stream(const std::string &Conninfo);
  std::string readStream(WireConnection &Wire, const std::string &Conninfo);
  bool takeMessage(const WireMessage &Message);
  void takeDue();
  bool isTarget(const std::string &Conninfo);
  bool
  replayBatch(sqlite3 *Handle,
              const std::vector<std::shared_ptr<const LogRecord>> &Records);

  DatabaseState &State;
  std::deque<Arrived> InFlight; // Arrived, but not yet received (lag).
};

} // namespace lavenderdale::standin
