#pragma once

#include "base/result.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

enum class TrafficClass { Urgent, Standard, Lookup };

/// What a write waits for before it is acknowledged.
enum class Acknowledge {
  Primary, ///< The primary's commit under a valid permission.
  Replica, ///< In addition, receipt by a majority of the group.
};

/// Wire names: "urgent", "standard", "lookup".
std::string_view toString(TrafficClass Class);

/// Wire names: "primary", "replica".
std::string_view toString(Acknowledge Mode);

struct RouteLimits {
  static constexpr std::chrono::milliseconds DefaultDeadline{5000};
  static constexpr std::uint32_t DefaultQueueLength = 100;

  std::chrono::milliseconds Deadline = DefaultDeadline;
  std::optional<std::chrono::milliseconds> MaxAge; ///< Of replica reads.
  std::uint32_t QueueLength = DefaultQueueLength;  ///< Per workspace.
  std::optional<double> Rate;                      ///< Statements per second.
  std::optional<double> Burst;                     ///< Statements.

  bool operator==(const RouteLimits &) const = default;
};

/// A named entry point to a group, and the rules for requests on it.
struct Route {
  std::string Name;
  std::string Owner; ///< Workspace.
  TrafficClass Class = TrafficClass::Standard;
  std::string Group;
  bool Open = false; ///< Requests need no key.
  RouteLimits Limits;
  /// When the spec does not say: Replica for urgent routes, else Primary.
  lavenderdale::Acknowledge Acknowledge = lavenderdale::Acknowledge::Primary;
  bool ServeWhenCutOff = false;

  static Result<Route> fromJson(std::string Name, const Json::Value &Spec);
  Json::Value toJson() const;

  bool operator==(const Route &) const = default;
};

} // namespace lavenderdale
