#pragma once

#include <array>
#include <cstddef>

namespace lavenderdale {

/// The outcome of one attempt to run a request at an upstream.
enum class AttemptOutcome {
  NotSent,              ///< No byte of the statement was sent: no connection,
                        ///< connecting failed (57P03, 53300), or the permission
                        ///< had already expired.
  RefusedBeforeRun,     ///< The holder answered that it did not send it.
  AnswerLost,           ///< Sent, but no answer: the connection broke or the
                        ///< deadline passed.
  Terminated,           ///< Answered with SQLSTATE 57P01 or 57P02.
  ReplicaBehind,        ///< Run at a replica that does not meet the read's
                        ///< consistency rule; the result was discarded.
  NotPrimary,           ///< SQLSTATE 25006: the database is read-only.
  SerializationFailure, ///< SQLSTATE 40001 or 40P01: was rolled back.
  StatementError,       ///< Any other error of the database.
  PermissionLost,       ///< Run, but the permission to acknowledge results of
                        ///< the primary was lost.
};
inline constexpr std::size_t AttemptOutcomeCount = 9;

/// How a request may be repeated. If several values apply to a request, the
/// last of them in this order counts.
enum class RetryClass {
  Read,          ///< Read outside a transaction.
  Write,         ///< Write without an idempotency key.
  KeyedWrite,    ///< Write with an idempotency key.
  NeverRepeat,   ///< Request with the header `Lavenderdale-Repeat: never`.
  InTransaction, ///< Any request within an explicit transaction.
};
inline constexpr std::size_t RetryClassCount = 5;

/// What to do after an attempt.
enum class NextStep {
  RetryElsewhere, ///< Retry at another upstream, with a refreshed group view.
  RetrySame,      ///< Retry at the same upstream.
  AnswerUnknown,  ///< Answer the error outcome-unknown.
  AnswerNotRun,   ///< Answer the failure's error kind, with outcome not-run.
  AnswerFailed,   ///< Answer the database's error, with outcome run.
};

/// The steps after one outcome: one for each RetryClass, and the answer if the
/// retry budget or the deadline does not allow a retry.
struct RetryRow {
  AttemptOutcome Outcome;
  std::array<NextStep, RetryClassCount> Steps;
  NextStep WithoutRetry;
};

using RetryTable = std::array<RetryRow, AttemptOutcomeCount>;

/// \returns the next step after an attempt with \p Outcome. The caller must
///          check that the workspace's RetryBudget and the deadline allow a
///          retry.
NextStep nextStep(AttemptOutcome Outcome, RetryClass Class);

/// \returns the next step if no retry is allowed; it is never a retry.
NextStep stepWithoutRetry(AttemptOutcome Outcome, RetryClass Class);

/// Whether \p Step sends the request again.
constexpr bool isRetry(NextStep Step) {
  return Step == NextStep::RetryElsewhere || Step == NextStep::RetrySame;
}

/// Whether no byte of the statement was sent to an upstream.
constexpr bool notSent(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotSent ||
         Outcome == AttemptOutcome::RefusedBeforeRun;
}

namespace detail {

/// Whether the database confirmed that the statement had no effect.
constexpr bool hadNoEffect(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotPrimary ||
         Outcome == AttemptOutcome::SerializationFailure ||
         Outcome == AttemptOutcome::StatementError;
}

/// Checks that the rows are in the order of AttemptOutcome, so that an outcome
/// can be used as an index.
constexpr bool isComplete(const RetryTable &Table) {
  for (std::size_t I = 0; I < Table.size(); ++I)
    if (Table[I].Outcome != static_cast<AttemptOutcome>(I))
      return false;
  return true;
}

/// Checks that AnswerNotRun is the answer for all attempts that were not sent,
/// and only for these.
constexpr bool notRunMeansNotSent(const RetryTable &Table) {
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

/// Checks that writes without a key are retried only if the earlier attempt had
/// no effect, NeverRepeat requests only after NotSent, and requests within a
/// transaction never.
constexpr bool runsAtMostOnce(const RetryTable &Table) {
  for (const RetryRow &Row : Table) {
    const auto Retried = [&Row](RetryClass Class) {
      return isRetry(Row.Steps[static_cast<std::size_t>(Class)]);
    };
    if (Retried(RetryClass::Write) && !notSent(Row.Outcome) &&
        !hadNoEffect(Row.Outcome))
      return false;
    if (Retried(RetryClass::NeverRepeat) &&
        Row.Outcome != AttemptOutcome::NotSent)
      return false;
    if (Retried(RetryClass::InTransaction))
      return false;
  }
  return true;
}

/// Checks that AnswerUnknown is the answer for all attempts with an unknown
/// effect, and only for these.
constexpr bool unknownEffectIsReported(const RetryTable &Table) {
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

/// Checks that reads and keyed writes are retried after every outcome except an
/// error of the statement itself.
constexpr bool repeatableRequestsAreRetried(const RetryTable &Table) {
  for (const RetryRow &Row : Table)
    for (const RetryClass Class : {RetryClass::Read, RetryClass::KeyedWrite})
      if (isRetry(Row.Steps[static_cast<std::size_t>(Class)]) ==
          (Row.Outcome == AttemptOutcome::StatementError))
        return false;
  return true;
}

/// \returns the table that nextStep() uses.
const RetryTable &retryTable();

} // namespace detail

} // namespace lavenderdale
