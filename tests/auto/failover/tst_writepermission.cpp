#include "failover/failoverlimits.h"
#include "failover/writepermission.h"

#include <catch2/catch.hpp>

#include <bit>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;
const GroupView Three{Term{2}, "db-a", {"db-a", "db-b", "db-c"}, Term{2}};

ReplicaPoll replicaPoll(const char *Name, Duration SentAt, Term Timeline = {2},
                        std::uint64_t Received = 0) {
  ReplicaPoll Poll;
  Poll.Upstream = Name;
  Poll.SentAt = Start + SentAt;
  Poll.Timeline = Timeline;
  Poll.ReceivePosition = {Received};
  Poll.InRecovery = true;
  Poll.PrimaryConninfoSet = true;
  Poll.Follows = "db-a";
  return Poll;
}

ReplicaPoll fencedPoll(const char *Name, Duration SentAt) {
  ReplicaPoll Poll = replicaPoll(Name, SentAt);
  Poll.PrimaryConninfoSet = false;
  Poll.Follows.clear();
  return Poll;
}

WritePermission permissionOf(const GroupView &View,
                             const std::vector<ReplicaPoll> &Polls) {
  WritePermission Permission;
  Permission.setView(View);
  for (const ReplicaPoll &Poll : Polls)
    Permission.replicaPolled(Poll);
  return Permission;
}

} // namespace

// Guards against permission from too few replicas or for too long.
TEST_CASE("permission ends 400 ms after the poll that completes a majority",
          "[fencing]") {
  const auto One = permissionOf(Three, {replicaPoll("db-b", 10ms)});
  CHECK(One.deadline(Term{2}) == Start + 410ms);
  CHECK_FALSE(One.deadline(Term{1}).has_value());
  CHECK(One.mayStart(Start + 409ms));
  CHECK_FALSE(One.mayStart(Start + 410ms));

  GroupView Five = Three;
  Five.Members.insert(Five.Members.end(), {"db-d", "db-e"});
  CHECK_FALSE(permissionOf(Five, {replicaPoll("db-b", 10ms)})
                  .deadline(Term{2})
                  .has_value());
  CHECK(
      permissionOf(Five, {replicaPoll("db-b", 10ms), replicaPoll("db-d", 50ms),
                          replicaPoll("db-c", 30ms)})
          .deadline(Term{2}) == Start + 430ms);
}

// Guards against permission from members that cannot give it.
TEST_CASE("only replicas that follow the primary of the term give permission",
          "[fencing]") {
  ReplicaPoll NotInRecovery = replicaPoll("db-b", 0ms);
  NotInRecovery.InRecovery = false;
  ReplicaPoll FollowsOther = replicaPoll("db-b", 0ms);
  FollowsOther.Follows = "db-c";
  for (const ReplicaPoll &Poll :
       {NotInRecovery, FollowsOther, fencedPoll("db-b", 0ms),
        replicaPoll("db-b", 0ms, Term{1}), replicaPoll("db-b", 0ms, Term{0}),
        replicaPoll("db-a", 0ms), replicaPoll("db-x", 0ms)})
    CHECK_FALSE(permissionOf(Three, {Poll}).deadline(Term{2}).has_value());
}

// Guards against permission that is extended by an old answer or an old term.
TEST_CASE("old polls and old terms never extend permission", "[fencing]") {
  auto Permission = permissionOf(
      Three, {fencedPoll("db-b", 20ms), replicaPoll("db-b", 10ms)});
  CHECK_FALSE(Permission.mayStart(Start + 20ms));
  Permission.replicaPolled(replicaPoll("db-b", 30ms, Term{2}, 7));
  CHECK(Permission.mayStart(Start + 30ms));

  GroupView Newer = Three;
  Newer.Current = Newer.Timeline = Term{3};
  Permission.setView(Newer);
  Permission.replicaPolled(replicaPoll("db-b", 40ms, Term{2}, 9));
  Permission.setView(Three);
  CHECK(Permission.view() == Newer);
  CHECK_FALSE(Permission.mayStart(Start + 40ms));
  Permission.replicaPolled(replicaPoll("db-c", 50ms, Term{3}, 5));
  CHECK(Permission.decide(Term{3}, {7}, AcknowledgeMode::Replica, Start + 50ms,
                          Start + 50ms) == AcknowledgeDecision::WaitForReplica);
}

// Guards against acknowledging a write after permission has expired, in another
// term, before a replica has it, or after permission has lapsed since it was
// sent.
TEST_CASE("a write is acknowledged only if permission has not lapsed",
          "[fencing]") {
  auto Permission =
      permissionOf(Three, {replicaPoll("db-b", 0ms, Term{2}, 100)});
  const auto Decide = [&](Term Answer, std::uint64_t Commit,
                          AcknowledgeMode Mode, Duration SentAt, Duration Now) {
    return Permission.decide(Answer, {Commit}, Mode, Start + SentAt,
                             Start + Now);
  };
  const auto Primary = AcknowledgeMode::Primary;
  const auto Replica = AcknowledgeMode::Replica;
  CHECK(Decide(Term{2}, 101, Primary, 1ms, 5ms) ==
        AcknowledgeDecision::Acknowledge);
  CHECK(Decide(Term{1}, 99, Primary, 1ms, 5ms) ==
        AcknowledgeDecision::Withhold);
  CHECK(Decide(Term{2}, 99, Primary, 1ms, 400ms) ==
        AcknowledgeDecision::Withhold);
  CHECK(Decide(Term{2}, 100, Replica, 1ms, 5ms) ==
        AcknowledgeDecision::Acknowledge);
  CHECK(Decide(Term{2}, 101, Replica, 1ms, 5ms) ==
        AcknowledgeDecision::WaitForReplica);

  Permission.replicaPolled(replicaPoll("db-b", 399ms, Term{2}, 100));
  CHECK(Decide(Term{2}, 99, Primary, 1ms, 410ms) ==
        AcknowledgeDecision::Acknowledge);
  Permission.replicaPolled(replicaPoll("db-b", 800ms, Term{2}, 100));
  CHECK(Decide(Term{2}, 99, Primary, 1ms, 810ms) ==
        AcknowledgeDecision::Withhold);
  CHECK(Decide(Term{2}, 99, Primary, 801ms, 810ms) ==
        AcknowledgeDecision::Acknowledge);
}

// Guards against a fence that leaves write permission to a holder which does
// not know yet that a member was added or removed.
TEST_CASE("a fence quorum intersects every majority of the previous members",
          "[fencing]") {
  // Sets of members are bit masks. Member 0 is the primary, which cannot be
  // fenced.
  const auto Intersects = [](std::size_t Before, std::size_t After) {
    const auto Sets = [](std::size_t Members, std::size_t Size) {
      std::vector<unsigned> Found;
      for (unsigned Set = 0; Set < (1U << Members); Set += 2)
        if (static_cast<std::size_t>(std::popcount(Set)) == Size)
          Found.push_back(Set);
      return Found;
    };
    using namespace failoverlimits;
    for (const unsigned Permitting : Sets(Before, replicasForMajority(Before)))
      for (const unsigned Fenced : Sets(After, fenceQuorum(After)))
        if ((Permitting & Fenced) == 0)
          return false;
    return true;
  };
  for (std::size_t Members = 2; Members <= 8; ++Members) {
    CAPTURE(Members);
    CHECK(Intersects(Members, Members));
    CHECK(Intersects(Members, Members + 1));
    if (Members > 3)
      CHECK(Intersects(Members, Members - 1));
  }
  CHECK_FALSE(Intersects(3, 5));
}
