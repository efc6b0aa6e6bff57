#include "loadrecorder.h"

#include "base/strictjson.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace lavenderdale {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int Ok = 200;

/// \param Sorted ascending.
double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::max<std::size_t>(Rank, 1) - 1];
}

template <typename Key>
Json::Value countsJson(const std::map<Key, std::uint64_t> &Counts) {
  Json::Value Object(Json::objectValue);
  for (const auto &[Name, Count] : Counts) {
    if constexpr (std::is_integral_v<Key>)
      Object[std::to_string(Name)] = Json::UInt64(Count);
    else
      Object[Name] = Json::UInt64(Count);
  }
  return Object;
}

} // namespace

void LoadRecorder::record(const LoadAnswer &Answer, bool ReadOnly,
                          TimePoint Due, TimePoint Answered) {
  ++this->Sent;
  this->DueTimes.push_back(Due);
  ++this->Statuses[Answer.Status];
  if (Answer.Status != Ok) {
    ++this->Kinds[Answer.Kind];
    return;
  }
  if (!Answer.ServedBy.empty())
    ++(ReadOnly ? this->ReadsServedBy : this->WritesServedBy)[Answer.ServedBy];
  this->Latencies.push_back(Milliseconds(Answered - Due).count());
  this->Successes.push_back(Answered);
  const auto Second = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(Answered - this->Start).count());
  if (this->PerSecond.size() <= Second)
    this->PerSecond.resize(Second + 1);
  ++this->PerSecond[Second];
}

double LoadRecorder::longestGap(TimePoint End) {
  std::sort(this->Successes.begin(), this->Successes.end());
  Duration Longest{0};
  TimePoint Last = this->Start;
  for (const TimePoint Success : this->Successes) {
    Longest = std::max(Longest, Success - Last);
    Last = Success;
  }
  return Milliseconds(std::max(Longest, End - Last)).count();
}

Json::Value LoadRecorder::summary(TimePoint End) {
  std::sort(this->Latencies.begin(), this->Latencies.end());
  Json::Value Summary;
  Summary["sent"] = Json::UInt64(this->Sent);
  Summary["answered"] = Json::UInt64(this->Latencies.size());
  Summary["statuses"] = countsJson(this->Statuses);
  Summary["kinds"] = countsJson(this->Kinds);
  Summary["readsServedBy"] = countsJson(this->ReadsServedBy);
  Summary["writesServedBy"] = countsJson(this->WritesServedBy);
  Summary["p50Ms"] = quantile(this->Latencies, 0.5);
  Summary["p90Ms"] = quantile(this->Latencies, 0.9);
  Summary["p99Ms"] = quantile(this->Latencies, 0.99);
  Summary["maxMs"] = this->Latencies.empty() ? 0 : this->Latencies.back();
  Summary["longestGapMs"] = this->longestGap(End);
  // Sorted by longestGap(). Tells a gap that ended from one that did not.
  Summary["lastSuccessMs"] =
      this->Successes.empty()
          ? -1
          : Milliseconds(this->Successes.back() - this->Start).count();
  Json::Value Seconds(Json::arrayValue);
  for (const std::uint64_t Count : this->PerSecond)
    Seconds.append(Json::UInt64(Count));
  Summary["perSecond"] = Seconds;
  return Summary;
}

Json::Value LoadRecorder::arrivals() const {
  Json::Value Times(Json::arrayValue);
  for (const TimePoint Due : this->DueTimes)
    Times.append(Milliseconds(Due - this->Start).count());
  return Times;
}

std::string summaryTable(const Json::Value &Summary) {
  constexpr std::size_t NameWidth = 16;
  std::ostringstream Text;
  for (const std::string &Name : Summary.getMemberNames())
    Text << Name
         << std::string(NameWidth - std::min(NameWidth, Name.size()), ' ')
         << ' ' << writeCompactJson(Summary[Name]) << '\n';
  return Text.str();
}

} // namespace lavenderdale
