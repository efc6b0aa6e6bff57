#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace lavenderdale::matrix {

/// The faults of section 1.4 of the design page.
enum class Fault {
  PrimaryCutOff,
  ReplicasBehind,
  ProxyDies,
  KeysWithdrawn,
  PlatformDown,
  PlatformAnswersLost,
  HolderPaused,
  OperatorsRace,
  SilentConnections,
  DomainsCutOff,
};
inline constexpr std::size_t FaultCount = 10;

/// The steps of a request, then the control actions.
enum class Step {
  Admission,
  Rate,
  Routing,
  Queue,
  Run,
  Acknowledge,
  Answer,
  ConfigurationChange,
  KeyWithdrawal,
  Claim,
  Fence,
  Wait,
  Change,
  Promote,
  Point,
  HostSetChange,
  Drain,
  PlannedStop,
};
inline constexpr std::size_t StepCount = 18;

/// Headings of docs/FAULTS.md, in the order of Fault.
inline constexpr std::array<std::string_view, FaultCount> FaultTitles = {
    "Primary cut off while clients can still reach it",
    "Replicas fall behind",
    "A proxy dies during a transaction or during any request",
    "Keys are withdrawn from connected callers",
    "The platform store is down or slow for long",
    "Answers of the platform are lost after the change took effect",
    "A lease expires while its holder is paused",
    "Operators change the same entry at the same time",
    "Open connections become silent for good while new ones work",
    "Failure domains are cut off from each other and from the platform",
};

/// Names in docs/FAULTS.md, in the order of Step.
inline constexpr std::array<std::string_view, StepCount> StepNames = {
    "admission",
    "rate",
    "routing",
    "queue",
    "run",
    "acknowledge",
    "answer",
    "configuration change",
    "key withdrawal",
    "promotion: claim",
    "promotion: fence",
    "promotion: wait",
    "promotion: change",
    "promotion: promote",
    "promotion: point",
    "host set change",
    "drain",
    "planned stop",
};

constexpr std::string_view titleOf(Fault F) {
  return FaultTitles[static_cast<std::size_t>(F)];
}
constexpr std::string_view nameOf(Step S) {
  return StepNames[static_cast<std::size_t>(S)];
}

} // namespace lavenderdale::matrix
