#include "base/errorkind.h"
#include "failover/departedreplicas.h"
#include "failover/promotionvote.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const PromotionLimits Limits;
const PrimaryReport Suspects{true, 2000ms};
const PrimaryReport Trusts{false, 100ms};

} // namespace

TEST_CASE("hosts that suspect the primary act at once, ordered by rank",
          "[fencing]") {
  const std::vector<PrimaryReport> Others(5, Suspects);
  CHECK(shouldPromote(Others, 6, 6, 0, 0ms, Limits));
  CHECK_FALSE(shouldPromote(Others, 6, 6, 2, 0ms, Limits));
  CHECK(shouldPromote(Others, 6, 6, 2, Limits.RankDelay * 2, Limits));
}

// A network partition between some hosts and the primary must not lead to its
// replacement while other hosts reach it.
TEST_CASE("a primary that one host reaches is not replaced", "[fencing]") {
  std::vector<PrimaryReport> Others(5, Suspects);
  Others[4] = Trusts;
  CHECK_FALSE(shouldPromote(Others, 6, 6, 0, 1h, Limits));
}

// A host that is cut off from all others cannot reach the primary either.
TEST_CASE("a minority waits longer than restarts of other hosts take",
          "[fencing]") {
  CHECK_FALSE(shouldPromote({}, 1, 6, 0, 1s, Limits));
  CHECK(shouldPromote({}, 1, 6, 0, Limits.MinoritySuspicionTime, Limits));
  CHECK(shouldPromote({}, 1, 1, 0, 0ms, Limits));
}

// Guards against one host without a path to the primary that replaces it while
// the other hosts have only not used it lately.
TEST_CASE("a host that is alone with its suspicion waits longer", "[fencing]") {
  const std::vector<PrimaryReport> Silent(5, PrimaryReport{});
  CHECK_FALSE(shouldPromote(Silent, 6, 6, 0, 1s, Limits));
  CHECK(shouldPromote(Silent, 6, 6, 0, Limits.MinoritySuspicionTime, Limits));
}

// Guards against a fleet of hundreds of hosts in which a failed primary is
// replaced only after the delays of all hosts that come before by name, among
// them those of a domain that is cut off, and against a majority that is never
// reached because most hosts had no statement for the group lately.
TEST_CASE("a large fleet replaces a primary as soon as a few hosts suspect it",
          "[fencing]") {
  constexpr std::size_t Hosts = 494;
  constexpr std::size_t CutOff = 71;
  std::vector<PrimaryReport> Others(Hosts - CutOff - 1, PrimaryReport{});
  Others[0] = Suspects;
  CHECK(shouldPromote(Others, Hosts, Hosts, 1, Limits.RankDelay, Limits));
  CHECK(shouldPromote(Others, Hosts, Hosts, Hosts - 1, Limits.RankDelay * 8,
                      Limits));
}

TEST_CASE("the member with the highest received position is promoted",
          "[fencing]") {
  const auto At = [](std::uint64_t InTerm, std::uint64_t Number) {
    return Position{Term{InTerm}, LogPosition{Number}};
  };
  const std::vector<PromotionCandidate> Members{
      {"a", At(2, 5), false}, {"b", At(2, 9), false}, {"c", At(1, 50), false}};
  CHECK(choosePromotionCandidate(Members) == "b");
  const std::vector<PromotionCandidate> Leaving{{"a", At(2, 5), false},
                                                {"b", At(2, 9), true}};
  CHECK(choosePromotionCandidate(Leaving) == "a");
  CHECK_FALSE(choosePromotionCandidate({}));
}

namespace {

Position at(std::uint64_t InTerm, std::uint64_t Number) {
  return Position{Term{InTerm}, LogPosition{Number}};
}

} // namespace

