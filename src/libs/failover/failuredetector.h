#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"
#include "failoverlimits.h"

#include <optional>

namespace lavenderdale {

/// How long a primary may misbehave before it is suspected.
struct SuspicionTimes {
  Duration Silence = failoverlimits::SilenceLimit; ///< Without an answer.
  Duration Refusal = failoverlimits::RefusalLimit; ///< Refusing connections.
};

/// One watcher's opinion about a group's primary, from its own polls.
class FailureDetector {
public:
  FailureDetector() = default;
  explicit FailureDetector(SuspicionTimes Times) : Times(Times) {}

  /// The group has a new term. A silent primary is not suspected for
  /// GraceAfterChange.
  /// \param First whether this is the first term that the watcher learns; it
  /// starts no grace.
  void primaryChanged(Term Current, TimePoint Now, bool First = false);

  /// A poll was sent. The watcher polls every PollInterval; a longer gap than
  /// MaxPollGap shows that it was paused and starts the count anew.
  void pollSent(TimePoint Now);

  /// The primary answered as the primary of the current term. An answer by a
  /// member in recovery or of another timeline is not reported here.
  void pollAnswered(TimePoint SentAt, TimePoint Now);

  /// The connection was refused.
  void pollRefused(TimePoint SentAt, TimePoint Now);

  /// No answer arrived before the poll's deadline.
  void pollTimedOut(TimePoint SentAt, TimePoint Now);

  /// Whether the primary is suspected. False if the watcher sent no poll
  /// lately.
  bool suspects(TimePoint Now) const;

  Term term() const { return this->Current; }

private:
  SuspicionTimes Times;
  Term Current;
  std::optional<TimePoint> GraceUntil;
  std::optional<TimePoint> LastSent;
  std::optional<TimePoint> LastAnswered; ///< Send time of the newest answer.
  std::optional<TimePoint> CountFrom;    ///< End of the last own pause.
  std::optional<TimePoint> SilentSince;
  std::optional<TimePoint> RefusedSince;
  std::optional<TimePoint> LastRefused;
};

} // namespace lavenderdale
