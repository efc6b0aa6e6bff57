#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "catalogue/route.h"
#include "consistency/position.h"
#include "consistency/readrouter.h"
#include "postgres/statement.h"
#include "retry/retrytable.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderdale {

/// What a holder is asked to do.
enum class Operation { Run, Begin, Commit, Rollback };

/// A request of a caller as an entry host hands it to a holder of the upstream.
/// It never contains the caller's key.
struct ExecutionRequest {
  Operation Action = Operation::Run;
  std::string Group;
  std::string Upstream;
  UpstreamRole Role = UpstreamRole::Primary; ///< Role that is expected.
  std::string Workspace;
  TrafficClass Class = TrafficClass::Standard;
  std::uint32_t QueueLength = 0;
  std::uint32_t Weight = 1;
  TimePoint Deadline;
  Statement Sql;
  bool ReadOnly = false;
  std::optional<Position> Seen;
  std::optional<Duration> AcceptedAge;
  std::optional<TimePoint> WaitUntil; ///< For a replica that is catching up.
  Acknowledge Mode = Acknowledge::Primary;
  std::string IdempotencyKey;
  std::string Transaction;
  std::string TraceParent;

  Json::Value toJson(TimePoint Now) const;

  /// \returns the request, or BadRequest.
  static Result<ExecutionRequest> fromJson(const Json::Value &Value,
                                           TimePoint Now);
};

/// The holder's answer. The body is the caller's result as JSON text.
struct ExecutionAnswer {
  std::string Body;
  UpstreamRole Role = UpstreamRole::Primary;
  std::optional<Position> Reached;
  std::string Transaction;
};

/// A failed attempt: the error, and what is known about the statement.
struct ExecutionFailure {
  Error Reason;
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
};

/// Either an answer or a failure.
struct ExecutionResult {
  std::optional<ExecutionAnswer> Answer;
  ExecutionFailure Failure;

  static ExecutionResult answered(ExecutionAnswer Value);
  static ExecutionResult failed(ErrorKind Kind, std::string Detail,
                                AttemptOutcome Outcome);
  static ExecutionResult failed(Error Reason, AttemptOutcome Outcome);
};

} // namespace lavenderdale
