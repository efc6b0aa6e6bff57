#include "hostreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>

namespace lavenderdale {

// The macros define the conversions of the JSON library for these types.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupReport, Group, Primary, ProvenAgeMs,
                                   Suspects, Ordered)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandReport, Workspace, Demand, Used)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostReport, Format, Host, FailureDomain,
                                   Address, Internal, StartedAt, Sequence,
                                   CatalogueVersion, Leaving, Groups, Demands)

std::chrono::milliseconds reportInterval(std::size_t Hosts) {
  constexpr std::chrono::milliseconds Shortest{250};
  constexpr std::size_t HostsAtShortest = 12;
  return Shortest * std::max(Hosts, HostsAtShortest) / HostsAtShortest;
}

std::chrono::milliseconds reportLifetime(std::size_t Hosts) {
  constexpr int Intervals = 5;
  return reportInterval(Hosts) * Intervals;
}

std::string encodeReport(const HostReport &Report) {
  std::string Bytes;
  nlohmann::json::to_cbor(nlohmann::json(Report), Bytes);
  return Bytes;
}

Result<HostReport> decodeReport(std::string_view Bytes) {
  try {
    HostReport Report = nlohmann::json::from_cbor(Bytes).get<HostReport>();
    if (Report.Format != HostReport::CurrentFormat || Report.Host.empty())
      return failure(ErrorKind::BadRequest, "a report of another format");
    return Report;
  } catch (const std::exception &Failure) {
    return failure(ErrorKind::BadRequest, Failure.what());
  }
}

} // namespace lavenderdale
