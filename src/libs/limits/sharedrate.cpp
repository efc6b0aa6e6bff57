#include "sharedrate.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace lavenderdale {
namespace {

using Seconds = std::chrono::duration<double>;

// Minimum demand assumed for each host. Without it, the first host to receive a
// request after a common start would take the whole limit.
constexpr double MinDemand = 1; // Operations per second.

double secondsBetween(BootTime From, BootTime To) {
  return std::max(0.0, Seconds(To - From).count());
}

} // namespace

void SharedRate::setLimits(double NewRate, double NewBurst) {
  if (NewRate == this->Rate && NewBurst == this->Burst)
    return;
  this->Rate = NewRate;
  this->Burst = NewBurst;
  this->LastDivisionSlot = -1;
}

/// Returns the operations that all hosts may admit per window.
double SharedRate::fullLimit() const {
  return this->Rate * Seconds(Window).count() + this->Burst;
}

/// Returns how many of \p Operations count now that were admitted under the
/// limit \p LimitThen.
double SharedRate::scaledTo(double LimitThen, double Operations) const {
  return LimitThen > this->fullLimit()
             ? Operations * this->fullLimit() / LimitThen
             : Operations;
}

void SharedRate::setFraction(double NewFraction) {
  if (NewFraction == this->Fraction)
    return;
  this->Fraction = NewFraction;
  this->LastDivisionSlot = -1;
}

void SharedRate::report(const std::string &Host, const Report &Received,
                        BootTime Now) {
  Peer &Each = this->Peers[Host];
  if (Each.ReceivedAt != BootTime{} &&
      Received.StartedAt != Each.Last.StartedAt) {
    Each.PriorAdmitted = Each.Admitted;
    Each.Admitted = {};
  }
  Each.Last = Received;
  Each.ReceivedAt = Now;
  Each.Limit = this->fullLimit();
  const double Known = this->sumOf(Each.Admitted, Now);
  if (Received.Used >= Known)
    this->addTo(Each.Admitted, Received.Used - Known, Now);
  else
    for (Slot &Part : Each.Admitted)
      Part.Admitted *= Received.Used / Known;
  // Hosts that were replaced do not report again.
  std::erase_if(this->Peers, [Now](const auto &Other) {
    return Now - Other.second.ReceivedAt > Window;
  });
}

SharedRate::SlotNumber SharedRate::slotOf(BootTime Time) {
  return Time.time_since_epoch() / SlotLength;
}

double SharedRate::sumOf(const Slots &Operations, BootTime Now) const {
  const SlotNumber Oldest = slotOf(Now) - static_cast<SlotNumber>(SlotCount);
  double Sum = 0;
  for (const Slot &Each : Operations)
    if (Each.Number > Oldest)
      Sum += this->scaledTo(Each.Limit, Each.Admitted);
  return Sum;
}

void SharedRate::addTo(Slots &Operations, double Count, BootTime Now) const {
  const SlotNumber Number = slotOf(Now);
  Slot &Current =
      Operations[static_cast<std::size_t>(Number) % Operations.size()];
  if (Current.Number != Number)
    Current = {Number, 0, this->fullLimit()};
  Current.Limit = std::max(Current.Limit, this->fullLimit());
  // If the limit was lowered in this slot, the whole slot is scaled to it, but
  // these operations were admitted under the present limit.
  const double Scale = this->scaledTo(Current.Limit, 1);
  Current.Admitted += Scale > 0 ? Count / Scale : Count;
}

double SharedRate::limit() const { return this->fullLimit() * this->Fraction; }

double SharedRate::demand(BootTime Now) const {
  const double Decay = std::exp(-secondsBetween(this->DemandAt, Now) /
                                Seconds(DemandWindow).count());
  return this->SmoothedDemand * Decay;
}

void SharedRate::countDemand(BootTime Now) {
  this->SmoothedDemand =
      this->demand(Now) + 1.0 / Seconds(DemandWindow).count();
  this->DemandAt = Now;
}

double SharedRate::equalShare(std::size_t Hosts) const {
  return this->limit() / static_cast<double>(std::max<std::size_t>(Hosts, 1));
}

