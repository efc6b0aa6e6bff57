#pragma once

#include "base/timepoint.h"
#include "lineage.h"
#include "position.h"

#include <optional>

namespace lavenderdale {

/// Where a replica stands: the timeline it follows and what it has replayed.
struct ReplicaState {
  Term Timeline;
  LogPosition Replayed;
};

enum class ReadVerdict {
  MayServe,
  Behind,      ///< Position not replayed yet, or data older than accepted.
  WriteLost,   ///< The session's write was lost: answer session-lost.
  TermUnknown, ///< The token or the replica knows a newer term than the view.
};

/// What a read demands of a replica.
struct ReadDemand {
  std::optional<Position> Seen;        ///< The token's position.
  std::optional<Duration> AcceptedAge; ///< Nothing: any age.
};

/// Decides whether a replica may serve a read.
/// \param Age age of the replica's data, nothing if it is unknown.
/// \param History terms of the group as the host knows them.
ReadVerdict judgeRead(const ReadDemand &Demand, const ReplicaState &Replica,
                      std::optional<Duration> Age, const Lineage &History);

} // namespace lavenderdale
