#include "limits/sharedrate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const BootTime Start{1000s};

/// Hosts that share one rate and report to each other every 250 ms.
class Fleet {
public:
  Fleet(std::size_t Hosts, double Rate, double Burst)
      : Reaches(Hosts, true), Incarnation(Hosts, 1), Served(Hosts),
        Asked(Hosts) {
    // The processes run for a while before callers come.
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Rates.emplace_back(Start - 10s).setLimits(Rate, Burst);
  }

  /// Sends Poisson demand to each host until \p Until and records every
  /// admission.
  void run(const std::vector<double> &Demand, BootTime Until) {
    constexpr std::chrono::milliseconds Step{1};
    for (; this->Now < Until; this->Now += Step) {
      if (this->Now >= this->NextReport) {
        this->exchange();
        this->NextReport = this->Now + 250ms;
      }
      for (std::size_t Host = 0; Host < this->Rates.size(); ++Host) {
        std::poisson_distribution<int> Arrivals(Demand[Host] / 1000);
        for (int Left = Arrivals(this->Random); Left > 0; --Left) {
          ++this->Asked[Host];
          if (!this->Rates[Host].admit(this->Rates.size(), this->Now))
            continue;
          ++this->Served[Host];
          this->Admissions.push_back(this->Now);
        }
      }
    }
  }

  /// Most admissions in any window of 5 s.
  std::size_t busiestWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < this->Admissions.size(); ++Last) {
      while (this->Admissions[Last] - this->Admissions[First] >= 5s)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  void restart(std::size_t Host, double Rate, double Burst) {
    this->Rates[Host] = SharedRate(this->Now);
    this->Rates[Host].setLimits(Rate, Burst);
    ++this->Incarnation[Host];
  }

  static int sum(const std::vector<int> &Counts) {
    return std::accumulate(Counts.begin(), Counts.end(), 0);
  }

  std::vector<SharedRate> Rates;
  std::vector<bool> Reaches; ///< Whether reports of the host arrive.
  std::vector<std::uint64_t> Incarnation;
  std::vector<int> Served;
  std::vector<int> Asked;
  BootTime Now = Start;

private:
  void exchange() {
    for (std::size_t From = 0; From < this->Rates.size(); ++From)
      for (std::size_t To = 0; To < this->Rates.size(); ++To)
        if (From != To && this->Reaches[From] && this->Reaches[To])
          this->Rates[To].report(
              "host-" + std::to_string(From),
              {this->Incarnation[From], this->Rates[From].demand(this->Now),
               this->Rates[From].used(this->Rates.size(), this->Now)},
              this->Now);
  }

  BootTime NextReport = Start;
  std::deque<BootTime> Admissions;
  std::mt19937_64 Random{17};
};

// The contract's bound: what a window may have, a tenth more, and 20.
std::size_t bound(double Rate, double Burst) {
  return static_cast<std::size_t>((Rate * 5 + Burst) * 1.1 + 20);
}

} // namespace

// Load pattern: demand below the rate, a third of it at one of six hosts.
// Equal parts refused that host's callers although the sum was inside.
TEST_CASE("uneven demand inside the rate is served whole", "[rate]") {
  Fleet Hosts(6, 60, 60);
  Hosts.run({20, 5, 5, 5, 5, 5}, Start + 20s);
  CHECK(Fleet::sum(Hosts.Served) >= Fleet::sum(Hosts.Asked) * 99 / 100);
}

// Load pattern: a workspace sends seven and a half times its usual.
TEST_CASE("a hot workspace is held to its limit and gets nearly all of it",
          "[rate]") {
  Fleet Hosts(6, 40, 40);
  Hosts.run({8, 4, 4, 4, 3, 2}, Start + 6s);
  Hosts.run({60, 30, 30, 30, 22, 15}, Start + 26s);
  CHECK(Hosts.busiestWindow() <= bound(40, 40));
  // 20 s of four windows.
  CHECK(Fleet::sum(Hosts.Served) >= 4 * (40 * 5 + 40) * 85 / 100);
  // Callers at different hosts have about the same chance.
  const double First = double(Hosts.Served[0]) / Hosts.Asked[0];
  const double Last = double(Hosts.Served[5]) / Hosts.Asked[5];
  CHECK(First >= Last * 0.6);
  CHECK(Last >= First * 0.6);
}

// Load pattern: hosts cannot hear each other while all of them get too much.
TEST_CASE("hosts that are cut off stay inside the limit together", "[rate]") {
  Fleet Hosts(6, 40, 40);
  Hosts.run({60, 30, 30, 30, 30, 30}, Start + 8s);
  Hosts.Reaches = {false, false, false, true, true, true};
  Hosts.run({60, 30, 30, 30, 30, 30}, Start + 20s);
  CHECK(Hosts.busiestWindow() <= bound(40, 40));
  const int Before = Fleet::sum(Hosts.Served);
  Hosts.Reaches.assign(6, true);
  Hosts.run({60, 30, 30, 30, 30, 30}, Start + 30s);
  CHECK(Fleet::sum(Hosts.Served) > Before);
  CHECK(Hosts.busiestWindow() <= bound(40, 40));
}

