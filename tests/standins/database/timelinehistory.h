#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale::standin {

/// A position in the write-ahead log, in bytes.
using Lsn = std::uint64_t;

/// Position at which a new database starts.
inline constexpr Lsn InitialLsn = 0x3000000;

/// Prints a position as PostgreSQL does: "X/XXXXXXXX".
std::string formatLsn(Lsn Position);

/// Reads a position printed by formatLsn().
std::optional<Lsn> parseLsn(const std::string &Text);

/// The name of the log file of a position; it starts with the timeline.
std::string walFileName(std::uint32_t Timeline, Lsn Position);

/// Where a timeline starts.
struct TimelineStart {
  std::uint32_t Timeline = 1;
  Lsn Start = InitialLsn;
  bool operator==(const TimelineStart &) const = default;
};

/// The timelines of a database, oldest first; never empty.
using TimelineHistory = std::vector<TimelineStart>;

/// Tells why a replica cannot follow a primary, or nothing if it can.
/// \param PrimaryEnd the end of the primary's log.
/// \param Position the replica's receive position.
std::optional<std::string> refuseToFollow(const TimelineHistory &Primary,
                                          Lsn PrimaryEnd,
                                          const TimelineHistory &Replica,
                                          Lsn Position);

} // namespace lavenderdale::standin
