#include "placement/holderchoice.h"

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

HolderChoice choiceOf(const std::string &Self) {
  HolderChoice Choice(Self);
  Choice.setHosts(sixHosts());
  return Choice;
}

} // namespace

// Guards against hosts that send the statements for one upstream over
// different hosts, which would need connections of each of them.
TEST_CASE("all hosts choose the same holder, in the upstream's domain") {
  std::map<std::string, int> Uses;
  for (int Number = 0; Number < 30; ++Number) {
    const std::string Upstream = "i-" + std::to_string(Number);
    const std::string Holder = choiceOf("a1").choose(Upstream, "a", Start);
    CHECK(Holder.front() == 'a');
    ++Uses[Holder];
    for (const PlacementHost &Each : sixHosts()) {
      HolderChoice Choice = choiceOf(Each.Name);
      CHECK(Choice.choose(Upstream, "a", Start) == Holder);
      CHECK((Choice.rank(Each.Name, Upstream, "a") == 0) ==
            (Each.Name == Holder));
    }
  }
  CHECK(Uses.size() == 3); // Not all upstreams over one host.
}

// Guards against statements that keep going to a host that is gone, and
// against a host that is avoided for good.
TEST_CASE("a silent holder is passed over for a while", "[answers]") {
  HolderChoice Choice = choiceOf("b1");
  const std::string First = Choice.choose("i-1", "a", Start);
  Choice.hostFailed(First, Start);
  const std::string Second = Choice.choose("i-1", "a", Start + 1ms);
  CHECK(Second != First);
  CHECK(Second.front() == 'a');
  Choice.hostFailed(Second, Start + 1ms);
  CHECK(Choice.choose("i-1", "a", Start + 2ms) == "b1");
  const TimePoint Later = Start + HolderChoice::AvoidAfterFailure + 2ms;
  CHECK(Choice.choose("i-1", "a", Later) == First);
  Choice.hostFailed(First, Later);
  Choice.hostAnswered(First);
  CHECK(Choice.choose("i-1", "a", Later) == First);
}

// Guards against a holder that is cut off from one upstream and loses the
// statements for all others with it, and against a first holder that keeps
// trying an upstream which only the second one reaches.
TEST_CASE("a path that fails is avoided for its upstream only", "[answers]") {
  HolderChoice Choice = choiceOf("c1");
  const std::string First = Choice.choose("i-1", "a", Start);
  Choice.pathFailed(First, "i-1", Start);
  CHECK(Choice.choose("i-1", "a", Start) != First);
  for (int Number = 2; Number < 12; ++Number) {
    const std::string Upstream = "i-" + std::to_string(Number);
    CHECK(Choice.choose(Upstream, "a", Start) ==
          choiceOf("c1").choose(Upstream, "a", Start));
  }
  HolderChoice Holder = choiceOf(First);
  Holder.pathFailed(First, "i-1", Start);
  CHECK(Holder.choose("i-1", "a", Start) == Choice.choose("i-1", "a", Start));
}

// Guards against a domain whose upstreams have no holder once its hosts are
// gone, and against failures remembered of hosts that left.
TEST_CASE("hosts of other domains hold the upstreams of an empty one") {
  HolderChoice Choice("b1");
  Choice.setHosts({{"b1", "b"}, {"c1", "c"}, {"c2", "c"}});
  const std::string Holder = Choice.choose("i-1", "a", Start);
  CHECK_FALSE(Holder.empty());
  Choice.hostFailed("c1", Start);
  Choice.setHosts({{"b1", "b"}});
  Choice.setHosts({{"b1", "b"}, {"c1", "c"}, {"c2", "c"}});
  CHECK(Choice.choose("i-1", "a", Start) == Holder);
}

// Guards against statements that stay with a holder which is cut off from the
// primary while another reaches it, and against a change of holder for each
// single answer that an upstream loses.
TEST_CASE("answers that stay out in a row turn to the next holder",
          "[answers]") {
  HolderChoice Choice = choiceOf("c1");
  const std::string First = Choice.choose("i-1", "a", Start);
  for (int Turn = 0; Turn < 50; ++Turn) {
    Choice.answersLost(First, "i-1", 1, Start);
    CHECK(Choice.choose("i-1", "a", Start) == First);
    Choice.pathAnswered(First, "i-1");
  }
  Choice.answersLost(First, "i-1", 1, Start);
  Choice.answersLost(First, "i-1", 1, Start + 10ms);
  CHECK(Choice.choose("i-1", "a", Start + 10ms) != First);
  HolderChoice Holder = choiceOf(First);
  Holder.answersLost(First, "i-1", HolderChoice::LossesOfFailedPath, Start);
  CHECK(Holder.choose("i-1", "a", Start) != First);
  CHECK(Holder.choose("i-1", "a",
                      Start + HolderChoice::AvoidAfterFailure + 1ms) == First);
}
