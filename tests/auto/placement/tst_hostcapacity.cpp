#include "placement/holderselector.h"
#include "placement/hostcapacity.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr int Upstreams = 600;

std::string upstream(int Number) { return "i-" + std::to_string(Number); }

/// Two large hosts and 44 small ones in one failure domain.
std::vector<PlacementHost> unevenHosts() {
  std::vector<PlacementHost> Hosts = {{"large1", "d", 0.5},
                                      {"large2", "d", 0.5}};
  for (int Number = 10; Number < 54; ++Number)
    Hosts.push_back({"small" + std::to_string(Number), "d", 0.084});
  return Hosts;
}

HolderSelector selectorOf(std::vector<PlacementHost> Hosts) {
  HolderSelector Selector("other");
  fillCapacities(Hosts);
  Selector.setHosts(std::move(Hosts));
  return Selector;
}

std::map<std::string, std::string> holdersFor(HolderSelector &Selector) {
  std::map<std::string, std::string> Holders;
  for (int Number = 0; Number < Upstreams; ++Number)
    Holders[upstream(Number)] =
        Selector.choose(upstream(Number), "d", TimePoint(1000s));
  return Holders;
}

} // namespace

// Load pattern: 2 of 46 hosts of a domain have six times the capacity of the
// others, and each upstream keeps a small host half busy.
// Guards against upstreams that are held by hosts which are busy with one.
TEST_CASE("large hosts hold most upstreams") {
  HolderSelector Selector = selectorOf(unevenHosts());
  std::map<char, int> Held;
  for (const auto &[Upstream, Holder] : holdersFor(Selector))
    ++Held[Holder.front()];
  CHECK(Held['l'] > Upstreams * 8 / 10);
}

// Guards against a changed placement in deployments of equal hosts.
TEST_CASE("equal capacities give the order of holdersOf()") {
  std::vector<PlacementHost> Hosts = unevenHosts();
  for (const double Capacity : {0.0, 0.25}) {
    for (PlacementHost &Each : Hosts)
      Each.Capacity = Capacity;
    HolderSelector Selector = selectorOf(Hosts);
    for (int Number = 0; Number < Upstreams; ++Number) {
      const std::vector<std::string> Expected =
          holdersOf(upstream(Number), "d", Hosts);
      CHECK(Selector.choose(upstream(Number), "d", TimePoint(1000s)) ==
            Expected[0]);
      CHECK(Selector.rank(Expected[1], upstream(Number), "d") == 1);
    }
  }
}

// Guards against upstreams without a holder when all large hosts are lost, and
// against others that move with them.
TEST_CASE("small hosts take over from lost large ones") {
  HolderSelector Selector = selectorOf(unevenHosts());
  const auto Before = holdersFor(Selector);
  std::vector<PlacementHost> Small = unevenHosts();
  Small.erase(Small.begin(), Small.begin() + 2);
  fillCapacities(Small);
  Selector.setHosts(std::move(Small));
  std::map<std::string, int> Held;
  for (const auto &[Upstream, Holder] : holdersFor(Selector)) {
    if (Before.at(Upstream).front() != 'l')
      CHECK(Holder == Before.at(Upstream));
    ++Held[Holder];
  }
  CHECK(Held.size() == 44);
}

// Guards against a change of one host's capacity that moves upstreams between
// other hosts.
TEST_CASE("a change of one capacity moves only upstreams of that host") {
  std::vector<PlacementHost> Hosts = unevenHosts();
  HolderSelector Selector = selectorOf(Hosts);
  const auto Before = holdersFor(Selector);
  Hosts[5].Capacity = 0.25;
  const std::string Changed = Hosts[5].Name;
  Selector.setHosts(Hosts);
  int Moved = 0;
  for (const auto &[Upstream, Holder] : holdersFor(Selector)) {
    if (Holder == Before.at(Upstream))
      continue;
    ++Moved;
    CHECK(Holder == Changed);
  }
  CHECK(Moved > 0);
}

// Guards against hosts of an older version that are preferred to all others, or
// hold nothing at all.
TEST_CASE("a host without a declared capacity counts as the smallest one") {
  std::vector<PlacementHost> Hosts = {
      {"a", "d", 0.5}, {"b", "d", 0}, {"c", "d", 0.1}};
  fillCapacities(Hosts);
  CHECK(Hosts[1].Capacity == 0.1);
  std::vector<PlacementHost> Unknown = {{"a", "d"}, {"b", "d"}};
  fillCapacities(Unknown);
  CHECK(Unknown[0].Capacity == Unknown[1].Capacity);
  CHECK(Unknown[0].Capacity > 0);
}

// Guards against reports of a faulty host that attract all upstreams.
TEST_CASE("unusable capacities count as not declared") {
  CHECK(usableCapacity(0.25) == 0.25);
  for (const double Bad :
       {0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN()})
    CHECK(usableCapacity(Bad) == 0);
}

// Guards against rates that are all owned by a few large hosts: when one was
// cut off, most workspaces were limited at once.
TEST_CASE("owners of rates are spread over all hosts") {
  HolderSelector Selector = selectorOf(unevenHosts());
  std::map<std::string, int> Owned;
  for (int Number = 0; Number < Upstreams; ++Number)
    ++Owned[Selector.choose("rate/w" + std::to_string(Number), "",
                            TimePoint(1000s))];
  CHECK(Owned.size() == 46);
}
