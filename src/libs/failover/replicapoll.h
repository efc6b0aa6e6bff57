#pragma once

#include "base/timepoint.h"
#include "consistency/position.h"

#include <algorithm>
#include <string>

namespace lavenderdale {

/// The answer of a group's member to a poll.
struct ReplicaPoll {
  std::string Upstream;
  TimePoint SentAt;
  /// Timeline of its log. Also needed from a member whose receiver has stopped:
  /// zero (unknown) gives no permission, and the member is no candidate.
  Term Timeline;
  LogPosition ReceivePosition;
  LogPosition ReplayPosition;
  bool InRecovery = false;
  bool PrimaryConninfoSet = false; ///< primary_conninfo is not empty.
  bool ReceiverRunning = false;    ///< pg_stat_wal_receiver has a row.
  /// Name of the upstream that primary_conninfo points at; empty if it is not
  /// set or names none of the group. Required for permission.
  std::string Follows;

  /// Whether the member can receive nothing more from a primary.
  bool isFenced() const {
    return this->InRecovery && !this->PrimaryConninfoSet &&
           !this->ReceiverRunning;
  }

  /// End of the log that the member holds. After a restart the receive
  /// position is unset until streaming resumes.
  LogPosition logEnd() const {
    return std::max(this->ReceivePosition, this->ReplayPosition);
  }
};

} // namespace lavenderdale
