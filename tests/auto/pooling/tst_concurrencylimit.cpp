#include "pooling/concurrencylimit.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

using Outcome = ConcurrencyLimit::Outcome;

constexpr std::size_t Slots = 4;
const TimePoint Start{1000s};

/// Answers statements one after the other while the limit is used up.
TimePoint answer(ConcurrencyLimit &Limit, TimePoint Now, int Count,
                 Duration Each) {
  for (int I = 0; I < Count; ++I) {
    Now += Each / 4;
    Limit.record(Outcome::Answered, Each, Limit.limit(Now), Now);
  }
  return Now;
}

} // namespace

// Guards against slots that idle while an answer and the next statement are on
// the wire, and against a limit that grows without bound.
TEST_CASE("the limit starts at the slots and grows to a small allowance") {
  ConcurrencyLimit Limit(Slots);
  CHECK(Limit.limit(Start) == Slots);
  answer(Limit, Start, 1000, 10ms);
  CHECK(Limit.limit(Start + 3s) == Limit.maximum());
  CHECK(Limit.maximum() == Slots + 2);
}

// Guards against a limit that grows although it is not used: nothing was
// learned about so many statements.
TEST_CASE("answers below the limit do not raise it") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I)
    Limit.record(Outcome::Answered, 10ms, 2, Now += 5ms);
  CHECK(Limit.limit(Now) == Slots);
}

// Guards against a comparison with a fixed time: an upstream that always needs
// long is not overloaded.
TEST_CASE("an inherently slow upstream keeps its slots") {
  ConcurrencyLimit Limit(Slots);
  const TimePoint Now = answer(Limit, Start, 300, 200ms);
  CHECK(Limit.limit(Now) >= Slots);
}

// Load pattern: eight times slower for 6 s. Guards against giving up slots that
// still work, and against a wait that is estimated from the fast time.
TEST_CASE("an upstream that becomes eight times slower keeps its slots but not "
          "the allowance") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = answer(Limit, Start, 500, 10ms);
  REQUIRE(Limit.limit(Now) > Slots);
  Now = answer(Limit, Now, 200, 80ms); // 4 s.
  CHECK(Limit.limit(Now) == Slots);
  REQUIRE(Limit.serviceTime(Now));
  CHECK(*Limit.serviceTime(Now) > 60ms);
  Now = answer(Limit, Now, 100, 10ms);
  CHECK(*Limit.serviceTime(Now) < 12ms);
  Now = answer(Limit, Now, 300, 10ms);
  CHECK(Limit.limit(Now) > Slots);
}

// Guards against one host's slow path that lowers its limit: the extra time is
// on the wire and occupies no slot. The reference is that of the host itself.
TEST_CASE("an upstream that is slow only for one host keeps its slots there") {
  ConcurrencyLimit Near(Slots);
  ConcurrencyLimit Far(Slots);
  const TimePoint NearEnd = answer(Near, Start, 500, 10ms);
  const TimePoint FarEnd = answer(Far, Start, 500, 60ms);
  CHECK(Far.limit(FarEnd) == Near.limit(NearEnd));
}

// Guards against quick errors that look like a fast upstream.
TEST_CASE("quick failures neither raise the limit nor shorten the expected "
          "wait") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = answer(Limit, Start, 20, 80ms);
  const std::size_t Before = Limit.limit(Now);
  const std::optional<Duration> Wait = Limit.expectedWait(8, Before, Now);
  for (int I = 0; I < 500; ++I)
    Limit.record(Outcome::Failed, 100us, Before, Now += 100us);
  CHECK(Limit.limit(Now) == Before);
  CHECK(Limit.expectedWait(8, Before, Now) == Wait);
}

// Guards against an upstream that was just started or promoted and is judged by
// what its previous process did.
TEST_CASE("a restarted upstream begins with its slots") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I)
    Limit.record(Outcome::Lost, 700ms, 4, Now += 700ms);
  CHECK(Limit.limit(Now) == 1);
  Limit.reset();
  CHECK(Limit.limit(Now) == Slots);
  CHECK_FALSE(Limit.expectedWait(100, Slots, Now));
}

