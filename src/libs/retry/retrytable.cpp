#include "retrytable.h"

#include "base/softassert.h"

namespace lavenderdale {
namespace {

using enum AttemptOutcome;
using enum NextStep;

// The steps are in the order of RetryClass: Read, Write, KeyedWrite,
// NeverRepeat, InTransaction.
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
static_assert(detail::notRunMeansNotSent(Table));
static_assert(detail::runsAtMostOnce(Table));
static_assert(detail::unknownEffectIsReported(Table));
static_assert(detail::repeatableRequestsAreRetried(Table));

const RetryRow *rowOf(AttemptOutcome Outcome, RetryClass Class) {
  const bool Known = static_cast<std::size_t>(Outcome) < AttemptOutcomeCount &&
                     static_cast<std::size_t>(Class) < RetryClassCount;
  if (!softAssert(Known, "outcome and retry class are in the retry table"))
    return nullptr;
  return &Table[static_cast<std::size_t>(Outcome)];
}

} // namespace

const RetryTable &detail::retryTable() { return Table; }

NextStep nextStep(AttemptOutcome Outcome, RetryClass Class) {
  const RetryRow *Row = rowOf(Outcome, Class);
  return Row == nullptr ? AnswerUnknown
                        : Row->Steps[static_cast<std::size_t>(Class)];
}

NextStep stepWithoutRetry(AttemptOutcome Outcome, RetryClass Class) {
  const RetryRow *Row = rowOf(Outcome, Class);
  return Row == nullptr ? AnswerUnknown : Row->WithoutRetry;
}

} // namespace lavenderdale
