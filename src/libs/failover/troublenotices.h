#pragma once

#include "base/timepoint.h"

#include <map>
#include <string>

namespace lavenderdale {

/// Limits how often a host that does not reach primaries tells so to the hosts
/// that may replace them, beyond its scheduled reports.
///
/// Load pattern: hundreds of hosts lose many primaries at once, or start
/// together and know none yet. The notices of all hosts to the few hosts that
/// replace each primary would take more processor time than all statements.
class TroubleNotices {
public:
  /// Interval at which a host repeats its notice to another one. The first
  /// notice makes the receiver probe the primary itself, so a repetition only
  /// replaces a lost datagram.
  static constexpr std::chrono::milliseconds RepeatInterval{1000};

  /// Returns whether a notice to \p Host is due at \p Now, and counts it as
  /// sent if so.
  bool due(const std::string &Host, TimePoint Now);

private:
  std::map<std::string, TimePoint> SentAt;
};

} // namespace lavenderdale
