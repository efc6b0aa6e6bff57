#include "base/strictjson.h"
#include "catalogue/cataloguesnapshot.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

std::string faultOf(ObjectKind Kind, const std::string &Spec,
                    const std::string &Status = "{}") {
  CatalogueObject Object;
  Object.Kind = Kind;
  Object.Name = Kind == ObjectKind::HostSet ? HostSet::ObjectName : "a";
  Object.Spec = parseStrictJson(Spec).value();
  Object.Status = parseStrictJson(Status).value();
  const Result<void> Valid = validate(Object);
  if (Valid)
    return {};
  CHECK(Valid.error().Kind == ErrorKind::InvalidCatalogue);
  return Valid.error().Detail;
}

const std::string Upstreams =
    R"({"database":"d","user":"u","upstreams":[{"name":"x","address":"127.0.0.1",)"
    R"("port":5432,"failureDomain":"east","connections":16,"slots":2}]})";

} // namespace

// Guards against accepting an object that hosts would refuse or read otherwise.
TEST_CASE("invalid objects name member, value and expectation",
          "[configuration]") {
  using enum ObjectKind;
  CHECK(faultOf(Workspace, R"({"rate":5,"burst":10})").empty());
  CHECK(faultOf(Workspace, R"({"rate":"5","burst":10})") ==
        "workspaces/a: spec.rate: expected a number from 1.000000 to "
        "10000000.000000, found \"5\"");
  CHECK(faultOf(Workspace, R"({"rate":5,"burst":10,"wieght":2})") ==
        "workspaces/a: spec.wieght: unknown member");
  CHECK(faultOf(Route, R"({"owner":"w","trafficClass":"fast","group":"g"})") ==
        "routes/a: spec.trafficClass: expected \"urgent\" or \"standard\" or "
        "\"lookup\", found \"fast\"");
  CHECK(faultOf(Route, R"({"owner":"w","trafficClass":"urgent","group":"g",)"
                       R"("limits":{"deadlineMs":0}})") ==
        "routes/a: spec.limits.deadlineMs: expected a whole number from 1 to "
        "600000, found 0");
  CHECK(faultOf(Route, R"({"owner":"w","trafficClass":"urgent","group":"g",)"
                       R"("limits":{"rate":3}})")
            .find("routes/a: spec.limits.burst: expected both") == 0);
  CHECK(faultOf(Key, R"({"workspace":"w","hash":"12","state":"granted"})")
            .find("keys/a: spec.hash: expected 64 to 64") == 0);
  CHECK(faultOf(Group, Upstreams).empty());
  CHECK(faultOf(Group, Upstreams, R"({"term":0,"primary":"x"})")
            .find("groups/a: status.term: expected") == 0);
  CHECK(faultOf(Group, Upstreams,
                R"({"term":3,"primary":"x","lineage":[{"term":2,)"
                R"("startPosition":"0-1"}]})")
            .find("groups/a: status.lineage[0].startPosition: expected a log "
                  "position") == 0);
  CHECK(faultOf(HostSet, R"({"epoch":1,"members":[{"name":"h"}]})") ==
        "hostsets/fleet: spec.members[0].failureDomain: required, but missing");
}

// Guards against a signing secret in an error message, and so in a log.
TEST_CASE("an invalid secret is not quoted", "[keys]") {
  CHECK(faultOf(ObjectKind::Secret, R"({"hex":"abcdef"})").find("abcdef") ==
        std::string::npos);
}

// Guards against a change of meaning by a read and a write.
TEST_CASE("defaults are filled in and objects are read back as written",
          "[configuration]") {
  CatalogueObject Object;
  Object.Kind = ObjectKind::Route;
  Object.Name = "cutting";
  Object.Spec =
      parseStrictJson(R"({"owner":"w","trafficClass":"urgent","group":"g"})")
          .value();
  const Route First = Route::fromJson(Object.Name, Object.Spec).value();
  CHECK(First.Acknowledge == Acknowledge::Replica);
  CHECK(First.Limits.Deadline == RouteLimits::DefaultDeadline);
  CHECK(Route::fromJson(Object.Name, First.toJson()).value() == First);

  const auto Status =
      GroupStatus::fromJson(
          parseStrictJson(
              R"({"term":3,"primary":"x","lineage":[{"term":3,)"
              R"("startPosition":"A/30001F8"}],"promotionAttempt":{"id":"i",)"
              R"("by":"h","candidate":"x","term":4}})")
              .value())
          .value();
  REQUIRE(Status.Attempt);
  CHECK(GroupStatus::fromJson(Status.toJson()).value() == Status);
  CHECK(Status.Lineage.front().StartPosition == "A/30001F8");
}

// Guards against a status of an older version that is no longer read, and
// against an incomplete promotion that is lost or accepted malformed.
TEST_CASE("a status keeps an incomplete promotion", "[configuration]") {
  const std::string Begin = R"({"term":3,"primary":"db-b","lineage":[)"
                            R"({"term":1,"startPosition":"0/0"}])";
  const auto Read = [&](const std::string &More) {
    return GroupStatus::fromJson(parseStrictJson(Begin + More + "}").value());
  };
  const auto Old = Read("");
  REQUIRE(Old);
  CHECK_FALSE(Old.value().PromotionStart.has_value());
  CHECK(Old.value().Replaced.empty());
  CHECK(GroupStatus::fromJson(Old.value().toJson()).value() == Old.value());
  const auto New = Read(R"(,"promotionStart":"0/3000148","replaced":["db-a"])");
  REQUIRE(New);
  CHECK(New.value().PromotionStart == "0/3000148");
  CHECK(New.value().Replaced == std::vector<std::string>{"db-a"});
  CHECK(GroupStatus::fromJson(New.value().toJson()).value() == New.value());
  CHECK_FALSE(Read(R"(,"promotionStart":"3000148")"));
  CHECK_FALSE(Read(R"(,"replaced":[1])"));
}

// Guards against versions that are cut, negative or not numbers.
TEST_CASE("the envelope of an object is checked", "[configuration]") {
  const auto Read = [](const std::string &Text) {
    return CatalogueObject::fromJson(parseStrictJson(Text).value());
  };
  const auto Good = Read(R"({"kind":"Key","metadata":{"name":"k",)"
                         R"("resourceVersion":"18446744073709551615"}})");
  REQUIRE(Good);
  CHECK(Good.value().Version == 18446744073709551615U);
  CHECK(CatalogueObject::fromJson(Good.value().toJson()).value().Version ==
        Good.value().Version);
  for (const char *Version :
       {"\"-1\"", "\"1x\"", "\"\"", "1.5", "\"18446744073709551616\""})
    CHECK_FALSE(
        Read(R"({"kind":"Key","metadata":{"name":"k","resourceVersion":)" +
             std::string(Version) + "}}"));
  CHECK_FALSE(Read(R"({"kind":"Pod","metadata":{"name":"k"}})"));
  CHECK_FALSE(Read(R"({"kind":"Key","metadata":{"name":"../k"}})"));
  CHECK_FALSE(Read(R"({"kind":"Key","metadata":{"name":"k"},"sepc":{}})"));
}
