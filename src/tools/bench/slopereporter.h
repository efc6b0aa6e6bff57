#pragma once

#include <benchmark/benchmark.h>

#include <map>
#include <string>
#include <vector>

namespace lavenderdale::bench {

/// Prints the measurements as usual, and at the end for each benchmark how its
/// time grows with the number of hosts.
class SlopeReporter : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override;
  void Finalize() override;

private:
  struct Point {
    double Hosts = 0;
    double Microseconds = 0;
  };

  std::map<std::string, std::vector<Point>> Points; ///< By benchmark.
};

} // namespace lavenderdale::bench
