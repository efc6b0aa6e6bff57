#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lavenderdale {
namespace {

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

std::size_t boundedSlots(std::size_t Slots) {
  return std::clamp<std::size_t>(Slots, 1, ConcurrencyLimit::MaxSlots);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::size_t Slots)
    : Slots(boundedSlots(Slots)), Limit(static_cast<double>(this->Slots)) {}

void ConcurrencyLimit::setSlots(std::size_t NewSlots) {
  const std::size_t Bounded = boundedSlots(NewSlots);
  if (Bounded == this->Slots)
    return;
  this->Slots = Bounded;
  this->Limit = static_cast<double>(Bounded);
}

void ConcurrencyLimit::reset() { *this = ConcurrencyLimit(this->Slots); }

void ConcurrencyLimit::adopt(const Estimate &Other, TimePoint Now) {
  if ((!this->expired(Now) && !this->Adopted) || !std::isfinite(Other.Limit) ||
      Other.Limit <= 0)
    return;
  this->reset();
  this->Adopted = true;
  this->Limit =
      std::clamp(Other.Limit, 1.0, static_cast<double>(this->maximum()));
  this->LastSampleAt = Now;
  if (Other.ServiceTime > Duration{})
    this->FastSeconds = this->SlowSeconds = toSeconds(Other.ServiceTime);
}

void ConcurrencyLimit::record(Outcome Ended, Duration Occupied,
                              std::size_t Running, TimePoint Now) {
  if (Ended == Outcome::Failed)
    return;
  if (this->expired(Now))
    this->reset();
  this->LastSampleAt = Now;
  this->Adopted = false;
  switch (Ended) {
  case Outcome::Answered:
    this->recordAnswer(toSeconds(Occupied), Running, Now);
    return;
  case Outcome::Busy:
    this->decrease(BusyDecrease, 1, Now);
    return;
  case Outcome::Lost: {
    // While others are answered, the upstream works, and a lower limit only
    // leaves its slots idle.
    const bool Answers =
        this->LastAnswerAt && Now - *this->LastAnswerAt < RecentAnswerTime;
    const std::size_t Floor = Answers ? (this->Slots + 1) / 2 : 1;
    this->decrease(LostDecrease, static_cast<double>(Floor), Now);
    return;
  }
  case Outcome::Failed:
    return;
  }
}

void ConcurrencyLimit::recordAnswer(double Seconds, std::size_t Running,
                                    TimePoint Now) {
  if (!this->LastAnswerAt || Now - *this->LastAnswerAt >= RecentAnswerTime)
    this->Answers = 0;
  this->LastAnswerAt = Now;
  ++this->Answers;
  if (this->SlowSeconds == 0)
    this->FastSeconds = this->SlowSeconds = Seconds;
  // The first answers count equally, so that none of them dominates.
  const double Equal = 1.0 / static_cast<double>(this->Answers);
  this->FastSeconds +=
      (Seconds - this->FastSeconds) * std::max(FastWeight, Equal);
  this->SlowSeconds +=
      (Seconds - this->SlowSeconds) * std::max(SlowWeight, Equal);
  if (this->Answers >= MinAnswers) {
    if (Now - this->WindowStart >= ReferenceWindow) {
      this->PreviousLowestSeconds = this->LowestSeconds;
      this->LowestSeconds = 0;
      this->WindowStart = Now;
    }
    this->LowestSeconds =
        this->LowestSeconds == 0
            ? this->SlowSeconds
            : std::min(this->LowestSeconds, this->SlowSeconds);
  }
  const auto Declared = static_cast<double>(this->Slots);
  const bool Slow = this->reference() > 0 &&
                    this->SlowSeconds > this->reference() * ResponseTolerance;
  if (Slow && this->Limit >= Declared)
    this->Limit = std::max(Declared, this->Limit - 1 / this->Limit);
  else if (static_cast<double>(Running) >= std::floor(this->Limit))
    this->Limit =
        std::min(Slow ? Declared : static_cast<double>(this->maximum()),
                 this->Limit + 1 / this->Limit);
}

void ConcurrencyLimit::decrease(double Factor, double Floor, TimePoint Now) {
  const Duration Interval =
      std::max<Duration>(MinDecreaseInterval, fromSeconds(this->FastSeconds));
  if (this->DecreasedAt && Now - *this->DecreasedAt < Interval)
    return;
  this->DecreasedAt = Now;
  this->Limit = std::min(this->Limit, std::max(Floor, this->Limit * Factor));
}

std::size_t ConcurrencyLimit::limit(TimePoint Now) const {
  if (this->expired(Now))
    return this->Slots;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::floor(this->Limit)));
}

ConcurrencyLimit::Estimate ConcurrencyLimit::estimate(TimePoint Now) const {
  if (this->expired(Now))
    return {};
  return {this->Limit, fromSeconds(this->FastSeconds)};
}

std::optional<Duration> ConcurrencyLimit::serviceTime(TimePoint Now) const {
  if (!this->LastAnswerAt || Now - *this->LastAnswerAt >= RecentAnswerTime ||
      this->Answers < MinAnswers)
    return std::nullopt;
  return fromSeconds(std::min(this->FastSeconds, this->SlowSeconds));
}

// By Little's law, a limit of L statements that take t each completes L / t
// statements in a second, however the upstream divides t into work and waiting.
Duration ConcurrencyLimit::waitFor(std::size_t Ahead, std::size_t Running,
                                   std::size_t Limit, Duration Each) {
  const std::size_t Concurrent = std::max<std::size_t>(Limit, 1);
  const std::size_t Free = Concurrent > Running ? Concurrent - Running : 0;
  if (Ahead < Free)
    return Duration{};
  return Each * static_cast<std::int64_t>(Ahead - Free + 1) /
         static_cast<std::int64_t>(Concurrent);
}

std::optional<Duration> ConcurrencyLimit::expectedWait(std::size_t Ahead,
                                                       std::size_t Running,
                                                       TimePoint Now) const {
  const std::optional<Duration> Each = this->serviceTime(Now);
  if (!Each)
    return std::nullopt;
  return waitFor(Ahead, Running, this->limit(Now), *Each);
}

bool ConcurrencyLimit::expired(TimePoint Now) const {
  return !this->LastSampleAt || Now - *this->LastSampleAt >= EstimateLifetime;
}

double ConcurrencyLimit::reference() const {
  if (this->PreviousLowestSeconds == 0)
    return this->LowestSeconds;
  return this->LowestSeconds == 0
             ? this->PreviousLowestSeconds
             : std::min(this->LowestSeconds, this->PreviousLowestSeconds);
}

} // namespace lavenderdale
