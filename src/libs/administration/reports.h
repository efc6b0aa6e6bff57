#pragma once

#include "base/result.h"
#include "catalogue/snapshotbuilder.h"

#include <chrono>
#include <optional>
#include <string>

namespace lavenderdale {

/// Exit codes of lavenderctl.
enum class ExitCode {
  Done = 0,
  Usage = 1,
  Refused = 2,    ///< Refused, invalid or not found.
  LostRace = 3,   ///< Somebody else changed the object first.
  NotInForce = 4, ///< Stored, but not confirmed by all hosts in time.
  Unreachable = 5,
};

/// The outcome of a command, for people and for programs.
struct Report {
  ExitCode Code = ExitCode::Done;
  std::string Text;
  Json::Value Data = Json::Value(Json::objectValue);
};

/// The exit code and the message of a failure.
Report failureReport(const Error &Failure);

/// Groups, hosts, workspaces with their routes and limits, and faults.
Report statusReport(const CatalogueSnapshot &Snapshot,
                    const std::vector<CatalogueFault> &Faults);

/// A request whose treatment is to be explained.
struct ExplainedRequest {
  std::string RouteName;
  std::string KeyId; ///< Empty when the request carries no key.
  bool ReadOnly = false;
  std::optional<std::chrono::milliseconds> MaxAge;
};

/// What the request would meet: owner, class, limits, group, primary, candidate
/// replicas and the state of the key.
Report explainReport(const CatalogueSnapshot &Snapshot,
                     const ExplainedRequest &Request);

} // namespace lavenderdale
