#include "placement/placement.h"

#include <catch2/catch.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <thread>

using namespace lavenderdale;

namespace {

constexpr int DomainCount = 7;
constexpr int HostCount = 490;
constexpr int DatabaseCount = 690;

std::string domainOf(int Index) {
  return "domain-" + std::to_string(Index % DomainCount);
}

std::vector<PlacementHost> makeHosts(int Count) {
  std::vector<PlacementHost> Hosts;
  Hosts.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Hosts.push_back({"host-" + std::to_string(I), domainOf(I)});
  return Hosts;
}

std::vector<std::string> databaseHolders(int Database,
                                         std::span<const PlacementHost> Hosts) {
  return holdersOf("db-" + std::to_string(Database), domainOf(Database), Hosts);
}

} // namespace

// Guards against a hash that differs between platforms or versions, which
// would assign one rate share to two owners.
TEST_CASE("placement does not depend on the host or on the order of hosts",
          "[rate]") {
  std::vector<PlacementHost> Hosts = makeHosts(HostCount);
  CHECK(holdersOf("db-0", "domain-0", Hosts) ==
        std::vector<std::string>{"host-210", "host-462"});
  const auto Owner = rateOwnerOf("w", "domain-3", Hosts);
  std::shuffle(Hosts.begin(), Hosts.end(), std::mt19937_64(1));
  CHECK(rateOwnerOf("w", "domain-3", Hosts) == Owner);
  CHECK_FALSE(rateOwnerOf("w", "elsewhere", Hosts).has_value());
}

// Guards against a membership change that moves tasks of unrelated hosts, and
// against hosts that hold far more databases than others.
TEST_CASE("holders are balanced and change only when their host leaves") {
  const std::vector<PlacementHost> Hosts = makeHosts(HostCount);
  const std::vector<PlacementHost> Fewer(Hosts.begin(), Hosts.end() - 1);
  const std::string &Left = Hosts.back().Name;
  std::map<std::string, int> Load;
  for (int I = 0; I < DatabaseCount; ++I) {
    const auto Before = databaseHolders(I, Hosts);
    const auto After = databaseHolders(I, Fewer);
    REQUIRE(Before.size() == 2);
    CHECK(Before[0] != Before[1]);
    for (const std::string &Name : Before) {
      ++Load[Name];
      if (Name != Left)
        CHECK(std::ranges::find(After, Name) != After.end());
    }
  }
  // The mean is 2.8: 1,380 holder tasks on 490 hosts.
  for (const auto &[Name, Count] : Load)
    CHECK(Count <= 10);
  CHECK(Load.size() >= 440);
}

TEST_CASE("a domain with too few hosts gets holders from other domains, but "
          "no rate owner") {
  const std::vector<PlacementHost> Hosts = {{"a", "x"}, {"b", "y"}, {"c", "y"}};
  CHECK(holdersOf("db", "x", Hosts).size() == 2);
  CHECK(holdersOf("db", "x", Hosts).front() == "a");
  CHECK(holdersOf("db", "z", Hosts).size() == 2);
  CHECK(relaysOf("x", Hosts) == std::vector<std::string>{"a"});
  CHECK(rateOwnerOf("w", "x", Hosts) == "a");
  const std::vector<PlacementUpstream> Group = {
      {"d1", "x"}, {"d2", "x"}, {"d3", "y"}};
  CHECK(watchersOf(Group, Hosts).size() == 2);
}

// Guards against a host without monitors.
TEST_CASE("monitors are spread evenly for every number of hosts") {
  for (int Count = 1; Count <= 120; ++Count) {
    std::vector<PlacementHost> Hosts = makeHosts(Count);
    for (PlacementHost &Host : Hosts)
      Host.FailureDomain = "one";
    std::map<std::string, std::size_t> Watched;
    const std::size_t Expected =
        std::min<std::size_t>(3, static_cast<std::size_t>(Count - 1));
    for (const PlacementHost &Host : Hosts) {
      const auto Names = monitorsOf(Host, Hosts);
      CHECK(std::set<std::string>(Names.begin(), Names.end()).size() ==
            Expected);
      CHECK(std::ranges::find(Names, Host.Name) == Names.end());
      for (const std::string &Name : Names)
        ++Watched[Name];
    }
    for (const auto &[Name, Times] : Watched)
      CHECK(Times == Expected);
  }
  const std::vector<PlacementHost> Small = {{"a", "x"}, {"b", "y"}, {"c", "z"}};
  CHECK(monitorsOf(Small[0], Small).size() == 2);
}

// Guards against a failed primary that waits for every host of a cut-off domain
// before another domain acts.
TEST_CASE("the first hosts of the promotion order are of different domains") {
  std::vector<PlacementHost> Hosts;
  Hosts.reserve(95);
  for (int Number = 0; Number < 95; ++Number)
    Hosts.push_back(
        {"h" + std::to_string(Number), "d" + std::to_string(Number % 5)});
  std::map<std::string, int> First;
  for (int Group = 0; Group < 100; ++Group) {
    const std::vector<std::string> Order =
        promotionOrder("group" + std::to_string(Group), Hosts);
    REQUIRE(Order.size() == Hosts.size());
    CHECK(std::set<std::string>(Order.begin(), Order.end()).size() ==
          Hosts.size());
    std::set<std::string> Domains;
    for (std::size_t Rank = 0; Rank < 5; ++Rank)
      Domains.insert(std::ranges::find(Hosts, Order[Rank], &PlacementHost::Name)
                         ->FailureDomain);
    CHECK(Domains.size() == 5);
    ++First[Order.front()];
  }
  CHECK(First.size() > 40); // The groups are spread over the hosts.
}

namespace {

// The former computation of a weight.
std::uint64_t plainWeight(const std::string &Group, const std::string &Host) {
  const std::string Text = std::string("promoter") + '\0' + Group + '\0' + Host;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < sizeof Value; ++I)
    Value = Value << 8U | Digest[I];
  return Value;
}

} // namespace

// Guards against hosts of this version that place work elsewhere than hosts of
// the version before, and against state that one hash leaves for the next.
TEST_CASE("the hash is that of SHA-256 on each thread") {
  const auto CountDifferent = [] {
    std::size_t Different = 0;
    for (std::size_t Length = 0; Length < 200; ++Length) {
      const std::string Group(Length, 'g');
      const std::string Host = "h" + std::to_string(Length * 31);
      Different +=
          promoterWeight(Group, Host) == plainWeight(Group, Host) ? 0 : 1;
    }
    return Different;
  };
  CHECK(CountDifferent() == 0);
  std::size_t DifferentOnOther = 1;
  std::thread Other([&] { DifferentOnOther = CountDifferent(); });
  Other.join();
  CHECK(DifferentOnOther == 0);
}
