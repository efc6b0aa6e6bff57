#pragma once

#include "base/timepoint.h"

#include <array>
#include <cstdint>

namespace lavenderdale {

/// Limits the retries of one workspace to a share of its requests, so that
/// retries cannot multiply the load while an upstream fails.
class RetryBudget {
public:
  /// Length of the window over which requests and retries are counted.
  static constexpr Duration Window = std::chrono::seconds(10);
  /// Retries allowed per hundred requests of the window.
  static constexpr std::uint64_t Percent = 10;
  /// Retries allowed in a window with few requests.
  static constexpr std::uint64_t Minimum = 3;

  /// Counts a request, not a retry, that arrived at \p Now.
  void countRequest(TimePoint Now);

  /// Counts a retry if the budget allows it.
  /// \returns false if the request must be answered instead.
  bool tryRetry(TimePoint Now);

private:
  static constexpr std::size_t SlotCount = 11;
  static constexpr Duration SlotLength = std::chrono::seconds(1);
  struct Slot {
    std::int64_t Index = -1;
    std::uint64_t Requests = 0;
    std::uint64_t Retries = 0;
  };

  Slot &slotAt(TimePoint Now);

  std::array<Slot, SlotCount> Slots;
};

} // namespace lavenderdale
