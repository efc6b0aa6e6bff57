#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lavenderdale {

/// A histogram of durations on a logarithmic axis from 10 µs to 100 s, with
/// 8 bins per decade. Threads record into different shards, each with its
/// own lock.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  /// Adds one measurement. Negative durations count as 0.
  void record(std::chrono::nanoseconds Latency);

  /// All shards together.
  struct Totals {
    /// Upper edges of the bins in seconds; the last bin has none.
    std::vector<double> UpperEdges;
    /// Measurements at or under the edge of the same index. The last entry is
    /// the number of all measurements, so there is one more than edges.
    std::vector<std::uint64_t> Cumulative;
    double SumSeconds = 0;
  };
  Totals totals() const;

  /// \param Fraction from 0 to 1, for example 0.99.
  /// \returns the upper edge, in seconds, of the bin with this fraction; 0 if
  ///          nothing was recorded, infinity above the axis.
  double quantileSeconds(double Fraction) const;

private:
  struct Shard;
  std::vector<std::unique_ptr<Shard>> Shards;
};

} // namespace lavenderdale
