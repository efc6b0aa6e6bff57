#include "retry/retrytable.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace lavenderdale;

namespace {

RetryTable changed(AttemptOutcome Outcome, RequestMark Mark, NextStep Step) {
  RetryTable Table = detail::retryTable();
  Table[static_cast<std::size_t>(Outcome)]
      .Steps[static_cast<std::size_t>(Mark)] = Step;
  return Table;
}

} // namespace

// Guards against a repeated write, and against "not run" for one that ran.
TEST_CASE("a lost answer is retried only if that is harmless",
          "[at-most-once][not-run]") {
  using enum AttemptOutcome;
  CHECK(nextStep(AnswerLost, RequestMark::Read) == NextStep::RetryElsewhere);
  CHECK(nextStep(AnswerLost, RequestMark::Write) == NextStep::AnswerUnknown);
  CHECK(nextStep(AnswerLost, RequestMark::KeyedWrite) ==
        NextStep::RetryElsewhere);
  CHECK(nextStep(AnswerLost, RequestMark::NeverRepeat) ==
        NextStep::AnswerUnknown);
  CHECK(nextStep(NotSent, RequestMark::Write) == NextStep::RetryElsewhere);
  CHECK(stepWithoutRetry(NotSent, RequestMark::Write) ==
        NextStep::AnswerNotRun);
  CHECK(stepWithoutRetry(AnswerLost, RequestMark::KeyedWrite) ==
        NextStep::AnswerUnknown);
}

// Guards against checks of the table that hold for any table.
TEST_CASE("the checks of the table find wrong rows",
          "[at-most-once][not-run]") {
  using enum AttemptOutcome;
  CHECK(detail::runsAtMostOnce(detail::retryTable()));
  CHECK_FALSE(detail::runsAtMostOnce(
      changed(AnswerLost, RequestMark::Write, NextStep::RetryElsewhere)));
  CHECK_FALSE(detail::runsAtMostOnce(changed(
      SerializationFailure, RequestMark::NeverRepeat, NextStep::RetrySame)));
  CHECK_FALSE(detail::runsAtMostOnce(
      changed(NotSent, RequestMark::InTransaction, NextStep::RetrySame)));
  CHECK_FALSE(detail::notRunIsTrue(
      changed(AnswerLost, RequestMark::Write, NextStep::AnswerNotRun)));
  CHECK_FALSE(detail::unknownIsTold(
      changed(PermissionLost, RequestMark::Write, NextStep::AnswerFailed)));
  CHECK_FALSE(detail::repeatableIsRetried(
      changed(AnswerLost, RequestMark::Read, NextStep::AnswerUnknown)));
  RetryTable Swapped = detail::retryTable();
  std::swap(Swapped[0], Swapped[1]);
  CHECK_FALSE(detail::isComplete(Swapped));
}
