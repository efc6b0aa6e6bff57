#pragma once

#include "base/timepoint.h"

#include <array>
#include <cstdint>

namespace lavenderdale {

/// Limits the retries of one workspace to a percentage of its requests, so that
/// retries cannot multiply the load while an upstream fails.
class RetryBudget {
public:
  /// Length of the sliding window in which requests and retries are counted.
  static constexpr Duration Window = std::chrono::seconds(10);
  /// Retries allowed per hundred requests in the window.
  static constexpr std::uint64_t Percent = 10;
  /// Retries allowed in any window, even with few or no requests.
  static constexpr std::uint64_t Minimum = 3;

  /// Counts a request that arrived at \p Now. Retries are not counted here.
  void countRequest(TimePoint Now);

  /// Counts a retry if the budget allows it.
  /// \returns whether the retry is allowed; if not, the request must be
  /// answered
  ///          without one.
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
