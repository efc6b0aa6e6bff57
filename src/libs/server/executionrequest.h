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

/// The operation that a holder carries out.
enum class Operation { Run, Begin, Commit, Rollback };

/// A caller's request as it is sent from the host that received it to a holder
/// of the upstream. It never contains the caller's API key.
struct ExecutionRequest {
  Operation Action = Operation::Run;
  std::string Group;
  std::string Upstream;
  UpstreamRole Role = UpstreamRole::Primary; ///< Expected role of the upstream.
  std::string Workspace;
  TrafficClass Class = TrafficClass::Standard;
  std::uint32_t QueueLength = 0;
  std::uint32_t Weight = 1;
  TimePoint Deadline;
  Statement Sql;
  bool ReadOnly = false;
  std::optional<Position> Seen;
  std::optional<Duration> AcceptedAge;
  std::optional<TimePoint>
      WaitUntil; ///< How long to wait for a replica to catch up.
  Acknowledge Mode = Acknowledge::Primary;
  std::string IdempotencyKey;
  std::string Transaction;
  std::string TraceParent;

  /// Deadlines are written as microseconds from \p Now, since the clocks of two
  /// hosts differ.
  Json::Value toJson(TimePoint Now) const;

  /// \param Now the time from which the remaining times are counted.
  /// \returns the request, or BadRequest.
  static Result<ExecutionRequest> fromJson(const Json::Value &Value,
                                           TimePoint Now);
};

/// The answer of a holder. The body is the JSON text for the caller.
struct ExecutionAnswer {
  std::string Body;
  UpstreamRole Role = UpstreamRole::Primary;
  std::optional<Position> Reached;
  std::string Transaction;
};

/// A failed attempt: the error, and whether the statement may have been run.
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