// Guards against the loss of acknowledged commits: the only replica that had
// received them was slow to answer, and the other one was promoted.
TEST_CASE("a replica is promoted only if it has all acknowledged commits",
          "[fencing]") {
  const CommitGuarantee OneOfTwo{1, 2, {}};
  const PromotionCandidate Deaf{"deaf", at(3, 100), false};
  const PromotionCandidate Whole{"whole", at(3, 140), false};
  const auto Choose = [](std::vector<PromotionCandidate> Members,
                         const CommitGuarantee &Guarantee) {
    const Result<std::string> Chosen =
        chooseCompleteCandidate(Members, Guarantee);
    return Chosen ? Chosen.value()
                  : std::string(errorAnswer(Chosen.error().Kind).Name);
  };
  const std::string TooFew = errorAnswer(ErrorKind::Unavailable).Name.data();
  const std::string Behind = errorAnswer(ErrorKind::ReplicaBehind).Name.data();
  CHECK(Choose({}, OneOfTwo) == TooFew);
  CHECK(Choose({Deaf}, OneOfTwo) == TooFew);
  CHECK(Choose({Whole}, OneOfTwo) == TooFew);
  CHECK(Choose({Deaf, Whole}, OneOfTwo) == "whole");
  // Two of three replicas have each commit, so one may be missing.
  CHECK(Choose({Deaf, Whole}, {2, 3, {}}) == "whole");
  CHECK(Choose({Deaf}, {2, 3, {}}) == TooFew);

  SECTION("a leaving replica counts, and is promoted if it has the most") {
    PromotionCandidate Leaving = Whole;
    Leaving.Leaving = true;
    CHECK(Choose({Deaf, Leaving}, OneOfTwo) == "whole");
    Leaving.Received = Deaf.Received;
    CHECK(Choose({Deaf, Leaving}, OneOfTwo) == "deaf");
  }
  SECTION("a replica that may not be promoted is waited for") {
    PromotionCandidate Refused = Whole;
    Refused.Eligible = false;
    CHECK(Choose({Deaf, Refused}, OneOfTwo) == Behind);
    Refused.Received = Deaf.Received;
    CHECK(Choose({Deaf, Refused}, OneOfTwo) == "deaf");
  }
  SECTION("commits of a replica that is gone are required") {
    CHECK(Choose({Deaf}, {1, 1, at(3, 101)}) == Behind);
    CHECK(Choose({Deaf}, {1, 1, at(3, 100)}) == "deaf");
  }
  SECTION("a primary is not replaced") {
    PromotionCandidate Primary = Deaf;
    Primary.IsPrimary = true;
    CHECK(Choose({Primary, Whole}, OneOfTwo) == TooFew);
  }
}

// Guards against a promotion that passes over the commits of a replica that
// crashed shortly before the primary did.
TEST_CASE(
    "the commits of a departed replica are accounted for by a later proof",
    "[fencing]") {
  BootTime Now = BootTime{} + 1h;
  VerifiedPositions Proved;
  DepartedReplicas Departed;
  Departed.present("a", 1, Now);
  Departed.present("b", 1, Now);
  Proved.add(Now, at(3, 50));
  Departed.gone("a", Now += 1s);
  Departed.update(Proved);
  CHECK(Departed.unaccounted() == 1);
  CHECK_FALSE(Departed.required());

  SECTION("a proof after it shows what the others have to have") {
    Proved.add(Now += 1s, at(3, 80));
    Departed.update(Proved);
    CHECK(Departed.unaccounted() == 0);
    CHECK(Departed.required() == at(3, 80));
  }
  SECTION("the same process accounts for itself when it is back") {
    Departed.present("a", 1, Now += 1s);
    CHECK(Departed.unaccounted() == 0);
  }
  SECTION("another process under its name does not") {
    Departed.present("a", 2, Now += 1s);
    CHECK(Departed.unaccounted() == 1);
    Departed.present("b", 2, Now);
    CHECK(Departed.unaccounted() == 2);
  }
  SECTION("a primary leaves nothing behind") {
    Departed.leads("b");
    Departed.gone("b", Now);
    CHECK(Departed.unaccounted() == 1);
  }
}

