#include "failover/evidence.h"
#include "failover/failuredetector.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;

enum class Answer { Primary, Refused, None };

/// Polls every 100 ms in [From, To), each poll with the answer \p What.
void poll(FailureDetector &Detector, Duration From, Duration To, Answer What) {
  for (Duration At = From; At < To; At += 100ms) {
    Detector.pollSent(Start + At);
    if (What == Answer::Primary)
      Detector.pollAnswered(Start + At, Start + At + 1ms);
    else if (What == Answer::Refused)
      Detector.pollRefused(Start + At, Start + At + 1ms);
  }
}

FailureDetector healthy() {
  FailureDetector Detector;
  Detector.primaryChanged(Term{1}, Start, true);
  poll(Detector, 0ms, 1000ms, Answer::Primary);
  return Detector;
}

} // namespace

// Guards against replacing a primary that pauses for a second.
TEST_CASE("a primary is suspected after 1.2 s silence or 0.4 s refusals") {
  FailureDetector Silent = healthy();
  poll(Silent, 1000ms, 2100ms, Answer::None);
  CHECK_FALSE(Silent.suspects(Start + 2099ms));
  CHECK(Silent.suspects(Start + 2100ms));
  Silent.pollAnswered(Start + 2000ms, Start + 2100ms);
  CHECK_FALSE(Silent.suspects(Start + 2100ms));

  FailureDetector Refused = healthy();
  poll(Refused, 1000ms, 1400ms, Answer::Refused);
  CHECK_FALSE(Refused.suspects(Start + 1400ms));
  CHECK(Refused.suspects(Start + 1401ms));
}

// Guards against configured times that are reset by a change of primary.
TEST_CASE("configured suspicion times apply in every term") {
  FailureDetector Silent(SuspicionTimes{10s, 10s});
  Silent.primaryChanged(Term{1}, Start, true);
  Silent.primaryChanged(Term{2}, Start + 1ms);
  FailureDetector Refused = Silent;
  poll(Silent, 1s, 11s, Answer::None);
  CHECK_FALSE(Silent.suspects(Start + 10999ms));
  CHECK(Silent.suspects(Start + 11s));
  poll(Refused, 1s, 11s, Answer::Refused);
  CHECK_FALSE(Refused.suspects(Start + 10999ms));
  CHECK(Refused.suspects(Start + 11001ms));
}

// Guards against a watcher that mistakes its own pause for silence of the
// primary.
TEST_CASE("a watcher does not suspect the primary after its own pause") {
  FailureDetector Detector = healthy();
  Detector.pollSent(Start + 1000ms);
  CHECK_FALSE(Detector.suspects(Start + 9000ms));
  Detector.pollSent(Start + 9000ms);
  CHECK_FALSE(Detector.suspects(Start + 9000ms));
  Detector.pollAnswered(Start + 1000ms, Start + 9001ms);
  Detector.pollRefused(Start + 1001ms, Start + 9001ms);
  CHECK_FALSE(Detector.suspects(Start + 9001ms));
  poll(Detector, 9100ms, 10200ms, Answer::None);
  CHECK_FALSE(Detector.suspects(Start + 10199ms));
  CHECK(Detector.suspects(Start + 10200ms));
}

// Guards against another change of primary while the new one takes over.
TEST_CASE("a new primary is not suspected for 3 s without refusals") {
  FailureDetector Detector = healthy();
  Detector.primaryChanged(Term{2}, Start + 1000ms);
  FailureDetector Refused = Detector;
  poll(Detector, 1000ms, 4000ms, Answer::None);
  CHECK_FALSE(Detector.suspects(Start + 3999ms));
  CHECK(Detector.suspects(Start + 4000ms));
  poll(Refused, 1000ms, 1500ms, Answer::Refused);
  CHECK(Refused.suspects(Start + 1500ms));
}

// Guards against a promotion by an isolated failure domain or on old evidence.
TEST_CASE("evidence requires a recent majority in two failure domains",
          "[fencing]") {
  const std::vector<Watcher> Watchers = {{"h1", "x"}, {"h2", "x"}, {"h3", "y"}};
  const auto HasQuorum = [&](const std::vector<Evidence> &Reports) {
    EvidenceAggregator Aggregator;
    for (const Evidence &E : Reports)
      Aggregator.record(E);
    return Aggregator.hasQuorum(Watchers, Term{2}, Start + 500ms);
  };
  const Evidence First{"h1", Term{2}, true, Start};
  const Evidence SameDomain{"h2", Term{2}, true, Start};
  const Evidence OtherDomain{"h3", Term{2}, true, Start};
  CHECK(HasQuorum({First, OtherDomain}));
  CHECK_FALSE(HasQuorum({First}));
  CHECK_FALSE(HasQuorum({First, SameDomain}));
  CHECK_FALSE(HasQuorum({First, {"h3", Term{1}, true, Start}}));
  CHECK_FALSE(HasQuorum({First, {"h3", Term{2}, true, Start - 1ms}}));
  CHECK_FALSE(HasQuorum({First, {"h9", Term{2}, true, Start}}));
  CHECK_FALSE(
      HasQuorum({First, {"h3", Term{2}, false, Start + 1ms}, OtherDomain}));
}
