#include "limits/ratedrawer.h"
#include "limits/rateowner.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

/// An owner of the whole rate (10/s, burst 10) that holds all ten tokens.
RateOwner fullOwner() {
  RateOwner Owner("owner", 1);
  Owner.configure("w", {10, 10}, {1, 1}, 1, Start - seconds(10));
  Owner.renewLease(Start + seconds(100), Start - seconds(9));
  return Owner;
}

GrantRequest request(std::uint64_t Sequence, std::uint32_t Wanted,
                     std::uint64_t Spent, std::uint32_t Held) {
  return {"w", 1, "entry", 7, Sequence, Wanted, Spent, Held};
}

} // namespace

// Guards against a second deduction, or a second grant, for one request.
TEST_CASE("a repeated request gets the same answer", "[rate]") {
  RateOwner Owner = fullOwner();
  const GrantAnswer First = Owner.grant(request(1, 4, 0, 0), Start);
  CHECK(First.Tokens == 4);
  CHECK(Owner.grant(request(1, 4, 0, 0), Start) == First);
  CHECK(Owner.available("w", Start) == 6 * MicrotokensPerToken);
  Owner.grant(request(2, 1, 0, 4), Start);
  CHECK(Owner.grant(request(1, 4, 0, 0), Start).Status == GrantStatus::Stale);
}

// Guards against tokens that are lost needlessly, or counted twice.
TEST_CASE("tokens that were not spent return to the bucket", "[rate]") {
  RateOwner Owner = fullOwner();
  Owner.grant(request(1, 8, 0, 0), Start);
  // Three spent, one held, four given up.
  Owner.grant(request(2, 0, 3, 1), Start);
  CHECK(Owner.available("w", Start) == 6 * MicrotokensPerToken);
  CHECK(Owner.outstanding("w", Start) == MicrotokensPerToken);
  // After expiry the owner has accrued in their place.
  const TimePoint Later = Start + seconds(2);
  Owner.grant(request(3, 0, 3, 0), Later);
  CHECK(Owner.available("w", Later) == 10 * MicrotokensPerToken);
}

// Guards against an owner that grants, or accrues, without a lease.
TEST_CASE("an owner without a lease grants and accrues nothing", "[rate]") {
  RateOwner Owner("owner", 1);
  Owner.configure("w", {10, 10}, {1, 1}, 1, Start);
  Owner.renewLease(Start + milliseconds(1200), Start);
  const auto At = [](int Ms) { return Start + milliseconds(Ms); };
  CHECK(Owner.grant(request(1, 1, 0, 0), At(999)).Status ==
        GrantStatus::NotReady);
  CHECK(Owner.available("w", At(1200)) == 2 * MicrotokensPerToken);
  CHECK(Owner.grant(request(1, 1, 0, 0), At(1200)).Status ==
        GrantStatus::NotReady);
  Owner.renewLease(At(3000), At(2000));
  CHECK(Owner.available("w", At(2000)) == 2 * MicrotokensPerToken);
  CHECK(Owner.grant(request(1, 1, 0, 0), At(2900)).Validity ==
        milliseconds(100));
}

// Guards against a greater share that is used before the others gave it up.
TEST_CASE("a share shrinks at once and grows after the wait", "[rate]") {
  RateOwner Owner = fullOwner();
  Owner.configure("w", {10, 10}, {1, 2}, 2, Start);
  CHECK(Owner.available("w", Start) == 5 * MicrotokensPerToken);
  Owner.configure("w", {10, 10}, {1, 1}, 3, Start);
  CHECK(Owner.available("w", Start + seconds(1)) == 5 * MicrotokensPerToken);
  CHECK(Owner.available("w", Start + seconds(2)) == 10 * MicrotokensPerToken);
  // An epoch was missed: somebody else may have owned it in between.
  Owner.configure("w", {10, 10}, {1, 1}, 5, Start + seconds(2));
  CHECK(Owner.available("w", Start + seconds(3)) == 0);
}

// Guards against a refusal before the waiting time is over, and after it.
TEST_CASE("a request without a token waits until it gives up", "[rate]") {
  RateDrawer Drawer("w", "entry", 7);
  Drawer.setOwners({"near", "far"}, 1);
  const TimePoint GiveUp = Start + MaxRateWait;
  CHECK(Drawer.trySpend(Start, GiveUp).Kind == SpendKind::WaitUntil);
  REQUIRE(Drawer.poll(Start)->Owner == "near");
  // The near owner is silent: the far one is asked.
  const TimePoint Second = Start + milliseconds(50);
  CHECK(Drawer.nextPoll(Start) == Second);
  Drawer.trySpend(Second, GiveUp, SpendAttempt::Again);
  const auto Draw = Drawer.poll(Second);
  REQUIRE(Draw);
  CHECK(Draw->Owner == "far");
  const GrantAnswer Answer{"w",
                           7,
                           Draw->Request.Sequence,
                           GrantStatus::Granted,
                           1,
                           milliseconds(100)};
  // An answer of the request that was given up is not used.
  Drawer.receive("near", {"w", 7, 1, GrantStatus::Granted, 1, seconds(1)},
                 Second);
  CHECK(Drawer.held(Second) == 0);
  Drawer.receive("far", Answer, Second + milliseconds(1));
  // Counted from when the request was sent.
  CHECK(Drawer.held(Second + milliseconds(99)) == 1);
  CHECK(Drawer.held(Second + milliseconds(100)) == 0);
  CHECK(Drawer.trySpend(GiveUp, GiveUp, SpendAttempt::Again).Kind ==
        SpendKind::Refused);
}

// Guards against draws for tries instead of requests: a late answer then takes
// tokens that other hosts need.
TEST_CASE("a request that tries often wants one token", "[rate]") {
  RateDrawer Drawer("w", "entry", 7);
  Drawer.setOwners({"near", "far"}, 1);
  Drawer.trySpend(Start, Start + MaxRateWait);
  REQUIRE(Drawer.poll(Start)->Request.Wanted == 1);
  TimePoint Now = Start;
  for (; Now < Start + milliseconds(50); Now += milliseconds(2))
    Drawer.trySpend(Now, Start + MaxRateWait, SpendAttempt::Again);
  const auto Draw = Drawer.poll(Now);
  REQUIRE(Draw);
  CHECK(Draw->Request.Wanted == 1);
}

// Guards against tokens that expire unspent: nothing is accrued for them.
TEST_CASE("unspent tokens are given back before they expire", "[rate]") {
  RateDrawer Drawer("w", "entry", 7);
  Drawer.setOwners({"owner"}, 1);
  Drawer.trySpend(Start, Start + MaxRateWait);
  Drawer.trySpend(Start, Start + MaxRateWait);
  const auto Draw = Drawer.poll(Start);
  REQUIRE(Draw);
  const std::uint32_t Wanted = Draw->Request.Wanted;
  Drawer.receive("owner",
                 {"w", 7, Draw->Request.Sequence, GrantStatus::Granted, Wanted,
                  milliseconds(200)},
                 Start);
  Drawer.trySpend(Start, Start, SpendAttempt::Again);
  // A quarter of the validity before the end.
  const TimePoint Due = Start + milliseconds(150);
  CHECK_FALSE(Drawer.poll(Due - milliseconds(1)));
  CHECK(Drawer.nextPoll(Due - milliseconds(1)) == Due);
  const auto Report = Drawer.poll(Due);
  REQUIRE(Report);
  CHECK(Report->Request.Held == 0);
  CHECK(Report->Request.Spent == 1);
  CHECK(Drawer.held(Due) == 0);
}
