#pragma once

#include "timelinehistory.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale::standin {

/// A statement that changed data, to be run again on replicas.
struct LoggedStatement {
  std::string Sql;
  std::vector<std::optional<std::string>> Params;
};

/// One committed transaction.
struct LogRecord {
  Lsn End = 0;
  std::vector<LoggedStatement> Statements;
  /// When a replica received it, for the replay lag.
  std::chrono::steady_clock::time_point ReceivedAt;
};

/// Number of bytes that the statements occupy in the log.
Lsn logBytes(const std::vector<LoggedStatement> &Statements);

/// The record as sent to replicas.
std::string encodeRecord(const LogRecord &Record);
std::optional<LogRecord> decodeRecord(const std::string &Body);

/// The history as sent to replicas.
std::string encodeHistory(const TimelineHistory &History);
std::optional<TimelineHistory> decodeHistory(const std::string &Body);

} // namespace lavenderdale::standin
