#include "placement/holderselector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
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
  const std::string Third = Choice.choose("i-1", "a", Start + 2ms);
  CHECK(Third != First);
  CHECK(Third != Second);
  CHECK(Third.front() == 'a');
  for (const PlacementHost &Each : sixHosts())
    if (Each.Name != "b1")
      Choice.hostFailed(Each.Name, Start + 2ms);
  CHECK(Choice.choose("i-1", "a", Start + 3ms) == "b1");
  const TimePoint Later = Start + HolderSelector::AvoidAfterFailure + 3ms;
  CHECK(Choice.choose("i-1", "a", Later) == First);
  Choice.hostFailed(First, Later);
  Choice.hostAnswered(First, Later);
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

// Guards against hosts that disagree on the holders, because they learned of
// the hosts of the fleet in a different order or missed one that came and went.
TEST_CASE("holders that are updated host by host equal a new selection") {
  constexpr int Steps = 400;
  constexpr int Hosts = 40;
  const unsigned Seed = GENERATE(1U, 2U, 3U);
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  std::map<std::string, PlacementHost> Live = {{"h00", {"h00", "d0"}}};
  HolderSelector Choice("h00");
  for (int Step = 0; Step < Steps; ++Step) {
    const int Number = std::uniform_int_distribution(1, Hosts - 1)(Random);
    const std::string Name =
        (Number < 10 ? "h0" : "h") + std::to_string(Number);
    const std::string Domain = "d" + std::to_string(Number % 5);
    if (Live.erase(Name) == 0)
      Live[Name] = {Name, Domain};
    std::vector<PlacementHost> Present;
    Present.reserve(Live.size());
    for (const auto &[Key, Host] : Live)
      Present.push_back(Host);
    Choice.setHosts(Present);
    for (const std::string Upstream : {"i-1", "i-2", "i-3", "i-4"})
      for (const std::string InDomain : {"d1", "d3", ""}) {
        const std::string Key = Upstream + InDomain;
        const std::vector<std::string> Expected =
            holdersOf(Key, InDomain, Present);
        CHECK(Choice.choose(Key, InDomain, Start) == Expected.front());
        if (Expected.size() > 1)
          CHECK(Choice.rank(Expected[1], Key, InDomain) == 1);
      }
  }
}

// Guards against statements that wait for a timeout at each host of a failure
// domain that is cut off, and against hosts that stay unused when it is back.
TEST_CASE("a domain of which several hosts do not answer is skipped",
          "[answers]") {
  std::vector<PlacementHost> Hosts = {{"b0", "b"}, {"b1", "b"}};
  for (int Number = 0; Number < 9; ++Number)
    Hosts.insert(Hosts.begin() + Number, {"a" + std::to_string(Number), "a"});
  HolderSelector Choice("b0");
  Choice.setHosts(Hosts);
  const std::string First = Choice.choose("i-1", "a", Start);
  std::size_t Failed = 0;
  for (const PlacementHost &Each : Hosts) {
    if (Failed == HolderSelector::FailedHostsOfCutDomain)
      break;
    if (Each.Name == First || Choice.rank(Each.Name, "i-1", "a") == 1)
      continue;
    CHECK(Choice.choose("i-1", "a", Start) == First);
    Choice.hostFailed(Each.Name, Start);
    ++Failed;
  }
  CHECK(Choice.choose("i-1", "a", Start).front() == 'b');
  CHECK(Choice.choose("i-2", "b", Start).front() == 'b');
  HolderSelector Inside("a0");
  Inside.setHosts(Hosts);
  for (const std::string Name : {"a1", "a2", "a3", "a4"})
    Inside.hostFailed(Name, Start);
  CHECK(Inside.choose("i-1", "a", Start).front() == 'a');
  Choice.hostAnswered(First, Start);
  CHECK(Choice.choose("i-1", "a", Start) == First);
}

