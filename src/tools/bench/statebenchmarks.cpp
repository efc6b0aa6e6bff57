#include "base/strictjson.h"
#include "benchsizes.h"
#include "benchstate.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>

namespace lavenderdale::bench {
namespace {

/// Adds the time of \p Step to \p Seconds.
template <typename Step> void timed(double &Seconds, const Step &Do) {
  const Clock::time_point Start = Clock::now();
  Do();
  Seconds += secondsSince(Start);
}

void fleetViewReport(benchmark::State &Run) {
  const FleetShape &Shape = fleetShape(Run.range(0));
  FleetView Fleet(hostName(0));
  BootTime Now = BootTime{} + std::chrono::hours(1);
  Fleet.setRegistered(registrations(Shape.Hosts), Now);
  std::vector<HostReport> Reports;
  for (std::size_t Index = 1; Index < Shape.Hosts; ++Index)
    Reports.push_back(hostReport(Shape, Index, 0, true));
  const auto Pause = reportInterval(Shape.Hosts) / (Shape.Hosts - 1);
  std::uint64_t Sequence = 0;
  const auto RecordNext = [&] {
    HostReport &Report = Reports[Sequence % Reports.size()];
    Report.Sequence = ++Sequence;
    Now += Pause;
    benchmark::DoNotOptimize(Fleet.recordReport(Report, Now));
    benchmark::DoNotOptimize(Fleet.size(Now));
  };
  for (std::size_t First = 0; First < Reports.size(); ++First)
    RecordNext(); // The first report of a host is a join.
  for ([[maybe_unused]] auto Each : Run)
    RecordNext();
}

void operation(benchmark::State &Run) {
  BenchState Bench(fleetShape(Run.range(0)));
  Bench.enterService();
  ProxyState &State = Bench.state();
  const std::string Workspace = "workspace-0001";
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    const UpstreamEntry &Entry =
        Bench.entries()[Index++ % Bench.entries().size()];
    benchmark::DoNotOptimize(State.admitAsOwner(Workspace, BootClock::now()));
    benchmark::DoNotOptimize(State.access().isRemote(Entry, steadyNow()));
    benchmark::DoNotOptimize(State.findGroupOf(Entry.Id));
  }
}

void measureReport(benchmark::State &Run, bool Proven) {
  const FleetShape &Shape = fleetShape(Run.range(0));
  BenchState Bench(Shape);
  Bench.enterService();
  Bench.report(1, Proven); // The first one computes the promotion orders.
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    Index = 1 + Index % (Shape.Hosts - 1);
    Bench.report(Index, Proven);
  }
}

void applyReport(benchmark::State &Run) { measureReport(Run, true); }

void applyTroubleReport(benchmark::State &Run) { measureReport(Run, false); }

void ownReport(benchmark::State &Run) {
  BenchState Bench(fleetShape(Run.range(0)));
  Bench.enterService();
  for ([[maybe_unused]] auto Each : Run)
    benchmark::DoNotOptimize(Bench.state().report(BootClock::now(), false));
}

void applyUpstreams(benchmark::State &Run) {
  BenchState Bench(fleetShape(Run.range(0)));
  Bench.enterService();
  for ([[maybe_unused]] auto Each : Run)
    Bench.state().applyUpstreams();
}

void applyFleetUnchanged(benchmark::State &Run) {
  BenchState Bench(fleetShape(Run.range(0)));
  Bench.enterService();
  for ([[maybe_unused]] auto Each : Run)
    Bench.state().applyFleet();
}

void supervise(benchmark::State &Run) {
  BenchState Bench(fleetShape(Run.range(0)));
  Bench.enterService();
  for ([[maybe_unused]] auto Each : Run)
    Bench.state().supervise(steadyNow());
}

void measureChange(benchmark::State &Run, bool Join) {
  const FleetShape &Shape = fleetShape(Run.range(0));
  BenchState Bench(Shape);
  Bench.enterService();
  std::size_t Index = 0;
  for ([[maybe_unused]] auto Each : Run) {
    Index = 1 + Index % (Shape.Hosts - 1);
    double Loss = 0;
    double Joined = 0;
    timed(Loss, [&] {
      Bench.report(Index, true, true);
      Bench.state().applyFleet();
    });
    timed(Joined, [&] {
      Bench.report(Index, true);
      Bench.state().applyFleet();
    });
    Run.SetIterationTime(Join ? Joined : Loss);
  }
}

void join(benchmark::State &Run) { measureChange(Run, true); }

void loss(benchmark::State &Run) { measureChange(Run, false); }

