#pragma once

#include "base/timepoint.h"
#include "position.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace lavenderdale {

/// Ages of replicas' data, from a bounded history of the primary's polls. The
/// age at time t is t minus the send time of the newest poll of the primary
/// whose position the replica has replayed.
class ReplicaAge {
public:
  /// Polls kept: 2 minutes of one poll in 100 ms.
  static constexpr std::size_t MaxPolls = 1200;

  /// Adds an answer of the primary. Answers may arrive out of order.
  void primaryPolled(TimePoint SentAt, const Position &Current);

  /// \returns the age of a replica that has replayed up to \p Replayed, or
  /// nothing if it has replayed no position in the history.
  std::optional<Duration> age(const Position &Replayed, TimePoint Now) const;

private:
  struct Poll {
    TimePoint SentAt;
    Position Current;
  };

  std::deque<Poll> Polls; ///< Ascending in both members.
};

} // namespace lavenderdale
