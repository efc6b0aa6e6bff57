#include "slopereporter.h"

#include <benchmark/benchmark.h>

/// Measures what one host computes about its fleet, at several fleet sizes. No
/// socket is opened. Takes the options of Google Benchmark, of which
/// --benchmark_filter=REGEX and --benchmark_min_time=SECONDS shorten a run.
int main(int Count, char **Arguments) {
  benchmark::Initialize(&Count, Arguments);
  if (benchmark::ReportUnrecognizedArguments(Count, Arguments))
    return 1;
  lavenderdale::bench::SlopeReporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  benchmark::Shutdown();
  return 0;
}
