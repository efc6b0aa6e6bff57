#include "platform/recordcodec.h"

#include "base/strictjson.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace lavenderdale::platform;
using namespace std::chrono_literals;

namespace {

Json::Value json(const std::string &Text) {
  Result<Json::Value> Value = parseStrictJson(Text);
  REQUIRE(Value);
  return Value.value();
}

const char *const Configuration = R"({
  "version": 7,
  "routes": [
    {"name": "r-1", "host": "stock", "path-prefix": "/", "kind": "bounded",
     "timeout-ms": 1200, "target-latency-ms": 300, "priority": 2,
     "service": "orders", "max-attempts": 2, "max-staleness-ms": 1500,
     "public": false}],
  "services": [{"name": "orders", "connection-limit": 16}],
  "limits": {"transaction-idle-ms": 3000},
  "tenants": [{"name": "clerks", "api-keys": ["k1", "k2"], "priority": 1,
               "requests-per-s": 144, "burst": 100}]})";

StoredObject upstream(const std::string &Spec) {
  StoredObject Object;
  Object.Name = "i-7";
  Object.Spec = json(Spec);
  return Object;
}

} // namespace

TEST_CASE("the configuration is decoded", "[configuration]") {
  const RecordCodec Codec;
  const Result<SessionCatalogue> Read =
      Codec.decodeCatalogue(json(Configuration));
  REQUIRE(Read);
  const SessionCatalogue &Catalogue = Read.value();
  CHECK(Catalogue.Version == 7);
  const SessionRoute *Route = Catalogue.findRoute("stock");
  REQUIRE(Route);
  CHECK(Route->Consistency == ReadConsistency::Bounded);
  CHECK(Route->AcceptedAge == 1500ms);
  CHECK(Route->StatementTimeout == 1200ms);
  CHECK(Route->Group == "orders");
  CHECK_FALSE(Route->AllowsAnonymous);
  CHECK(Catalogue.Groups.at("orders").ConnectionLimit == 16);
  REQUIRE(Catalogue.findWorkspaceByKey("k2"));
  CHECK(Catalogue.findWorkspaceByKey("k2")->Rate == 144);
  CHECK(Catalogue.findWorkspaceByKey("k3") == nullptr);
  CHECK(Catalogue.TransactionIdleTimeout == 3000ms);
}

TEST_CASE("an invalid configuration is rejected as a whole",
          "[configuration]") {
  const RecordCodec Codec;
  CHECK_FALSE(Codec.decodeCatalogue(json("{}")));
  CHECK_FALSE(Codec.decodeCatalogue(json("[]")));
  Json::Value Broken = json(Configuration);
  Broken["routes"][0]["kind"] = "other";
  CHECK_FALSE(Codec.decodeCatalogue(Broken));
}

// Guards against a limit of concurrency that rests on a wrong entry: it would
// leave the slots of a database idle, or limit nothing without any notice.
TEST_CASE("slots that cannot be used count as not declared") {
  const RecordCodec Codec;
  StoredObject Object = upstream(
      R"({"service":"orders","address":"10.0.0.9:80","zone":"z1",
          "state":"ready","database-role":"replica"})");
  Result<UpstreamEntry> Read = Codec.decodeUpstream(Object);
  REQUIRE(Read);
  CHECK_FALSE(Read.value().Slots);
  CHECK_FALSE(Read.value().SlotsInvalid);
  Object.Spec["slots"] = 4;
  Read = Codec.decodeUpstream(Object);
  REQUIRE(Read);
  CHECK(Read.value().Slots == std::size_t{4});
  CHECK_FALSE(Read.value().SlotsInvalid);
  for (const Json::Value &Wrong :
       {Json::Value(0), Json::Value(-3), Json::Value(1e12), Json::Value("4"),
        Json::Value(2.5), Json::Value(Json::nullValue)}) {
    CAPTURE(Wrong.toStyledString());
    Object.Spec["slots"] = Wrong;
    Read = Codec.decodeUpstream(Object);
    REQUIRE(Read);
    CHECK_FALSE(Read.value().Slots);
    CHECK(Read.value().SlotsInvalid);
  }
}

// Other programs write to the same collection, so an entry may lack members of
// a database or hold values of other types.
TEST_CASE("entries that do not describe a database are rejected") {
  const RecordCodec Codec;
  const char *const Good =
      R"({"service":"orders","address":"10.0.0.9:80","zone":"z1","slots":2,
          "state":"draining","database-role":"primary","born":123})";
  const Result<UpstreamEntry> Read = Codec.decodeUpstream(upstream(Good));
  REQUIRE(Read);
  CHECK(Read.value().Leaving);
  CHECK(Read.value().ClaimsPrimary);
  CHECK(Read.value().StartedAt == 123);
  for (const char *Member : {"service", "address", "state", "database-role"}) {
    StoredObject Object = upstream(Good);
    Object.Spec[Member] = 7;
    CAPTURE(Member);
    CHECK_FALSE(Codec.decodeUpstream(Object));
    Object.Spec.removeMember(Member);
    CHECK_FALSE(Codec.decodeUpstream(Object));
  }
  StoredObject Other = upstream(Good);
  Other.Spec = "text";
  CHECK_FALSE(Codec.decodeUpstream(Other));
}

// Guards against a value of another writer that lifts the limit on a cold
// database, and against one that costs the entry or the configuration.
TEST_CASE("unusable values of cold databases count on the safe side") {
  const RecordCodec Codec;
  const std::string Entry =
      R"({"service": "orders", "address": "127.0.0.1:7", "state": "ready",
          "database-role": "replica")";
  const auto ColdOf = [&](const std::string &Member) {
    const Result<UpstreamEntry> Decoded =
        Codec.decodeUpstream(upstream(Entry + Member + "}"));
    REQUIRE(Decoded);
    return Decoded.value().ColdRemaining;
  };
  CHECK(ColdOf("") == 0ms);
  CHECK(ColdOf(R"(, "cold-remaining-ms": 0)") == 0ms);
  CHECK(ColdOf(R"(, "cold-remaining-ms": 1200)") == 1200ms);
  CHECK(ColdOf(R"(, "cold-remaining-ms": 0.5)") == 1ms);
  for (const char *Each : {"-1", "1e300", "\"soon\"", "[]", "true"}) {
    INFO(Each);
    CHECK(ColdOf(std::string(R"(, "cold-remaining-ms": )") + Each) == 1h);
  }
  const auto RateOf = [&](const std::string &Member) {
    std::string Text = Configuration;
    const std::string Place = R"("connection-limit": 16)";
    Text.replace(Text.find(Place), Place.size(), Place + Member);
    const Result<SessionCatalogue> Decoded = Codec.decodeCatalogue(json(Text));
    REQUIRE(Decoded);
    return Decoded.value().Groups.at("orders").ColdPerSecond;
  };
  CHECK(RateOf("") == 0);
  CHECK(RateOf(R"(, "cold-per-s": 0)") == 0);
  CHECK(RateOf(R"(, "cold-per-s": 20)") == 20);
  for (const char *Each : {"-20", "1e300", "\"20\"", "{}"}) {
    INFO(Each);
    CHECK(RateOf(std::string(R"(, "cold-per-s": )") + Each) == 5);
  }
}
