#pragma once

#include "base/boottime.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lavenderdale {

/// Rate limit of one workspace that all hosts enforce together without an
/// owner.
///
/// A workspace may send rate x window + burst operations in any window. Each
/// host reports to the others its demand and how many operations it admitted in
/// the last window. At each report interval, the remaining operations of the
/// window are divided among the hosts by demand. All hosts therefore refuse the
/// same fraction of an excessive demand, and none while the total stays below
/// the limit. A host without a recent report is counted with an equal share of
/// the limit, and a host that receives no reports limits itself to that share,
/// so that the total stays within the limit during a network partition.
///
/// Demand above the limit is admitted at an even pace, instead of being served
/// completely for part of each window and refused completely for the rest.
///
/// Load pattern: one workspace sends a multiple of its usual load to several
/// hosts, distributed very unevenly among them.
class SharedRate {
public:
  /// Length of the window in which operations are counted.
  static constexpr std::chrono::milliseconds Window{5000};
  /// Number of slots in a window. The remaining operations are divided anew in
  /// each slot; the slot length is the report interval.
  static constexpr std::size_t SlotCount = 20;
  /// Time constant of the demand average; of the order of the report interval.
  static constexpr std::chrono::milliseconds DemandWindow{500};
  /// Fraction of the window's remaining operations that may be admitted in one
  /// slot in addition to the even pace. Permits bursts while the window is far
  /// from full, and lets operations be used that uneven demand left over.
  static constexpr double BurstFraction = 0.15;
  /// A starting host assumes that its previous process admitted operations
  /// according to the current demand, up to this fraction of the host's limit.
  static constexpr double MaxPriorUse = 0.85;
  /// The assumed operations count in full for this long after the start, then
  /// decrease linearly to zero at the end of the window.
  static constexpr std::chrono::milliseconds PriorUseHoldTime{3000};

  /// From this fraction of the limit on, reported prior use counts as all of
  /// it: what is left is admitted by the owner that reported it.
  static constexpr double FullUseShare = 0.9;

  /// \param ProcessStart when this process started serving.
  explicit SharedRate(BootTime ProcessStart) : StartedAt(ProcessStart) {}

  /// Sets how long a report of another host is used.
  /// \param Lifetime age beyond which the host counts as not reporting.
  void setReportLifetime(std::chrono::milliseconds Lifetime) {
    this->ReportLifetime = Lifetime;
  }

  /// Sets the limits. When they are lowered, the operations already admitted
  /// count as scaled to the new limit, so that the workspace continues at its
  /// new rate instead of being refused completely until the window has passed.
  /// They count in full again if the limits are raised within the window.
  /// \param Rate operations per second over all hosts.
  /// \param Burst operations over all hosts in addition to the rate.
  void setLimits(double Rate, double Burst);

  /// Sets the fraction of the limits that may be admitted here.
  /// \param Fraction 0 to 1; 1 for all.
  void setFraction(double Fraction);

  /// Sets by how much the operations assumed for the previous process may be
  /// underestimated, because the limit is only enforced up to a tolerance.
  /// \param Operations of all hosts, in a window.
  void setPriorUseTolerance(double Operations) {
    this->PriorUseTolerance = Operations;
  }

  /// Sets the operations that an owner before this one admitted in the window
  /// before the start, as far as it reported them. They count as prior use in
  /// full, even if the demand here is lower: that owner may still serve others,
  /// and several hosts may take its place.
  void setReportedPriorUse(double Operations) {
    this->ReportedPriorUse = Operations;
  }

  /// State that another host reported.
  struct Report {
    std::uint64_t StartedAt = 0; ///< Identifies the process of the host.
    double Demand = 0; ///< Operations per second, including refused ones.
    double Used = 0;   ///< Operations admitted in the last window.
  };
  /// Processes the report of another host.
  void report(const std::string &Host, const Report &Received, BootTime Now);

  /// Counts one operation and returns whether it is within the limit.
  /// \param Hosts number of hosts in the fleet, including this one.
  bool admit(std::size_t Hosts, BootTime Now);

  /// Returns the smoothed demand of this host in operations per second,
  /// including refused ones.
  double demand(BootTime Now) const;

  /// Returns the operations that this host admitted in the last window,
  /// including those assumed for its previous process.
  double used(std::size_t Hosts, BootTime Now) const;

  /// Returns the known or assumed operations of all hosts in the last window.
  double usedByAll(std::size_t Hosts, BootTime Now) const;

  /// Returns the number of operations that all hosts may admit per window,
  /// scaled by the fraction set for this host.
  double limit() const;

  /// Returns how long after \p Now a refused operation may be retried with a
  /// chance of success.
  std::chrono::milliseconds retryAfter(BootTime Now) const;

private:
  using SlotNumber = std::int64_t;
  static constexpr std::chrono::milliseconds SlotLength{
      Window.count() / std::int64_t{SlotCount}};

  struct Slot {
    SlotNumber Number = -1;
    double Admitted = 0;
    double Limit = 0; ///< Of all hosts, when they were admitted.
  };
  using Slots = std::array<Slot, SlotCount>;
  struct Peer {
    Report Last;
    BootTime ReceivedAt{};
    double Limit = 0; ///< Of all hosts, when the report was received.
    /// When it admitted its operations, as far as its reports show it.
    Slots Admitted{};
    Slots PriorAdmitted{}; ///< The same of its previous process.
  };

  static SlotNumber slotOf(BootTime Time);
  double fullLimit() const;
  double scaledTo(double LimitThen, double Operations) const;
  double sumOf(const Slots &Operations, BootTime Now) const;
  void addTo(Slots &Operations, double Count, BootTime Now) const;
  double usedByPeers(std::size_t Hosts, BootTime Now) const;
  void divide(std::size_t Hosts, BootTime Now);
  void countDemand(BootTime Now);
  double equalShare(std::size_t Hosts) const;
  double demandFraction(std::size_t Hosts, BootTime Now) const;
  double assumedPriorUse(std::size_t Hosts, BootTime Now) const;

  double Rate = 0;
  double Burst = 0;
  double Fraction = 1;
  std::chrono::milliseconds ReportLifetime{1500};
  double PriorUseTolerance = 0;
  double ReportedPriorUse = 0;
  BootTime StartedAt;
  Slots Admitted{};
  double Tokens = 0;
  SlotNumber LastDivisionSlot = -1;
  double SmoothedDemand = 0;
  BootTime DemandAt{};
  std::map<std::string, Peer> Peers;
};

} // namespace lavenderdale
