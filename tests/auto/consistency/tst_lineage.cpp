#include "consistency/lineage.h"
#include "consistency/readrule.h"
#include "consistency/replicaage.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;

/// Terms 1, 2 and 4; the change to 4 started below the one to 2.
Lineage threeTerms() {
  Lineage History;
  CHECK(History.append(Term{1}, {0}).has_value());
  CHECK(History.append(Term{2}, {100}).has_value());
  CHECK(History.append(Term{4}, {90}).has_value());
  CHECK_FALSE(History.append(Term{4}, {200}).has_value());
  return History;
}

} // namespace

// Guards against misreading positions in PostgreSQL's notation.
TEST_CASE("log positions are read and printed as PostgreSQL does") {
  CHECK(LogPosition::parse("0/16B3748").value().Value == 0x16B3748);
  CHECK(LogPosition::parse("FFFFFFFF/FFFFFFFF").value().toString() ==
        "FFFFFFFF/FFFFFFFF");
  for (const char *Bad : {"", "/", "0/", "0/0x1", "0/123456789", "1-2", "0/1 "})
    CHECK_FALSE(LogPosition::parse(Bad).has_value());
}

// Guards against serving older data after a failover because a lost write is
// taken for one that survived.
TEST_CASE("a write survived if no later term starts below it",
          "[read-your-writes]") {
  const Lineage History = threeTerms();
  CHECK(History.writeStatus({Term{1}, {90}}) == WriteStatus::Survived);
  CHECK(History.writeStatus({Term{1}, {91}}) == WriteStatus::Lost);
  CHECK(History.writeStatus({Term{2}, {91}}) == WriteStatus::Lost);
  CHECK(History.writeStatus({Term{4}, {500}}) == WriteStatus::Survived);
  CHECK(History.writeStatus({Term{3}, {1}}) == WriteStatus::Unknown);
  CHECK(History.writeStatus({Term{5}, {1}}) == WriteStatus::Unknown);
}

// Guards against a replica that serves a read without the session's write.
TEST_CASE("a replica serves a read only after replaying the token's position",
          "[read-your-writes]") {
  const Lineage History = threeTerms();
  const auto Evaluate = [&](Position Seen, ReplicaState Replica) {
    return evaluateRead({Seen, std::nullopt}, Replica, std::nullopt, History);
  };
  const ReplicaState Current{Term{4}, {200}};
  CHECK(Evaluate({Term{4}, {200}}, Current) == ReadEligibility::MayServe);
  CHECK(Evaluate({Term{4}, {201}}, Current) == ReadEligibility::Behind);
  CHECK(Evaluate({Term{1}, {90}}, Current) == ReadEligibility::MayServe);
  CHECK(Evaluate({Term{1}, {91}}, Current) == ReadEligibility::WriteLost);
  CHECK(Evaluate({Term{3}, {1}}, Current) == ReadEligibility::WriteLost);
  CHECK(Evaluate({Term{5}, {1}}, Current) == ReadEligibility::TermUnknown);
  CHECK(Evaluate({Term{4}, {80}}, {Term{5}, {200}}) ==
        ReadEligibility::TermUnknown);
  CHECK(Evaluate({Term{4}, {95}}, {Term{2}, {99}}) == ReadEligibility::Behind);
  // The replica has replayed writes that were lost.
  CHECK(Evaluate({Term{1}, {10}}, {Term{2}, {95}}) == ReadEligibility::Behind);
  CHECK(Evaluate({Term{1}, {10}}, {Term{2}, {90}}) ==
        ReadEligibility::MayServe);
}

// Guards against data older than a client accepts, and against a wrong age
// after answers that arrive out of order or a change of term.
TEST_CASE("the age is measured from the newest replayed poll of the primary",
          "[read-your-writes]") {
  ReplicaAge Ages;
  Ages.primaryPolled(Start, {Term{1}, {100}});
  Ages.primaryPolled(Start + 100ms, {Term{1}, {200}});
  Ages.primaryPolled(Start + 50ms, {Term{1}, {150}});
  Ages.primaryPolled(Start + 200ms, {Term{1}, {200}});
  const TimePoint Now = Start + 300ms;
  CHECK_FALSE(Ages.age({Term{1}, {99}}, Now).has_value());
  CHECK(Ages.age({Term{1}, {199}}, Now) == Duration(300ms));
  CHECK(Ages.age({Term{1}, {200}}, Now) == Duration(100ms));
  CHECK_FALSE(Ages.age({Term{2}, {300}}, Now).has_value());
  for (std::uint64_t I = 0; I < 2 * ReplicaAge::MaxPolls; ++I)
    Ages.primaryPolled(Now + 1ms * I, {Term{1}, {300 + I}});
  CHECK_FALSE(Ages.age({Term{1}, {300}}, Now).has_value());

  const Lineage History = threeTerms();
  const ReadDemand Recent{std::nullopt, Duration(1s)};
  const ReplicaState Replica{Term{4}, {1}};
  CHECK(evaluateRead(Recent, Replica, Duration(1s), History) ==
        ReadEligibility::MayServe);
  CHECK(evaluateRead(Recent, Replica, Duration(1001ms), History) ==
        ReadEligibility::Behind);
  CHECK(evaluateRead(Recent, Replica, std::nullopt, History) ==
        ReadEligibility::Behind);
}
