#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace lavenderdale {

/// Decides when a host fetches the catalogue from another host, because the
/// store has not sent it the version that the other one reports.
///
/// Load pattern: the store refuses a third of the hosts of a large fleet while
/// operators change the catalogue. Between two reports of hosts with the new
/// version come several of hosts that lack it too, which say nothing about the
/// lag of this host.
class CatalogueLag {
public:
  /// Time that the store has to send a version that another host has already.
  static constexpr std::chrono::milliseconds FetchDelay{400};

  /// A host reported its version.
  /// \param Reported version in force at that host; 0 for none.
  /// \param Own version in force at this host; 0 for none.
  /// \returns whether to fetch the catalogue of that host now.
  bool reportReceived(std::uint64_t Reported, std::uint64_t Own, TimePoint Now);

  /// A fetch ended at \p Now, with or without success. The next one waits for
  /// FetchDelay again.
  void fetchEnded(TimePoint Now);

private:
  std::uint64_t Newest = 0; ///< That any host has reported.
  std::uint64_t Own = 0;    ///< At the last report.
  std::optional<TimePoint> BehindSince;
};

} // namespace lavenderdale
