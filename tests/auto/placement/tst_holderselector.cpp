#include "placement/holderselector.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

std::vector<PlacementHost> sixHosts() {
  return {{"a1", "a"}, {"a2", "a"}, {"a3", "a"},
          {"b1", "b"}, {"c1", "c"}, {"c2", "c"}};
}

HolderSelector choiceFor(const std::string &Self) {
  HolderSelector Choice(Self);
  Choice.setHosts(sixHosts());
  return Choice;
}

} // namespace

// Guards against hosts that select different holders for one upstream, which
// would then need connections from each of these holders.
TEST_CASE("all hosts select the same holder in the upstream's domain") {
  std::map<std::string, int> Uses;
  for (int Number = 0; Number < 30; ++Number) {
    const std::string Upstream = "i-" + std::to_string(Number);
    const std::string Holder = choiceFor("a1").choose(Upstream, "a", Start);
    CHECK(Holder.front() == 'a');
    ++Uses[Holder];
    for (const PlacementHost &Each : sixHosts()) {
      HolderSelector Choice = choiceFor(Each.Name);
      CHECK(Choice.choose(Upstream, "a", Start) == Holder);
      CHECK((Choice.rank(Each.Name, Upstream, "a") == 0) ==
            (Each.Name == Holder));
    }
  }
  CHECK(Uses.size() == 3); // The upstreams are spread over all holders.
}

// Guards against statements that are still sent to a failed host, and against
// a host that is skipped forever.
TEST_CASE("a holder that does not answer is skipped for a limited time",
          "[answers]") {
  HolderSelector Choice = choiceFor("b1");
  const std::string First = Choice.choose("i-1", "a", Start);
  Choice.hostFailed(First, Start);
  const std::string Second = Choice.choose("i-1", "a", Start + 1ms);
  CHECK(Second != First);
  CHECK(Second.front() == 'a');
  Choice.hostFailed(Second, Start + 1ms);
  CHECK(Choice.choose("i-1", "a", Start + 2ms) == "b1");
  const TimePoint Later = Start + HolderSelector::AvoidAfterFailure + 2ms;
  CHECK(Choice.choose("i-1", "a", Later) == First);
  Choice.hostFailed(First, Later);
  Choice.hostAnswered(First);
  CHECK(Choice.choose("i-1", "a", Later) == First);
}

// Guards against a holder that is skipped for all upstreams although it is cut
// off from only one, and against a first holder that keeps trying an upstream
// which only the second holder can reach.
TEST_CASE("a failed path is skipped for its upstream only", "[answers]") {
  HolderSelector Choice = choiceFor("c1");
  const std::string First = Choice.choose("i-1", "a", Start);
  Choice.pathFailed(First, "i-1", Start);
  CHECK(Choice.choose("i-1", "a", Start) != First);
  for (int Number = 2; Number < 12; ++Number) {
    const std::string Upstream = "i-" + std::to_string(Number);
    CHECK(Choice.choose(Upstream, "a", Start) ==
          choiceFor("c1").choose(Upstream, "a", Start));
  }
  HolderSelector Holder = choiceFor(First);
  Holder.pathFailed(First, "i-1", Start);
  CHECK(Holder.choose("i-1", "a", Start) == Choice.choose("i-1", "a", Start));
}

// Guards against upstreams without a holder when their domain has no host, and
// against failures that are still recorded for hosts that have left.
TEST_CASE("hosts of other domains hold the upstreams of a domain without "
          "hosts") {
  HolderSelector Choice("b1");
  Choice.setHosts({{"b1", "b"}, {"c1", "c"}, {"c2", "c"}});
  const std::string Holder = Choice.choose("i-1", "a", Start);
  CHECK_FALSE(Holder.empty());
  Choice.hostFailed("c1", Start);
  Choice.setHosts({{"b1", "b"}});
  Choice.setHosts({{"b1", "b"}, {"c1", "c"}, {"c2", "c"}});
  CHECK(Choice.choose("i-1", "a", Start) == Holder);
}

// Guards against statements that stay with a holder that is cut off from the
// primary while another holder reaches it, and against a change of holder
// after every single lost answer.
TEST_CASE("consecutive lost answers lead to the next holder", "[answers]") {
  HolderSelector Choice = choiceFor("c1");
  const std::string First = Choice.choose("i-1", "a", Start);
  for (int Turn = 0; Turn < 50; ++Turn) {
    Choice.answersLost(First, "i-1", 1, Start);
    CHECK(Choice.choose("i-1", "a", Start) == First);
    Choice.pathAnswered(First, "i-1");
  }
  Choice.answersLost(First, "i-1", 1, Start);
  Choice.answersLost(First, "i-1", 1, Start + 10ms);
  CHECK(Choice.choose("i-1", "a", Start + 10ms) != First);
  HolderSelector Holder = choiceFor(First);
  Holder.answersLost(First, "i-1", HolderSelector::LostAnswersOfFailedPath,
                     Start);
  CHECK(Holder.choose("i-1", "a", Start) != First);
  CHECK(Holder.choose("i-1", "a",
                      Start + HolderSelector::AvoidAfterFailure + 1ms) ==
        First);
}
