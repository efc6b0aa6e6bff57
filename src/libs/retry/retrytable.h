#pragma once

#include <cstddef>

namespace lavenderdale {

/// What happened to one attempt to run a request at an upstream.
enum class AttemptOutcome {
  NotSent,              ///< No byte of the statement left: no connection, open
                        ///< failed, permission expired before.
  RefusedBeforeRun,     ///< A holder answered that it did not run it.
  AnswerLost,           ///< Sent, then connection lost, or deadline passed.
  ReplicaBehind,        ///< Position check of the replica failed.
  NotPrimary,           ///< Refused with 25006: the database is read-only.
  SerializationFailure, ///< SQLSTATE 40001 or 40P01; rolled back.
  ShuttingDown,         ///< SQLSTATE 57P01 to 57P03, or 53300.
  StatementError,       ///< Any other SQL error.
  PermissionLost,       ///< Run, but the primary could not acknowledge it.
};
inline constexpr std::size_t AttemptOutcomeCount = 9;

/// How a request may be repeated.
enum class RequestMark {
  Read,          ///< Read outside of a transaction.
  Write,         ///< Write without an idempotency key.
  KeyedWrite,    ///< Write with an idempotency key.
  NeverRepeat,   ///< Lavenderdale-Repeat: never. Sent once.
  InTransaction, ///< Statement of an explicit transaction.
};
inline constexpr std::size_t RequestMarkCount = 5;

/// Retry steps are subject to the workspace's RetryBudget and the request's
/// deadline; if they do not allow it, answerInstead() is the step.
enum class NextStep {
  RetryElsewhere, ///< At another upstream or after a new view of the group.
  RetrySame,      ///< At the same upstream on another connection.
  AnswerUnknown,  ///< outcome-unknown.
  AnswerNotRun,   ///< The kind of the failure, with outcome not-run.
  AnswerFailed,   ///< The database's error, with outcome run.
};

/// Returns the next step.
constexpr NextStep nextStep(AttemptOutcome Outcome, RequestMark Mark);

/// Returns the answer when the retry that nextStep() advises is not allowed.
constexpr NextStep answerInstead(AttemptOutcome Outcome, RequestMark Mark);

} // namespace lavenderdale

#include "retrytable_rows.h"
