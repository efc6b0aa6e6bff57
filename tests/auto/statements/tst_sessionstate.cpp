#include "statements/sessionstate.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

TEST_CASE("a session's commits only move forward", "[read-your-writes]") {
  SessionState Session;
  Session.committedAt({Term{3}, LogPosition{10}});
  Session.committedAt({Term{3}, LogPosition{9}});
  CHECK(Session.lastCommit() == Position{Term{3}, LogPosition{10}});
  Session.committedAt({Term{4}, LogPosition{2}});
  CHECK(Session.lastCommit() == Position{Term{4}, LogPosition{2}});
}

TEST_CASE("a transaction's marks end with it", "[transaction-isolation]") {
  SessionState Session;
  REQUIRE(Session.begin(true));
  CHECK(Session.isReadOnly());
  CHECK_FALSE(Session.begin(false));
  Session.opened();
  Session.wrote();
  Session.failTransaction();
  CHECK(Session.phase() == TransactionPhase::Failed);
  Session.endTransaction();
  CHECK_FALSE(Session.inTransaction());
  CHECK_FALSE(Session.isReadOnly());
  CHECK_FALSE(Session.hasWritten());
}

// Idle sessions number in the thousands; each must stay small.
TEST_CASE("what a session may keep is bounded") {
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
