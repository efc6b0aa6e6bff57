#pragma once

#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// What a host reports of one group.
struct GroupReport {
  std::string Group;
  std::int64_t ProvenAgeMs = -1; ///< Age of the last proof; -1 without one.
  bool Suspects = false;
  std::string Ordered; ///< Member whose promotion this host ordered lately.
};

/// What a host reports of one workspace.
struct DemandReport {
  std::string Workspace;
  double Demand = 0; ///< Operations per second, refused ones included.
  double Used = 0;   ///< Operations admitted in the last window.
};

/// The message that hosts send each other at intervals.
struct HostReport {
  static constexpr std::uint32_t CurrentFormat = 3;

  std::uint32_t Format = CurrentFormat;
  std::string Host;
  std::string FailureDomain;
  std::string Address;         ///< Where the sender takes reports (UDP) and
                               ///< work for its upstreams (TCP).
  std::string Internal;        ///< Where the sender serves its catalogue.
  std::uint64_t StartedAt = 0; ///< Milliseconds; tells processes apart.
  std::uint64_t Sequence = 0;
  std::uint64_t CatalogueVersion = 0;
  /// Since the store last confirmed that version; -1 if it never did.
  std::int64_t CatalogueAgeMs = -1;
  bool Leaving = false;
  std::vector<GroupReport> Groups;
  std::vector<DemandReport> Demands;
};

/// Up to this number of hosts, each one reports to all others four times a
/// second and knows the demand of all; rates are shared by demand, and waits
/// for the store need not grow. In larger fleets a host's part of a rate is
/// less than one operation, and reports come too seldom to shift parts in time.
constexpr std::size_t SmallFleet = 12;

/// Interval at which each of \p Hosts hosts reports to all others. A quarter
/// of a second lets a changed demand reach all hosts well inside the rate's
/// window of 5 s; in larger fleets it grows, so that a host sends and receives
/// at most about fifty reports a second.
std::chrono::milliseconds reportInterval(std::size_t Hosts);

/// Number of parts in which a host sends its report to the others, spread over
/// the interval: one burst to a large fleet overflows a slow link, which then
/// loses the reports to the same hosts each time.
std::size_t reportParts(std::size_t Hosts);

/// Age beyond which a host's last report counts as silence: five intervals.
std::chrono::milliseconds reportLifetime(std::size_t Hosts);

/// Encodes \p Report as CBOR.
std::string encodeReport(const HostReport &Report);

/// Errors: BadRequest for bytes that are not a report of this format.
Result<HostReport> decodeReport(std::string_view Bytes);

} // namespace lavenderdale
