#pragma once

#include <chrono>

namespace lavenderdale {

/// Deadlines and event times. Taken from the steady clock by the daemon's
/// shell and passed into the decision libraries.
using TimePoint = std::chrono::steady_clock::time_point;

using Duration = std::chrono::steady_clock::duration;

} // namespace lavenderdale
