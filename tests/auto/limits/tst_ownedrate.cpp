#include "limits/ownedrate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 187;
constexpr double Burst = 187;
constexpr double Limit = Rate * 5 + Burst;
constexpr double Allowed = Limit * 1.1 + 20;
constexpr std::size_t Hosts = 95;
constexpr std::chrono::milliseconds ContactLifetime{2970};
const BootTime Cut{1000s};

OwnedRate newOwner(std::optional<double> ReportedUse, BootTime Now) {
  OwnedRate Owner(ReportedUse, Now);
  Owner.rate().setLimits(Rate, Burst);
  Owner.rate().setPriorUseTolerance((Limit * 0.1 + 20) / 2);
  return Owner;
}

} // namespace

// Load pattern: a workspace sends eight times its rate to 95 hosts. 34 of them
// are cut off, each from all others, together with the owner of the rate, which
// had admitted half of the limit. Seen as 1,523 operations in 5 s of 1,254
// allowed.
// Guards against hosts that each grant what the silent owner left.
TEST_CASE("hosts that are cut off one by one do not each grant the rest",
          "[rate]") {
  constexpr std::size_t CutOff = 34;
  constexpr double Reported = Limit / 2;
  constexpr double DemandOfHost = Rate * 8 / Hosts;
  std::mt19937_64 Random{667222912383};
  std::vector<OwnedRate> Owners;
  for (std::size_t Host = 0; Host < CutOff; ++Host)
    Owners.push_back(newOwner(Reported, Cut));
  double Admitted = Reported;
  for (BootTime Now = Cut; Now < Cut + ContactLifetime; Now += 1ms) {
    std::poisson_distribution<int> Arrivals(DemandOfHost / 1000);
    for (OwnedRate &Owner : Owners)
      for (int Left = Arrivals(Random); Left > 0; --Left)
        Admitted += Owner.admit({1, 1, Hosts, ContactLifetime}, Now) ? 1 : 0;
  }
  CHECK(Admitted <= Allowed);
}

// Guards against a new owner that refuses although most of the fleet turned to
// it, because it does not notice how much of the fleet it reaches.
TEST_CASE("a new owner grants the rest once it has heard most hosts",
          "[rate]") {
  constexpr double Reported = Limit / 2;
  OwnedRate Owner = newOwner(Reported, Cut);
  CHECK_FALSE(Owner.admit({1, 2, Hosts, ContactLifetime}, Cut + 50ms));
  int Admitted = 0;
  // Each host reports once in 1.98 s.
  for (BootTime Now = Cut + 1s; Now < Cut + 3s; Now += 2ms) {
    const double HeardPart = std::min(
        1.0,
        std::chrono::duration<double>(Now - Cut) /
            std::chrono::duration<double>(std::chrono::milliseconds(1980)));
    const auto Heard =
        static_cast<std::size_t>(static_cast<double>(Hosts) * HeardPart);
    Admitted += Owner.admit({1, Heard, Hosts, ContactLifetime}, Now) ? 1 : 0;
  }
  // Up to MaxPriorUse may have been admitted before, as far as it knows.
  CHECK(Admitted >= Limit * (1 - SharedRate::MaxPriorUse));
  CHECK(Admitted + Reported <= Allowed);
}

// Guards against refusals after a planned stop of the owner, and after a
// workspace was quiet: nothing was admitted elsewhere.
TEST_CASE("an owner without a report of another one grants at once", "[rate]") {
  OwnedRate Owner = newOwner(std::nullopt, Cut);
  CHECK(Owner.admit({1, 1, Hosts, ContactLifetime}, Cut + 1ms));
  CHECK_FALSE(Owner.isExpired(Cut + 4s));
  CHECK(Owner.isExpired(Cut + 6s));
}
