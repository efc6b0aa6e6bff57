#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lavenderdale::standins {

/// A bucket that holds one second of its rate.
class CallBucket {
public:
  using Time = std::chrono::steady_clock::time_point;

  CallBucket(double Rate, Time Now);

  /// \returns false when the rate is used up.
  bool take(Time Now);

private:
  double Rate; ///< Calls per second.
  double Tokens;
  Time Last;
};

/// Counts calls by verb and enforces the rates of reads and writes.
class CallCounter {
public:
  CallCounter(double WriteRate, double ReadRate, CallBucket::Time Now);

  /// Counts a call. \returns false when it is over the rate.
  bool admit(const std::string &Verb, CallBucket::Time Now);

  /// Counts something other than a call, for example "lost".
  void note(const std::string &Name) { ++this->Counts[Name]; }

  void reset() { this->Counts.clear(); }
  Json::Value toJson() const;

private:
  CallBucket Writes;
  CallBucket Reads;
  std::map<std::string, std::uint64_t> Counts;
};

} // namespace lavenderdale::standins