/// What one host computes in the 20 s after all hosts started together, without
/// the network: the counters are milliseconds of processor time.
void firstTwentySeconds(benchmark::State &Run) {
  constexpr std::chrono::seconds Length{20};
  constexpr std::chrono::milliseconds SuperviseInterval{100};
  const FleetShape &Shape = fleetShape(Run.range(0));
  const std::string Text = catalogueText(Shape);
  const auto Rounds =
      static_cast<std::size_t>(Length / reportInterval(Shape.Hosts));
  const std::size_t Parts = reportParts(Shape.Hosts);
  std::vector<std::string> Reports;
  for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
    Reports.push_back(encodeReport(hostReport(Shape, Index, 1, false)));
  struct {
    double Catalogue = 0, Upstreams = 0, Decoding = 0, Reports = 0, Fleet = 0,
           OwnReports = 0, Supervision = 0;
  } Seconds;
  for ([[maybe_unused]] auto Each : Run) {
    const auto Before = Seconds;
    BenchState Bench(Shape);
    ProxyState &State = Bench.state();
    timed(Seconds.Catalogue, [&] {
      benchmark::DoNotOptimize(parseStrictJson(Text));
      State.offerCatalogue(catalogue(Shape, 1), "benchmark");
    });
    timed(Seconds.Upstreams, [&] {
      for (const UpstreamEntry &Entry : Bench.entries()) {
        State.directory().put(Entry);
        State.applyUpstreams();
      }
    });
    // Round 0 is that of the first reports, which come from unknown hosts.
    for (std::size_t Round = 0; Round <= Rounds; ++Round)
      for (std::size_t Part = 0; Part < Parts; ++Part) {
        for (std::size_t Index = 1; Index < Shape.Hosts; ++Index) {
          if (Index % Parts != Part)
            continue;
          timed(Seconds.Decoding, [&] {
            benchmark::DoNotOptimize(decodeReport(Reports[Index]));
          });
          timed(Seconds.Reports, [&] { Bench.report(Index, false); });
        }
        timed(Seconds.Fleet, [&] { State.applyFleet(); });
        timed(Seconds.OwnReports, [&] {
          benchmark::DoNotOptimize(State.promotersToTell(steadyNow()));
          benchmark::DoNotOptimize(
              encodeReport(State.report(BootClock::now(), false)));
        });
      }
    timed(Seconds.Supervision, [&] {
      for (int Step = 0; Step < Length / SuperviseInterval; ++Step)
        State.supervise(steadyNow());
    });
    Run.SetIterationTime(Seconds.Catalogue - Before.Catalogue +
                         Seconds.Upstreams - Before.Upstreams +
                         Seconds.Decoding - Before.Decoding + Seconds.Reports -
                         Before.Reports + Seconds.Fleet - Before.Fleet +
                         Seconds.OwnReports - Before.OwnReports +
                         Seconds.Supervision - Before.Supervision);
  }
  const auto Milliseconds = [&Run](double Sum) {
    constexpr double MillisecondsPerSecond = 1000;
    return Sum * MillisecondsPerSecond / static_cast<double>(Run.iterations());
  };
  Run.counters["catalogue"] = Milliseconds(Seconds.Catalogue);
  Run.counters["upstreams"] = Milliseconds(Seconds.Upstreams);
  Run.counters["decoding"] = Milliseconds(Seconds.Decoding);
  Run.counters["reports"] = Milliseconds(Seconds.Reports);
  Run.counters["fleet"] = Milliseconds(Seconds.Fleet);
  Run.counters["own_reports"] = Milliseconds(Seconds.OwnReports);
  Run.counters["supervision"] = Milliseconds(Seconds.Supervision);
}

constexpr int StartIterations = 2;

BENCHMARK(fleetViewReport)->Apply(withFleetSizes);
BENCHMARK(operation)->Apply(withFleetSizes);
BENCHMARK(applyReport)->Apply(withFleetSizes);
BENCHMARK(applyTroubleReport)->Apply(withFleetSizes);
BENCHMARK(ownReport)->Apply(withFleetSizes);
BENCHMARK(applyUpstreams)->Apply(withFleetSizes);
BENCHMARK(applyFleetUnchanged)->Apply(withFleetSizes);
BENCHMARK(supervise)->Apply(withFleetSizes);
BENCHMARK(join)->Apply(withManualTime);
BENCHMARK(loss)->Apply(withManualTime);
BENCHMARK(firstTwentySeconds)
    ->Apply(withManualTime)
    ->Iterations(StartIterations);

} // namespace
} // namespace lavenderdale::bench
