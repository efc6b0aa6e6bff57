#include "base/strictjson.h"
#include "benchfleet.h"
#include "benchsizes.h"

#include <benchmark/benchmark.h>

namespace lavenderdale::bench {
namespace {

void reportEncode(benchmark::State &Run) {
  const HostReport Report = hostReport(fleetShape(Run.range(0)), 1, 1, true);
  for ([[maybe_unused]] auto Each : Run)
    benchmark::DoNotOptimize(encodeReport(Report));
}

void reportDecode(benchmark::State &Run) {
  const std::string Bytes =
      encodeReport(hostReport(fleetShape(Run.range(0)), 1, 1, true));
  for ([[maybe_unused]] auto Each : Run)
    benchmark::DoNotOptimize(decodeReport(Bytes));
  Run.counters["bytes"] = static_cast<double>(Bytes.size());
}

void catalogueParse(benchmark::State &Run) {
  const std::string Text = catalogueText(fleetShape(Run.range(0)));
  for ([[maybe_unused]] auto Each : Run)
    benchmark::DoNotOptimize(parseStrictJson(Text));
  Run.counters["bytes"] = static_cast<double>(Text.size());
}

BENCHMARK(reportEncode)->Apply(withFleetSizes);
BENCHMARK(reportDecode)->Apply(withFleetSizes);
BENCHMARK(catalogueParse)->Apply(withFleetSizes);

} // namespace
} // namespace lavenderdale::bench
