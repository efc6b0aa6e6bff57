#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace lavenderdale {

/// How far the requests to a cold upstream in a second may exceed its rate.
struct ColdTolerance {
  double Factor = 1.5; ///< Of the rate.
  double Requests = 5; ///< In addition.
};

/// Limits the requests that this host sends to an upstream that is cold, such
/// as a database that got no statements during an evacuation and has to fill
/// its caches first.
///
/// Load pattern: at the end of an evacuation, all hosts would send the upstream
/// its usual part of the statements at once. All of them pass its first holder,
/// which counts them. Other hosts reach it only while they do not reach that
/// holder, and have a part of the tolerance.
class ColdRate {
public:
  static constexpr std::chrono::seconds Window{1};
  /// Part of the tolerance that a host which is not the first holder may use.
  /// At most two such hosts stand in for the holder at a time, and the
  /// statements of open transactions are counted but not refused.
  static constexpr double StandInShare = 0.25;

  /// Returns the number of requests that one host may send in a window, at
  /// least 1; nothing if there is no limit.
  /// \param PerSecond rate for all hosts together; 0 for no limit.
  /// \param FirstHolder whether the host is the first holder of the upstream.
  static std::optional<std::size_t>
  permitted(double PerSecond, const ColdTolerance &Tolerance, bool FirstHolder);

  /// Whether another request would be within \p Limit at \p Now.
  bool hasRoom(std::size_t Limit, TimePoint Now);
  /// Counts a request that is sent at \p Now.
  void count(TimePoint Now) { this->Sent.push_back(Now); }

private:
  std::deque<TimePoint> Sent; ///< In the last window.
};

} // namespace lavenderdale
