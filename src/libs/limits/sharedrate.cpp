#include "sharedrate.h"

#include <algorithm>
#include <cmath>

namespace lavenderdale {
namespace {

using Seconds = std::chrono::duration<double>;

// Hosts without demand, as all are at their start, count as if they had this
// much; otherwise the first to be asked would take the whole limit.
constexpr double LeastDemand = 1; // Operations per second.

double secondsBetween(BootTime From, BootTime To) {
  return std::max(0.0, Seconds(To - From).count());
}

} // namespace

void SharedRate::setLimits(double NewRate, double NewBurst) {
  if (NewRate == this->Rate && NewBurst == this->Burst)
    return;
  const double Before = this->limit();
  this->Rate = NewRate;
  this->Burst = NewBurst;
  this->DividedIn = -1;
  if (this->limit() >= Before)
    return;
  const double Kept = this->limit() / Before;
  for (Slot &Each : this->Admitted)
    Each.Admitted *= Kept;
  for (auto &[Host, Each] : this->Peers) {
    Each.Last.Used *= Kept;
    Each.UsedBefore *= Kept;
  }
}

void SharedRate::setPart(double NewPart) {
  if (NewPart == this->Part)
    return;
  this->Part = NewPart;
  this->DividedIn = -1;
}

void SharedRate::report(const std::string &Host, const Report &Told,
                        BootTime Now) {
  Peer &Each = this->Peers[Host];
  if (Each.At != BootTime{} && Told.StartedAt != Each.Last.StartedAt) {
    Each.UsedBefore = Each.Last.Used;
    Each.UsedBeforeAt = Each.At;
  }
  Each.Last = Told;
  Each.At = Now;
}

SharedRate::SlotNumber SharedRate::slotOf(BootTime Time) {
  return Time.time_since_epoch() / SlotLength;
}

double SharedRate::fading(double Used, BootTime Since, BootTime Now) {
  const double Left = 1 - secondsBetween(Since, Now) / Seconds(Window).count();
  return Used * std::max(0.0, Left);
}

double SharedRate::limit() const {
  return (this->Rate * Seconds(Window).count() + this->Burst) * this->Part;
}

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

double SharedRate::equalPart(std::size_t Hosts) const {
  return this->limit() / static_cast<double>(std::max<std::size_t>(Hosts, 1));
}

// This host's part of the demand of the hosts that are heard; an equal part
// without any.
double SharedRate::partOfDemand(std::size_t Hosts, BootTime Now) const {
  double Others = 0;
  bool Heard = false;
  for (const auto &[Host, Each] : this->Peers) {
    if (Now - Each.At > this->ReportLifetime)
      continue;
    Heard = true;
    Others += std::max(Each.Last.Demand, LeastDemand);
  }
  if (!Heard)
    return 1.0 / static_cast<double>(std::max<std::size_t>(Hosts, 1));
  const double Own = std::max(this->demand(Now), LeastDemand);
  return Own / (Own + Others);
}

double SharedRate::spentBeforeStart(std::size_t Hosts, BootTime Now) const {
  const double Age = secondsBetween(this->StartedAt, Now);
  const double Held = Seconds(SpentBeforeHeld).count();
  const double Length = Seconds(Window).count();
  if (Age >= Length)
    return 0;
  const double Spent = std::min(this->demand(Now) * Length,
                                this->limit() * this->partOfDemand(Hosts, Now) *
                                    MostSpentBefore);
  return Age < Held ? Spent : Spent * (Length - Age) / (Length - Held);
}

double SharedRate::used(std::size_t Hosts, BootTime Now) const {
  const SlotNumber Current = slotOf(Now);
  double Sum = this->spentBeforeStart(Hosts, Now);
  for (const Slot &Each : this->Admitted)
    if (Each.Number > Current - static_cast<SlotNumber>(Slots))
      Sum += Each.Admitted;
  return Sum;
}

double SharedRate::usedByPeers(std::size_t Hosts, BootTime Now) const {
  double Sum = 0;
  std::size_t Heard = 1;
  for (const auto &[Host, Each] : this->Peers) {
    Sum += fading(Each.UsedBefore, Each.UsedBeforeAt, Now);
    if (Now - Each.At > this->ReportLifetime) {
      // Counted below if it still belongs to the fleet.
      continue;
    }
    ++Heard;
    Sum += Each.Last.Used;
  }
  if (Hosts > Heard)
    Sum += this->equalPart(Hosts) * static_cast<double>(Hosts - Heard);
  return Sum;
}

double SharedRate::usedByAll(std::size_t Hosts, BootTime Now) const {
  return this->used(Hosts, Now) + this->usedByPeers(Hosts, Now);
}

// Divides what is left of the window among the hosts.
void SharedRate::divide(std::size_t Hosts, BootTime Now) {
  const double Left = this->limit() - this->usedByAll(Hosts, Now);
  const double Part = this->partOfDemand(Hosts, Now);
  // Right after the start, what was spent before cannot be told from the
  // demand yet.
  const double Burst =
      Now - this->StartedAt < DemandWindow ? 0 : Left * BurstPart;
  const double Pace = this->limit() / Slots + Burst;
  this->Tokens = std::max(
      0.0, std::min(this->Tokens + Pace * Part, std::max(Left * Part, 0.0)));
  // A part below one operation must not shut the host out.
  if (Left >= 1 && this->Tokens < 1 && Left * Part < 1)
    this->Tokens = 1;
}

bool SharedRate::admit(std::size_t Hosts, BootTime Now) {
  this->countDemand(Now);
  const SlotNumber Current = slotOf(Now);
  if (Current != this->DividedIn) {
    this->DividedIn = Current;
    this->divide(Hosts, Now);
  }
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  Slot &Into =
      this->Admitted[static_cast<std::size_t>(Current) % this->Admitted.size()];
  if (Into.Number != Current)
    Into = {Current, 0};
  Into.Admitted += 1;
  return true;
}

// The next division is the first moment at which something can change.
std::chrono::milliseconds SharedRate::retryAfter(BootTime Now) const {
  const BootTime Next(
      std::chrono::duration_cast<BootTime::duration>(SlotLength) *
      (slotOf(Now) + 1));
  return std::chrono::duration_cast<std::chrono::milliseconds>(Next - Now) +
         std::chrono::milliseconds(1);
}

} // namespace lavenderdale
