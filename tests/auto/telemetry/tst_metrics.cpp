#include "telemetry/logging.h"
#include "telemetry/metricsregistry.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

using namespace lavenderdale;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("metrics are written in the Prometheus text format") {
  MetricsRegistry Registry;
  Registry.counter("reads_total", "Reads.", {{"reason", "a\"b"}}).add(3);
  Registry.counter("reads_total", "Reads.", {{"reason", "a\"b"}}).add();
  Registry.gauge("open", "Open.").set(-2);
  Registry.histogram("wait_seconds", "Wait.")
      .record(std::chrono::milliseconds(5));
  const std::string Text = Registry.exposition();
  CHECK(contains(Text, "# TYPE reads_total counter\n"
                       "reads_total{reason=\"a\\\"b\"} 4\n"));
  CHECK(contains(Text, "open -2\n"));
  CHECK(contains(Text, "wait_seconds_bucket{le=\"0.001\"} 0\n"));
  CHECK(contains(Text, "wait_seconds_bucket{le=\"+Inf\"} 1\n"));
  CHECK(contains(Text, "wait_seconds_sum 0.005\n"));
}

// Guards against measurements lost between the shards.
TEST_CASE("a histogram counts what all threads record") {
  LatencyHistogram Histogram;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([&Histogram] {
      for (int J = 0; J < 1000; ++J)
        Histogram.record(std::chrono::microseconds(J < 990 ? 200 : 500000));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Histogram.totals().Cumulative.back() == 4000);
  CHECK(Histogram.quantileSeconds(0.5) == Approx(0.000237).epsilon(0.01));
  CHECK(Histogram.quantileSeconds(0.995) == Approx(0.5623).epsilon(0.01));
}

// Guards against unbounded memory when a label's values come from outside.
TEST_CASE("the number of series of a name is bounded") {
  MetricsRegistry Registry;
  for (std::size_t I = 0; I < MetricsRegistry::MaxSeriesPerName + 10; ++I)
    Registry.counter("c", "C.", {{"n", std::to_string(I)}}).add();
  CHECK(contains(Registry.exposition(), "c{overflow=\"true\"} 10\n"));
}

// Guards against a key secret or a forged line in metrics and logs.
TEST_CASE("logs and labels never show key secrets", "[keys]") {
  MetricsRegistry Registry;
  Registry.counter("c", "C.", {{"error", "bad ldk_abc_s3cret-x!"}});
  CHECK(contains(Registry.exposition(), "c{error=\"bad [key]!\"} 0"));

  const std::string Path = "tst_telemetry.log";
  std::remove(Path.c_str());
  REQUIRE(startLogging(Path, "info", "host%1").has_value());
  logDebug("not written");
  logInfo("key ldk_a_b\n2026 forged");
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  CHECK(contains(Text.str(), "Z INFO  host%1 key [key] 2026 forged\n"));
  CHECK_FALSE(contains(Text.str(), "not written"));
  CHECK_FALSE(startLogging("", "loud", "host").has_value());
}
