#include "ratefleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lavenderdale;
using namespace lavenderdale::test;

namespace {

/// Runs \p Config with five seeds and returns the sum of the outcomes.
Outcome measure(const std::string &Name, const Load &Config) {
  Outcome Sum;
  for (const std::uint64_t Seed : {11U, 12U, 13U, 14U, 15U}) {
    INFO(Name << ", seed " << Seed);
    const Outcome One = Fleet(Config, Seed).run();
    CHECK(One.ServedAboveLimit == 0);
    Sum.Requests += One.Requests;
    Sum.Served += One.Served;
    Sum.Refused += One.Refused;
    Sum.RefusedWithinRate += One.RefusedWithinRate;
    Sum.BaselineRefusedWithinRate += One.BaselineRefusedWithinRate;
    Sum.Messages += One.Messages;
  }
  std::cout << Name << " (rate " << Config.Limit.Rate << ", burst "
            << Config.Limit.Burst << "): " << Sum.Requests << " requests, "
            << Sum.Served << " served, " << Sum.Refused << " refused, "
            << Sum.RefusedWithinRate
            << " of them within the rate; with equal fixed shares: "
            << Sum.BaselineRefusedWithinRate << " within the rate; "
            << Sum.Messages << " messages\n";
  return Sum;
}

std::size_t alwaysSecond(Duration) { return 1; }
std::size_t moving(Duration At) { return std::size_t(At / seconds(4)) * 3 % 6; }

} // namespace

// Guards against refusals within the rate while all hosts are reachable. Each
// owner has a third of rate and burst, so loans must follow the demand.
TEST_CASE("a workspace within its rate is served at any host", "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 300},
        RateAndBurst{3000, 3000}}) {
    CHECK(measure("one host", {.Limit = Limit, .EntryHostAt = alwaysSecond})
              .RefusedWithinRate == 0);
    const Outcome Moved =
        measure("load moves", {.Limit = Limit, .EntryHostAt = moving});
    CHECK(Moved.RefusedWithinRate * 1000 < Moved.Requests);
    CHECK(Moved.RefusedWithinRate * 1000 < Moved.BaselineRefusedWithinRate);
  }
}

// Guards against refusals while a third of the rate has no owner. The burst
// must cover what that third would have accrued until the handover.
TEST_CASE("a workspace within its rate is served when an owner dies",
          "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 600},
        RateAndBurst{3000, 6000}}) {
    const Outcome SameDomain =
        measure("owner of the busy domain dies", {.Limit = Limit,
                                                  .Length = seconds(15),
                                                  .EntryHostAt = alwaysSecond,
                                                  .FailingHost = 0});
    CHECK(SameDomain.RefusedWithinRate * 1000 < SameDomain.Requests);
    std::size_t Next = 0;
    const auto Spread = [&Next](Duration) { return ++Next % HostCount; };
    const Outcome All =
        measure("owner dies, load spread", {.Limit = Limit,
                                            .Length = seconds(15),
                                            .EntryHostAt = Spread,
                                            .FailingHost = 0});
    CHECK(All.RefusedWithinRate * 1000 < All.Requests);
  }
}

// Guards against serving more, or much less, than rate and burst under
// overload.
TEST_CASE("demand of eight times the rate is limited to rate and burst",
          "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 600},
        RateAndBurst{3000, 6000}}) {
    std::size_t Next = 0;
    const Outcome Held = measure("8 times", {.Limit = Limit,
                                             .LoadFactor = 8,
                                             .Length = seconds(10),
                                             .EntryHostAt = [&Next](Duration) {
                                               return ++Next % HostCount;
                                             }});
    const std::uint64_t Allowed =
        5 * (std::uint64_t(Limit.Rate) * 10 + Limit.Burst);
    CHECK(Held.Served <= Allowed);
    CHECK(Held.Served * 10 >= Allowed * 9);
  }
}

// Prints results for small rates and bursts and for lost messages. The refusals
// have no bound; nothing may be served above rate and burst.
TEST_CASE("rate and burst hold for small limits and lost messages", "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{10, 10}, RateAndBurst{10, 20}, RateAndBurst{300, 150}}) {
    measure("one host", {.Limit = Limit, .EntryHostAt = alwaysSecond});
    measure("owner dies", {.Limit = Limit,
                           .Length = seconds(15),
                           .EntryHostAt = alwaysSecond,
                           .FailingHost = 0});
  }
  measure("1% of messages lost", {.Limit = {300, 300},
                                  .EntryHostAt = alwaysSecond,
                                  .LossProbability = 0.01});
}
