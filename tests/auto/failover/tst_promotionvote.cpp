#include "failover/promotionvote.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const PromotionLimits Limits;
const PrimaryOpinion Suspects{true, 2000ms};
const PrimaryOpinion Trusts{false, 100ms};

} // namespace

TEST_CASE("hosts that agree promote at once, in turn", "[fencing]") {
  const std::vector<PrimaryOpinion> Others(5, Suspects);
  CHECK(decidePromotion(Others, 6, 0, 0ms, Limits));
  CHECK_FALSE(decidePromotion(Others, 6, 2, 0ms, Limits));
  CHECK(decidePromotion(Others, 6, 2, Limits.RankDelay * 2, Limits));
}

// A cut between some hosts and the primary must not replace it while the
// others reach it.
TEST_CASE("a primary that one host reaches is not replaced", "[fencing]") {
  std::vector<PrimaryOpinion> Others(5, Suspects);
  Others[4] = Trusts;
  CHECK_FALSE(decidePromotion(Others, 6, 0, 1h, Limits));
}

// A host that is cut off alone sees a dead primary as well.
TEST_CASE("a minority waits out restarts of the others", "[fencing]") {
  CHECK_FALSE(decidePromotion({}, 6, 0, 1s, Limits));
  CHECK(decidePromotion({}, 6, 0, Limits.MinorityPatience, Limits));
  CHECK(decidePromotion({}, 1, 0, 0ms, Limits));
}

TEST_CASE("the member that received most is promoted", "[fencing]") {
  const auto At = [](std::uint64_t InTerm, std::uint64_t Number) {
    return Position{Term{InTerm}, LogPosition{Number}};
  };
  const std::vector<PromotionCandidate> Members{
      {"a", At(2, 5), false}, {"b", At(2, 9), false}, {"c", At(1, 50), false}};
  CHECK(choosePromotion(Members) == "b");
  const std::vector<PromotionCandidate> Leaving{{"a", At(2, 5), false},
                                                {"b", At(2, 9), true}};
  CHECK(choosePromotion(Leaving) == "a");
  CHECK_FALSE(choosePromotion({}));
}
