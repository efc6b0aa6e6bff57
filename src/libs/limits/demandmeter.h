#pragma once

#include "base/timepoint.h"

#include <compare>
#include <cstdint>

namespace lavenderdale {

/// Counts how much was asked for in the current and the previous window.
class DemandMeter {
public:
  /// \param Window length of a window.
  explicit DemandMeter(Duration Window) : Window(Window) {}

  /// Adds \p Amount at \p Now.
  void add(std::int64_t Amount, TimePoint Now);

  /// Returns the demand of one window: the greater of the current and the
  /// previous one, so that growth shows at once and a lull after a window.
  std::int64_t perWindow(TimePoint Now) const;

  auto operator<=>(const DemandMeter &) const = default;

private:
  void roll(TimePoint Now);

  Duration Window;
  TimePoint Start{};
  std::int64_t Current = 0;
  std::int64_t Previous = 0;
};

} // namespace lavenderdale
