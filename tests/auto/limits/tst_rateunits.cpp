#include "limits/rateclient.h"
#include "limits/rateowner.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

/// Returns an owner of the whole rate (10/s, burst 10) with a full bucket.
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

// Guards against deducting or granting tokens twice for one request.
TEST_CASE("a repeated request gets the same answer", "[rate]") {
  RateOwner Owner = fullOwner();
  const GrantAnswer First = Owner.grant(request(1, 4, 0, 0), Start);
  CHECK(First.Tokens == 4);
  CHECK(Owner.grant(request(1, 4, 0, 0), Start) == First);
  CHECK(Owner.available("w", Start) == 6 * MicrotokensPerToken);
  Owner.grant(request(2, 1, 0, 4), Start);
  CHECK(Owner.grant(request(1, 4, 0, 0), Start).Status == GrantStatus::Stale);
}

// Guards against tokens that are lost or counted twice.
TEST_CASE("unspent tokens return to the bucket", "[rate]") {
  RateOwner Owner = fullOwner();
  Owner.grant(request(1, 8, 0, 0), Start);
  // Three tokens spent, one held, four returned.
  Owner.grant(request(2, 0, 3, 1), Start);
  CHECK(Owner.available("w", Start) == 6 * MicrotokensPerToken);
  CHECK(Owner.outstanding("w", Start) == MicrotokensPerToken);
  // After the expiry, accrual has replaced the tokens.
  const TimePoint Later = Start + seconds(2);
  Owner.grant(request(3, 0, 3, 0), Later);
  CHECK(Owner.available("w", Later) == 10 * MicrotokensPerToken);
}

// Guards against an owner that grants or accrues tokens without a lease.
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

// Guards against an owner that uses a larger share before the other owners have
// released it.
TEST_CASE("a share shrinks immediately and grows after the handover wait",
          "[rate]") {
  RateOwner Owner = fullOwner();
  Owner.configure("w", {10, 10}, {1, 2}, 2, Start);
  CHECK(Owner.available("w", Start) == 5 * MicrotokensPerToken);
  Owner.configure("w", {10, 10}, {1, 1}, 3, Start);
  CHECK(Owner.available("w", Start + seconds(1)) == 5 * MicrotokensPerToken);
  CHECK(Owner.available("w", Start + seconds(2)) == 10 * MicrotokensPerToken);
  // An epoch was missed: another host may have been the owner in between.
  Owner.configure("w", {10, 10}, {1, 1}, 5, Start + seconds(2));
  CHECK(Owner.available("w", Start + seconds(3)) == 0);
}

// Guards against a refusal before the maximum wait has passed, and against
// waiting beyond it.
TEST_CASE("a request without a token waits until its time limit", "[rate]") {
  RateClient Client("w", "entry", 7);
  Client.setOwners({"near", "far"}, 1);
  const TimePoint GiveUp = Start + MaxRateWait;
  CHECK(Client.trySpend(Start, GiveUp).Kind == SpendKind::WaitUntil);
  REQUIRE(Client.poll(Start)->Owner == "near");
  // The near owner does not answer, so the far one is asked.
  const TimePoint Second = Start + milliseconds(50);
  CHECK(Client.nextPoll(Start) == Second);
  Client.trySpend(Second, GiveUp, SpendAttempt::Retry);
  const auto Sent = Client.poll(Second);
  REQUIRE(Sent);
  CHECK(Sent->Owner == "far");
  const GrantAnswer Answer{"w",
                           7,
                           Sent->Request.Sequence,
                           GrantStatus::Granted,
                           1,
                           milliseconds(100)};
  // A late answer to the request that timed out is ignored.
  Client.receive("near", {"w", 7, 1, GrantStatus::Granted, 1, seconds(1)},
                 Second);
  CHECK(Client.held(Second) == 0);
  Client.receive("far", Answer, Second + milliseconds(1));
  // The validity counts from the sending of the request.
  CHECK(Client.held(Second + milliseconds(99)) == 1);
  CHECK(Client.held(Second + milliseconds(100)) == 0);
  CHECK(Client.trySpend(GiveUp, GiveUp, SpendAttempt::Retry).Kind ==
        SpendKind::Refused);
}

// Guards against requesting a token for each attempt instead of each request:
// while an answer is late, this would take tokens that other hosts need.
TEST_CASE("a request that retries often asks for one token", "[rate]") {
  RateClient Client("w", "entry", 7);
  Client.setOwners({"near", "far"}, 1);
  Client.trySpend(Start, Start + MaxRateWait);
  REQUIRE(Client.poll(Start)->Request.Wanted == 1);
  TimePoint Now = Start;
  for (; Now < Start + milliseconds(50); Now += milliseconds(2))
    Client.trySpend(Now, Start + MaxRateWait, SpendAttempt::Retry);
  const auto Sent = Client.poll(Now);
  REQUIRE(Sent);
  CHECK(Sent->Request.Wanted == 1);
}

// Guards against tokens that expire unspent: accrual does not replace them.
TEST_CASE("unspent tokens are returned before they expire", "[rate]") {
  RateClient Client("w", "entry", 7);
  Client.setOwners({"owner"}, 1);
  Client.trySpend(Start, Start + MaxRateWait);
  Client.trySpend(Start, Start + MaxRateWait);
  const auto Sent = Client.poll(Start);
  REQUIRE(Sent);
  const std::uint32_t Wanted = Sent->Request.Wanted;
  Client.receive("owner",
                 {"w", 7, Sent->Request.Sequence, GrantStatus::Granted, Wanted,
                  milliseconds(200)},
                 Start);
  Client.trySpend(Start, Start, SpendAttempt::Retry);
  // A quarter of the validity before the expiry.
  const TimePoint Due = Start + milliseconds(150);
  CHECK_FALSE(Client.poll(Due - milliseconds(1)));
  CHECK(Client.nextPoll(Due - milliseconds(1)) == Due);
  const auto Report = Client.poll(Due);
  REQUIRE(Report);
  CHECK(Report->Request.Held == 0);
  CHECK(Report->Request.Spent == 1);
  CHECK(Client.held(Due) == 0);
}
