#include "server/groupqueries.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

Group members() {
  Group Members;
  Members.Name = "orders";
  Members.User = "app";
  Members.Upstreams = {{"a", "127.0.0.1", 5001, "d1", 16, 2},
                       {"b", "127.0.0.1", 5002, "d2", 16, 2}};
  return Members;
}

StatementResult row(std::vector<std::optional<std::string>> Cells) {
  StatementResult Result;
  Result.Rows.push_back(std::move(Cells));
  return Result;
}

} // namespace

// Guards against counting a replica for write permission although it replicates
// from a server outside the group.
TEST_CASE("a poll reports role, timeline, positions and followed primary",
          "[fencing]") {
  const Group Members = members();
  const auto Replica =
      readPoll(row({"t", "0/200", "0/100", std::nullopt, "3", "2",
                    conninfoOf(Members.Upstreams[0], Members)}),
               Members, "b", {}, Term{});
  REQUIRE(Replica.has_value());
  CHECK(Replica->InRecovery);
  CHECK(Replica->ReceiverRunning);
  CHECK(Replica->Timeline == Term{3});
  CHECK(Replica->ReceivePosition == LogPosition{0x200});
  CHECK(Replica->ReplayPosition == LogPosition{0x100});
  CHECK(Replica->Follows == "a");
  const auto Stranger = readPoll(row({"t", "0/200", "0/100", std::nullopt, "3",
                                      "2", "host=127.0.0.1 port=5999"}),
                                 Members, "b", {}, Term{});
  CHECK(Stranger->PrimaryConninfoSet);
  CHECK(Stranger->Follows.empty());
}

// Guards against losing the timeline of a fenced replica, which has no running
// receiver. A promotion would then have no candidates.
TEST_CASE("a fenced replica keeps the timeline seen before the fence",
          "[fencing]") {
  const auto Fenced = readPoll(
      row({"t", "0/200", "0/200", std::nullopt, std::nullopt, "2", ""}),
      members(), "b", {}, Term{3});
  REQUIRE(Fenced.has_value());
  CHECK(Fenced->isFenced());
  CHECK(Fenced->Timeline == Term{3});
}

// Guards against reading a position from an error, or from the answer of a
// database in the wrong role.
TEST_CASE("a position is read only from an answer with a timeline",
          "[read-your-writes]") {
  const auto Primary =
      readPosition(row({"1/0000000A", "00000004000000010000000A"}));
  REQUIRE(Primary.has_value());
  CHECK(Primary->InTerm == Term{4});
  CHECK(Primary->Log == LogPosition{0x10000000AULL});
  StatementResult Failed;
  Failed.Failure = SqlError{"55000", "recovery is in progress"};
  CHECK_FALSE(readPosition(Failed).has_value());
  CHECK_FALSE(readReplay(row({"0/1", std::nullopt})).has_value());
}
