#pragma once

#include "promotioncontext.h"

#include <algorithm>
#include <optional>
#include <string>

namespace lavenderdale {

/// Milliseconds from \p Now to \p When in digits; "0" if it has passed.
inline std::string millisecondsUntil(TimePoint When, TimePoint Now) {
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(When - Now);
  return std::to_string(std::max<std::int64_t>(Left.count(), 0));
}

/// " name #call ms" for an awaited call, else nothing.
inline std::string describeCall(const char *Name,
                                const std::optional<PendingCall> &Pending,
                                TimePoint Now) {
  if (!Pending)
    return {};
  return std::string(" ") + Name + " #" + std::to_string(Pending->Call) + " " +
         millisecondsUntil(Pending->Deadline, Now);
}

} // namespace lavenderdale
