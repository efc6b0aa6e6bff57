#pragma once

#include "base/timepoint.h"
#include "statementsender.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lavenderdale {

/// Collects answers. All latencies are kept, since the differences of interest
/// are below 0.1 ms and a run is bounded.
class LoadRecorder {
public:
  explicit LoadRecorder(TimePoint Start) : Start(Start) {}

  /// \param Due when the statement should have been sent.
  void record(const LoadAnswer &Answer, bool ReadOnly, TimePoint Due,
              TimePoint Answered);

  /// All figures; times in milliseconds, quantiles of successful answers.
  Json::Value summary(TimePoint End);

  /// When each statement was due, in milliseconds after the start.
  Json::Value arrivals() const;

private:
  double longestGap(TimePoint End);

  TimePoint Start;
  std::uint64_t Sent = 0;
  std::map<int, std::uint64_t> Statuses;
  std::map<std::string, std::uint64_t> Kinds;
  std::map<std::string, std::uint64_t> ReadsServedBy;
  std::map<std::string, std::uint64_t> WritesServedBy;
  std::vector<double> Latencies; ///< Of successful answers, in milliseconds.
  std::vector<TimePoint> DueTimes;
  std::vector<TimePoint> Successes;
  std::vector<std::uint64_t> PerSecond;
};

/// Writes a summary as a table.
std::string summaryTable(const Json::Value &Summary);

} // namespace lavenderdale
