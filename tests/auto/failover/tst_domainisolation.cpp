#include "failover/domainisolation.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

// Load pattern: a domain is cut off for 5.5 s.
// Guards against hosts of a cut-off domain that keep all their callers, and
// against sessions that are closed while the balancer would send them back.
TEST_CASE("a cut-off host leaves the rotation, then lets its sessions go",
          "[answers]") {
  DomainIsolation Isolation;
  Isolation.update(true, Start);
  CHECK_FALSE(Isolation.isIsolated(Start + 200ms));
  Isolation.update(true, Start + 400ms);
  CHECK(Isolation.isIsolated(Start + 400ms));
  CHECK_FALSE(Isolation.takeMoveSessions(Start + 2s));
  CHECK(Isolation.takeMoveSessions(Start + 3s));
  // Callers that come back have nowhere else to go.
  CHECK_FALSE(Isolation.takeMoveSessions(Start + 4s));
  Isolation.update(false, Start + 5500ms);
  CHECK_FALSE(Isolation.isIsolated(Start + 5500ms));
  Isolation.update(true, Start + 10s);
  CHECK_FALSE(Isolation.takeMoveSessions(Start + 11s));
  CHECK(Isolation.takeMoveSessions(Start + 13s));
}

// Guards against a host that leaves the rotation because it was busy or
// suspended for a moment.
TEST_CASE("a short silence of others is no isolation", "[answers]") {
  DomainIsolation Isolation;
  for (TimePoint Now = Start; Now < Start + 20s; Now += 100ms) {
    Isolation.update(((Now - Start) / 100ms) % 3 != 2, Now);
    CHECK_FALSE(Isolation.isIsolated(Now));
  }
}
