#include "callcounter.h"

#include <algorithm>

namespace lavenderdale::standins {

CallBucket::CallBucket(double Rate, Time Now)
    : Rate(Rate), Tokens(Rate), Last(Now) {}

bool CallBucket::take(Time Now) {
  const double Elapsed =
      std::chrono::duration<double>(Now - this->Last).count();
  this->Last = Now;
  this->Tokens = std::min(this->Rate, this->Tokens + Elapsed * this->Rate);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

CallCounter::CallCounter(double WriteRate, double ReadRate,
                         CallBucket::Time Now)
    : Writes(WriteRate, Now), Reads(ReadRate, Now) {}

bool CallCounter::admit(const std::string &Verb, CallBucket::Time Now) {
  const bool IsWrite = Verb == "create" || Verb == "update" || Verb == "delete";
  ++this->Counts[Verb];
  ++this->Counts[IsWrite ? "writes" : "reads"];
  CallBucket &Bucket = IsWrite ? this->Writes : this->Reads;
  if (Bucket.take(Now))
    return true;
  ++this->Counts["refused"];
  return false;
}

Json::Value CallCounter::toJson() const {
  Json::Value Value(Json::objectValue);
  for (const char *Name : {"get", "list", "create", "update", "delete", "watch",
                           "reads", "writes", "refused", "lost"})
    Value[Name] = Json::UInt64{0};
  for (const auto &[Name, Count] : this->Counts)
    Value[Name] = static_cast<Json::UInt64>(Count);
  return Value;
}

} // namespace lavenderdale::standins