// Returns this host's fraction of the demand of all hosts with a recent report;
// an equal share if there is no report.
double SharedRate::demandFraction(std::size_t Hosts, BootTime Now) const {
  double Others = 0;
  bool AnyReport = false;
  for (const auto &[Host, Each] : this->Peers) {
    if (Now - Each.ReceivedAt > this->ReportLifetime)
      continue;
    AnyReport = true;
    Others += std::max(Each.Last.Demand, MinDemand);
  }
  if (!AnyReport)
    return 1.0 / static_cast<double>(std::max<std::size_t>(Hosts, 1));
  const double Own = std::max(this->demand(Now), MinDemand);
  return Own / (Own + Others);
}

double SharedRate::assumedPriorUse(std::size_t Hosts, BootTime Now) const {
  const double Age = secondsBetween(this->StartedAt, Now);
  const double HoldTime = Seconds(PriorUseHoldTime).count();
  const double Length = Seconds(Window).count();
  if (Age >= Length)
    return 0;
  const double Fraction = this->demandFraction(Hosts, Now);
  const double Estimated = std::min(this->demand(Now) * Length,
                                    this->limit() * Fraction * MaxPriorUse);
  const double Reported = this->ReportedPriorUse >= this->limit() * FullUseShare
                              ? std::max(this->ReportedPriorUse, this->limit())
                              : this->ReportedPriorUse;
  const double Spent =
      std::max({0.0, Estimated - this->PriorUseTolerance * Fraction, Reported});
  return Age < HoldTime ? Spent : Spent * (Length - Age) / (Length - HoldTime);
}

double SharedRate::used(std::size_t Hosts, BootTime Now) const {
  return this->assumedPriorUse(Hosts, Now) + this->sumOf(this->Admitted, Now);
}

double SharedRate::usedByPeers(std::size_t Hosts, BootTime Now) const {
  double Sum = 0;
  std::size_t Counted = 1;
  std::vector<double> SilentUses;
  for (const auto &[Host, Each] : this->Peers) {
    Sum += this->sumOf(Each.PriorAdmitted, Now);
    if (Now - Each.ReceivedAt > this->ReportLifetime) {
      SilentUses.push_back(this->sumOf(Each.Admitted, Now));
      continue;
    }
    ++Counted;
    Sum += this->scaledTo(Each.Limit, Each.Last.Used);
  }
  // A silent host that belongs to the fleet may admit an equal share now. What
  // it admitted before counts in any case, also if it has left.
  std::sort(SilentUses.begin(), SilentUses.end(), std::greater<>());
  const std::size_t Missing = Hosts > Counted ? Hosts - Counted : 0;
  SilentUses.resize(std::max(SilentUses.size(), Missing));
  for (std::size_t Index = 0; Index < SilentUses.size(); ++Index)
    Sum += Index < Missing
               ? std::max(SilentUses[Index], this->equalShare(Hosts))
               : SilentUses[Index];
  return Sum;
}

double SharedRate::usedByAll(std::size_t Hosts, BootTime Now) const {
  return this->used(Hosts, Now) + this->usedByPeers(Hosts, Now);
}

// Assigns this host its share of the window's remaining operations.
void SharedRate::divide(std::size_t Hosts, BootTime Now) {
  const double Remaining = this->limit() - this->usedByAll(Hosts, Now);
  const double Fraction = this->demandFraction(Hosts, Now);
  // Right after the start, the demand average is too short to estimate the use
  // by the previous process, so no burst is permitted.
  const double Burst =
      Now - this->StartedAt < DemandWindow ? 0 : Remaining * BurstFraction;
  const double Refill = this->limit() / SlotCount + Burst;
  this->Tokens = std::max(0.0, std::min(this->Tokens + Refill * Fraction,
                                        std::max(Remaining * Fraction, 0.0)));
  // A share below one operation must not block the host completely.
  if (Remaining >= 1 && this->Tokens < 1 && Remaining * Fraction < 1)
    this->Tokens = 1;
}

bool SharedRate::admit(std::size_t Hosts, BootTime Now) {
  this->countDemand(Now);
  const SlotNumber Current = slotOf(Now);
  if (Current != this->LastDivisionSlot) {
    this->LastDivisionSlot = Current;
    this->divide(Hosts, Now);
  }
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  this->addTo(this->Admitted, 1, Now);
  return true;
}

// The available operations change only with the next slot.
std::chrono::milliseconds SharedRate::retryAfter(BootTime Now) const {
  const BootTime Next(
      std::chrono::duration_cast<BootTime::duration>(SlotLength) *
      (slotOf(Now) + 1));
  return std::chrono::duration_cast<std::chrono::milliseconds>(Next - Now) +
         std::chrono::milliseconds(1);
}

} // namespace lavenderdale
