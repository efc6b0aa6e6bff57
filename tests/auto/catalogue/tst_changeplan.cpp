#include "base/strictjson.h"
#include "catalogue/changeplan.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

CatalogueObject object(ObjectKind Kind, const std::string &Name,
                       std::uint64_t Version, const std::string &Spec) {
  CatalogueObject Object;
  Object.Kind = Kind;
  Object.Name = Name;
  Object.Version = Version;
  Object.Spec = parseStrictJson(Spec).value();
  return Object;
}

const CatalogueObject Stored = object(
    ObjectKind::Group, "g", 12,
    R"({"database":"d","user":"u","upstreams":[{"name":"x","address":"::1",)"
    R"("port":1,"failureDomain":"east","connections":16,"slots":2}]})");

} // namespace

// Guards against a diff that hides or invents changes.
TEST_CASE("a plan names each changed member", "[configuration]") {
  CatalogueObject Desired = Stored;
  Desired.Version = 0;
  Desired.Spec["upstreams"][0]["state"] = "serving"; // The default.
  CHECK(planChanges({Stored}, {Desired}).value().empty());
  Desired.Spec["upstreams"][0]["port"] = 2;
  const auto Plan = planChanges({Stored}, {Desired});
  REQUIRE(Plan);
  CHECK(describe(Plan.value()) == "update groups/g (version 12)\n"
                                  "  upstreams[x].port: 1 -> 2\n");
  CHECK(Plan.value().front().Object.Version == 12);
}

// Guards against a step that refers to something not yet created, and against
// deleting what the operator did not mean to manage.
TEST_CASE("steps are ordered and deletions are asked for", "[configuration]") {
  const auto Owner =
      object(ObjectKind::Workspace, "w", 0, R"({"rate":1.5,"burst":2})");
  const auto Entry =
      object(ObjectKind::Route, "r", 0,
             R"({"owner":"w","trafficClass":"lookup","group":"g"})");
  const auto Credential =
      object(ObjectKind::Key, "k", 3,
             R"({"workspace":"w","state":"granted","hash":")" +
                 std::string(64, '0') + "\"}");
  const auto Kept = planChanges({Stored, Credential}, {Entry, Owner});
  REQUIRE(Kept.value().size() == 2);
  CHECK(Kept.value()[0].Object.Name == "w");
  CHECK(Kept.value()[1].Object.Name == "r");
  CHECK(describe(Kept.value()).find("  rate: (none) -> 1.5\n") !=
        std::string::npos);
  const auto Pruned =
      planChanges({Stored, Credential}, {Entry, Owner}, MissingObjects::Delete);
  REQUIRE(Pruned.value().size() == 3);
  CHECK(Pruned.value()[2].Action == ChangeAction::Delete);
  CHECK(Pruned.value()[2].Object.Name == "g");
}

// Guards against a partly valid set of objects that is written in part.
TEST_CASE("one invalid object refuses the plan", "[configuration]") {
  const auto Bad = object(ObjectKind::Workspace, "w", 0, R"({"rate":1})");
  const auto Plan = planChanges({}, {Stored, Bad});
  REQUIRE_FALSE(Plan);
  CHECK(Plan.error().Detail ==
        "workspaces/w: spec.burst: required, but missing");
  CHECK_FALSE(planChanges({}, {Stored, Stored}));
}
