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
TEST_CASE("the oldest position that includes the commits is returned",
          "[read-your-writes]") {
  VerifiedPositions Positions;
  CHECK_FALSE(Positions.oldestCovering(at(0ms)));
  Positions.add(at(0ms), position(1, 10));
  Positions.add(at(300ms), position(1, 20));
  Positions.add(at(600ms), position(1, 30));
  CHECK(Positions.oldestCovering(at(-50ms)) == position(1, 10));
  CHECK(Positions.oldestCovering(at(0ms)) == position(1, 10));
  CHECK(Positions.oldestCovering(at(1ms)) == position(1, 20));
  CHECK(Positions.oldestCovering(at(600ms)) == position(1, 30));
  // No proof includes commits after the last proof was sent.
  CHECK_FALSE(Positions.oldestCovering(at(601ms)));
}

// A primary that was replaced may answer late. Its position does not include
// commits of the next term.
TEST_CASE("a late answer of an older term is ignored", "[fencing]") {
  VerifiedPositions Positions;
  Positions.add(at(0ms), position(1, 10));
  Positions.add(at(100ms), position(2, 4));
  Positions.add(at(200ms), position(1, 11));
  CHECK(Positions.newestPosition() == position(2, 4));
  CHECK(Positions.newestProofTime() == at(100ms));
}

TEST_CASE("frequent proofs take bounded memory and stay in order") {
  VerifiedPositions Positions;
  for (int I = 0; I < 100'000; ++I)
    Positions.add(at(std::chrono::milliseconds(I)),
                  position(1, static_cast<std::uint64_t>(I)));
  const BootTime Since = at(99'000ms);
  const std::optional<Position> Found = Positions.oldestCovering(Since);
  REQUIRE(Found);
  // At or after the requested time, and at most two spacings later.
  CHECK(Found->Log.Value >= 99'000);
  CHECK(Found->Log.Value <=
        99'000 +
            2 * static_cast<std::uint64_t>(VerifiedPositions::Spacing.count()));
  // Entries older than the retention are dropped, so the result is a later one.
  const std::optional<Position> Oldest = Positions.oldestCovering(at(0ms));
  REQUIRE(Oldest);
  CHECK(Oldest->Log.Value >= 60'000);
}

// Guards against a host that repeats a proof of another host with a wrong age.
TEST_CASE("a proof is returned with the time at which it was sent",
          "[read-your-writes]") {
  VerifiedPositions Positions;
  CHECK_FALSE(Positions.oldestProofSince(at(0ms)));
  CHECK_FALSE(Positions.newestProof());
  Positions.add(at(0ms), position(1, 10));
  Positions.add(at(300ms), position(1, 20));
  const auto Oldest = Positions.oldestProofSince(at(1ms));
  REQUIRE(Oldest);
  CHECK(Oldest->Sent == at(300ms));
  CHECK(Oldest->At == position(1, 20));
  CHECK(Positions.newestProof()->Sent == at(300ms));
  CHECK_FALSE(Positions.oldestProofSince(at(301ms)));
}