// Guards against the promotion of a replica without acknowledged commits by a
// host that started after the replica that had received them was lost.
TEST_CASE("a host that starts knows the replicas that are gone from the record",
          "[fencing]") {
  BootTime Now = BootTime{} + 1h;
  DepartedReplicas Before;
  for (const char *Id : {"p", "a", "b"})
    Before.present(Id, 1, Now);
  Before.leads("p");
  const MemberRecord Record = Before.record();
  CHECK(Record == MemberRecord{{{"p", 1}, {"a", 1}, {"b", 1}}, "p", {}});
  VerifiedPositions Proved;
  DepartedReplicas Departed;

  SECTION("whether the upstreams are listed before or after the record") {
    const bool ListedFirst = GENERATE(true, false);
    if (!ListedFirst)
      Departed.restore(Record, Now);
    Departed.present("p", 1, Now);
    Departed.present("b", 1, Now);
    if (ListedFirst)
      Departed.restore(Record, Now);
    CHECK(Departed.unaccounted() == 1);
    CHECK(Departed.record() == Record);
    Proved.add(Now + 1s, at(3, 80));
    Departed.update(Proved);
    CHECK(Departed.unaccounted() == 0);
    CHECK(Departed.record() ==
          MemberRecord{{{"p", 1}, {"b", 1}}, "p", at(3, 80)});
  }
  SECTION("a primary that is gone leaves nothing behind") {
    Departed.present("a", 1, Now);
    Departed.present("b", 1, Now);
    Departed.restore(Record, Now);
    CHECK(Departed.unaccounted() == 0);
  }
  SECTION("a replica that started again may have lost its log") {
    Departed.restore(Record, Now);
    for (const char *Id : {"p", "a", "b"})
      Departed.present(Id, *Id == 'a' ? 2 : 1, Now);
    CHECK(Departed.unaccounted() == 1);
  }
  SECTION("another host may have accounted for it") {
    Departed.restore(Record, Now);
    Departed.present("p", 1, Now);
    Departed.present("b", 1, Now);
    Departed.restore({{{"p", 1}, {"b", 1}}, "p", at(3, 70)}, Now);
    CHECK(Departed.unaccounted() == 0);
    CHECK(Departed.required() == at(3, 70));
    Departed.restore({{{"p", 1}, {"b", 1}}, "p", at(3, 60)}, Now);
    CHECK(Departed.required() == at(3, 70));
  }
  SECTION("a record that was lost, damaged or set back accounts for nothing") {
    Departed.restore({Record.Processes, "p", at(3, 50)}, Now);
    Departed.present("p", 1, Now);
    Departed.present("b", 1, Now);
    for (const MemberRecord &Each :
         {MemberRecord{}, MemberRecord{{{"p", 1}, {"b", 1}}, "p", at(3, 40)}}) {
      Departed.restore(Each, Now);
      CHECK(Departed.unaccounted() == 1);
      CHECK(Departed.required() == at(3, 50));
    }
  }
}

// Guards against a successor that stops receiving after it was chosen, so that
// it leads without commits that the leaving primary acknowledged since.
TEST_CASE("the successor of a demoted primary has its whole log", "[fencing]") {
  const PromotionCandidate Behind{"behind", at(3, 139), false};
  PromotionCandidate Whole{"whole", at(3, 140), false};
  CHECK_FALSE(chooseSuccessor({}, at(3, 140)));
  CHECK_FALSE(
      chooseSuccessor(std::vector<PromotionCandidate>{Behind}, at(3, 140)));
  CHECK(chooseSuccessor(std::vector<PromotionCandidate>{Behind, Whole},
                        at(3, 140)) == "whole");
  Whole.Eligible = false;
  CHECK_FALSE(chooseSuccessor(std::vector<PromotionCandidate>{Behind, Whole},
                              at(3, 140)));
}

// Guards against the promotion of a former primary that kept its log of an
// older term, while the primary of the newer term may come back.
TEST_CASE("a member of an older term is promoted only after a wait",
          "[fencing]") {
  CHECK(mayLeadAfter(at(3, 1), Term{3}, 0ms, Limits));
  CHECK(mayLeadAfter(at(4, 1), Term{3}, 0ms, Limits));
  CHECK_FALSE(mayLeadAfter(at(2, 900), Term{3}, 7s, Limits));
  CHECK(mayLeadAfter(at(2, 900), Term{3}, Limits.OlderTermWait, Limits));
  CHECK(mayLeadAfter(at(0, 0), Term{}, 0ms, Limits));
}

// Guards against two members that are ordered to lead at the same time.
TEST_CASE("the member that was ordered before is preferred if it is complete",
          "[fencing]") {
  const Position End{Term{1}, LogPosition{7}};
  const Position Behind{Term{1}, LogPosition{6}};
  std::vector<PromotionCandidate> Candidates = {{"a", End, false, false, true},
                                                {"b", End, false, false, true}};
  CHECK(chooseSuccessor(Candidates, End) == "a");
  CHECK(chooseSuccessor(Candidates, End, "b") == "b");
  Candidates[1].Received = Behind;
  CHECK(chooseSuccessor(Candidates, End, "b") == "a");
}
