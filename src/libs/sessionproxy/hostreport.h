#pragma once

#include "base/result.h"
#include "placement/evacuations.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// What a host reports about one group.
struct GroupReport {
  std::string Group;
  /// Age of the last proof that the primary is still the primary; -1 without
  /// one.
  std::int64_t PrimaryProofAgeMs = -1;
  bool Suspects = false; ///< Whether the host suspects the primary.
  /// Member whose promotion the host recently ordered.
  std::string PromotionOrdered;
};

/// What a host reports about one workspace.
struct DemandReport {
  std::string Workspace;
  double Demand = 0; ///< Operations per second, including refused ones.
  double Used = 0;   ///< Operations admitted in the last window.
};

/// The message that each host periodically sends to all others.
struct HostReport {
  static constexpr std::uint32_t CurrentFormat = 3;

  std::uint32_t Format = CurrentFormat;
  std::string Host;
  std::string FailureDomain;
  std::string Address;         ///< Where the sender receives reports (UDP) and
                               ///< relayed work (TCP).
  std::string Internal;        ///< Where the sender serves its catalogue.
  std::uint64_t StartedAt = 0; ///< In milliseconds; identifies the process.
  std::uint64_t Sequence = 0;
  std::uint64_t CatalogueVersion = 0;
  /// Time since the store last confirmed that version; -1 if it never did.
  std::int64_t CatalogueAgeMs = -1;
  bool Leaving = false;
  /// The receiver is asked to report to the sender at once, because the path
  /// between them may be cut.
  bool WantsAnswer = false;
  std::vector<GroupReport> Groups;
  /// Processor capacity of the sender in cores; 0 if it is not declared.
  double Capacity = 0;
  /// The evacuated failure domains as the sender knows them; nothing if it has
  /// not read them, or they do not fit into a message.
  std::optional<EvacuationSet> Evacuated;
  /// In a small fleet, the demand at the sender; in a large one, the use of the
  /// workspaces of which the sender owns the rate.
  std::vector<DemandReport> Demands;
};

/// Up to this number of hosts, each host reports to all others four times a
/// second and knows the demand of all. Rate limits are then divided among the
/// hosts by demand, and waits for the store need not be longer. In larger
/// fleets the share of a host is less than one operation, and reports are too
/// infrequent to adjust the shares in time.
constexpr std::size_t SmallFleet = 12;

/// Interval at which each of \p Hosts hosts reports to all others. At 250 ms, a
/// change of demand reaches all hosts well within the 5 s window of the rate
/// limit. The interval grows in larger fleets, so that a host sends and
/// receives at most about fifty reports a second.
std::chrono::milliseconds reportInterval(std::size_t Hosts);

/// Number of batches in which a host sends its report to the others, spread
/// over the interval. A single burst to a large fleet overflows a slow link,
/// which then loses the reports to the same hosts each time.
std::size_t reportParts(std::size_t Hosts);

/// Age up to which a host's last report is considered recent: five intervals.
std::chrono::milliseconds reportLifetime(std::size_t Hosts);

/// Age up to which a host's last report shows that there is a path from it: one
/// and a half intervals, and enough for two lost reports in a small fleet.
std::chrono::milliseconds contactLifetime(std::size_t Hosts);

/// Encodes \p Report as CBOR.
std::string encodeReport(const HostReport &Report);

/// Decodes a report. Errors: BadRequest if \p Bytes is not a report of
/// HostReport::CurrentFormat.
Result<HostReport> decodeReport(std::string_view Bytes);

} // namespace lavenderdale
