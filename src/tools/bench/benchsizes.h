#pragma once

#include "benchfleet.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>

namespace lavenderdale::bench {

using Clock = std::chrono::steady_clock;

inline double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

/// Runs a benchmark once for each fleet size.
inline void withFleetSizes(benchmark::internal::Benchmark *Measured) {
  for (const std::int64_t Each : fleetSizes())
    Measured->Arg(Each);
  Measured->Unit(benchmark::kMicrosecond);
}

/// The same for a benchmark that measures only a part of its iterations.
inline void withManualTime(benchmark::internal::Benchmark *Measured) {
  withFleetSizes(Measured);
  Measured->UseManualTime();
}

} // namespace lavenderdale::bench
