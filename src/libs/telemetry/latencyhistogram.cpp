#include "latencyhistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <limits>
#include <mutex>

namespace lavenderdale {
namespace {

constexpr unsigned ShardCount = 8;
constexpr double LowestEdgeSeconds = 1e-5;
constexpr double HighestEdgeSeconds = 100;
constexpr unsigned BinsPerDecade = 8;
constexpr unsigned Decades = 7;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Bins =
    boost::histogram::histogram<std::tuple<Axis>,
                                boost::histogram::dense_storage<std::uint64_t>>;

Bins makeBins() {
  return Bins(
      Axis(BinsPerDecade * Decades, LowestEdgeSeconds, HighestEdgeSeconds));
}

// Threads are numbered as they record for the first time, which spreads a
// fixed set of workers evenly over the shards.
unsigned shardOfThread() {
  static std::atomic<unsigned> Next{0};
  thread_local const unsigned Mine = Next.fetch_add(1) % ShardCount;
  return Mine;
}

} // namespace

struct LatencyHistogram::Shard {
  std::mutex Lock;
  Bins Counts = makeBins();
  double SumSeconds = 0;
};

LatencyHistogram::LatencyHistogram() {
  for (unsigned I = 0; I < ShardCount; ++I)
    this->Shards.push_back(std::make_unique<Shard>());
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::nanoseconds Latency) {
  const double Seconds =
      std::max(0.0, std::chrono::duration<double>(Latency).count());
  Shard &Mine = *this->Shards[shardOfThread()];
  const std::lock_guard Guard(Mine.Lock);
  Mine.Counts(Seconds);
  Mine.SumSeconds += Seconds;
}

LatencyHistogram::Totals LatencyHistogram::totals() const {
  Bins Sum = makeBins();
  Totals Result;
  for (const std::unique_ptr<Shard> &Each : this->Shards) {
    const std::lock_guard Guard(Each->Lock);
    Sum += Each->Counts;
    Result.SumSeconds += Each->SumSeconds;
  }
  std::uint64_t Count = 0;
  const int Size = Sum.axis().size();
  // Index -1 is the underflow bin, index Size the overflow bin.
  for (int I = -1; I <= Size; ++I) {
    Count += Sum.at(I);
    Result.Cumulative.push_back(Count);
    if (I < Size)
      Result.UpperEdges.push_back(Sum.axis().value(I + 1));
  }
  return Result;
}

double LatencyHistogram::quantileSeconds(double Fraction) const {
  const Totals All = this->totals();
  if (All.Cumulative.back() == 0)
    return 0;
  const double Wanted = std::max(
      1.0, std::ceil(Fraction * static_cast<double>(All.Cumulative.back())));
  for (std::size_t I = 0; I < All.UpperEdges.size(); ++I)
    if (static_cast<double>(All.Cumulative[I]) >= Wanted)
      return All.UpperEdges[I];
  return std::numeric_limits<double>::infinity();
}

} // namespace lavenderdale
