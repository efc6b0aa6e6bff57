#include "base/objectreader.h"
#include "base/strictjson.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

std::string faultOf(const std::string &Text) {
  const Result<Json::Value> Value = parseStrictJson(Text);
  if (!Value)
    return Value.error().Detail;
  ObjectReader Reader(Value.value(), "spec");
  Reader.requiredString("name");
  Reader.optionalUnsigned("rate", 1, 100, 10);
  Reader.optionalBool("open", false);
  const Result<void> Finished = Reader.finish();
  return Finished ? std::string() : Finished.error().Detail;
}

} // namespace

// Guards against silently ignored input: misspelt, doubled or mistyped members.
TEST_CASE("bad objects are refused with the member and the expectation") {
  CHECK(faultOf(R"({"name":"a","rate":5})").empty());
  CHECK(faultOf(R"({"rate":5})") == "spec.name: required, but missing");
  CHECK(faultOf(R"({"name":"a","raet":5})") == "spec.raet: unknown member");
  CHECK(faultOf(R"({"name":"a","rate":"5"})") ==
        R"(spec.rate: expected a whole number from 1 to 100, found "5")");
  CHECK(faultOf(R"({"name":"a","rate":101})") ==
        "spec.rate: expected a whole number from 1 to 100, found 101");
  CHECK(faultOf(R"({"name":"a","name":"b"})").find("invalid JSON") == 0);
  CHECK(faultOf(R"({"name":"a"} x)").find("invalid JSON") == 0);
  CHECK(faultOf(R"([1])") == "spec: expected an object, found [1]");
}

// Guards against a stack overflow by deeply nested input.
TEST_CASE("deep nesting is refused") {
  CHECK_FALSE(parseStrictJson(std::string(100000, '[')).has_value());
}
