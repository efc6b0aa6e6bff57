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

// Guards against positions that PostgreSQL prints but the proxy misreads.
TEST_CASE("log positions are read and printed as PostgreSQL does") {
  CHECK(LogPosition::parse("0/16B3748").value().Value == 0x16B3748);
  CHECK(LogPosition::parse("FFFFFFFF/FFFFFFFF").value().toString() ==
        "FFFFFFFF/FFFFFFFF");
  for (const char *Bad : {"", "/", "0/", "0/0x1", "0/123456789", "1-2", "0/1 "})
    CHECK_FALSE(LogPosition::parse(Bad).has_value());
}

// Guards against older data after a failover: a lost write taken for one that
// survived.
TEST_CASE("a write survived if it is below all later starts",
          "[read-your-writes]") {
  const Lineage History = threeTerms();
  CHECK(History.fate({Term{1}, {90}}) == WriteFate::Survived);
  CHECK(History.fate({Term{1}, {91}}) == WriteFate::Lost);
  CHECK(History.fate({Term{2}, {91}}) == WriteFate::Lost);
  CHECK(History.fate({Term{4}, {500}}) == WriteFate::Survived);
  CHECK(History.fate({Term{3}, {1}}) == WriteFate::Unknown);
  CHECK(History.fate({Term{5}, {1}}) == WriteFate::Unknown);
}

// Guards against a replica that serves a read without the session's write.
TEST_CASE("the read rule compares the token with the replica",
          "[read-your-writes]") {
  const Lineage History = threeTerms();
  const auto Judge = [&](Position Seen, ReplicaState Replica) {
    return judgeRead({Seen, std::nullopt}, Replica, std::nullopt, History);
  };
  const ReplicaState Current{Term{4}, {200}};
  CHECK(Judge({Term{4}, {200}}, Current) == ReadVerdict::MayServe);
  CHECK(Judge({Term{4}, {201}}, Current) == ReadVerdict::Behind);
  CHECK(Judge({Term{1}, {90}}, Current) == ReadVerdict::MayServe);
  CHECK(Judge({Term{1}, {91}}, Current) == ReadVerdict::WriteLost);
  CHECK(Judge({Term{3}, {1}}, Current) == ReadVerdict::WriteLost);
  CHECK(Judge({Term{5}, {1}}, Current) == ReadVerdict::TermUnknown);
  CHECK(Judge({Term{4}, {80}}, {Term{5}, {200}}) == ReadVerdict::TermUnknown);
  CHECK(Judge({Term{4}, {95}}, {Term{2}, {99}}) == ReadVerdict::Behind);
  // It has replayed writes that were lost.
  CHECK(Judge({Term{1}, {10}}, {Term{2}, {95}}) == ReadVerdict::Behind);
  CHECK(Judge({Term{1}, {10}}, {Term{2}, {90}}) == ReadVerdict::MayServe);
}

// Guards against data older than a caller accepts, and a wrong age after
// answers out of order or a change of term.
TEST_CASE("the age counts from the newest replayed poll of the primary",
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
  CHECK(judgeRead(Recent, Replica, Duration(1s), History) ==
        ReadVerdict::MayServe);
  CHECK(judgeRead(Recent, Replica, Duration(1001ms), History) ==
        ReadVerdict::Behind);
  CHECK(judgeRead(Recent, Replica, std::nullopt, History) ==
        ReadVerdict::Behind);
}
