#include "placement/memberchoice.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

ReadMember member(std::chrono::microseconds ServiceTime, bool Primary = false) {
  ReadMember Each;
  Each.Primary = Primary;
  Each.SameDomain = true;
  Each.IdleConnection = true;
  Each.ServiceTime = ServiceTime;
  Each.Capacity = 2;
  return Each;
}

} // namespace

TEST_CASE("reads prefer replicas in the host's failure domain") {
  std::array Members{member(10ms, true), member(10ms), member(10ms)};
  Members[1].SameDomain = false;
  CHECK(chooseReadMember(Members, {}) == 2u);
}

// One replica is sixty times slower. Its reads must move to the other replica,
// and to the primary only when that replica is busy too.
TEST_CASE("reads avoid a slow replica") {
  std::array Members{member(10ms, true), member(600ms), member(10ms)};
  CHECK(chooseReadMember(Members, {}) == 2u);
  Members[2].InFlight = 4;
  CHECK(chooseReadMember(Members, {}) == 0u);
}

// One replica lags by seconds. Each read that it refuses occupies a slot.
TEST_CASE("a lagging or unreachable member gets no reads") {
  std::array Members{member(10ms, true), member(10ms), member(10ms)};
  Members[1].KnownBehind = true;
  Members[2].Reachable = false;
  CHECK(chooseReadMember(Members, {}) == 0u);
  Members[0].Reachable = false;
  CHECK_FALSE(chooseReadMember(Members, {}));
}

TEST_CASE("an idle connection counts as the time of a handshake") {
  std::array Members{member(10ms), member(10ms)};
  Members[0].IdleConnection = false;
  CHECK(chooseReadMember(Members, {}) == 1u);
  Members[1].ServiceTime = 30ms;
  CHECK(chooseReadMember(Members, {}) == 0u);
}

// Guards against a read that is sent to a member at which many others wait
// already, because the answers of those that run are quick.
TEST_CASE("a read avoids a member whose holder expects a long wait") {
  ReadMember Busy;
  Busy.SameDomain = true;
  Busy.IdleConnection = true;
  Busy.ServiceTime = 5ms;
  Busy.Capacity = 4;
  ReadMember Other = Busy;
  Other.SameDomain = false;
  Other.ServiceTime = 9ms;
  const std::vector<ReadMember> WithoutWait = {Busy, Other};
  CHECK(chooseReadMember(WithoutWait, {}) == 0U);
  Busy.ExpectedWait = 60ms;
  const std::vector<ReadMember> WithWait = {Busy, Other};
  CHECK(chooseReadMember(WithWait, {}) == 1U);
}
