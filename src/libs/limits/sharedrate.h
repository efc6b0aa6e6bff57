#pragma once

#include "base/boottime.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lavenderdale {

/// A rate of one workspace that all hosts share without an owner.
///
/// A workspace may send rate x window + burst operations in any window. Each
/// host tells the others how many it admitted in the last window, and its
/// demand. What is left of the window is divided by demand at each report, so
/// that all hosts refuse the same part of a demand that is too high, and none
/// while the sum stays below the limit. A host that is not heard from is
/// counted with an equal part of the limit, and a host that hears nobody keeps
/// to that part; the sum stays within the limit while hosts are cut off.
///
/// A demand above the limit is admitted at an even pace, so that it is not
/// served whole for part of each window and refused whole for the rest.
///
/// Load pattern: one workspace sends many times its usual at several hosts,
/// and the hosts have very different parts of it.
class SharedRate {
public:
  /// Length of the window in which operations are counted.
  static constexpr std::chrono::milliseconds Window{5000};
  /// What is left is divided anew in each part of the window, at the interval
  /// of the reports.
  static constexpr std::size_t Slots = 20;
  /// Time over which demand is smoothed; of the order of the report interval.
  static constexpr std::chrono::milliseconds DemandWindow{500};
  /// Part of what is left of the window that may be admitted in one slot,
  /// beyond the even pace; lets bursts through while the window is far from
  /// full, and uses up what an uneven demand left.
  static constexpr double BurstPart = 0.15;
  /// A starting host takes the operations of the process before it as spent:
  /// as many as its demand would have been, up to this part of the limit.
  static constexpr double MostSpentBefore = 0.85;
  /// They count whole for this long after the start, and less and less until
  /// they have left the window.
  static constexpr std::chrono::milliseconds SpentBeforeHeld{3000};

  /// \param ProcessStart when this process started to serve.
  explicit SharedRate(BootTime ProcessStart) : StartedAt(ProcessStart) {}

  /// \param Lifetime age beyond which a report counts as silence.
  void setReportLifetime(std::chrono::milliseconds Lifetime) {
    this->ReportLifetime = Lifetime;
  }

  /// What was admitted under a higher limit counts as the same part of the new
  /// one, so that a workspace whose limit is lowered goes on at its new pace
  /// instead of being refused whole until the window has passed.
  /// \param Rate operations a second over all hosts.
  /// \param Burst operations at once over all hosts.
  void setLimits(double Rate, double Burst);

  /// \param Part part of the limits that may be admitted here; 1 for all.
  void setPart(double Part);

  /// What another host told.
  struct Report {
    std::uint64_t StartedAt = 0; ///< Tells processes of the host apart.
    double Demand = 0;           ///< Operations per second, refused included.
    double Used = 0;             ///< Admitted in the last window.
  };
  void report(const std::string &Host, const Report &Told, BootTime Now);

  /// Counts one operation and says whether it is inside the limit.
  /// \param Hosts number of hosts of the fleet, this one included.
  bool admit(std::size_t Hosts, BootTime Now);

  /// Smoothed demand of this host, refused operations included, per second.
  double demand(BootTime Now) const;

  /// Operations that this host admitted in the last window, with those that
  /// the process before it may have admitted.
  double used(std::size_t Hosts, BootTime Now) const;

  /// Operations of all hosts in the last window, as far as is known.
  double usedByAll(std::size_t Hosts, BootTime Now) const;

  /// Operations of all hosts that a window may have.
  double limit() const;

  /// When an operation that was refused at \p Now has a chance again.
  std::chrono::milliseconds retryAfter(BootTime Now) const;

private:
  using SlotNumber = std::int64_t;
  static constexpr std::chrono::milliseconds SlotLength{Window.count() /
                                                        std::int64_t{Slots}};

  struct Slot {
    SlotNumber Number = -1;
    double Admitted = 0;
  };
  struct Peer {
    Report Last;
    BootTime At{};
    double UsedBefore = 0; ///< By an earlier process of the host.
    BootTime UsedBeforeAt{};
  };

  static SlotNumber slotOf(BootTime Time);
  double usedByPeers(std::size_t Hosts, BootTime Now) const;
  void divide(std::size_t Hosts, BootTime Now);
  void countDemand(BootTime Now);
  double equalPart(std::size_t Hosts) const;
  double partOfDemand(std::size_t Hosts, BootTime Now) const;
  double spentBeforeStart(std::size_t Hosts, BootTime Now) const;
  static double fading(double Used, BootTime Since, BootTime Now);

  double Rate = 0;
  double Burst = 0;
  double Part = 1;
  std::chrono::milliseconds ReportLifetime{1500};
  BootTime StartedAt;
  std::array<Slot, Slots> Admitted{};
  double Tokens = 0;
  SlotNumber DividedIn = -1;
  double SmoothedDemand = 0;
  BootTime DemandAt{};
  std::map<std::string, Peer> Peers;
};

} // namespace lavenderdale
