#include "failover/troublenotices.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Load pattern: 300 hosts start together and know no primary of 27 groups.
// Guards against notices that each host sends four times a second to all hosts
// that may replace a primary.
TEST_CASE(
    "notices of primaries that are not reached are repeated once a second",
    "[answers]") {
  constexpr TimePoint Start{1000s};
  constexpr int Promoters = 27 * 5;
  TroubleNotices Notices;
  int Sent = 0;
  for (TimePoint Now = Start; Now < Start + 10s; Now += 240ms)
    for (int Host = 0; Host < Promoters; ++Host)
      Sent += Notices.due("h" + std::to_string(Host), Now) ? 1 : 0;
  CHECK(Sent <= Promoters * 10);
  CHECK(Sent >= Promoters * 8);
}

// Guards against a first notice that waits, which delays the replacement of a
// failed primary.
TEST_CASE("the first notice after calm is sent at once", "[answers]") {
  constexpr TimePoint Start{1000s};
  TroubleNotices Notices;
  CHECK(Notices.due("a", Start));
  CHECK(Notices.due("b", Start + 100ms));
  CHECK_FALSE(Notices.due("a", Start + 200ms));
  CHECK(Notices.due("a", Start + 10s));
}
