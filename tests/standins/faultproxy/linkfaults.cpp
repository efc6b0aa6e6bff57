#include "linkfaults.h"

#include <algorithm>
#include <vector>

namespace lavenderdale::standins {
namespace {

constexpr std::uint64_t MaxDelayMs = 600000;
constexpr std::uint64_t MaxRate = 10000000000; // Bytes per second.

bool readNumber(const Json::Value &Call, const char *Name, std::uint64_t Max,
                std::uint64_t &Number) {
  if (!Call[Name].isUInt64() || Call[Name].asUInt64() > Max)
    return false;
  Number = Call[Name].asUInt64();
  return true;
}

std::string applyToDirection(DirectionFaults &Direction,
                             const std::string &Fault, const Json::Value &Call,
                             std::uint64_t Newest) {
  std::uint64_t Number = 0;
  if (Fault == "delay" || Fault == "reorder") {
    if (!readNumber(Call, "ms", MaxDelayMs, Number))
      return "expected \"ms\" from 0 to " + std::to_string(MaxDelayMs);
    (Fault == "delay" ? Direction.Delay : Direction.ReorderDelay) =
        std::chrono::milliseconds(Number);
  } else if (Fault == "throttle") {
    if (!readNumber(Call, "rate", MaxRate, Number))
      return "expected \"rate\" in bytes per second";
    Direction.BytesPerSecond = Number;
  } else if (Fault == "blackhole") {
    Direction.Silent = true;
  } else if (Fault == "blackhole-old") {
    Direction.SilentUpTo = Newest;
  } else if (Fault == "half-close") {
    Direction.HalfClosed = true;
  } else {
    return "expected a fault: delay, cut, blackhole-old, blackhole, "
           "half-close, throttle, reorder or clear";
  }
  return {};
}

Json::Value directionToJson(const DirectionFaults &Direction) {
  Json::Value Value(Json::objectValue);
  Value["delayMs"] = static_cast<Json::Int64>(Direction.Delay.count());
  Value["reorderMs"] = static_cast<Json::Int64>(Direction.ReorderDelay.count());
  Value["bytesPerSecond"] = static_cast<Json::UInt64>(Direction.BytesPerSecond);
  Value["blackhole"] = Direction.Silent;
  Value["silentUpTo"] = static_cast<Json::UInt64>(Direction.SilentUpTo);
  Value["halfClosed"] = Direction.HalfClosed;
  return Value;
}

} // namespace

std::string applyFault(LinkFaults &Faults, const Json::Value &Call,
                       std::uint64_t Newest) {
  if (!Call.isObject() || !Call["fault"].isString())
    return "expected {\"link\",\"fault\",\"direction\"}";
  const std::string Fault = Call["fault"].asString();
  const std::string Side = Call.get("direction", "both").isString()
                               ? Call.get("direction", "both").asString()
                               : std::string();
  if (Side != "up" && Side != "down" && Side != "both")
    return "expected \"direction\": up, down or both";
  if (Fault == "clear") {
    // Connections that were silenced stay so: their bytes are lost.
    const std::uint64_t Up = Faults.Up.Silent ? Newest : Faults.Up.SilentUpTo;
    const std::uint64_t Down =
        Faults.Down.Silent ? Newest : Faults.Down.SilentUpTo;
    Faults = {};
    if (!Call.get("revive", false).asBool()) {
      Faults.Up.SilentUpTo = Up;
      Faults.Down.SilentUpTo = Down;
    }
    return {};
  }
  if (Fault == "cut") {
    Faults.Cut = true;
    return {};
  }
  std::vector<DirectionFaults *> Directions;
  if (Side != "down")
    Directions.push_back(&Faults.Up);
  if (Side != "up")
    Directions.push_back(&Faults.Down);
  for (DirectionFaults *Direction : Directions) {
    std::string Refusal = applyToDirection(*Direction, Fault, Call, Newest);
    if (!Refusal.empty())
      return Refusal;
  }
  if (Fault == "blackhole" && Call["accept"].isBool())
    Faults.AcceptsNone = !Call["accept"].asBool();
  return {};
}

Json::Value toJson(const LinkFaults &Faults) {
  Json::Value Value(Json::objectValue);
  Value["up"] = directionToJson(Faults.Up);
  Value["down"] = directionToJson(Faults.Down);
  Value["cut"] = Faults.Cut;
  Value["accept"] = !Faults.AcceptsNone;
  return Value;
}

} // namespace lavenderdale::standins
