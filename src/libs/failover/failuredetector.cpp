#include "failuredetector.h"

#include <algorithm>

namespace lavenderdale {

using namespace failoverlimits;

void FailureDetector::primaryChanged(Term Current, TimePoint Now, bool First) {
  if (Current <= this->Current)
    return;
  *this = FailureDetector(this->Times);
  this->Current = Current;
  if (!First)
    this->GraceUntil = Now + GraceAfterChange;
}

void FailureDetector::pollSent(TimePoint Now) {
  const bool Paused = this->LastSent && Now - *this->LastSent > MaxPollGap;
  if (Paused) {
    this->SilentSince.reset();
    this->RefusedSince.reset();
    this->LastRefused.reset();
    this->ResumedAt = Now;
  }
  this->LastSent = Now;
  if (!this->SilentSince)
    this->SilentSince = Now;
}

void FailureDetector::pollAnswered(TimePoint SentAt, TimePoint /*Now*/) {
  if (this->LastAnswered && SentAt <= *this->LastAnswered)
    return;
  this->LastAnswered = SentAt;
  this->RefusedSince.reset();
  this->LastRefused.reset();
  // Time before the end of the watcher's last pause does not count as silence.
  this->SilentSince =
      this->ResumedAt ? std::max(SentAt, *this->ResumedAt) : SentAt;
}

void FailureDetector::pollRefused(TimePoint SentAt, TimePoint Now) {
  const bool Old = (this->LastAnswered && SentAt <= *this->LastAnswered) ||
                   (this->ResumedAt && SentAt < *this->ResumedAt);
  if (Old)
    return;
  if (!this->RefusedSince)
    this->RefusedSince = Now;
  this->LastRefused = Now;
}

void FailureDetector::pollTimedOut(TimePoint SentAt, TimePoint /*Now*/) {
  const bool Old = (this->LastAnswered && SentAt <= *this->LastAnswered) ||
                   (this->ResumedAt && SentAt < *this->ResumedAt);
  // A connection attempt that timed out was not refused, so it ends the series
  // of refusals.
  if (!Old && this->LastRefused && SentAt > *this->LastRefused)
    this->RefusedSince.reset();
}

bool FailureDetector::suspects(TimePoint Now) const {
  if (!this->LastSent || Now - *this->LastSent > MaxPollGap)
    return false;
  const bool Refuses = this->RefusedSince && this->LastRefused &&
                       Now - *this->LastRefused <= MaxPollGap &&
                       Now - *this->RefusedSince >= this->Times.Refusal;
  if (Refuses)
    return true;
  const bool InGrace = this->GraceUntil && Now < *this->GraceUntil;
  return !InGrace && this->SilentSince &&
         Now - *this->SilentSince >= this->Times.Silence;
}

} // namespace lavenderdale
