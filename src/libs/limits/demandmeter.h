#pragma once

#include "base/timepoint.h"

#include <compare>
#include <cstdint>

namespace lavenderdale {

/// Measures demand: the amount requested in the current and in the previous
/// window of fixed length.
class DemandMeter {
public:
  /// \param Window length of a window.
  explicit DemandMeter(Duration Window) : Window(Window) {}

  /// Counts \p Amount as requested at \p Now.
  void add(std::int64_t Amount, TimePoint Now);

  /// Returns the demand per window: the larger of the current and the previous
  /// window, so that an increase takes effect immediately and a decrease one
  /// window later.
  std::int64_t perWindow(TimePoint Now) const;

  auto operator<=>(const DemandMeter &) const = default;

private:
  /// Starts a new window if the current one has ended.
  void roll(TimePoint Now);

  Duration Window;
  TimePoint Start{};
  std::int64_t Current = 0;
  std::int64_t Previous = 0;
};

} // namespace lavenderdale
