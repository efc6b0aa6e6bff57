#include "retry/retrytable.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace lavenderdale;

namespace {

RetryTable tableWith(AttemptOutcome Outcome, RetryClass Class, NextStep Step) {
  RetryTable Table = detail::retryTable();
  Table[static_cast<std::size_t>(Outcome)]
      .Steps[static_cast<std::size_t>(Class)] = Step;
  return Table;
}

} // namespace

// Guards against a write that is run twice, and against the outcome not-run for
// a write that may have run.
TEST_CASE("a request with a lost answer is retried only if it may run twice",
          "[at-most-once][not-run]") {
  using enum AttemptOutcome;
  CHECK(nextStep(AnswerLost, RetryClass::Read) == NextStep::RetryElsewhere);
  CHECK(nextStep(AnswerLost, RetryClass::Write) == NextStep::AnswerUnknown);
  CHECK(nextStep(AnswerLost, RetryClass::KeyedWrite) ==
        NextStep::RetryElsewhere);
  CHECK(nextStep(AnswerLost, RetryClass::NeverRepeat) ==
        NextStep::AnswerUnknown);
  CHECK(nextStep(NotSent, RetryClass::Write) == NextStep::RetryElsewhere);
  CHECK(stepWithoutRetry(NotSent, RetryClass::Write) == NextStep::AnswerNotRun);
  CHECK(stepWithoutRetry(AnswerLost, RetryClass::KeyedWrite) ==
        NextStep::AnswerUnknown);
}

// Guards against table checks that accept every table.
TEST_CASE("the checks of the retry table detect wrong rows",
          "[at-most-once][not-run]") {
  using enum AttemptOutcome;
  CHECK(detail::runsAtMostOnce(detail::retryTable()));
  CHECK_FALSE(detail::runsAtMostOnce(
      tableWith(AnswerLost, RetryClass::Write, NextStep::RetryElsewhere)));
  CHECK_FALSE(detail::runsAtMostOnce(tableWith(
      SerializationFailure, RetryClass::NeverRepeat, NextStep::RetrySame)));
  CHECK_FALSE(detail::runsAtMostOnce(
      tableWith(NotSent, RetryClass::InTransaction, NextStep::RetrySame)));
  CHECK_FALSE(detail::notRunMeansNotSent(
      tableWith(AnswerLost, RetryClass::Write, NextStep::AnswerNotRun)));
  CHECK_FALSE(detail::unknownEffectIsReported(
      tableWith(PermissionLost, RetryClass::Write, NextStep::AnswerFailed)));
  CHECK_FALSE(detail::repeatableRequestsAreRetried(
      tableWith(AnswerLost, RetryClass::Read, NextStep::AnswerUnknown)));
  RetryTable Swapped = detail::retryTable();
  std::swap(Swapped[0], Swapped[1]);
  CHECK_FALSE(detail::isComplete(Swapped));
}
