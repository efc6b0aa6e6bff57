#include "ratefleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lavenderdale;
using namespace lavenderdale::test;

namespace {

Outcome measure(const std::string &Name, const Load &Of) {
  Outcome Sum;
  for (const std::uint64_t Seed : {11U, 12U, 13U, 14U, 15U}) {
    INFO(Name << ", seed " << Seed);
    const Outcome One = Fleet(Of, Seed).run();
    CHECK(One.Above == 0);
    Sum.Requests += One.Requests;
    Sum.Served += One.Served;
    Sum.Refused += One.Refused;
    Sum.Wrongful += One.Wrongful;
    Sum.BaselineWrongful += One.BaselineWrongful;
    Sum.Messages += One.Messages;
  }
  std::cout << Name << " (rate " << Of.Limit.Rate << ", burst "
            << Of.Limit.Burst << "): " << Sum.Requests << " requests, "
            << Sum.Served << " served, " << Sum.Refused << " refused, "
            << Sum.Wrongful << " of them wrongfully; rate / host count: "
            << Sum.BaselineWrongful << " wrongfully; " << Sum.Messages
            << " messages\n";
  return Sum;
}

std::size_t alwaysSecond(Duration) { return 1; }
std::size_t moving(Duration At) { return std::size_t(At / seconds(4)) * 3 % 6; }

} // namespace

// Guards against refusals inside the rate while all hosts are reachable: an
// owner has a third of rate and burst, so loans have to follow the demand.
TEST_CASE("a workspace inside its rate is served at any host", "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 300},
        RateAndBurst{3000, 3000}}) {
    CHECK(measure("one host", {.Limit = Limit, .HostAt = alwaysSecond})
              .Wrongful == 0);
    const Outcome Moved =
        measure("load moves", {.Limit = Limit, .HostAt = moving});
    CHECK(Moved.Wrongful * 1000 < Moved.Requests);
    CHECK(Moved.Wrongful * 1000 < Moved.BaselineWrongful);
  }
}

// Guards against refusals while a third of the rate has no owner. The burst
// has to cover what that third would have accrued until the handover.
TEST_CASE("a workspace inside its rate is served when an owner dies",
          "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 600},
        RateAndBurst{3000, 6000}}) {
    const Outcome Near =
        measure("owner of the busy domain dies", {.Limit = Limit,
                                                  .Length = seconds(15),
                                                  .HostAt = alwaysSecond,
                                                  .Dies = 0});
    CHECK(Near.Wrongful * 1000 < Near.Requests);
    std::size_t Next = 0;
    const auto Spread = [&Next](Duration) { return ++Next % HostCount; };
    const Outcome All = measure(
        "owner dies, load spread",
        {.Limit = Limit, .Length = seconds(15), .HostAt = Spread, .Dies = 0});
    CHECK(All.Wrongful * 1000 < All.Requests);
  }
}

// Guards against more, or much less, than rate and burst under overload.
TEST_CASE("eight times the rate is held to rate and burst", "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{50, 100}, RateAndBurst{300, 600},
        RateAndBurst{3000, 6000}}) {
    std::size_t Next = 0;
    const Outcome Held =
        measure("8 times",
                {.Limit = Limit,
                 .Factor = 8,
                 .Length = seconds(10),
                 .HostAt = [&Next](Duration) { return ++Next % HostCount; }});
    const std::uint64_t Allowed =
        5 * (std::uint64_t(Limit.Rate) * 10 + Limit.Burst);
    CHECK(Held.Served <= Allowed);
    CHECK(Held.Served * 10 >= Allowed * 9);
  }
}

// Reports, without a mark, how small rates and bursts and lost messages fare.
TEST_CASE("figures outside the marks", "[rate]") {
  for (const RateAndBurst Limit :
       {RateAndBurst{10, 10}, RateAndBurst{10, 20}, RateAndBurst{300, 150}}) {
    measure("one host", {.Limit = Limit, .HostAt = alwaysSecond});
    measure("owner dies", {.Limit = Limit,
                           .Length = seconds(15),
                           .HostAt = alwaysSecond,
                           .Dies = 0});
  }
  measure("1% of messages lost",
          {.Limit = {300, 300}, .HostAt = alwaysSecond, .LossShare = 0.01});
}
