#include "retrytable.h"

#include "base/softassert.h"

namespace lavenderdale {
namespace {

using enum AttemptOutcome;
using enum NextStep;

// Columns: Read, Write, KeyedWrite, NeverRepeat, InTransaction.
constexpr RetryTable Table = {{
    {NotSent,
     {RetryElsewhere, RetryElsewhere, RetryElsewhere, RetryElsewhere,
      AnswerNotRun},
     AnswerNotRun},
    {RefusedBeforeRun,
     {RetryElsewhere, RetryElsewhere, RetryElsewhere, AnswerNotRun,
      AnswerNotRun},
     AnswerNotRun},
    {AnswerLost,
     {RetryElsewhere, AnswerUnknown, RetryElsewhere, AnswerUnknown,
      AnswerUnknown},
     AnswerUnknown},
    {Terminated,
     {RetryElsewhere, AnswerUnknown, RetryElsewhere, AnswerUnknown,
      AnswerUnknown},
     AnswerUnknown},
    {ReplicaBehind,
     {RetryElsewhere, AnswerUnknown, RetryElsewhere, AnswerUnknown,
      AnswerUnknown},
     AnswerUnknown},
    {NotPrimary,
     {RetryElsewhere, RetryElsewhere, RetryElsewhere, AnswerFailed,
      AnswerFailed},
     AnswerFailed},
    {SerializationFailure,
     {RetrySame, RetrySame, RetrySame, AnswerFailed, AnswerFailed},
     AnswerFailed},
    {StatementError,
     {AnswerFailed, AnswerFailed, AnswerFailed, AnswerFailed, AnswerFailed},
     AnswerFailed},
    {PermissionLost,
     {RetryElsewhere, AnswerUnknown, RetryElsewhere, AnswerUnknown,
      AnswerUnknown},
     AnswerUnknown},
}};

static_assert(detail::isComplete(Table));
static_assert(detail::notRunIsTrue(Table));
static_assert(detail::runsAtMostOnce(Table));
static_assert(detail::unknownIsTold(Table));
static_assert(detail::repeatableIsRetried(Table));

const RetryRow *rowOf(AttemptOutcome Outcome, RequestMark Mark) {
  const bool Known = static_cast<std::size_t>(Outcome) < AttemptOutcomeCount &&
                     static_cast<std::size_t>(Mark) < RequestMarkCount;
  if (!softAssert(Known, "outcome and mark are in the retry table"))
    return nullptr;
  return &Table[static_cast<std::size_t>(Outcome)];
}

} // namespace

const RetryTable &detail::retryTable() { return Table; }

NextStep nextStep(AttemptOutcome Outcome, RequestMark Mark) {
  const RetryRow *Row = rowOf(Outcome, Mark);
  return Row == nullptr ? AnswerUnknown
                        : Row->Steps[static_cast<std::size_t>(Mark)];
}

NextStep stepWithoutRetry(AttemptOutcome Outcome, RequestMark Mark) {
  const RetryRow *Row = rowOf(Outcome, Mark);
  return Row == nullptr ? AnswerUnknown : Row->WithoutRetry;
}

} // namespace lavenderdale
