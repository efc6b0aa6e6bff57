#pragma once

#include <chrono>

namespace lavenderdale {

/// Deadlines and event times. Taken from the steady clock by the daemon's
/// shell and passed into the decision libraries.
using TimePoint = std::chrono::steady_clock::time_point;

using Duration = std::chrono::steady_clock::duration;

/// For the shells only: decision libraries take the time as a parameter.
/// @returns The present time of the steady clock.
inline TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace lavenderdale