// Guards against a partition in which each of many hosts opens connections of
// its own to an upstream whose holders are on the other side.
TEST_CASE("the hosts of one side of a partition agree on a holder",
          "[answers]") {
  std::vector<PlacementHost> Hosts;
  Hosts.reserve(80);
  for (int Number = 10; Number < 90; ++Number)
    Hosts.push_back(
        {"h" + std::to_string(Number), "d" + std::to_string(Number % 5)});
  for (int Upstream = 0; Upstream < 30; ++Upstream) {
    const std::string Key = "i-" + std::to_string(Upstream);
    std::set<std::string> Chosen;
    for (std::size_t Self = 0; Self < Hosts.size() / 2; ++Self) {
      HolderSelector Choice(Hosts[Self].Name);
      Choice.setHosts(Hosts);
      for (std::size_t Reached = 0; Reached < 5; ++Reached)
        Choice.hostAnswered(Hosts[Reached].Name, Start);
      for (std::size_t Other = Hosts.size() / 2; Other < Hosts.size(); ++Other)
        Choice.hostFailed(Hosts[Other].Name, Start);
      Chosen.insert(Choice.choose(Key, "d1", Start));
    }
    CHECK(Chosen.size() == 1);
  }
}

// Guards against a host of a cut-off domain that does not notice it, and
// against one that takes the loss of one domain for that of all others.
TEST_CASE("a host knows when no other domain answers", "[answers]") {
  HolderSelector Choice("b1");
  Choice.setHosts({{"a1", "a"},
                   {"a2", "a"},
                   {"b1", "b"},
                   {"b2", "b"},
                   {"c1", "c"},
                   {"c2", "c"}});
  for (const char *Failed : {"a1", "a2"})
    Choice.hostFailed(Failed, Start);
  CHECK_FALSE(Choice.otherDomainsSkipped(Start + 1ms));
  for (const char *Failed : {"c1", "c2"})
    Choice.hostFailed(Failed, Start);
  CHECK(Choice.otherDomainsSkipped(Start + 1ms));
  Choice.hostAnswered("c2", Start + 100ms);
  CHECK_FALSE(Choice.otherDomainsSkipped(Start + 101ms));
  HolderSelector Alone("a1");
  Alone.setHosts({{"a1", "a"}, {"a2", "a"}});
  Alone.hostFailed("a2", Start);
  CHECK_FALSE(Alone.otherDomainsSkipped(Start + 1ms));
}

// Guards against work that goes to another host than that of the other hosts,
// after the holders were skipped and hosts joined or left.
TEST_CASE("the host after skipped ones is the next of the whole order") {
  const unsigned Seed = GENERATE(11U, 12U, 13U);
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  HolderSelector Choice("h10");
  std::vector<PlacementHost> Live;
  TimePoint Now = Start;
  for (int Step = 0; Step < 300; ++Step) {
    Now += HolderSelector::AvoidAfterFailure; // All failures are over.
    if (Step % 3 == 0) {
      Live = {{"h10", "d0", 1}};
      for (unsigned Index = 11; Index < 30; ++Index)
        if (Random() % 3 != 0)
          Live.push_back({"h" + std::to_string(Index),
                          "d" + std::to_string(Index % 4),
                          Random() % 2 == 0 ? 0.1 : 1.0});
      Choice.setHosts(Live);
    }
    const std::string Upstream = "u-" + std::to_string(Random() % 4);
    const std::string Domain = Upstream == "u-0" ? "" : "d1";
    std::vector<RankedHolder> Order;
    for (const PlacementHost &Each : Live)
      if (Random() % 2 == 0)
        Choice.pathFailed(Each.Name, Upstream, Now);
      else
        Order.push_back(rankHolder(Upstream, Domain, Each));
    const std::string Expected =
        Order.empty() ? "h10" : std::ranges::max(Order, std::less<>()).Host;
    CHECK(Choice.choose(Upstream, Domain, Now) == Expected);
  }
}
