#include "ratefleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lavenderdale;
using namespace lavenderdale::test;

namespace {

constexpr std::size_t DeadOwner = 0;
constexpr Duration DiesAt = seconds(2);

/// A workspace at 70% of its rate with a burst of one second. Requests arrive
/// at random at hosts that are alive.
Outcome ownerDies(std::uint32_t Rate, std::uint64_t Seed, bool Dies,
                  Duration Renewal, Duration Lease) {
  std::mt19937_64 Choice(Seed);
  const auto AnyAlive = [&Choice, Dies](Duration At) {
    const std::size_t First = Dies && At >= DiesAt ? DeadOwner + 1 : 0;
    return std::uniform_int_distribution<std::size_t>(First,
                                                      HostCount - 1)(Choice);
  };
  Load Of{.Limit = {Rate, Rate},
          .Factor = 0.7,
          .Length = DiesAt + seconds(10),
          .HostAt = AnyAlive,
          .DiesAt = DiesAt,
          .LeaseLength = Lease,
          .RenewalInterval = Renewal,
          .RetryInterval = milliseconds(2),
          .PollInterval = milliseconds(20),
          .HandlingTime = milliseconds(1),
          .LeaseNeedsPartner = true};
  if (Dies)
    Of.Dies = DeadOwner;
  return Fleet(Of, Seed).run();
}

} // namespace

// Guards against refusals while a third of the rate has no owner and the burst
// is only one second: tokens must not be lost by grants that are not spent.
TEST_CASE("refusals stay below 0.1% when an owner dies", "[rate]") {
  // Short leases make short grants; both have to do.
  const auto [Renewal, Lease] = GENERATE(
      table<Duration, Duration>({{milliseconds(50), milliseconds(100)},
                                 {milliseconds(500), milliseconds(1000)}}));
  for (const std::uint32_t Rate : {100U, 300U, 1000U}) {
    Outcome Sum;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      const Outcome One = ownerDies(Rate, Seed, true, Renewal, Lease);
      INFO("rate " << Rate << ", seed " << Seed << ": " << One.Refused
                   << " refused of " << One.Requests);
      CHECK(One.Above == 0);
      // A single run far above the mark names its seed.
      CHECK(One.Refused * 200 < One.Requests);
      Sum.Requests += One.Requests;
      Sum.Refused += One.Refused;
      Sum.Wrongful += One.Wrongful;
      Sum.Granted += One.Granted;
    }
    std::cout << "owner dies, rate " << Rate << ": " << Sum.Refused
              << " refused, " << Sum.Wrongful << " inside, of " << Sum.Requests
              << "; " << Sum.Granted << " tokens granted\n";
    INFO("rate " << Rate << ", seeds 1 to 20: " << Sum.Refused << " refused of "
                 << Sum.Requests);
    CHECK(Sum.Refused * 1000 < Sum.Requests);
  }
}

// Guards against control traffic that grows, and against grants that are not
// spent: their tokens are missing elsewhere.
TEST_CASE("steady demand draws at most 5 times a second", "[rate]") {
  for (const std::uint32_t Rate : {100U, 300U, 1000U, 3000U}) {
    const Outcome One =
        ownerDies(Rate, 1, false, milliseconds(500), seconds(1));
    const double Draws = static_cast<double>(One.Draws) / HostCount / 12;
    std::cout << "steady, rate " << Rate << ": " << Draws
              << " draws a second and host, " << One.Granted
              << " tokens granted for " << One.Served << " requests\n";
    CHECK(Draws <= 5);
    CHECK(One.Refused == 0);
  }
}
