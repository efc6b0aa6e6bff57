#include "sessionproxy/hostreport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lavenderdale;

namespace {

HostReport reportOf(std::optional<EvacuationSet> Evacuated) {
  HostReport Report;
  Report.Host = "host-1";
  Report.Capacity = 0.5;
  Report.Evacuated = std::move(Evacuated);
  return Report;
}

// The report of a host whose member for evacuations is \p Member.
std::string reportWith(const nlohmann::json &Member) {
  nlohmann::json Message =
      nlohmann::json::from_cbor(encodeReport(reportOf({})));
  Message[13]["evac"] = Member;
  std::string Bytes;
  nlohmann::json::to_cbor(Message, Bytes);
  return Bytes;
}

} // namespace

// Guards against orders that hosts without the store do not hear of, and
// against withdrawals that they do not hear of: an empty set is told too.
TEST_CASE("a report carries the evacuated failure domains") {
  for (const EvacuationSet &Each :
       {EvacuationSet{7, {"z1", "z3"}}, EvacuationSet{9, {}}}) {
    const Result<HostReport> Decoded =
        decodeReport(encodeReport(reportOf(Each)));
    REQUIRE(Decoded);
    REQUIRE(Decoded.value().Evacuated);
    CHECK(Decoded.value().Evacuated->Revision == Each.Revision);
    CHECK(Decoded.value().Evacuated->Domains == Each.Domains);
  }
  CHECK_FALSE(decodeReport(encodeReport(reportOf({}))).value().Evacuated);
}

// Guards against a malformed member that counts as "nothing is evacuated", or
// that costs the host the rest of the report.
TEST_CASE("a malformed set of evacuated domains counts as not told") {
  using Json = nlohmann::json;
  const std::string Long(EvacuationSet::MaxDomainLength + 1, 'z');
  Json Many = Json::array();
  for (std::size_t Each = 0; Each <= EvacuationSet::MaxToldDomains; ++Each)
    Many.push_back("z" + std::to_string(Each));
  const std::vector<Json> Malformed{Json(),
                                    Json("z1"),
                                    Json(7),
                                    Json::array(),
                                    Json::array({7}),
                                    Json::array({-7, Json::array()}),
                                    Json::array({"7", Json::array({"z1"})}),
                                    Json::array({7, "z1"}),
                                    Json::array({7, Json::object()}),
                                    Json::array({7, Json::array({1})}),
                                    Json::array({7, Json::array({""})}),
                                    Json::array({7, Json::array({Long})}),
                                    Json::array({7, Many})};
  for (const Json &Each : Malformed) {
    INFO(Each.dump());
    const Result<HostReport> Decoded = decodeReport(reportWith(Each));
    REQUIRE(Decoded);
    CHECK_FALSE(Decoded.value().Evacuated);
    CHECK(Decoded.value().Capacity == 0.5);
  }
  const Json Later = Json::array({7, Json::array({"z1"}), "added later"});
  CHECK(decodeReport(reportWith(Later)).value().Evacuated);
}
