#pragma once

#include "latencyhistogram.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lavenderdale {

/// A number that only grows.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    this->Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const {
    return this->Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A number that goes up and down.
class Gauge {
public:
  void set(std::int64_t NewValue) {
    this->Value.store(NewValue, std::memory_order_relaxed);
  }
  void add(std::int64_t Amount) {
    this->Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::int64_t value() const {
    return this->Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Value{0};
};

/// Label names and values, for example {{"reason", "behind"}}.
using Labels = std::map<std::string, std::string>;

/// All metrics of a process. Metrics are created at their first use and live
/// as long as the registry, so callers may keep the references.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();

  MetricsRegistry(const MetricsRegistry &) = delete;
  MetricsRegistry &operator=(const MetricsRegistry &) = delete;

  /// Each returns the metric of \p Name and \p LabelSet. The help text of the
  /// first call is kept. A name must not be used for two types. Beyond
  /// MaxSeriesPerName label sets, the series with the one label "overflow" is
  /// returned.
  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &LabelSet = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &LabelSet = {});
  LatencyHistogram &histogram(const std::string &Name, const std::string &Help,
                              const Labels &LabelSet = {});

  /// Prometheus text exposition format 0.0.4.
  std::string exposition() const;

  /// Bounds the memory that label values from outside can take.
  static constexpr std::size_t MaxSeriesPerName = 2000;

private:
  template <typename Metric> struct Family;
  template <typename Metric>
  using Families = std::map<std::string, Family<Metric>>;

  template <typename Metric>
  Metric &find(Families<Metric> &In, const std::string &Name,
               const std::string &Help, const Labels &LabelSet);

  mutable std::mutex Lock;
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<LatencyHistogram> Histograms;
};

} // namespace lavenderdale
