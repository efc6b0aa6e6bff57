#include "base/strictjson.h"
#include "telemetry/spanwriter.h"
#include "telemetry/tracecontext.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace lavenderdale;

namespace {

const std::string Valid =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

TEST_CASE("a valid traceparent is continued by a child span") {
  std::mt19937_64 Random(1);
  const auto Caller = TraceContext::parse(Valid);
  REQUIRE(Caller.has_value());
  CHECK(Caller->format() == Valid);
  const TraceContext Child = TraceContext::accept(Valid, Random, 0);
  CHECK(Child.traceId() == Caller->traceId());
  CHECK(Child.parentId() == Caller->spanId());
  CHECK(Child.spanId() != Caller->spanId());
  CHECK(Child.isSampled());
}

// Guards against callers that break traces, or whole requests, by a header.
TEST_CASE("an invalid traceparent starts a new trace") {
  std::mt19937_64 Random(2);
  for (const std::string &Header : std::initializer_list<std::string>{
           std::string(), Valid.substr(1), Valid + "-00",
           "ff" + Valid.substr(2),
           "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
           "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
           "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
           "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}) {
    CAPTURE(Header);
    CHECK_FALSE(TraceContext::parse(Header).has_value());
    const TraceContext Root = TraceContext::accept(Header, Random, 1);
    CHECK(Root.parentId().empty());
    CHECK(Root.isSampled());
    CHECK(TraceContext::parse(Root.format()).has_value());
  }
  CHECK(TraceContext::parse("01" + Valid.substr(2) + "-more").has_value());
}

// Guards against spans that vanish at the end of the process without a count.
TEST_CASE("every sampled span is written or counted as dropped") {
  const std::string Path = "tst_telemetry_spans.json";
  std::remove(Path.c_str());
  std::mt19937_64 Random(3);
  constexpr std::size_t Count = 2000;
  std::uint64_t Dropped = 0;
  {
    auto Writer = SpanWriter::open(Path, "host-1", 100);
    REQUIRE(Writer.has_value());
    for (std::size_t I = 0; I < Count; ++I)
      Writer.value()->write({TraceContext::startTrace(Random, 1),
                             "forward",
                             {},
                             std::chrono::nanoseconds(5),
                             {{"key", "ldk_a_b"}}});
    Writer.value()->write(
        {TraceContext::startTrace(Random, 0), "x", {}, {}, {}});
    Dropped = Writer.value()->dropped();
  }
  std::ifstream File(Path);
  std::size_t Lines = 0;
  for (std::string Line; std::getline(File, Line); ++Lines) {
    const Result<Json::Value> Value = parseStrictJson(Line);
    REQUIRE(Value.has_value());
    REQUIRE(Value.value()["host"].asString() == "host-1");
    REQUIRE(Value.value()["durationNs"].asInt() == 5);
    REQUIRE(Value.value()["attributes"]["key"].asString() == "[key]");
  }
  CHECK(Lines + Dropped == Count);
  CHECK_FALSE(SpanWriter::open("/nonexistent/x", "host-1").has_value());
}
