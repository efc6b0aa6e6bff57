#include "statements/sessionstate.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

TEST_CASE("the last commit of a session never moves back",
          "[read-your-writes]") {
  SessionState Session;
  Session.recordCommit({Term{3}, LogPosition{10}});
  Session.recordCommit({Term{3}, LogPosition{9}});
  CHECK(Session.lastCommit() == Position{Term{3}, LogPosition{10}});
  Session.recordCommit({Term{4}, LogPosition{2}});
  CHECK(Session.lastCommit() == Position{Term{4}, LogPosition{2}});
}

TEST_CASE("the end of a transaction clears its flags",
          "[transaction-isolation]") {
  SessionState Session;
  REQUIRE(Session.begin(true));
  CHECK(Session.isReadOnly());
  CHECK_FALSE(Session.begin(false));
  Session.markTransactionOpen();
  Session.markWritten();
  Session.failTransaction();
  CHECK(Session.phase() == TransactionPhase::Failed);
  Session.endTransaction();
  CHECK_FALSE(Session.inTransaction());
  CHECK_FALSE(Session.isReadOnly());
  CHECK_FALSE(Session.hasWritten());
}

// There can be thousands of idle sessions, so each must stay small.
TEST_CASE("the number of values and prepared statements of a session is "
          "limited") {
  SessionState Session;
  for (std::size_t I = 0; I < SessionState::MaxValues; ++I)
    REQUIRE(Session.setValue("v" + std::to_string(I), "x"));
  CHECK_FALSE(Session.setValue("one-more", "x"));
  CHECK(Session.setValue("v0", "y"));
  for (std::size_t I = 0; I < SessionState::MaxPrepared; ++I)
    REQUIRE(Session.prepare("p" + std::to_string(I), {"READ q", false}));
  CHECK_FALSE(Session.prepare("one-more", {"READ q", false}));
  CHECK(Session.deallocate("p0"));
  CHECK_FALSE(Session.deallocate("p0"));
  CHECK(Session.findPrepared("p0") == nullptr);
}

// Guards against a count that drifts when entries are replaced or removed, so
// that a session is refused memory that it does not use.
TEST_CASE("the memory of a session's state is counted") {
  constexpr std::size_t Entry = SessionState::EntryBytes;
  SessionState Session;
  CHECK(Session.bytes() == 0);
  REQUIRE(Session.setValue("name", std::string(1000, 'x')));
  CHECK(Session.bytes() == Entry + 4 + 1000);
  REQUIRE(Session.setValue("name", "short"));
  CHECK(Session.bytes() == Entry + 4 + 5);
  REQUIRE(Session.prepare("p", {std::string(500, 'x'), false}));
  REQUIRE(Session.prepare("p", {std::string(600, 'x'), true}));
  CHECK(Session.bytes() == 2 * Entry + 4 + 5 + 1 + 600);
  REQUIRE(Session.deallocate("p"));
  CHECK(Session.bytes() == Entry + 4 + 5);
}
