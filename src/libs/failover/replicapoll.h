#pragma once

#include "base/timepoint.h"
#include "consistency/position.h"

#include <algorithm>
#include <string>

namespace lavenderdale {

/// A group member's answer to a poll.
struct ReplicaPoll {
  std::string Upstream;
  TimePoint SentAt;
  /// Timeline of the member's log. Also needed from a member whose WAL receiver
  /// has stopped: while it is zero (unknown), the member gives no permission
  /// and is not a candidate for promotion.
  Term Timeline;
  LogPosition ReceivePosition;
  LogPosition ReplayPosition;
  bool InRecovery = false;
  bool PrimaryConninfoSet = false; ///< primary_conninfo is not empty.
  bool ReceiverRunning = false;    ///< pg_stat_wal_receiver has a row.
  /// Name of the upstream that primary_conninfo points at; empty if it is not
  /// set or points at no member of the group. Required for write permission.
  std::string Follows;

  /// Whether the member cannot receive any more log from a primary.
  bool isFenced() const {
    return this->InRecovery && !this->PrimaryConninfoSet &&
           !this->ReceiverRunning;
  }

  /// End of the member's log. After a restart the receive position is unset
  /// until streaming resumes, so the replay position may be higher.
  LogPosition logEnd() const {
    return std::max(this->ReceivePosition, this->ReplayPosition);
  }
};

} // namespace lavenderdale
