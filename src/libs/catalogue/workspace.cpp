#include "workspace.h"

#include "memberchecks.h"

namespace lavenderdale {
namespace {

// Rates are counted in whole statements per second.
constexpr double MinRate = 1;
constexpr double MaxRate = 10000000; // Statements per second.
constexpr double MinBurst = 1;       // Statements.
constexpr double MaxBurst = 100000000;
constexpr double MinWeight = 0.01;
constexpr double MaxWeight = 100;

} // namespace

Result<Workspace> Workspace::fromJson(std::string Name,
                                      const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  Workspace Value;
  Value.Name = std::move(Name);
  Value.Rate = Reader.requiredNumber("rate", MinRate, MaxRate);
  Value.Burst = Reader.requiredNumber("burst", MinBurst, MaxBurst);
  Value.Weight =
      Reader.optionalNumber("weight", MinWeight, MaxWeight, DefaultWeight);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Value;
}

Json::Value Workspace::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["rate"] = detail::numberValue(this->Rate);
  Spec["burst"] = detail::numberValue(this->Burst);
  Spec["weight"] = detail::numberValue(this->Weight);
  return Spec;
}

} // namespace lavenderdale
