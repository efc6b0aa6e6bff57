#include "limits/coldrate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Replays the end of an evacuation: the usual load of an upstream returns to
// its holder at once, and two other hosts lose the holder and stand in for it.
// Guards against a cold upstream that gets more in any second than the rule
// allows, and against one that gets nothing.
TEST_CASE("a cold upstream gets no more than allowed in any second") {
  const ColdTolerance Tolerance;
  constexpr double PerSecond = 20;
  const double Allowed = PerSecond * Tolerance.Factor + Tolerance.Requests;
  std::vector<ColdRate> Hosts(3);
  std::vector<TimePoint> Sent;
  std::mt19937 Random(7);
  std::uniform_int_distribution<std::size_t> Choose(0, 2);
  for (TimePoint Now{100s}; Now < TimePoint{110s}; Now += 1ms) {
    const std::size_t Host = Choose(Random);
    const auto Limit = ColdRate::permitted(PerSecond, Tolerance, Host == 0);
    REQUIRE(Limit);
    if (!Hosts[Host].hasRoom(*Limit, Now))
      continue;
    Hosts[Host].count(Now);
    Sent.push_back(Now);
  }
  for (const TimePoint Begin : Sent)
    REQUIRE(static_cast<double>(
                std::ranges::count_if(Sent, [Begin](TimePoint Each) {
                  return Each >= Begin && Each < Begin + ColdRate::Window;
                })) <= Allowed);
  CHECK(static_cast<double>(Sent.size()) >= PerSecond * 10);
}

// Guards against a service without a limit that is limited, and against an
// upstream that never warms up because its limit is rounded to nothing.
TEST_CASE("a rate of zero is no limit, and a small one lets one request pass") {
  CHECK_FALSE(ColdRate::permitted(0, {}, true));
  CHECK_FALSE(ColdRate::permitted(-1, {}, true));
  CHECK(ColdRate::permitted(0.2, {}, true) == 1u);
  CHECK(ColdRate::permitted(0.2, {1, 0}, false) == 1u);
}