// Load pattern: statements of 3 ms and 19 ms mixed, first mostly short ones,
// then mostly long ones. Guards against taking long statements for a queue.
TEST_CASE("mixed statements do not lower the limit below the slots") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = Start;
  for (int I = 0; I < 2000; ++I) {
    const Duration Each = I % 4 == (I < 1000 ? 0 : 1) ? 19ms : 3ms;
    Now += Each / 4;
    Limit.record(Outcome::Answered, Each, Limit.limit(Now), Now);
    REQUIRE(Limit.limit(Now) >= Slots);
  }
  CHECK(Limit.limit(Now) == Limit.maximum());
  for (int I = 0; I < 1000; ++I) {
    const Duration Each = I % 4 != 0 ? 19ms : 3ms;
    Now += Each / 4;
    Limit.record(Outcome::Answered, Each, Limit.limit(Now), Now);
    REQUIRE(Limit.limit(Now) >= Slots);
  }
}

// Guards against a limit that does not react while others use up the upstream,
// and against one that falls to the minimum in a single burst of refusals.
TEST_CASE("refusals as busy lower the limit once for each burst") {
  ConcurrencyLimit Limit(8);
  TimePoint Now = answer(Limit, Start, 50, 10ms);
  const std::size_t Before = Limit.limit(Now);
  for (int I = 0; I < 30; ++I)
    Limit.record(Outcome::Busy, 1ms, Before, Now);
  CHECK(Limit.limit(Now) < Before);
  CHECK(Limit.limit(Now) >= Before * 6 / 10);
  for (int I = 0; I < 20; ++I)
    Limit.record(Outcome::Busy, 1ms, Before, Now += 50ms);
  CHECK(Limit.limit(Now) == 1);
}

// Guards against work that is sent at full rate to an upstream that does not
// answer, and against one that stays at the minimum when it answers again.
TEST_CASE("the limit of a silent upstream falls to 1 and rises with answers") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = answer(Limit, Start, 100, 10ms);
  for (int I = 0; I < 8; ++I)
    Limit.record(Outcome::Lost, 700ms, 4, Now += 500ms);
  CHECK(Limit.limit(Now) == 1);
  Now = answer(Limit, Now, 20, 10ms);
  CHECK(Limit.limit(Now) >= Slots);
}

// Guards against lost answers of single connections that leave slots idle while
// the upstream answers all others.
TEST_CASE("single lost answers take at most half of the slots") {
  ConcurrencyLimit Limit(Slots);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I) {
    Limit.record(Outcome::Answered, 10ms, 1, Now += 10ms);
    Limit.record(Outcome::Lost, 150ms, 4, Now);
    REQUIRE(Limit.limit(Now) >= Slots / 2);
  }
}

// Guards against a second holder that starts with the full limit at an upstream
// that the first one knows to be overloaded, and against an old estimate.
TEST_CASE("a new holder begins with the estimate of the last one for 10 s") {
  ConcurrencyLimit Limit(Slots);
  Limit.adopt({2.0, 40ms}, Start);
  CHECK(Limit.limit(Start + 1s) == 2);
  Limit.adopt({3.0, 40ms}, Start + 1s); // The holder tells a newer one.
  CHECK(Limit.limit(Start + 1s) == 3);
  CHECK_FALSE(Limit.expectedWait(100, 2, Start + 1s));
  CHECK(Limit.limit(Start + 1s + ConcurrencyLimit::EstimateLifetime) == Slots);
  const TimePoint Now = answer(Limit, Start + 20s, 50, 10ms);
  const std::size_t Learned = Limit.limit(Now);
  Limit.adopt({1.0, 40ms}, Now); // Own answers count more.
  CHECK(Limit.limit(Now) == Learned);
  ConcurrencyLimit Other(Slots);
  Other.adopt({-3.0, 0ms}, Start);
  Other.adopt({1e300, 0ms}, Start);
  CHECK(Other.limit(Start) == Other.maximum());
}

// Guards against refusals that rest on answers of another situation.
TEST_CASE("the expected wait rests on answers of the last seconds only") {
  ConcurrencyLimit Limit(Slots);
  CHECK_FALSE(Limit.expectedWait(10, Slots, Start));
  const TimePoint Now = answer(Limit, Start, 40, 20ms);
  const std::size_t Running = Limit.limit(Now);
  REQUIRE(Limit.expectedWait(0, 0, Now));
  CHECK(*Limit.expectedWait(0, 0, Now) == 0ms);
  const std::optional<Duration> Wait = Limit.expectedWait(59, Running, Now);
  REQUIRE(Wait);
  CHECK(*Wait >= 190ms);
  CHECK(*Wait <= 310ms);
  CHECK_FALSE(Limit.expectedWait(59, Running,
                                 Now + ConcurrencyLimit::RecentAnswerTime));
}
