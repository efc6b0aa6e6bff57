#include "placement/evacuations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

// Guards against an order that is lost, or one that is withdrawn and comes
// back, when a host hears of the sets in another order than they were stored.
TEST_CASE("the set that was read last stays in force in any order of arrival") {
  std::vector<EvacuationSet> Sets{{4, {}},     {7, {"a"}}, {9, {"a", "b"}},
                                  {12, {"b"}}, {15, {}},   {21, {"c"}}};
  std::mt19937 Random(1);
  for (int Round = 0; Round < 200; ++Round) {
    std::ranges::shuffle(Sets, Random);
    Evacuations Orders(5s);
    std::uint64_t Highest = 0;
    for (const EvacuationSet &Each : Sets) {
      Orders.offer(Each, Start);
      Highest = std::max(Highest, Each.Revision);
      REQUIRE(Orders.current()->Revision == Highest);
      const auto Newest =
          std::ranges::find(Sets, Highest, &EvacuationSet::Revision);
      for (const char *Domain : {"a", "b", "c"})
        REQUIRE(Orders.covers(Domain) == Newest->Domains.contains(Domain));
    }
  }
}

// A fleet of which half hears neither the store nor the other half, while
// orders are given and withdrawn; then each host hears only of one other host
// in a round. Guards against hosts that stay at an older set after a cut, and
// against a set that a host without the store brings back.
TEST_CASE("half of a fleet takes over the last set when a cut ends") {
  constexpr std::size_t Size = 40;
  std::mt19937 Random(11);
  for (int Round = 0; Round < 50; ++Round) {
    std::vector<Evacuations> Hosts(Size, Evacuations(5s));
    EvacuationSet Stored{10, {"a"}};
    const EvacuationSet BeforeCut = Stored;
    for (Evacuations &Each : Hosts)
      Each.offer(Stored, Start);
    const std::size_t WithStore = Size / 2;
    std::uniform_int_distribution<std::size_t> Connected(0, WithStore - 1);
    std::uniform_int_distribution<int> Choose(0, 2);
    for (int Change = 0; Change < 6; ++Change) {
      ++Stored.Revision;
      const std::string Domain(1, static_cast<char>('a' + Choose(Random)));
      if (Stored.Domains.erase(Domain) == 0)
        Stored.Domains.insert(Domain);
      // Some hosts of the connected half miss the change.
      Hosts[Connected(Random)].offer(Stored, Start + 1s);
    }
    Hosts[Connected(Random)].offer(Stored, Start + 1s);
    for (std::size_t Each = WithStore; Each < Size; ++Each)
      REQUIRE(Hosts[Each].current()->Domains == BeforeCut.Domains);
    std::uniform_int_distribution<std::size_t> Any(0, Size - 1);
    for (std::size_t Report = 0; Report < Size * Size; ++Report)
      Hosts[Any(Random)].offer(*Hosts[Any(Random)].current(), Start + 2s);
    for (const Evacuations &Each : Hosts) {
      REQUIRE(Each.current()->Revision == Stored.Revision);
      REQUIRE(Each.current()->Domains == Stored.Domains);
    }
  }
}

// Guards against transactions that go on for longer, because the same order is
// read again with each answer of the store.
TEST_CASE("an order keeps its deadlines while it is read again") {
  Evacuations Orders(5s);
  CHECK(Orders.offer({7, {"a"}}, Start).Ordered ==
        std::vector<std::string>{"a"});
  CHECK(Orders.offer({8, {"a"}}, Start + 2s).empty());
  const Evacuations::Order *Order = Orders.find("a");
  REQUIRE(Order != nullptr);
  CHECK(Order->Revision == 7);
  CHECK(Order->TransactionsEndAt == Start + 2500ms);
  CHECK(Order->AnswersEndAt == Start + 4500ms);
}

// Guards against a second order for a domain that takes over the deadlines of
// the first one, which are over.
TEST_CASE("an order that is given again has new deadlines") {
  Evacuations Orders(5s);
  Orders.offer({7, {"a"}}, Start);
  CHECK(Orders.offer({8, {}}, Start + 10s).Withdrawn ==
        std::vector<std::string>{"a"});
  CHECK_FALSE(Orders.covers("a"));
  Orders.offer({9, {"a"}}, Start + 20s);
  CHECK(Orders.find("a")->TransactionsEndAt == Start + 22500ms);
}

// Guards against a deployment without evacuations that obeys other hosts.
TEST_CASE("without a bound every set is ignored") {
  Evacuations Orders(0ms);
  CHECK_FALSE(Orders.enabled());
  CHECK(Orders.offer({7, {"a"}}, Start).empty());
  CHECK_FALSE(Orders.covers("a"));
  CHECK_FALSE(Orders.current());
}

// Guards against reports that are larger than a datagram: hosts would hear
// nothing more of each other.
TEST_CASE("a set that is too large is not told") {
  EvacuationSet Set{1, {}};
  for (std::size_t Each = 0; Each < EvacuationSet::MaxToldDomains; ++Each)
    Set.Domains.insert("zone-" + std::to_string(Each));
  CHECK(Set.canBeTold());
  Set.Domains.insert("one-more");
  CHECK_FALSE(Set.canBeTold());
  Set.Domains = {std::string(EvacuationSet::MaxDomainLength + 1, 'z')};
  CHECK_FALSE(Set.canBeTold());
}
