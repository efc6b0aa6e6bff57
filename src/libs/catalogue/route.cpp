#include "route.h"

#include "memberchecks.h"

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 3> ClassNames = {"urgent", "standard",
                                                        "lookup"};
constexpr std::array<std::string_view, 2> AcknowledgeNames = {"primary",
                                                              "replica"};

constexpr std::uint64_t MinDeadlineMs = 1;
constexpr std::uint64_t MaxDeadlineMs = 600000;
constexpr std::uint64_t MaxMaxAgeMs = 86400000;
constexpr std::uint64_t MaxQueueLength = 100000;
// Rates are counted in whole statements per second.
constexpr double MinRate = 1;
constexpr double MaxRate = 10000000; // Statements per second.
constexpr double MinBurst = 1;       // Statements.
constexpr double MaxBurst = 100000000;

std::optional<double> optionalLimit(ObjectReader &Reader, const char *Name,
                                    double Min, double Max) {
  if (!Reader.has(Name))
    return std::nullopt;
  return Reader.requiredNumber(Name, Min, Max);
}

Result<RouteLimits> readLimits(const Json::Value &Value,
                               const std::string &Path) {
  ObjectReader Reader(Value, Path, ErrorKind::InvalidCatalogue);
  RouteLimits Limits;
  Limits.Deadline = std::chrono::milliseconds(Reader.optionalUnsigned(
      "deadlineMs", MinDeadlineMs, MaxDeadlineMs,
      static_cast<std::uint64_t>(RouteLimits::DefaultDeadline.count())));
  if (Reader.has("maxAgeMs"))
    Limits.MaxAge = std::chrono::milliseconds(
        Reader.requiredUnsigned("maxAgeMs", 0, MaxMaxAgeMs));
  Limits.QueueLength = static_cast<std::uint32_t>(Reader.optionalUnsigned(
      "queueLength", 1, MaxQueueLength, RouteLimits::DefaultQueueLength));
  Limits.Rate = optionalLimit(Reader, "rate", MinRate, MaxRate);
  Limits.Burst = optionalLimit(Reader, "burst", MinBurst, MaxBurst);
  if (Limits.Rate.has_value() != Limits.Burst.has_value())
    Reader.reject(Limits.Rate ? "burst" : "rate",
                  "both rate and burst, or neither");
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Limits;
}

Json::Value limitsToJson(const RouteLimits &Limits) {
  Json::Value Value(Json::objectValue);
  Value["deadlineMs"] = static_cast<Json::Int64>(Limits.Deadline.count());
  if (Limits.MaxAge)
    Value["maxAgeMs"] = static_cast<Json::Int64>(Limits.MaxAge->count());
  Value["queueLength"] = static_cast<Json::Int64>(Limits.QueueLength);
  if (Limits.Rate)
    Value["rate"] = detail::numberValue(*Limits.Rate);
  if (Limits.Burst)
    Value["burst"] = detail::numberValue(*Limits.Burst);
  return Value;
}

} // namespace

std::string_view toString(TrafficClass Class) {
  return ClassNames[static_cast<std::size_t>(Class)];
}

std::string_view toString(Acknowledge Mode) {
  return AcknowledgeNames[static_cast<std::size_t>(Mode)];
}

Result<Route> Route::fromJson(std::string Name, const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  Route Value;
  Value.Name = std::move(Name);
  Value.Owner = detail::requiredName(Reader, "owner");
  Value.Class =
      detail::requiredEnum<TrafficClass>(Reader, "trafficClass", ClassNames);
  Value.Group = detail::requiredName(Reader, "group");
  Value.Open = Reader.optionalBool("open", false);
  const Json::Value &Limits = Reader.optionalObject("limits");
  const auto Default = Value.Class == TrafficClass::Urgent
                           ? lavenderdale::Acknowledge::Replica
                           : lavenderdale::Acknowledge::Primary;
  Value.Acknowledge = detail::optionalEnum<lavenderdale::Acknowledge>(
                          Reader, "acknowledge", AcknowledgeNames)
                          .value_or(Default);
  Value.ServeWhenCutOff = Reader.optionalBool("serveWhenCutOff", false);
  BOOST_OUTCOME_TRYV(Reader.finish());
  BOOST_OUTCOME_TRY(Value.Limits, readLimits(Limits, Reader.pathOf("limits")));
  return Value;
}

Json::Value Route::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["owner"] = this->Owner;
  Spec["trafficClass"] = std::string(toString(this->Class));
  Spec["group"] = this->Group;
  Spec["open"] = this->Open;
  Spec["limits"] = limitsToJson(this->Limits);
  Spec["acknowledge"] = std::string(toString(this->Acknowledge));
  Spec["serveWhenCutOff"] = this->ServeWhenCutOff;
  return Spec;
}

} // namespace lavenderdale