// Load pattern: all hosts are killed and started again under too much load. A
// new process knows nothing of the window before it.
TEST_CASE("a restart of all hosts does not open the window twice", "[rate]") {
  Fleet Hosts(6, 40, 40);
  const std::vector<double> Hot{60, 30, 30, 30, 30, 30};
  Hosts.run(Hot, Start + 8s);
  // Down for a second.
  Hosts.run({0, 0, 0, 0, 0, 0}, Start + 9s);
  for (std::size_t Host = 0; Host < 6; ++Host)
    Hosts.restart(Host, 40, 40);
  Hosts.run(Hot, Start + 20s);
  CHECK(Hosts.busiestWindow() <= bound(40, 40));
}

// The same restart under the usual load refuses next to nothing.
TEST_CASE("a restart of all hosts costs a usual demand little", "[rate]") {
  Fleet Hosts(6, 40, 40);
  const std::vector<double> Usual{9, 4, 4, 3, 3, 2};
  Hosts.run(Usual, Start + 8s);
  Hosts.run({0, 0, 0, 0, 0, 0}, Start + 9s);
  for (std::size_t Host = 0; Host < 6; ++Host)
    Hosts.restart(Host, 40, 40);
  const int Served = Fleet::sum(Hosts.Served);
  const int Asked = Fleet::sum(Hosts.Asked);
  Hosts.run(Usual, Start + 20s);
  CHECK(Fleet::sum(Hosts.Served) - Served >=
        (Fleet::sum(Hosts.Asked) - Asked) * 95 / 100);
}

TEST_CASE("a limit that was lowered binds one window later", "[rate]") {
  Fleet Hosts(3, 100, 100);
  Hosts.run({60, 30, 30}, Start + 10s);
  for (SharedRate &Each : Hosts.Rates)
    Each.setLimits(20, 20);
  Hosts.run({60, 30, 30}, Start + 15s);
  const int Before = Fleet::sum(Hosts.Served);
  Hosts.run({60, 30, 30}, Start + 20s);
  CHECK(Fleet::sum(Hosts.Served) - Before <= static_cast<int>(bound(20, 20)));
}

// Load pattern: an operator lowers the limit of a workspace that uses all of
// the higher one. What it was admitted before filled the new window, so that
// all of its operations were refused for seconds.
TEST_CASE("a workspace goes on at its new pace when its limit is lowered",
          "[rate]") {
  Fleet Hosts(3, 100, 100);
  Hosts.run({60, 30, 30}, Start + 10s);
  for (SharedRate &Each : Hosts.Rates)
    Each.setLimits(20, 20);
  const int Before = Fleet::sum(Hosts.Served);
  Hosts.run({60, 30, 30}, Start + 12s);
  // 85 % of the new rate, as for any demand above it.
  CHECK(Fleet::sum(Hosts.Served) - Before >= 2 * 20 * 85 / 100);
  Hosts.run({60, 30, 30}, Start + 15s);
  CHECK(Fleet::sum(Hosts.Served) - Before <= static_cast<int>(bound(20, 20)));
}

// Load pattern: the hosts of a large fleet are cut in two, and each side has
// an owner that counts the operations of a hot workspace.
TEST_CASE("two owners of a cut fleet stay inside the limit together",
          "[rate]") {
  constexpr double Rate = 40;
  constexpr double Burst = 40;
  SharedRate First(Start - 10s);
  First.setLimits(Rate, Burst);
  std::vector<BootTime> Admissions;
  const auto Run = [&](SharedRate &Owner, BootTime Now) {
    if (Owner.admit(1, Now))
      Admissions.push_back(Now);
  };
  BootTime Now = Start;
  for (; Now < Start + 10s; Now += 5ms)
    Run(First, Now);
  First.setPart(2.0 / 3);
  SharedRate Second(Now);
  Second.setLimits(Rate, Burst);
  Second.setPart(1.0 / 3);
  for (; Now < Start + 25s; Now += 10ms) {
    Run(First, Now);
    Run(Second, Now);
  }
  std::size_t First5 = 0;
  std::size_t Most = 0;
  for (std::size_t Last = 0; Last < Admissions.size(); ++Last) {
    while (Admissions[Last] - Admissions[First5] >= 5s)
      ++First5;
    Most = std::max(Most, Last - First5 + 1);
  }
  CHECK(Most <= bound(Rate, Burst));
  CHECK(Most >= (Rate * 5 + Burst) * 85 / 100);
}
