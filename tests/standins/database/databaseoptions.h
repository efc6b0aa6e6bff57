#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lavenderdale::standin {

/// Values that can be changed while the database runs.
struct DatabaseSettings {
  /// Client sessions; further ones are refused with SQLSTATE 53300.
  unsigned Connections = 100;
  /// Statements on tables that are served at once; the rest wait in order.
  unsigned Slots = 16;
  /// Time that each statement on tables occupies its slot.
  std::chrono::microseconds ServiceTime{0};
  /// Time from the startup message to its answer.
  std::chrono::milliseconds ConnectDelay{0};
  /// Replicas: time until a record that arrived counts as received.
  std::chrono::milliseconds ReceiveLag{0};
  /// Replicas: time from receipt of a record until it is replayed.
  std::chrono::milliseconds ReplayLag{0};
  /// Time from pg_reload_conf() until the changed settings are in force.
  std::chrono::milliseconds ReloadDelay{5};
  /// Replicas: a primary that is silent for longer is connected to again. As
  /// PostgreSQL's wal_receiver_timeout, with its default.
  std::chrono::milliseconds ReceiverTimeout{60000};
};

struct DatabaseOptions {
  std::string Address = "127.0.0.1"; ///< Numeric address to listen on.
  std::uint16_t Port = 0;            ///< 0: the kernel chooses.
  std::uint16_t AdminPort = 0;       ///< 0: the kernel chooses.
  std::string Name = "database";
  /// "host=H port=P" of the primary; empty for a primary.
  std::string PrimaryConninfo;
  /// Statements run before the log starts. They are not replicated, so that
  /// all databases of a group are given the same text.
  std::string InitSql;
  DatabaseSettings Settings;
};

} // namespace lavenderdale::standin
