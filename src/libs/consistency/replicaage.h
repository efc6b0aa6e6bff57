#pragma once

#include "base/timepoint.h"
#include "position.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace lavenderdale {

/// Computes the age of replicas' data from a bounded history of polls of the
/// primary. The age at time t is t minus the send time of the newest poll of
/// the primary whose position the replica has replayed.
class ReplicaAge {
public:
  /// Maximum number of polls in the history: 2 minutes at one poll per 100 ms.
  static constexpr std::size_t MaxPolls = 1200;

  /// Adds an answer of the primary with its position \p Current. Answers may
  /// arrive out of order.
  void primaryPolled(TimePoint SentAt, const Position &Current);

  /// \returns the age of the data of a replica that has replayed up to
  /// \p Replayed, or nothing if it has replayed no position in the history.
  std::optional<Duration> age(const Position &Replayed, TimePoint Now) const;

private:
  struct Poll {
    TimePoint SentAt;
    Position Current;
  };

  std::deque<Poll> Polls; ///< Ascending by time and by position.
};

} // namespace lavenderdale
