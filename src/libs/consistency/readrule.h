#pragma once

#include "base/timepoint.h"
#include "lineage.h"
#include "position.h"

#include <optional>

namespace lavenderdale {

/// The timeline that a replica is on and the position that it has replayed.
struct ReplicaState {
  Term Timeline;
  LogPosition Replayed;
};

enum class ReadEligibility {
  MayServe,
  Behind,      ///< Position not replayed yet, or data older than accepted.
  WriteLost,   ///< The session's write was lost: answer session-lost.
  TermUnknown, ///< The token or the replica is of a newer term than the view.
};

/// What a read requires of a replica.
struct ReadDemand {
  std::optional<Position> Seen;        ///< The position in the session token.
  std::optional<Duration> AcceptedAge; ///< Without it, any age is accepted.
};

/// Decides whether a replica may serve a read.
/// \param Age age of the replica's data, or nothing if it is unknown.
/// \param History terms of the group, as known to this host.
ReadEligibility evaluateRead(const ReadDemand &Demand,
                             const ReplicaState &Replica,
                             std::optional<Duration> Age,
                             const Lineage &History);

} // namespace lavenderdale
