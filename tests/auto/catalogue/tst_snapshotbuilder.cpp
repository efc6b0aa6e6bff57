#include "base/strictjson.h"
#include "catalogue/snapshotbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace lavenderdale;

namespace {

CatalogueObject object(ObjectKind Kind, const std::string &Name,
                       std::uint64_t Version, const std::string &Spec,
                       const std::string &Status = "{}") {
  CatalogueObject Object;
  Object.Kind = Kind;
  Object.Name = Name;
  Object.Version = Version;
  Object.Spec = parseStrictJson(Spec).value();
  Object.Status = parseStrictJson(Status).value();
  return Object;
}

CatalogueObject workspace(const std::string &Name, std::uint64_t Version,
                          int Rate) {
  return object(ObjectKind::Workspace, Name, Version,
                R"({"burst":10,"rate":)" + std::to_string(Rate) + "}");
}

CatalogueObject route(const std::string &Name, std::uint64_t Version,
                      const std::string &Owner, const std::string &Group) {
  return object(ObjectKind::Route, Name, Version,
                R"({"trafficClass":"standard","owner":")" + Owner +
                    R"(","group":")" + Group + "\"}");
}

std::string groupSpec(const std::vector<std::string> &Members) {
  std::string Text;
  for (const std::string &Name : Members)
    Text += (Text.empty() ? "" : ",") + (R"({"name":")" + Name) +
            R"(","address":"127.0.0.1","port":1,"failureDomain":"east",)"
            R"("connections":16,"slots":2})";
  return R"({"database":"d","user":"u","upstreams":[)" + Text + "]}";
}

CatalogueObject group(const std::string &Name, std::uint64_t Version,
                      const std::vector<std::string> &Members,
                      const std::string &Primary = {}, int Term = 1) {
  return object(ObjectKind::Group, Name, Version, groupSpec(Members),
                Primary.empty() ? "{}"
                                : R"({"primary":")" + Primary + R"(","term":)" +
                                      std::to_string(Term) + "}");
}

} // namespace

// Guards against a late message that takes back a change.
TEST_CASE("an object is never replaced by an older version",
          "[configuration]") {
  SnapshotBuilder Builder;
  CHECK(Builder.apply(workspace("w", 5, 50)));
  CHECK_FALSE(Builder.apply(workspace("w", 4, 40)));
  CHECK_FALSE(Builder.apply(workspace("w", 5, 41)));
  CHECK(Builder.build()->workspace("w")->Rate == 50);
  CHECK(Builder.remove(ObjectKind::Workspace, "w", 7));
  CHECK_FALSE(Builder.apply(workspace("w", 6, 60)));
  CHECK(Builder.build()->workspace("w") == nullptr);
  CHECK(Builder.version() == 7);
}

// Guards against an order of arrival that changes the outcome, or makes the
// version go back.
TEST_CASE("the order of messages does not matter", "[configuration]") {
  const unsigned Seed = std::random_device{}();
  CAPTURE(Seed);
  std::mt19937 Random(Seed);
  std::vector<CatalogueObject> Messages;
  constexpr int Versions = 40;
  for (int Version = 1; Version <= Versions; ++Version)
    Messages.push_back(workspace("w" + std::to_string(Version % 3),
                                 static_cast<std::uint64_t>(Version), Version));
  for (int Round = 0; Round < 20; ++Round) {
    std::shuffle(Messages.begin(), Messages.end(), Random);
    SnapshotBuilder Builder;
    std::uint64_t Before = 0;
    for (const CatalogueObject &Message : Messages) {
      Builder.apply(Message);
      const SnapshotPointer Snapshot = Builder.build();
      CHECK(Snapshot->version() >= Before);
      Before = Snapshot->version();
    }
    CHECK(Builder.build()->workspace("w1")->Rate == 40);
    CHECK(Builder.build()->workspace("w2")->Rate == 38);
    CHECK(Builder.build()->workspace("w0")->Rate == 39);
  }
}

