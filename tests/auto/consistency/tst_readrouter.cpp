#include "consistency/readrouter.h"
#include "consistency/roundrobin.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Now = TimePoint() + 1h;

ReadGroupView group() {
  ReadGroupView Group;
  CHECK(Group.History.append(Term{1}, {0}).has_value());
  CHECK(Group.History.append(Term{2}, {100}).has_value());
  const auto Add = [&](const char *Name, const char *Domain, UpstreamRole Role,
                       std::uint64_t Replayed, Duration Age, Duration Wait) {
    Group.Upstreams.push_back({Name,
                               Domain,
                               Role,
                               UpstreamAvailability::Serving,
                               Term{2},
                               {Replayed},
                               Age,
                               Wait});
  };
  Add("db-a", "x", UpstreamRole::Primary, 300, 0ms, 0ms);
  Add("db-b", "y", UpstreamRole::Replica, 290, 50ms, 1ms);
  Add("db-c", "x", UpstreamRole::Replica, 250, 80ms, 9ms);
  Add("db-d", "z", UpstreamRole::Replica, 290, 50ms, 1ms);
  return Group;
}

ReadRequest request(std::optional<Position> Seen = {},
                    std::optional<Duration> Age = {}) {
  return {{Seen, Age}, "x", Now + 400ms};
}

std::string names(const ReadPlan &Plan) {
  std::string Text;
  for (const ReadCandidate &Candidate : Plan.Candidates)
    Text += Candidate.Upstream + (Candidate.WaitUntil ? "(wait) " : " ");
  return Text;
}

} // namespace

// Guards against reads that cross failure domains or load the primary
// needlessly.
TEST_CASE("replicas of the own failure domain come first, the primary last") {
  ReadGroupView Group = group();
  const ReadPlan Plan = ReadRouter::plan(Group, request(), Now);
  CHECK(names(Plan) == "db-c db-b db-d db-a ");
  CHECK_FALSE(Plan.Reason.has_value());
  Group.Upstreams[1].ExpectedWait = 2ms;
  CHECK(names(ReadRouter::plan(Group, request(), Now)) ==
        "db-c db-d db-b db-a ");

  std::set<std::string> Orders;
  std::mt19937_64 Random(1);
  for (int I = 0; I < 50; ++I)
    Orders.insert(names(ReadRouter::plan(group(), request(), Now, &Random)));
  CHECK(Orders.size() == 2);
}

// Guards against a read that misses the session's own write, waits longer than
// its share of the remaining time, or goes to the primary without a reason that
// can be counted.
TEST_CASE("a read that no replica may serve goes to the primary with a reason",
          "[read-your-writes]") {
  const ReadGroupView Group = group();
  CHECK(names(ReadRouter::plan(Group, request(Position{Term{2}, {260}}),
                               Now)) == "db-b db-d db-a ");

  ReadPlan Plan =
      ReadRouter::plan(Group, request(Position{Term{2}, {300}}), Now);
  CHECK(names(Plan) == "db-c(wait) db-a ");
  CHECK(Plan.Candidates[0].WaitUntil == Now + 100ms);
  CHECK(Plan.Reason == PrimaryReason::Behind);
  ReadRequest LongDeadline = request(Position{Term{2}, {300}});
  LongDeadline.Deadline = Now + 10s;
  Plan = ReadRouter::plan(Group, LongDeadline, Now);
  CHECK(Plan.Candidates[0].WaitUntil == Now + 150ms);

  Plan = ReadRouter::plan(Group, request({}, 60ms), Now);
  CHECK(names(Plan) == "db-b db-d db-a ");
  Plan = ReadRouter::plan(Group, request({}, 40ms), Now);
  CHECK(names(Plan) == "db-a ");
  CHECK(Plan.Reason == PrimaryReason::Age);
  Plan = ReadRouter::plan(Group, request({}, 0ms), Now);
  CHECK(names(Plan) == "db-a ");
  CHECK(Plan.Reason == PrimaryReason::Strong);

  ReadGroupView Leaving = Group;
  for (UpstreamView &U : Leaving.Upstreams)
    U.State = UpstreamAvailability::Leaving;
  Plan = ReadRouter::plan(Leaving, request(), Now);
  CHECK(Plan.Candidates.empty());
  CHECK(Plan.Reason == PrimaryReason::NoReplica);
}

// Guards against a baseline policy that chooses replicas by their positions,
// does not wait, or serves older data to a session whose write was lost.
TEST_CASE("round robin chooses replicas in turn and waits",
          "[read-your-writes]") {
  ReadGroupView Group = group();
  const auto Plan = [&](std::uint64_t ReadIndex, const ReadRequest &Request) {
    return ReadRouter::plan(Group, Request, Now, RoundRobin(ReadIndex));
  };
  CHECK(names(Plan(0, request())) == "db-b db-a ");
  CHECK(names(Plan(1, request())) == "db-c db-a ");
  CHECK(names(Plan(3, request())) == "db-b db-a ");
  const ReadPlan Waits = Plan(0, request(Position{Term{2}, {260}}));
  CHECK(names(Waits) == "db-b(wait) db-a ");
  CHECK(Waits.Candidates[0].WaitUntil == Now + 100ms);
  CHECK(Plan(0, request(Position{Term{1}, {101}})).Result ==
        ReadPlan::Outcome::SessionLost);
  CHECK(Plan(0, request({}, 0ms)).Reason == PrimaryReason::Strong);
  for (UpstreamView &U : Group.Upstreams)
    U.State = UpstreamAvailability::Unreachable;
  CHECK(Plan(0, request()).Reason == PrimaryReason::NoReplica);
}

// Guards against serving older data to a session whose write was lost.
TEST_CASE("reads after a lost write or of a newer term are not routed",
          "[read-your-writes]") {
  const ReadGroupView Group = group();
  const auto Outcome = [&](Position Seen) {
    return ReadRouter::plan(Group, request(Seen), Now).Result;
  };
  CHECK(Outcome({Term{1}, {100}}) == ReadPlan::Outcome::Route);
  CHECK(Outcome({Term{1}, {101}}) == ReadPlan::Outcome::SessionLost);
  CHECK(Outcome({Term{3}, {1}}) == ReadPlan::Outcome::RefreshView);
}
