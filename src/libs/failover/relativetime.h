#pragma once

#include "promotioncontext.h"

#include <algorithm>
#include <optional>
#include <string>

namespace lavenderdale {

/// Milliseconds from \p Now to \p When as text; "0" if \p When has passed.
inline std::string millisecondsUntil(TimePoint When, TimePoint Now) {
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(When - Now);
  return std::to_string(std::max<std::int64_t>(Left.count(), 0));
}

/// Describes a pending call as " name #call ms", with the milliseconds to its
/// deadline. Empty without one.
inline std::string describeCall(const char *Name,
                                const std::optional<PendingCall> &Pending,
                                TimePoint Now) {
  if (!Pending)
    return {};
  return std::string(" ") + Name + " #" + std::to_string(Pending->Call) + " " +
         millisecondsUntil(Pending->Deadline, Now);
}

} // namespace lavenderdale
