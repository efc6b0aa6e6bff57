#include "base/strictjson.h"
#include "server/executionrequest.h"
#include "server/resultjson.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

// Guards against members that are lost when a request is forwarded, and against
// deadlines that depend on the clocks of both hosts.
TEST_CASE("a forwarded request is parsed as it was written", "[answers]") {
  const TimePoint Here{std::chrono::hours(5)};
  const TimePoint There{std::chrono::hours(77)};
  ExecutionRequest Sent;
  Sent.Action = Operation::Run;
  Sent.Group = "orders";
  Sent.Upstream = "orders-2";
  Sent.Role = UpstreamRole::Replica;
  Sent.Workspace = "federation";
  Sent.Class = TrafficClass::Urgent;
  Sent.QueueLength = 7;
  Sent.Weight = 3;
  Sent.Deadline = Here + std::chrono::milliseconds(1500);
  Sent.Sql = {"SELECT $1", {"a", std::nullopt}};
  Sent.ReadOnly = true;
  Sent.Seen = Position{Term{3}, LogPosition{0xFFFFFFFFFFULL}};
  Sent.AcceptedAge = std::chrono::milliseconds(250);
  Sent.WaitUntil = Here + std::chrono::milliseconds(150);
  Sent.Mode = Acknowledge::Replica;
  Sent.IdempotencyKey = "k";
  Sent.Transaction = "t";
  Sent.TraceParent = "p";
  const auto Text = writeCompactJson(Sent.toJson(Here));
  const auto Read =
      ExecutionRequest::fromJson(parseStrictJson(Text).value(), There);
  REQUIRE(Read.has_value());
  const ExecutionRequest &Got = Read.value();
  CHECK(Got.Deadline == There + std::chrono::milliseconds(1500));
  CHECK(Got.WaitUntil == There + std::chrono::milliseconds(150));
  CHECK(Got.Seen == Sent.Seen);
  CHECK(Got.AcceptedAge == Sent.AcceptedAge);
  CHECK(writeCompactJson(Got.toJson(There)) == Text);
}

// Guards against answers that are invalid JSON or change the type of a value.
TEST_CASE("result values are converted to JSON by their column types",
          "[answers]") {
  constexpr std::uint32_t Int8 = 20;
  constexpr std::uint32_t Float8 = 701;
  constexpr std::uint32_t Text = 25;
  StatementResult Result;
  Result.Columns = {{"n", Int8}, {"f", Float8}, {"t", Text}};
  Result.Rows = {{"12", "NaN", "a\"b\n"}, {std::nullopt, "1.5", ""}};
  Result.Affected = 2;
  const auto Parsed = parseStrictJson(resultToJson(Result));
  REQUIRE(Parsed.has_value());
  CHECK(Parsed.value()["rows"][0][0].asInt() == 12);
  CHECK(Parsed.value()["rows"][0][1].asString() == "NaN");
  CHECK(Parsed.value()["rows"][0][2].asString() == "a\"b\n");
  CHECK(Parsed.value()["rows"][1][0].isNull());
  CHECK(Parsed.value()["rows"][1][1].asDouble() == 1.5);
}
