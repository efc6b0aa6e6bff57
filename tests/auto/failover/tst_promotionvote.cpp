#include "failover/promotionvote.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const PromotionLimits Limits;
const PrimaryReport Suspects{true, 2000ms};
const PrimaryReport Trusts{false, 100ms};

} // namespace

TEST_CASE("hosts that suspect the primary act at once, ordered by rank",
          "[fencing]") {
  const std::vector<PrimaryReport> Others(5, Suspects);
  CHECK(shouldPromote(Others, 6, 6, 0, 0ms, Limits));
  CHECK_FALSE(shouldPromote(Others, 6, 6, 2, 0ms, Limits));
  CHECK(shouldPromote(Others, 6, 6, 2, Limits.RankDelay * 2, Limits));
}

// A network partition between some hosts and the primary must not lead to its
// replacement while other hosts reach it.
TEST_CASE("a primary that one host reaches is not replaced", "[fencing]") {
  std::vector<PrimaryReport> Others(5, Suspects);
  Others[4] = Trusts;
  CHECK_FALSE(shouldPromote(Others, 6, 6, 0, 1h, Limits));
}

// A host that is cut off from all others cannot reach the primary either.
TEST_CASE("a minority waits longer than restarts of other hosts take",
          "[fencing]") {
  CHECK_FALSE(shouldPromote({}, 1, 6, 0, 1s, Limits));
  CHECK(shouldPromote({}, 1, 6, 0, Limits.MinoritySuspicionTime, Limits));
  CHECK(shouldPromote({}, 1, 1, 0, 0ms, Limits));
}

// Guards against one host without a path to the primary that replaces it while
// the other hosts have only not used it lately.
TEST_CASE("a host that is alone with its suspicion waits longer", "[fencing]") {
  const std::vector<PrimaryReport> Silent(5, PrimaryReport{});
  CHECK_FALSE(shouldPromote(Silent, 6, 6, 0, 1s, Limits));
  CHECK(shouldPromote(Silent, 6, 6, 0, Limits.MinoritySuspicionTime, Limits));
}

// Guards against a fleet of hundreds of hosts in which a failed primary is
// replaced only after the delays of all hosts that come before by name, among
// them those of a domain that is cut off, and against a majority that is never
// reached because most hosts had no statement for the group lately.
TEST_CASE("a large fleet replaces a primary as soon as a few hosts suspect it",
          "[fencing]") {
  constexpr std::size_t Hosts = 494;
  constexpr std::size_t CutOff = 71;
  std::vector<PrimaryReport> Others(Hosts - CutOff - 1, PrimaryReport{});
  Others[0] = Suspects;
  CHECK(shouldPromote(Others, Hosts, Hosts, 1, Limits.RankDelay, Limits));
  CHECK(shouldPromote(Others, Hosts, Hosts, Hosts - 1, Limits.RankDelay * 8,
                      Limits));
}

TEST_CASE("the member with the highest received position is promoted",
          "[fencing]") {
  const auto At = [](std::uint64_t InTerm, std::uint64_t Number) {
    return Position{Term{InTerm}, LogPosition{Number}};
  };
  const std::vector<PromotionCandidate> Members{
      {"a", At(2, 5), false}, {"b", At(2, 9), false}, {"c", At(1, 50), false}};
  CHECK(choosePromotionCandidate(Members) == "b");
  const std::vector<PromotionCandidate> Leaving{{"a", At(2, 5), false},
                                                {"b", At(2, 9), true}};
  CHECK(choosePromotionCandidate(Leaving) == "a");
  CHECK_FALSE(choosePromotionCandidate({}));
}
