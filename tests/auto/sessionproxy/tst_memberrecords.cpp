#include "sessionproxy/memberrecords.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

Json::Value validSpec() {
  return encodeMemberRecord({{{"a", 1}, {"b", 1733500000123}},
                             "a",
                             Position{Term{3}, LogPosition{80}}});
}

} // namespace

TEST_CASE("a record of members survives the store") {
  for (const MemberRecord &Each :
       {MemberRecord{}, MemberRecord{{{"a", 0}}, "", {}},
        MemberRecord{{{"a", 1}, {"a", 2}, {"b", 1733500000123}},
                     "b",
                     Position{Term{3}, LogPosition{80}}}}) {
    const Result<MemberRecord> Decoded =
        decodeMemberRecord(encodeMemberRecord(Each));
    REQUIRE(Decoded);
    CHECK(Decoded.value() == Each);
  }
}

// Guards against a host that ends, or promotes without the record's replicas,
// because another writer has changed the record.
TEST_CASE("a record of members that another writer has changed is refused") {
  REQUIRE(decodeMemberRecord(validSpec()));
  const auto Refused = [](const char *Member, const Json::Value &Instead) {
    Json::Value Spec = validSpec();
    Spec[Member] = Instead;
    return !decodeMemberRecord(Spec);
  };
  CHECK_FALSE(decodeMemberRecord(Json::Value()));
  CHECK_FALSE(decodeMemberRecord(Json::Value("text")));
  CHECK(Refused("processes", Json::Value()));
  CHECK(Refused("processes", Json::Value("a")));
  Json::Value Processes(Json::arrayValue);
  Processes.append("a");
  CHECK(Refused("processes", Processes));
  Processes[0] = Json::Value(Json::objectValue);
  CHECK(Refused("processes", Processes));
  Processes[0]["id"] = "a";
  Processes[0]["startedAt"] = -1;
  CHECK(Refused("processes", Processes));
  CHECK(Refused("primary", Json::Value(7)));
  CHECK(Refused("required", Json::Value("3.80")));
  Json::Value Position(Json::arrayValue);
  Position.append(3);
  CHECK(Refused("required", Position));
  Position.append(-80);
  CHECK(Refused("required", Position));
}
