#include "placement/promotionranking.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace lavenderdale;

// Guards against hosts that disagree on who replaces a failed primary, because
// one of them learned of the others in another order.
TEST_CASE("the ranking stays the promotion order while hosts join and leave") {
  constexpr unsigned Seed = 4711;
  std::mt19937 Random(Seed);
  const std::string Self = "h7";
  PromotionRanking Ranking(Self);
  std::vector<PlacementHost> Hosts;
  for (int Step = 0; Step < 300; ++Step) {
    const std::string Name = "h" + std::to_string(Random() % 40);
    const auto Known = std::ranges::find(Hosts, Name, &PlacementHost::Name);
    if (Known != Hosts.end())
      Hosts.erase(Known);
    else
      Hosts.push_back({Name, "d" + std::to_string(Random() % 4)});
    std::ranges::sort(Hosts, {}, &PlacementHost::Name);
    if (Random() % 3 == 0)
      continue; // Several changes are applied at once.
    Ranking.setHosts(Hosts);
    const std::string Group = "group" + std::to_string(Random() % 5);
    const std::vector<std::string> Order = promotionOrder(Group, Hosts);
    INFO("step " << Step << " hosts " << Hosts.size());
    CHECK(Ranking.ownRank(Group) ==
          static_cast<std::size_t>(std::ranges::find(Order, Self) -
                                   Order.begin()));
    const std::size_t Count = Random() % 8;
    CHECK(Ranking.first(Group, Count) ==
          std::vector<std::string>(
              Order.begin(),
              Order.begin() +
                  static_cast<std::ptrdiff_t>(std::min(Count, Order.size()))));
  }
}

// Guards against an order that keeps hosts of a lost failure domain, or lacks
// some of those that come back at once, also in another domain.
TEST_CASE("the ranking stays the promotion order when domains are lost") {
  constexpr unsigned Seed = 815;
  std::mt19937 Random(Seed);
  const std::string Self = "h10";
  PromotionRanking Ranking(Self);
  for (int Step = 0; Step < 100; ++Step) {
    const unsigned LostDomain = Random() % 4; // 3 is the domain of no host.
    const unsigned MovedHost = Random() % 30;
    std::vector<PlacementHost> Hosts;
    for (unsigned Index = 0; Index < 30; ++Index) {
      const unsigned Domain = (Index + (Index == MovedHost ? 1 : 0)) % 3;
      if (Domain != LostDomain && Random() % 8 != 0)
        Hosts.push_back(
            {"h" + std::to_string(10 + Index), "d" + std::to_string(Domain)});
    }
    Ranking.setHosts(Hosts);
    for (const char *Group : {"a", "b", "c"}) {
      const std::vector<std::string> Order = promotionOrder(Group, Hosts);
      INFO("seed " << Seed << " step " << Step << " group " << Group);
      CHECK(Ranking.ownRank(Group) ==
            static_cast<std::size_t>(std::ranges::find(Order, Self) -
                                     Order.begin()));
      CHECK(Ranking.first(Group, Hosts.size()) == Order);
    }
  }
}
