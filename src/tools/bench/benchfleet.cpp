#include "benchfleet.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace lavenderdale::bench {
namespace {

constexpr std::size_t DomainCount = 3;
constexpr std::uint64_t ProcessStart = 1'700'000'000'000;

// The third one is the fleet whose start is described in large-fleets.md.
constexpr std::array<FleetShape, 5> Shapes = {{{30, 60, 20, 90},
                                               {100, 69, 23, 150},
                                               {300, 81, 27, 300},
                                               {500, 345, 115, 600},
                                               {1000, 690, 230, 1200}}};

std::string padded(std::size_t Number) {
  const std::string Digits = std::to_string(Number);
  constexpr std::size_t Width = 4;
  return std::string(Width - std::min(Width, Digits.size()), '0') + Digits;
}

std::string domainName(std::size_t Index) {
  return "zone-" + std::to_string(Index % DomainCount);
}

std::string groupName(std::size_t Index) { return "service-" + padded(Index); }

std::string workspaceName(std::size_t Index) {
  return "workspace-" + padded(Index);
}

Endpoint hostAddress(std::size_t Index) {
  constexpr std::uint16_t FirstPort = 20000;
  return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + Index)};
}

} // namespace

const FleetShape &fleetShape(std::int64_t Hosts) {
  for (const FleetShape &Each : Shapes)
    if (Each.Hosts == static_cast<std::size_t>(Hosts))
      return Each;
  throw std::invalid_argument("no fleet of this size");
}

const std::vector<std::int64_t> &fleetSizes() {
  static const std::vector<std::int64_t> Sizes = [] {
    std::vector<std::int64_t> Found;
    Found.reserve(Shapes.size());
    for (const FleetShape &Each : Shapes)
      Found.push_back(static_cast<std::int64_t>(Each.Hosts));
    return Found;
  }();
  return Sizes;
}

std::string hostName(std::size_t Index) { return "host-" + padded(Index); }

std::vector<PlacementHost> placementHosts(std::size_t Count) {
  std::vector<PlacementHost> Hosts;
  Hosts.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Hosts.push_back({hostName(Index), domainName(Index), 1});
  std::ranges::sort(Hosts, {}, &PlacementHost::Name);
  return Hosts;
}

std::map<std::string, FleetView::Registration>
registrations(std::size_t Count) {
  std::map<std::string, FleetView::Registration> Hosts;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Hosts[hostName(Index)] = {hostAddress(Index), domainName(Index), 0};
  return Hosts;
}

std::vector<UpstreamEntry> upstreams(const FleetShape &Shape) {
  constexpr std::uint16_t FirstPort = 30000;
  std::vector<UpstreamEntry> Entries;
  for (std::size_t Index = 0; Index < Shape.Upstreams; ++Index) {
    UpstreamEntry Each;
    const std::size_t Member = Index / Shape.Groups;
    Each.Group = groupName(Index % Shape.Groups);
    Each.Id = Each.Group + "-" + std::to_string(Member);
    Each.Address = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + Index)};
    Each.FailureDomain = domainName(Index + Member);
    Each.ClaimsPrimary = Member == 0;
    Each.StartedAt = ProcessStart;
    Entries.push_back(std::move(Each));
  }
  return Entries;
}

HostReport hostReport(const FleetShape &Shape, std::size_t Index,
                      std::uint64_t Sequence, bool Proven) {
  constexpr std::int64_t ProofAgeMs = 120;
  constexpr std::size_t OwnedWorkspaces = 2; // In use beyond half of the limit.
  HostReport Report;
  Report.Host = hostName(Index);
  Report.FailureDomain = domainName(Index);
  Report.Address = toString(hostAddress(Index));
  Report.Internal = Report.Address;
  Report.StartedAt = ProcessStart;
  Report.Sequence = Sequence;
  Report.CatalogueVersion = 1;
  Report.CatalogueAgeMs = ProofAgeMs;
  for (std::size_t Group = 0; Group < Shape.Groups; ++Group)
    Report.Groups.push_back(
        {groupName(Group), Proven ? ProofAgeMs : -1, !Proven, ""});
  for (std::size_t Each = 0; Each < OwnedWorkspaces; ++Each)
    Report.Demands.push_back(
        {workspaceName((Index + Each) % Shape.Workspaces), 40, 200});
  return Report;
}

std::shared_ptr<const SessionCatalogue> catalogue(const FleetShape &Shape,
                                                  std::uint64_t Version) {
  constexpr double OperationsPerSecond = 50;
  constexpr std::size_t ConnectionLimit = 56;
  auto Made = std::make_shared<SessionCatalogue>();
  Made->Version = Version;
  for (std::size_t Index = 0; Index < Shape.Groups; ++Index) {
    Made->Groups[groupName(Index)] = {ConnectionLimit, 1};
    SessionRoute Route;
    Route.Name = groupName(Index);
    Route.Database = Route.Name;
    Route.Group = Route.Name;
    Made->Routes.emplace(Route.Database, Route);
  }
  for (std::size_t Index = 0; Index < Shape.Workspaces; ++Index)
    Made->Workspaces[workspaceName(Index)] = {
        workspaceName(Index), OperationsPerSecond, OperationsPerSecond};
  return Made;
}

std::string catalogueText(const FleetShape &Shape) {
  constexpr std::size_t KeysOfWorkspace = 4;
  std::string Text = R"({"version":1,"workspaces":[)";
  for (std::size_t Index = 0; Index < Shape.Workspaces; ++Index) {
    Text += Index == 0 ? "" : ",";
    Text += R"({"name":")" + workspaceName(Index) +
            R"(","rate":50,"burst":50,"keys":[)";
    for (std::size_t Key = 0; Key < KeysOfWorkspace; ++Key)
      Text += std::string(Key == 0 ? "" : ",") + R"("key-)" +
              std::string(48, 'k') + padded(Index) + R"(")";
    Text += "]}";
  }
  return Text + "]}";
}

} // namespace lavenderdale::bench
