#pragma once

#include "base/boottime.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lavenderdale {

/// Fraction of the fleet to which an owner of rates had contact during the
/// whole last window.
///
/// The other hosts may have had an owner of their own, which admitted
/// operations that this owner does not know. They count in the window until it
/// has passed, so this owner may use its full part only a window after contact
/// is back.
///
/// Load pattern: a workspace sends many times its limit to both sides of a
/// network partition that begins and ends.
class ContactFraction {
public:
  /// Length of the window; that of the rate limit.
  static constexpr std::chrono::milliseconds Window{5000};

  /// Records the fraction at \p Now.
  /// \param Fraction 0 to 1.
  void record(double Fraction, BootTime Now);

  /// Returns the lowest fraction recorded in the window before \p Now; 1 if
  /// none was.
  double lowest(BootTime Now) const;

private:
  static constexpr std::size_t SlotCount = 20;
  static constexpr std::chrono::milliseconds SlotLength{Window.count() /
                                                        SlotCount};
  struct Slot {
    std::int64_t Number = -1;
    double Lowest = 1;
  };

  static std::int64_t slotOf(BootTime Time);

  std::array<Slot, SlotCount + 1> Slots{};
};

} // namespace lavenderdale
