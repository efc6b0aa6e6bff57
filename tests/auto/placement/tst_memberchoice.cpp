#include "placement/memberchoice.h"

#include <catch2/catch.hpp>

#include <array>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

ReadCandidate member(std::chrono::microseconds Service, bool Primary = false) {
  ReadCandidate Each;
  Each.Primary = Primary;
  Each.SameDomain = true;
  Each.IdleConnection = true;
  Each.Service = Service;
  Each.Capacity = 2;
  return Each;
}

} // namespace

TEST_CASE("reads go to replicas of the own failure domain first") {
  std::array Members{member(10ms, true), member(10ms), member(10ms)};
  Members[1].SameDomain = false;
  CHECK(chooseReadMember(Members, {}) == 2u);
}

// Load pattern: one replica runs sixty times slower. Its reads must move to
// the others, and come to the primary only when these are full too.
TEST_CASE("reads leave a replica that turned slow") {
  std::array Members{member(10ms, true), member(600ms), member(10ms)};
  CHECK(chooseReadMember(Members, {}) == 2u);
  Members[2].InFlight = 4;
  CHECK(chooseReadMember(Members, {}) == 0u);
}

// Load pattern: one replica lags by seconds. Asking it again and again costs
// a slot for each refusal.
TEST_CASE("a member that is behind or cannot be reached gets no reads") {
  std::array Members{member(10ms, true), member(10ms), member(10ms)};
  Members[1].KnownBehind = true;
  Members[2].Reachable = false;
  CHECK(chooseReadMember(Members, {}) == 0u);
  Members[0].Reachable = false;
  CHECK_FALSE(chooseReadMember(Members, {}));
}

TEST_CASE("an idle connection of the workspace is worth a handshake") {
  std::array Members{member(10ms), member(10ms)};
  Members[0].IdleConnection = false;
  CHECK(chooseReadMember(Members, {}) == 1u);
  Members[1].Service = 30ms;
  CHECK(chooseReadMember(Members, {}) == 0u);
}
