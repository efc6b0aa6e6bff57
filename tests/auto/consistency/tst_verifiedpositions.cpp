#include "consistency/verifiedpositions.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

BootTime at(std::chrono::milliseconds Time) { return BootTime(100s + Time); }

Position position(std::uint64_t InTerm, std::uint64_t Number) {
  return {Term{InTerm}, LogPosition{Number}};
}

} // namespace

// Guards against reads that miss commits older than the accepted age.
TEST_CASE("the oldest sufficient position is required", "[read-your-writes]") {
  VerifiedPositions Positions;
  CHECK_FALSE(Positions.includingAll(at(0ms)));
  Positions.add(at(0ms), position(1, 10));
  Positions.add(at(300ms), position(1, 20));
  Positions.add(at(600ms), position(1, 30));
  CHECK(Positions.includingAll(at(-50ms)) == position(1, 10));
  CHECK(Positions.includingAll(at(0ms)) == position(1, 10));
  CHECK(Positions.includingAll(at(1ms)) == position(1, 20));
  CHECK(Positions.includingAll(at(600ms)) == position(1, 30));
  // Nothing is known of commits after the last proof.
  CHECK_FALSE(Positions.includingAll(at(601ms)));
}

// A primary that was replaced may answer late; its position proves nothing
// about the term after it.
TEST_CASE("a late answer of an older term is dropped", "[fencing]") {
  VerifiedPositions Positions;
  Positions.add(at(0ms), position(1, 10));
  Positions.add(at(100ms), position(2, 4));
  Positions.add(at(200ms), position(1, 11));
  CHECK(Positions.newestPosition() == position(2, 4));
  CHECK(Positions.newest() == at(100ms));
}

TEST_CASE("frequent proofs take bounded memory and keep their order") {
  VerifiedPositions Positions;
  for (int I = 0; I < 100'000; ++I)
    Positions.add(at(std::chrono::milliseconds(I)),
                  position(1, static_cast<std::uint64_t>(I)));
  const BootTime Since = at(99'000ms);
  const std::optional<Position> Found = Positions.includingAll(Since);
  REQUIRE(Found);
  // At or after the time asked for, and at most one spacing later.
  CHECK(Found->Log.Value >= 99'000);
  CHECK(Found->Log.Value <=
        99'000 +
            2 * static_cast<std::uint64_t>(VerifiedPositions::Spacing.count()));
  // What is older than the retention is gone, so the answer is a later one.
  const std::optional<Position> Oldest = Positions.includingAll(at(0ms));
  REQUIRE(Oldest);
  CHECK(Oldest->Log.Value >= 60'000);
}