// Guards against a list from a relay that is behind, and against deleted
// objects that a late event brings back.
TEST_CASE("a list replaces everything unless it is older", "[configuration]") {
  SnapshotBuilder Builder;
  Builder.apply(workspace("gone", 3, 1));
  Builder.apply(workspace("kept", 4, 2));
  CHECK_FALSE(Builder.replaceAll({3, {workspace("gone", 3, 1)}}));
  CHECK(Builder.replaceAll({9, {workspace("kept", 4, 2)}}));
  CHECK(Builder.build()->version() == 9);
  CHECK(Builder.build()->workspace("gone") == nullptr);
  CHECK_FALSE(Builder.apply(workspace("gone", 3, 1)));
  CHECK(Builder.build()->workspace("gone") == nullptr);
  CHECK(Builder.build()->workspace("kept")->Rate == 2);
}

// Guards against an invalid change that removes what was in force.
TEST_CASE("an invalid object keeps its last valid version", "[configuration]") {
  SnapshotBuilder Builder;
  Builder.apply(workspace("w", 1, 50));
  Builder.build();
  Builder.apply(workspace("w", 2, -1));
  CHECK(Builder.build()->workspace("w")->Rate == 50);
  REQUIRE(Builder.faults().size() == 1);
  CHECK(Builder.faults().front().Version == 2);
  CHECK(Builder.faults().front().Detail.find("workspaces/w: spec.rate") == 0);
  CHECK(Builder.build()->object(ObjectKind::Workspace, "w")->Version == 1);
  Builder.apply(workspace("w", 3, 60));
  CHECK(Builder.build()->workspace("w")->Rate == 60);
  CHECK(Builder.faults().empty());
}

// Guards against a withdrawal with a wrong member that leaves the key granted.
TEST_CASE("an invalid version of a key takes it out of force", "[keys]") {
  const auto Stored = [](std::uint64_t Version, const std::string &State) {
    return object(ObjectKind::Key, "k", Version,
                  R"({"workspace":"w","hash":")" + std::string(64, 'a') +
                      R"(","state":")" + State + "\"}");
  };
  SnapshotBuilder Builder;
  Builder.apply(workspace("w", 1, 50));
  Builder.apply(Stored(2, "granted"));
  REQUIRE(Builder.build()->key("k") != nullptr);
  Builder.apply(Stored(3, "withdrawm"));
  for (int Build = 0; Build < 2; ++Build) {
    const SnapshotPointer Snapshot = Builder.build();
    CHECK(Snapshot->key("k") == nullptr);
    CHECK(Snapshot->object(ObjectKind::Key, "k") == nullptr);
    REQUIRE(Builder.faults().size() == 1);
    CHECK(Builder.faults().front().Version == 3);
    CHECK(Builder.faults().front().Detail.find("keys/k: spec.state") == 0);
  }
  CHECK(
      Builder.replaceAll({4, {workspace("w", 1, 50), Stored(3, "withdrawm")}}));
  CHECK(Builder.build()->key("k") == nullptr);
  Builder.apply(Stored(5, "withdrawn"));
  REQUIRE(Builder.build()->key("k") != nullptr);
  CHECK(Builder.build()->key("k")->State == KeyState::Withdrawn);
  CHECK(Builder.faults().empty());
}

// Guards against limits of which a failure domain's share grants nothing.
TEST_CASE("a burst below one token is refused", "[rate]") {
  const Json::Value Low = parseStrictJson(R"({"rate":5,"burst":0.99})").value();
  const Json::Value Least = parseStrictJson(R"({"rate":5,"burst":1})").value();
  CHECK_FALSE(Workspace::fromJson("w", Low));
  CHECK(Workspace::fromJson("w", Least));
  Json::Value Spec = route("r", 1, "w", "g").Spec;
  Spec["limits"] = Low;
  CHECK_FALSE(Route::fromJson("r", Spec));
  Spec["limits"] = Least;
  CHECK(Route::fromJson("r", Spec));
}

