#include "experiments.h"

#include "limits/rateclient.h"
#include "limits/rateowner.h"

#include <memory>

namespace lavenderdale::slopes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{2};
constexpr std::uint64_t OwnerIncarnation = 1;

struct Outcome {
  double Draws = 0;       ///< A second.
  double OwnerTime = 0;   ///< Microseconds for one draw.
  double DrawerTime = 0;  ///< Microseconds for one statement.
  double OwnerMemory = 0; ///< Bytes.
};

/// One owner in a domain, \p Drawers entry hosts with \p Workspaces each, all
/// with demand. Each pair has \p Rate statements a second, which is inside the
/// workspace's rate.
Outcome run(std::size_t Workspaces, std::size_t Drawers, std::uint32_t Rate) {
  TimePoint Now{seconds(1000)};
  const double AllocatedBefore = allocatedBytes();
  RateOwner Owner("owner", OwnerIncarnation);
  const auto Limit = static_cast<std::uint32_t>(Rate * Drawers * 2);
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Workspaces; ++I) {
    Names.push_back("workspace-" + std::to_string(I));
    Owner.configure(Names.back(), {Limit, Limit}, {1, 1}, 1, Now);
  }
  Now += seconds(2);
  Owner.renewLease(Now + seconds(1000), Now);
  const double OwnerOnly = allocatedBytes() - AllocatedBefore;
  std::vector<std::unique_ptr<RateClient>> All;
  for (std::size_t I = 0; I < Workspaces * Drawers; ++I) {
    All.push_back(std::make_unique<RateClient>(
        Names[I % Workspaces], "host-" + std::to_string(I / Workspaces),
        I + 2));
    All.back()->setOwners({"owner"}, 1);
  }
  const double DrawersToo = allocatedBytes();
  Outcome Result;
  constexpr seconds WarmUp{1};
  constexpr seconds Length{2};
  const TimePoint From = Now + WarmUp;
  std::vector<double> Due(All.size(), 0);
  double Statements = 0;
  double Total = 0;
  for (const TimePoint End = From + Length; Now < End; Now += Step) {
    const bool Counted = Now >= From;
    const double Before = processorMicroseconds();
    for (std::size_t I = 0; I < All.size(); ++I) {
      Due[I] += Rate * std::chrono::duration<double>(Step).count();
      for (; Due[I] >= 1; Due[I] -= 1) {
        All[I]->trySpend(Now, Now + MaxRateWait);
        Statements += Counted ? 1 : 0;
      }
      while (const auto Draw = All[I]->poll(Now)) {
        const double Asked = processorMicroseconds();
        const GrantAnswer Answer = Owner.grant(Draw->Request, Now);
        Result.OwnerTime += Counted ? processorMicroseconds() - Asked : 0;
        Result.Draws += Counted ? 1 : 0;
        All[I]->receive("owner", Answer, Now);
      }
    }
    Total += Counted ? processorMicroseconds() - Before : 0;
  }
  Result.OwnerMemory = OwnerOnly + allocatedBytes() - DrawersToo;
  Result.DrawerTime = (Total - Result.OwnerTime) / Statements;
  Result.OwnerTime /= Result.Draws;
  Result.Draws /= static_cast<double>(Length.count());
  return Result;
}

} // namespace

std::vector<Series> measureRates() {
  constexpr std::uint32_t Usual = 50;
  Series ByHosts{"rates.draws", "active hosts", "draws/s at one owner", {}};
  Series OwnerTime{"rates.owner.time", "active hosts", "us per draw", {}};
  Series Memory{"rates.owner.memory", "active hosts", "bytes", {}};
  for (const std::size_t Count : {2U, 10U, 20U, 35U, 50U, 70U}) {
    const Outcome Each = run(1, Count, Usual);
    const auto Size = static_cast<double>(Count);
    ByHosts.Points.push_back({Size, Each.Draws});
    OwnerTime.Points.push_back({Size, Each.OwnerTime});
    Memory.Points.push_back({Size, Each.OwnerMemory});
  }
  Series ByWorkspaces{"rates.draws", "workspaces", "draws/s of 10 hosts", {}};
  for (const std::size_t Count : {1U, 2U, 4U, 8U, 16U, 32U})
    ByWorkspaces.Points.push_back(
        {static_cast<double>(Count), run(Count, 10, Usual).Draws});
  Series ByRate{
      "rates.draws", "statements/s of a host", "draws/s of 10 hosts", {}};
  Series DrawerTime{
      "rates.drawer.time", "statements/s of a host", "us per statement", {}};
  for (const std::uint32_t Rate : {50U, 250U, 500U, 1000U, 1500U, 2300U}) {
    const Outcome Each = run(1, 10, Rate);
    ByRate.Points.push_back({static_cast<double>(Rate), Each.Draws});
    DrawerTime.Points.push_back({static_cast<double>(Rate), Each.DrawerTime});
  }
  return {ByHosts, OwnerTime, Memory, ByWorkspaces, ByRate, DrawerTime};
}

} // namespace lavenderdale::slopes
