#include "ratefleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lavenderdale;
using namespace lavenderdale::test;

namespace {

constexpr std::size_t FailingOwner = 0;
constexpr Duration FailsAt = seconds(2);

/// Simulates a workspace that sends 70% of its rate, with a burst of one
/// second, to random running hosts. The owner of one domain fails if \p Fails.
Outcome ownerDies(std::uint32_t Rate, std::uint64_t Seed, bool Fails,
                  Duration Renewal, Duration Lease) {
  std::mt19937_64 Choice(Seed);
  const auto AnyAlive = [&Choice, Fails](Duration At) {
    const std::size_t First = Fails && At >= FailsAt ? FailingOwner + 1 : 0;
    return std::uniform_int_distribution<std::size_t>(First,
                                                      HostCount - 1)(Choice);
  };
  Load Config{.Limit = {Rate, Rate},
              .LoadFactor = 0.7,
              .Length = FailsAt + seconds(10),
              .EntryHostAt = AnyAlive,
              .FailsAt = FailsAt,
              .LeaseLength = Lease,
              .RenewalInterval = Renewal,
              .RetryInterval = milliseconds(2),
              .PollInterval = milliseconds(20),
              .HandlingTime = milliseconds(1),
              .LeaseNeedsPartner = true};
  if (Fails)
    Config.FailingHost = FailingOwner;
  return Fleet(Config, Seed).run();
}

} // namespace

// Guards against refusals while a third of the rate has no owner. The burst
// covers only one second, so tokens must not be lost in unspent grants.
TEST_CASE("refusals stay below 0.1% when an owner dies", "[rate]") {
  // Grants are never valid for longer than the lease; tests short and long
  // ones.
  const auto [Renewal, Lease] = GENERATE(
      table<Duration, Duration>({{milliseconds(50), milliseconds(100)},
                                 {milliseconds(500), milliseconds(1000)}}));
  for (const std::uint32_t Rate : {100U, 300U, 1000U}) {
    Outcome Sum;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      const Outcome One = ownerDies(Rate, Seed, true, Renewal, Lease);
      INFO("rate " << Rate << ", seed " << Seed << ": " << One.Refused
                   << " refused of " << One.Requests);
      CHECK(One.ServedAboveLimit == 0);
      // Looser bound per run, so that an outlier is reported with its seed.
      CHECK(One.Refused * 200 < One.Requests);
      Sum.Requests += One.Requests;
      Sum.Refused += One.Refused;
      Sum.RefusedWithinRate += One.RefusedWithinRate;
      Sum.Granted += One.Granted;
    }
    std::cout << "owner dies, rate " << Rate << ": " << Sum.Refused
              << " refused, " << Sum.RefusedWithinRate
              << " of them within the rate, of " << Sum.Requests
              << " requests; " << Sum.Granted << " tokens granted\n";
    INFO("rate " << Rate << ", seeds 1 to 20: " << Sum.Refused << " refused of "
                 << Sum.Requests);
    CHECK(Sum.Refused * 1000 < Sum.Requests);
  }
}

// Guards against excessive control traffic and against unspent grants, whose
// tokens are missing at other hosts.
TEST_CASE("steady demand causes at most 5 grant requests per second",
          "[rate]") {
  for (const std::uint32_t Rate : {100U, 300U, 1000U, 3000U}) {
    const Outcome One =
        ownerDies(Rate, 1, false, milliseconds(500), seconds(1));
    const double GrantRequests =
        static_cast<double>(One.GrantRequests) / HostCount / 12;
    std::cout << "steady, rate " << Rate << ": " << GrantRequests
              << " grant requests per second and host, " << One.Granted
              << " tokens granted for " << One.Served << " requests\n";
    CHECK(GrantRequests <= 5);
    CHECK(One.Refused == 0);
  }
}
