#include "benchfleet.h"
#include "benchsizes.h"
#include "limits/sharedrate.h"
#include "placement/holderselector.h"
#include "placement/promotionranking.h"

#include <benchmark/benchmark.h>

#include <chrono>

namespace lavenderdale::bench {
namespace {

/// A selector and a ranking that have answered for everything in the fleet.
struct Decisions {
  explicit Decisions(const FleetShape &Shape)
      : Shape(Shape), Entries(upstreams(Shape)),
        Hosts(placementHosts(Shape.Hosts)) {}

  void askHolders() {
    for (const UpstreamEntry &Each : this->Entries)
      benchmark::DoNotOptimize(
          this->Holders.rank(hostName(0), Each.Id, Each.FailureDomain));
    for (std::size_t Index = 0; Index < this->Shape.Workspaces; ++Index)
      benchmark::DoNotOptimize(this->Holders.choose(
          "rate/workspace-" + std::to_string(Index), "", TimePoint{}));
  }

  void askRanks() {
    for (const UpstreamEntry &Each : this->Entries)
      if (Each.ClaimsPrimary)
        benchmark::DoNotOptimize(this->Ranking.ownRank(Each.Group));
  }

  const FleetShape Shape;
  const std::vector<UpstreamEntry> Entries;
  const std::vector<PlacementHost> Hosts;
  HolderSelector Holders{hostName(0)};
  PromotionRanking Ranking{hostName(0)};
};

std::vector<PlacementHost> without(std::vector<PlacementHost> Hosts,
                                   std::size_t Index) {
  Hosts.erase(Hosts.begin() + static_cast<std::ptrdiff_t>(Index));
  return Hosts;
}

/// Takes turns between a fleet that lacks one host and the whole one, and
/// measures the step to \p Whole.
template <typename Apply>
void measureChange(benchmark::State &Run, Decisions &Made, bool Whole,
                   const Apply &ApplyHosts) {
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    Index = 1 + (Index + 1) % (Made.Hosts.size() - 1);
    const std::vector<PlacementHost> Lacking = without(Made.Hosts, Index);
    if (Whole)
      ApplyHosts(Lacking);
    const Clock::time_point Start = Clock::now();
    ApplyHosts(Whole ? Made.Hosts : Lacking);
    Run.SetIterationTime(secondsSince(Start));
    if (!Whole)
      ApplyHosts(Made.Hosts);
  }
}

void measureHolderChange(benchmark::State &Run, bool Whole) {
  Decisions Made(fleetShape(Run.range(0)));
  Made.Holders.setHosts(Made.Hosts);
  Made.askHolders();
  measureChange(Run, Made, Whole, [&](const std::vector<PlacementHost> &Hosts) {
    Made.Holders.setHosts(Hosts);
    Made.askHolders();
  });
}

void holdersJoin(benchmark::State &Run) { measureHolderChange(Run, true); }

void holdersLoss(benchmark::State &Run) { measureHolderChange(Run, false); }

void holdersStartOfAll(benchmark::State &Run) {
  for ([[maybe_unused]] auto Each : Run) {
    Decisions Made(fleetShape(Run.range(0)));
    const Clock::time_point Start = Clock::now();
    std::vector<PlacementHost> Known;
    for (const PlacementHost &Host : Made.Hosts) {
      Known.push_back(Host);
      Made.Holders.setHosts(Known);
      if (Known.size() == 1)
        Made.askHolders();
    }
    Made.askHolders();
    Run.SetIterationTime(secondsSince(Start));
  }
}

void holdersChoose(benchmark::State &Run) {
  Decisions Made(fleetShape(Run.range(0)));
  Made.Holders.setHosts(Made.Hosts);
  Made.askHolders();
  // A path that failed once stays known.
  for (const UpstreamEntry &Each : Made.Entries)
    Made.Holders.pathFailed(hostName(1), Each.Id, TimePoint{});
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    const UpstreamEntry &Entry = Made.Entries[Index++ % Made.Entries.size()];
    benchmark::DoNotOptimize(Made.Holders.choose(
        Entry.Id, Entry.FailureDomain, TimePoint{} + std::chrono::seconds(5)));
  }
}

