#pragma once

#include <optional>
#include <string_view>

namespace lavenderdale {

/// The closed list of error kinds. Every failure that a caller, an operator or
/// a peer can see has one of them; errorAnswer() gives what is answered.
enum class ErrorKind {
  BadRequest,
  PayloadTooLarge,
  UnknownRoute,
  MissingKey,
  BadKey,
  KeyWithdrawn,
  Forbidden,
  BadSession,
  SessionLost,
  RateLimited,
  QueueFull,
  QueueDeadline,
  DeadlineExceeded,
  TooManyConnections,
  Stopping,
  NoPrimary,
  Unavailable,
  ReplicaBehind,
  ConfigurationStale,
  UnknownTransaction,
  UnknownStatement,
  TransactionLost,
  TransactionBusy,
  StatementFailed,
  StatementNotAllowed,
  ResultTooLarge,
  OutcomeUnknown,
  IdempotencyConflict,
  InvalidSettings,
  InvalidCatalogue,
  NotFound,
  VersionConflict,
  PlatformUnavailable,
  Internal,
};

/// Whether a request reached an upstream.
enum class RunOutcome { NotRun, Run, Unknown };

/// What a caller may do after an error.
enum class RetryAdvice {
  Never,   ///< The same request fails again.
  Same,    ///< Send the same request again at once.
  After,   ///< Send the same request again after a pause.
  WithKey, ///< Send it again only if it carries an idempotency key.
};

/// One row of the table from error kind to answer.
struct ErrorAnswer {
  ErrorKind Kind;
  std::string_view
      Name;   ///< Stable name on the wire, for example "rate-limited".
  int Status; ///< HTTP status code.
  RunOutcome Outcome;
  RetryAdvice Retry;
  std::string_view Title;
};

/// Returns the table row of \p Kind.
const ErrorAnswer &errorAnswer(ErrorKind Kind);

/// Returns the kind whose wire name is \p Name, or nothing.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

/// Wire names: "not-run", "run", "unknown".
std::string_view toString(RunOutcome Outcome);

/// Wire names: "never", "same", "after", "with-key".
std::string_view toString(RetryAdvice Advice);

} // namespace lavenderdale
