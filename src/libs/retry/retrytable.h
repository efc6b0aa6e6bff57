#pragma once

#include <array>
#include <cstddef>

namespace lavenderdale {

/// What happened to one attempt to run a request at an upstream.
enum class AttemptOutcome {
  NotSent,              ///< No byte of the statement left: no connection, open
                        ///< failed (57P03, 53300), permission expired before.
  RefusedBeforeRun,     ///< The holder answered that it did not send it.
  AnswerLost,           ///< Sent, then the connection or the deadline was lost.
  Terminated,           ///< SQLSTATE 57P01 or 57P02 as the answer.
  ReplicaBehind,        ///< Run at a replica that fails the read rule; the
                        ///< result was dropped.
  NotPrimary,           ///< SQLSTATE 25006: the database is read-only.
  SerializationFailure, ///< SQLSTATE 40001 or 40P01: rolled back.
  StatementError,       ///< Any other error of the database.
  PermissionLost,       ///< Run, but the primary may not acknowledge it.
};
inline constexpr std::size_t AttemptOutcomeCount = 9;

/// How a request may be repeated. A route takes the first that applies, from
/// the last to the first.
enum class RequestMark {
  Read,          ///< Read outside of a transaction.
  Write,         ///< Write without an idempotency key.
  KeyedWrite,    ///< Write with an idempotency key.
  NeverRepeat,   ///< Lavenderdale-Repeat: never.
  InTransaction, ///< Any call on an explicit transaction.
};
inline constexpr std::size_t RequestMarkCount = 5;

enum class NextStep {
  RetryElsewhere, ///< At another upstream, after a new view of the group.
  RetrySame,      ///< At the same upstream.
  AnswerUnknown,  ///< outcome-unknown.
  AnswerNotRun,   ///< The kind of the failure; its outcome is not-run.
  AnswerFailed,   ///< The database's error; its outcome is run.
};

/// One row: the steps for each mark, and the answer if the retry budget or the
/// deadline does not allow a retry.
struct RetryRow {
  AttemptOutcome Outcome;
  std::array<NextStep, RequestMarkCount> Steps;
  NextStep WithoutRetry;
};

using RetryTable = std::array<RetryRow, AttemptOutcomeCount>;

/// Returns the next step after \p Outcome of a request with \p Mark. Retries
/// need the workspace's RetryBudget and enough time before the deadline.
NextStep nextStep(AttemptOutcome Outcome, RequestMark Mark);

/// Returns the step when no retry is allowed; never a retry.
NextStep stepWithoutRetry(AttemptOutcome Outcome, RequestMark Mark);

/// Whether the request is sent again.
constexpr bool isRetry(NextStep Step) {
  return Step == NextStep::RetryElsewhere || Step == NextStep::RetrySame;
}

/// True if no byte of the statement reached an upstream.
constexpr bool notSent(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotSent ||
         Outcome == AttemptOutcome::RefusedBeforeRun;
}

namespace detail {

/// True if the database said that the statement has no effect.
constexpr bool hadNoEffect(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotPrimary ||
         Outcome == AttemptOutcome::SerializationFailure ||
         Outcome == AttemptOutcome::StatementError;
}

/// Rows are in the order of AttemptOutcome, so that an outcome is an index.
constexpr bool isComplete(const RetryTable &Table) {
  for (std::size_t I = 0; I < Table.size(); ++I)
    if (Table[I].Outcome != static_cast<AttemptOutcome>(I))
      return false;
  return true;
}

/// "Not run" is answered exactly where a retry or answer follows an attempt
/// that was not sent.
constexpr bool notRunIsTrue(const RetryTable &Table) {
  for (const RetryRow &Row : Table) {
    for (const NextStep Step : Row.Steps)
      if (!isRetry(Step) &&
          (Step == NextStep::AnswerNotRun) != notSent(Row.Outcome))
        return false;
    if ((Row.WithoutRetry == NextStep::AnswerNotRun) != notSent(Row.Outcome))
      return false;
  }
  return true;
}

/// Unkeyed writes are repeated only if the earlier attempt had no effect;
/// requests marked never-repeat only if the earlier attempt was not sent at
/// all; calls on a transaction not at all.
constexpr bool runsAtMostOnce(const RetryTable &Table) {
  for (const RetryRow &Row : Table) {
    const auto Retried = [&Row](RequestMark Mark) {
      return isRetry(Row.Steps[static_cast<std::size_t>(Mark)]);
    };
    if (Retried(RequestMark::Write) && !notSent(Row.Outcome) &&
        !hadNoEffect(Row.Outcome))
      return false;
    if (Retried(RequestMark::NeverRepeat) &&
        Row.Outcome != AttemptOutcome::NotSent)
      return false;
    if (Retried(RequestMark::InTransaction))
      return false;
  }
  return true;
}

/// "Failed" is answered only with an error of the database, and an attempt of
/// unknown effect is not answered otherwise than "unknown".
constexpr bool unknownIsTold(const RetryTable &Table) {
  for (const RetryRow &Row : Table) {
    const bool Unknown = !notSent(Row.Outcome) && !hadNoEffect(Row.Outcome);
    for (const NextStep Step : Row.Steps)
      if (!isRetry(Step) && (Step == NextStep::AnswerUnknown) != Unknown)
        return false;
    if (isRetry(Row.WithoutRetry) ||
        (Row.WithoutRetry == NextStep::AnswerUnknown) != Unknown)
      return false;
  }
  return true;
}

/// Reads and keyed writes are retried after everything but an error of the
/// statement itself.
constexpr bool repeatableIsRetried(const RetryTable &Table) {
  for (const RetryRow &Row : Table)
    for (const RequestMark Mark : {RequestMark::Read, RequestMark::KeyedWrite})
      if (isRetry(Row.Steps[static_cast<std::size_t>(Mark)]) ==
          (Row.Outcome == AttemptOutcome::StatementError))
        return false;
  return true;
}

/// The table that nextStep() uses.
const RetryTable &retryTable();

} // namespace detail

} // namespace lavenderdale