void holdersRank(benchmark::State &Run) {
  Decisions Made(fleetShape(Run.range(0)));
  Made.Holders.setHosts(Made.Hosts);
  Made.askHolders();
  const std::string Self = hostName(0);
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    const UpstreamEntry &Entry = Made.Entries[Index++ % Made.Entries.size()];
    benchmark::DoNotOptimize(
        Made.Holders.rank(Self, Entry.Id, Entry.FailureDomain));
  }
}

void measureRankingChange(benchmark::State &Run, bool Whole) {
  Decisions Made(fleetShape(Run.range(0)));
  Made.Ranking.setHosts(Made.Hosts);
  Made.askRanks();
  measureChange(Run, Made, Whole, [&](const std::vector<PlacementHost> &Hosts) {
    Made.Ranking.setHosts(Hosts);
    Made.askRanks();
  });
}

void promotersJoin(benchmark::State &Run) { measureRankingChange(Run, true); }

void promotersLoss(benchmark::State &Run) { measureRankingChange(Run, false); }

void promotersLossOfThird(benchmark::State &Run) {
  for ([[maybe_unused]] auto Each : Run) {
    Decisions Made(fleetShape(Run.range(0)));
    Made.Ranking.setHosts(Made.Hosts);
    Made.askRanks();
    std::vector<PlacementHost> Left = Made.Hosts;
    std::erase_if(Left, [](const PlacementHost &Host) {
      return Host.FailureDomain == "zone-1";
    });
    const Clock::time_point Start = Clock::now();
    Made.Ranking.setHosts(Left);
    Made.askRanks();
    Run.SetIterationTime(secondsSince(Start));
  }
}

void promotersStartOfAll(benchmark::State &Run) {
  for ([[maybe_unused]] auto Each : Run) {
    Decisions Made(fleetShape(Run.range(0)));
    const Clock::time_point Start = Clock::now();
    std::vector<PlacementHost> Known;
    for (const PlacementHost &Host : Made.Hosts) {
      Known.push_back(Host);
      Made.Ranking.setHosts(Known);
      Made.askRanks();
    }
    Run.SetIterationTime(secondsSince(Start));
  }
}

void sharedRateOwner(benchmark::State &Run) {
  constexpr double OperationsPerSecond = 1e9; // Never refused.
  SharedRate Rate{BootTime{}};
  Rate.setLimits(OperationsPerSecond, OperationsPerSecond);
  BootTime Now = BootTime{} + std::chrono::seconds(100);
  for ([[maybe_unused]] auto Each : Run) {
    Now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(Rate.admit(1, Now));
  }
}

// Only fleets up to SmallFleet hosts divide a rate by the hosts' demand.
void sharedRateReport(benchmark::State &Run) {
  SharedRate Rate{BootTime{}};
  Rate.setLimits(50, 50);
  BootTime Now = BootTime{} + std::chrono::seconds(100);
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    Now += std::chrono::milliseconds(1);
    Rate.report(hostName(1 + Index++ % (SmallFleet - 1)), {1, 5, 25}, Now);
    benchmark::DoNotOptimize(Rate.admit(SmallFleet, Now));
  }
}

constexpr int StartIterations = 3;

BENCHMARK(holdersJoin)->Apply(withManualTime);
BENCHMARK(holdersLoss)->Apply(withManualTime);
BENCHMARK(holdersStartOfAll)
    ->Apply(withManualTime)
    ->Iterations(StartIterations);
BENCHMARK(holdersChoose)->Apply(withFleetSizes);
BENCHMARK(holdersRank)->Apply(withFleetSizes);
BENCHMARK(promotersJoin)->Apply(withManualTime);
BENCHMARK(promotersLoss)->Apply(withManualTime);
BENCHMARK(promotersLossOfThird)
    ->Apply(withManualTime)
    ->Iterations(StartIterations);
BENCHMARK(promotersStartOfAll)
    ->Apply(withManualTime)
    ->Iterations(StartIterations);
BENCHMARK(sharedRateOwner);
BENCHMARK(sharedRateReport);

} // namespace
} // namespace lavenderdale::bench
