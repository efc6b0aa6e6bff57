#pragma once

#include <chrono>

namespace lavenderdale {

/// A clock that keeps counting while the machine is suspended, unlike the
/// steady clock. Whatever must lapse during a suspension is measured with it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard.
  static constexpr bool is_steady = true;

  static time_point now();
};

using BootTime = BootClock::time_point;

} // namespace lavenderdale
