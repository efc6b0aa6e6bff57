#pragma once

#include "databaseoptions.h"

#include <json/value.h>

#include <memory>
#include <string>

namespace lavenderdale::standin {

/// A stand-in for one PostgreSQL database: the protocol on a loopback port,
/// data in SQLite, replication between stand-ins. It listens from its
/// construction to its destruction.
class StandinDatabase {
public:
  /// \throws std::runtime_error if it cannot listen or InitSql fails.
  explicit StandinDatabase(const DatabaseOptions &Options);
  ~StandinDatabase();
  StandinDatabase(const StandinDatabase &) = delete;
  StandinDatabase &operator=(const StandinDatabase &) = delete;

  std::uint16_t port() const;

  /// "host=127.0.0.1 port=N", for the replicas of this database.
  std::string conninfo() const;

  DatabaseSettings settings() const;
  void setSettings(const DatabaseSettings &Settings);

  /// Stops answering for a time, as a paused process; sockets stay open.
  void freeze(std::chrono::milliseconds Duration);

  /// \param What "new": connections are refused; "all": existing ones are
  /// closed too; "replication": no replication in either direction.
  /// \returns false for another word.
  bool cut(const std::string &What, bool On);

  /// As pg_promote().
  bool promote();

  /// Becomes a replica of the primary at \p PrimaryConninfo, with its data.
  /// \returns false if the primary could not be copied.
  bool rejoin(const std::string &PrimaryConninfo);

  /// Role, positions, sessions and settings, as of GET /state.
  Json::Value state() const;

  /// The last statements, oldest first, as of GET /log.
  Json::Value log(std::size_t Limit) const;

private:
  class Impl;
  std::unique_ptr<Impl> Internal;
};

} // namespace lavenderdale::standin
