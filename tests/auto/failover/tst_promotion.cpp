#include "failover/promotion.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;

ReplicaPoll fencedPoll(const std::string &Name, Term Timeline,
                       std::uint64_t Received) {
  ReplicaPoll Poll;
  Poll.Upstream = Name;
  Poll.SentAt = Start;
  Poll.Timeline = Timeline;
  Poll.ReceivePosition = {Received};
  Poll.InRecovery = true;
  return Poll;
}

TermStatus secondTerm() {
  TermStatus Status{7, Term{2}, "db-a", {}, std::nullopt, std::nullopt, {}};
  CHECK(Status.History.append(Term{1}, {0}).has_value());
  CHECK(Status.History.append(Term{2}, {100}).has_value());
  return Status;
}

/// A promotion that has sent its claim; the call of the claim is 1.
Promotion claiming() {
  Promotion P("h1", "1");
  P.setMembers({"db-a", "db-b", "db-c"}, Start);
  P.handle(StatusSeen{secondTerm()}, Start);
  P.handle(MemberSeen{fencedPoll("db-b", Term{2}, 100)}, Start);
  P.handle(MemberSeen{fencedPoll("db-c", Term{2}, 100)}, Start);
  const auto Actions = P.handle(EvidenceCombined{Term{2}, true}, Start);
  REQUIRE(Actions.size() == 1);
  REQUIRE(std::holds_alternative<ClaimStatus>(Actions[0]));
  return P;
}

/// Answers \p Actions and those that follow from the answers. Members answer
/// polls with \p Polls.
void fence(Promotion &P, std::vector<PromotionAction> Actions,
           const std::map<std::string, ReplicaPoll> &Polls) {
  for (std::size_t I = 0; I < Actions.size(); ++I) {
    std::vector<PromotionAction> More;
    if (const auto *Poll = std::get_if<PollMember>(&Actions[I]))
      More = P.handle(MemberPolled{Poll->Call, Polls.at(Poll->Member)}, Start);
    else if (const auto *End = std::get_if<EndControlSessions>(&Actions[I]))
      More = P.handle(MemberAnswered{End->Call, true}, Start);
    else if (const auto *Fence = std::get_if<FenceMember>(&Actions[I]))
      More = P.handle(MemberAnswered{Fence->Call, true}, Start);
    Actions.insert(Actions.end(), More.begin(), More.end());
  }
}

bool pollsAfterWait(Promotion &P) {
  for (const PromotionAction &A : P.handle(Tick{}, Start + 400ms))
    if (std::holds_alternative<PollMember>(A))
      return P.describe(Start + 400ms).find("step 3") != std::string::npos;
  return false;
}

} // namespace

// Guards against counting a member as fenced that the platform may rebuild at
// any time, which would point it at the primary again.
TEST_CASE("a member with lost writes is not counted as fenced", "[fencing]") {
  const ReplicaPoll Good = fencedPoll("db-b", Term{2}, 100);
  for (const std::uint64_t End : {100, 101}) {
    Promotion P = claiming();
    fence(P, P.handle(UpdateAnswered{1, UpdateOutcome::Done, 8}, Start),
          {{"db-b", Good}, {"db-c", fencedPoll("db-c", Term{1}, End)}});
    CHECK(pollsAfterWait(P) == (End == 100));
  }
}

// Guards against keeping a leaving primary that can be replaced, and against
// replacing it without a member that follows it and is not leaving itself.
TEST_CASE("a leaving primary is replaced if a member stays", "[fencing]") {
  const auto Claims = [](std::set<std::string> Leaving,
                         const std::string &Follows) {
    Promotion P("h1", "1");
    P.setMembers({"db-a", "db-b", "db-c"}, Start, std::move(Leaving));
    P.handle(StatusSeen{secondTerm()}, Start);
    ReplicaPoll Primary = fencedPoll("db-a", Term{2}, 100);
    Primary.InRecovery = false;
    P.handle(MemberSeen{Primary}, Start);
    std::vector<PromotionAction> Actions;
    for (const char *Name : {"db-b", "db-c"}) {
      ReplicaPoll Replica = fencedPoll(Name, Term{2}, 90);
      Replica.PrimaryConninfoSet = Replica.ReceiverRunning = true;
      Replica.Follows = Follows;
      const auto More = P.handle(MemberSeen{Replica}, Start);
      Actions.insert(Actions.end(), More.begin(), More.end());
    }
    return std::ranges::any_of(Actions, [](const PromotionAction &A) {
      return std::holds_alternative<ClaimStatus>(A);
    });
  };
  CHECK(Claims({"db-a"}, "db-a"));
  CHECK(Claims({"db-a", "db-c"}, "db-a"));
  CHECK_FALSE(Claims({}, "db-a"));
  CHECK_FALSE(Claims({"db-b", "db-c"}, "db-a"));
  CHECK_FALSE(Claims({"db-a", "db-b", "db-c"}, "db-a"));
  CHECK_FALSE(Claims({"db-a"}, ""));
}

// Guards against a promoter that acts on an answer to an earlier attempt, or
// after its claim's deadline.
TEST_CASE("late answers are ignored", "[fencing]") {
  Promotion P = claiming();
  const auto Expired =
      P.handle(UpdateAnswered{1, UpdateOutcome::Done, 8}, Start + 1500ms);
  REQUIRE_FALSE(Expired.empty());
  CHECK(std::get<GiveUp>(Expired[0]).Reason == GiveUpReason::PlatformFailed);
  CHECK_FALSE(P.isPromoting());
  CHECK(P.handle(UpdateAnswered{1, UpdateOutcome::Done, 8}, Start + 1500ms)
            .empty());
}

// Guards against treating a lost answer as a failure: the claim may have been
// stored, which reading the status shows.
TEST_CASE("the status is read back after a lost answer to a claim",
          "[fencing]") {
  Promotion P = claiming();
  const auto Actions =
      P.handle(UpdateAnswered{1, UpdateOutcome::Unknown}, Start + 10ms);
  REQUIRE(Actions.size() == 1);
  TermStatus Claimed = secondTerm();
  Claimed.Version = 8;
  Claimed.Claim = PromotionClaim{"h1/1/1", "h1"};
  const auto Next = P.handle(
      StatusRead{std::get<ReadStatus>(Actions[0]).Call, Claimed}, Start + 20ms);
  REQUIRE(Next.size() == 2);
  CHECK(std::holds_alternative<EndControlSessions>(Next[0]));
}

// Guards against wrong names of reasons in logs.
TEST_CASE("each reason for giving up has its name in logs") {
  CHECK(toString(GiveUpReason::ClaimConflict) == "claim-conflict");
  CHECK(toString(GiveUpReason::NoQuorum) == "no-quorum");
  CHECK(toString(GiveUpReason::NotCaughtUp) == "not-caught-up");
}
