#include "base/errorkind.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lavenderdale;

// Guards against a kind without an answer, or two kinds with one wire name.
TEST_CASE("every error kind has one answer and a unique name", "[not-run]") {
  std::set<std::string_view> Names;
  for (int I = 0; I <= static_cast<int>(ErrorKind::Internal); ++I) {
    const auto Kind = static_cast<ErrorKind>(I);
    const ErrorAnswer &Answer = errorAnswer(Kind);
    CHECK(Answer.Kind == Kind);
    CHECK(Answer.Status >= 400);
    CHECK(Names.insert(Answer.Name).second);
    CHECK(errorKindFromName(Answer.Name) == Kind);
  }
  CHECK_FALSE(errorKindFromName("no-such-kind").has_value());
}

// Guards against advising a plain retry when the request may have run.
TEST_CASE("an unknown outcome is never followed by a plain retry",
          "[at-most-once]") {
  for (int I = 0; I <= static_cast<int>(ErrorKind::Internal); ++I) {
    const ErrorAnswer &Answer = errorAnswer(static_cast<ErrorKind>(I));
    if (Answer.Outcome == RunOutcome::Unknown)
      CHECK(Answer.Retry != RetryAdvice::Same);
  }
}
