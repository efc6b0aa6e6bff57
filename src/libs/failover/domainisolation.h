#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <optional>

namespace lavenderdale {

/// Decides what a host does that answers callers but reaches no host of another
/// failure domain: it asks the balancer for other hosts, and after that lets
/// its idle sessions go there.
///
/// Load pattern: a failure domain is cut off from the others for seconds, while
/// its callers still reach its hosts. The hosts reach only the upstreams of
/// their own domain, few of which are primaries, while hosts of the other
/// domains could serve these callers.
class DomainIsolation {
public:
  /// The hosts of other domains must be silent for this long. The check of the
  /// paths to a domain takes 240 ms; a host that was busy or suspended for a
  /// moment hears others within it.
  static constexpr std::chrono::milliseconds ConfirmationTime{300};
  /// Time from failing the readiness check until the balancer has noticed: two
  /// checks, one second apart.
  static constexpr std::chrono::milliseconds BalancerTime{2300};

  /// Records whether the hosts of all other domains are silent at \p Now. To be
  /// called several times a second.
  void update(bool OthersSilent, TimePoint Now);

  /// Returns whether the host is isolated, so that it should get no new
  /// callers.
  bool isIsolated(TimePoint Now) const;

  /// Returns true once in a time of isolation, when the balancer sends new
  /// connections elsewhere: idle sessions should be closed then, so that their
  /// callers reconnect and are served. Callers that come again are kept, as the
  /// balancer has no better host for them.
  bool takeMoveSessions(TimePoint Now);

private:
  std::optional<TimePoint> SilentSince;
  bool Moved = false; ///< The sessions of this time of isolation.
};

} // namespace lavenderdale
