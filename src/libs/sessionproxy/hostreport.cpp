#include "hostreport.h"

#include "cbordecoder.h"
#include "placement/hostcapacity.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <exception>

namespace lavenderdale {

namespace {

using Json = nlohmann::json;

// Rates are sent as whole tenths, which take two to three bytes each.
constexpr double TenthsPerUnit = 10;

// Messages are arrays instead of objects, because member names would be most of
// a report.

Json encode(const GroupReport &Report) {
  return Json::array({Report.Group, Report.PrimaryProofAgeMs, Report.Suspects,
                      Report.PromotionOrdered});
}

Json encode(const DemandReport &Report) {
  return Json::array({Report.Workspace,
                      std::lround(Report.Demand * TenthsPerUnit),
                      std::lround(std::ceil(Report.Used * TenthsPerUnit))});
}

GroupReport decodeGroup(const Json &Value) {
  GroupReport Report;
  Value.at(0).get_to(Report.Group);
  Value.at(1).get_to(Report.PrimaryProofAgeMs);
  Value.at(2).get_to(Report.Suspects);
  Value.at(3).get_to(Report.PromotionOrdered);
  return Report;
}

DemandReport decodeDemand(const Json &Value) {
  DemandReport Report;
  Value.at(0).get_to(Report.Workspace);
  Report.Demand = Value.at(1).get<double>() / TenthsPerUnit;
  Report.Used = Value.at(2).get<double>() / TenthsPerUnit;
  return Report;
}

// Members that hosts of other versions do not know are in a map at the end.
constexpr const char *CapacityKey = "weight";
constexpr const char *EvacuatedKey = "evac";

Json encodeExtensions(const HostReport &Report) {
  Json Extensions = Json::object();
  if (Report.Capacity > 0)
    Extensions[CapacityKey] = Report.Capacity;
  if (Report.Evacuated && Report.Evacuated->canBeTold())
    Extensions[EvacuatedKey] =
        Json::array({Report.Evacuated->Revision, Report.Evacuated->Domains});
  return Extensions;
}

std::optional<EvacuationSet> decodeEvacuated(const Json &Value) {
  constexpr std::size_t MinSize = 2; // The revision and the domains.
  if (!Value.is_array() || Value.size() < MinSize ||
      !Value[0].is_number_unsigned() || !Value[1].is_array() ||
      Value[1].size() > EvacuationSet::MaxToldDomains)
    return std::nullopt;
  EvacuationSet Set;
  Set.Revision = Value[0].get<std::uint64_t>();
  for (const Json &Each : Value[1]) {
    if (!Each.is_string() || Each.get_ref<const std::string &>().empty())
      return std::nullopt;
    Set.Domains.insert(Each.get<std::string>());
  }
  return Set.canBeTold() ? std::optional(std::move(Set)) : std::nullopt;
}

// A missing or malformed member leaves its default.
void decodeExtensions(const Json &Extensions, HostReport &Report) {
  if (!Extensions.is_object())
    return;
  const auto Capacity = Extensions.find(CapacityKey);
  if (Capacity != Extensions.end() && Capacity->is_number())
    Report.Capacity = usableCapacity(Capacity->get<double>());
  const auto Evacuated = Extensions.find(EvacuatedKey);
  if (Evacuated != Extensions.end())
    Report.Evacuated = decodeEvacuated(*Evacuated);
}

} // namespace

std::chrono::milliseconds reportInterval(std::size_t Hosts) {
  constexpr std::chrono::milliseconds SmallFleetInterval{250};
  return SmallFleetInterval * std::max(Hosts, SmallFleet) / SmallFleet;
}

std::chrono::milliseconds reportLifetime(std::size_t Hosts) {
  constexpr int Intervals = 5;
  return reportInterval(Hosts) * Intervals;
}

std::chrono::milliseconds contactLifetime(std::size_t Hosts) {
  constexpr std::chrono::milliseconds MinLifetime{800};
  return std::max<std::chrono::milliseconds>(MinLifetime,
                                             reportInterval(Hosts) * 3 / 2);
}

std::size_t reportParts(std::size_t Hosts) { return 1 + Hosts / SmallFleet; }

std::string encodeReport(const HostReport &Report) {
  Json Groups = Json::array();
  for (const GroupReport &Each : Report.Groups)
    Groups.push_back(encode(Each));
  Json Demands = Json::array();
  for (const DemandReport &Each : Report.Demands)
    Demands.push_back(encode(Each));
  const Json Message = Json::array(
      {Report.Format, Report.Host, Report.FailureDomain, Report.Address,
       Report.Internal, Report.StartedAt, Report.Sequence,
       Report.CatalogueVersion, Report.CatalogueAgeMs, Report.Leaving, Groups,
       Demands, Report.WantsAnswer, encodeExtensions(Report)});
  std::string Bytes;
  Json::to_cbor(Message, Bytes);
  return Bytes;
}

Result<HostReport> decodeReport(std::string_view Bytes) {
  try {
    const Json Message = decodeCbor(Bytes);
    HostReport Report;
    Message.at(0).get_to(Report.Format);
    Message.at(1).get_to(Report.Host);
    if (Report.Format != HostReport::CurrentFormat || Report.Host.empty())
      return failure(ErrorKind::BadRequest,
                     "unsupported report format or missing host name");
    Message.at(2).get_to(Report.FailureDomain);
    Message.at(3).get_to(Report.Address);
    Message.at(4).get_to(Report.Internal);
    Message.at(5).get_to(Report.StartedAt);
    Message.at(6).get_to(Report.Sequence);
    Message.at(7).get_to(Report.CatalogueVersion);
    Message.at(8).get_to(Report.CatalogueAgeMs);
    Message.at(9).get_to(Report.Leaving);
    for (const Json &Each : Message.at(10))
      Report.Groups.push_back(decodeGroup(Each));
    for (const Json &Each : Message.at(11))
      Report.Demands.push_back(decodeDemand(Each));
    // Hosts of the version before do not send it, and do not answer.
    constexpr std::size_t WantsAnswerIndex = 12;
    if (Message.size() > WantsAnswerIndex)
      Message.at(WantsAnswerIndex).get_to(Report.WantsAnswer);
    constexpr std::size_t ExtensionsIndex = 13;
    if (Message.size() > ExtensionsIndex)
      decodeExtensions(Message.at(ExtensionsIndex), Report);
    return Report;
  } catch (const std::exception &Failure) {
    return failure(ErrorKind::BadRequest, Failure.what());
  }
}

} // namespace lavenderdale