// Guards against routes that lead nowhere, and against hiding them for good.
TEST_CASE("a route needs its owner and its group", "[configuration]") {
  SnapshotBuilder Builder;
  Builder.apply(route("r", 1, "w", "g"));
  Builder.apply(workspace("w", 2, 1));
  CHECK(Builder.build()->route("r") == nullptr);
  CHECK(Builder.faults().size() == 1);
  Builder.apply(group("g", 3, {"x"}));
  CHECK(Builder.build()->route("r") != nullptr);
  Builder.apply(route("r", 4, "w", "other"));
  CHECK(Builder.build()->route("r")->Group == "g");
  Builder.remove(ObjectKind::Workspace, "w", 5);
  CHECK(Builder.build()->route("r") == nullptr);
}

// Guards against two groups that send their statements to one database.
TEST_CASE("names of upstreams are unique over groups", "[configuration]") {
  SnapshotBuilder Builder;
  Builder.apply(group("a", 1, {"x", "y"}));
  Builder.build();
  Builder.apply(group("b", 2, {"y", "z"}));
  CHECK(Builder.build()->group("b") == nullptr);
  CHECK(Builder.faults().front().Detail.find("\"y\" is an upstream of group "
                                             "\"a\"") != std::string::npos);
  Builder.apply(group("a", 3, {"x"}));
  const SnapshotPointer Moved = Builder.build();
  CHECK(Moved->group("b") != nullptr);
  CHECK(Moved->group("a")->upstream("y") == nullptr);
  CHECK(Builder.faults().empty());
}

// Guards against losing the primary by an edit, and against an edit that holds
// back a change of primary.
TEST_CASE("spec and status of a group come into force apart", "[fencing]") {
  SnapshotBuilder Builder;
  Builder.apply(group("g", 1, {"x", "y"}, "x", 1));
  Builder.build();
  Builder.apply(group("g", 2, {"y", "z"}, "x", 1));
  CHECK(Builder.build()->group("g")->upstream("x") != nullptr);
  CHECK(Builder.faults().size() == 1);
  Builder.apply(group("g", 3, {"y", "z"}, "y", 2));
  const SnapshotPointer Promoted = Builder.build();
  CHECK(Promoted->groupStatus("g")->Primary == "y");
  CHECK(Promoted->group("g")->upstream("x") == nullptr);
  CHECK(Builder.faults().empty());
  Builder.apply(object(ObjectKind::Group, "g", 4, R"({"oops":1})",
                       R"({"primary":"z","term":3})"));
  CHECK(Builder.build()->groupStatus("g")->Term == 3);
  CHECK(Builder.build()->group("g")->upstream("z") != nullptr);
  Builder.apply(group("g", 5, {"y", "z"}, "y", 2));
  CHECK(Builder.build()->groupStatus("g")->Term == 3);
}

// Guards against a peer that learns something else than was sent.
TEST_CASE("a snapshot is the same after the way to a peer", "[configuration]") {
  SnapshotBuilder Builder;
  Builder.apply(workspace("w", 1, 50));
  Builder.apply(group("g", 2, {"x", "y"}, "x", 4));
  Builder.apply(route("r", 3, "w", "g"));
  Builder.build();
  Builder.apply(workspace("w", 4, -1));
  const SnapshotPointer Sent = Builder.build();
  const auto Text = writeCompactJson(Sent->toJson());
  const auto List = listFromJson(parseStrictJson(Text).value());
  REQUIRE(List);
  SnapshotBuilder Peer;
  CHECK(Peer.replaceAll(List.value()));
  const SnapshotPointer Received = Peer.build();
  CHECK(Received->version() == Sent->version());
  CHECK(writeCompactJson(Received->toJson()) == Text);
  CHECK(*Received->route("r") == *Sent->route("r"));
  CHECK(*Received->groupStatus("g") == *Sent->groupStatus("g"));
  CHECK(Received->workspace("w")->Rate == 50);
}
