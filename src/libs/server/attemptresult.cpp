#include "attemptresult.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lavenderdale {
namespace {

/// Maps a prefix of SQLSTATE to the outcome of the statement.
struct SqlStateRow {
  std::string_view Prefix;
  AttemptOutcome Outcome;
};

constexpr std::array SqlStates = {
    SqlStateRow{"25006", AttemptOutcome::NotPrimary},
    SqlStateRow{"40001", AttemptOutcome::SerializationFailure},
    SqlStateRow{"40P01", AttemptOutcome::SerializationFailure},
    SqlStateRow{"57P", AttemptOutcome::Terminated},
};

AttemptOutcome outcomeOf(const SqlError &Failure) {
  for (const SqlStateRow &Row : SqlStates)
    if (Failure.SqlState.starts_with(Row.Prefix))
      return Row.Outcome;
  return AttemptOutcome::StatementError;
}

} // namespace

ExecutionResult resultOfSqlError(const SqlError &Failure) {
  const AttemptOutcome Outcome = outcomeOf(Failure);
  const ErrorKind Kind = Outcome == AttemptOutcome::Terminated
                             ? ErrorKind::OutcomeUnknown
                             : ErrorKind::StatementFailed;
  return ExecutionResult::failed(
      Kind, "SQLSTATE " + Failure.SqlState + ": " + Failure.Message, Outcome);
}

ExecutionResult resultOfFailedRun(const Error &Failure) {
  const bool Unsent = errorAnswer(Failure.Kind).Outcome == RunOutcome::NotRun;
  AttemptOutcome Outcome = AttemptOutcome::StatementError;
  if (Failure.Kind == ErrorKind::NoPrimary)
    Outcome = AttemptOutcome::RefusedBeforeRun;
  else if (Unsent)
    Outcome = AttemptOutcome::NotSent;
  else if (Failure.Kind == ErrorKind::OutcomeUnknown)
    Outcome = AttemptOutcome::AnswerLost;
  return ExecutionResult::failed(Failure, Outcome);
}

const SqlError *firstFailure(const std::vector<StatementResult> &Results) {
  for (const StatementResult &Result : Results)
    if (Result.Failure)
      return &*Result.Failure;
  return nullptr;
}

bool leavesNoSessionState(const StatementResult &Result) {
  static constexpr std::array<std::string_view, 7> TagsWithoutSessionState = {
      "SELECT", "INSERT", "UPDATE", "DELETE", "MERGE", "CREATE", "DROP"};
  if (Result.Failure)
    return true;
  return std::any_of(
      TagsWithoutSessionState.begin(), TagsWithoutSessionState.end(),
      [&](auto Tag) { return Result.CommandTag.starts_with(Tag); });
}

bool endsTransaction(const StatementResult &Result) {
  return Result.CommandTag == "COMMIT" || Result.CommandTag == "ROLLBACK" ||
         Result.CommandTag == "PREPARE TRANSACTION";
}

} // namespace lavenderdale
