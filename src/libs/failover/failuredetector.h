#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"
#include "failoverlimits.h"

#include <optional>

namespace lavenderdale {

/// How long a primary may be unavailable before it is suspected.
struct SuspicionTimes {
  Duration Silence = failoverlimits::SilenceLimit; ///< Time without answers.
  Duration Refusal = failoverlimits::RefusalLimit; ///< Time of refusals.
};

/// Decides from the polls of one watcher whether it suspects a group's primary.
class FailureDetector {
public:
  FailureDetector() = default;
  explicit FailureDetector(SuspicionTimes Times) : Times(Times) {}

  /// The group has a new term. Its primary is not suspected for lack of answers
  /// during GraceAfterChange.
  /// \param First whether this is the first term that the watcher learns of;
  /// there is no such grace period then.
  void primaryChanged(Term Current, TimePoint Now, bool First = false);

  /// A poll was sent. The watcher polls every PollInterval; a gap longer than
  /// MaxPollGap shows that it was paused and restarts all measurements.
  void pollSent(TimePoint Now);

  /// The primary answered as the primary of the current term. Not called for
  /// the answer of a member that is in recovery or on another timeline.
  void pollAnswered(TimePoint SentAt, TimePoint Now);

  /// The connection was refused.
  void pollRefused(TimePoint SentAt, TimePoint Now);

  /// No answer arrived before the poll's deadline.
  void pollTimedOut(TimePoint SentAt, TimePoint Now);

  /// Whether the primary is suspected. False if the watcher has sent no poll
  /// within MaxPollGap.
  bool suspects(TimePoint Now) const;

  Term term() const { return this->Current; }

private:
  SuspicionTimes Times;
  Term Current;
  std::optional<TimePoint> GraceUntil;
  std::optional<TimePoint> LastSent;
  std::optional<TimePoint> LastAnswered; ///< Send time of the newest answer.
  std::optional<TimePoint> ResumedAt;    ///< End of the watcher's last pause.
  std::optional<TimePoint> SilentSince;
  std::optional<TimePoint> RefusedSince;
  std::optional<TimePoint> LastRefused;
};

} // namespace lavenderdale
