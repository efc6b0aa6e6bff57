#pragma once

#include "groupview.h"
#include "replicapoll.h"

#include <map>
#include <optional>

namespace lavenderdale {

enum class AcknowledgeMode {
  Primary, ///< Write permission suffices.
  Replica, ///< A majority must also have received the commit position.
};

enum class AcknowledgeDecision {
  Acknowledge,
  WaitForReplica, ///< Decide again after the next polls.
  Withhold,       ///< The client is told that the outcome is unknown.
};

/// Decides whether the writes of one group's primary may be acknowledged.
class WritePermission {
public:
  /// Sets the current term, primary and members. A view of an earlier term is
  /// ignored. Any other change starts without permission.
  void setView(const GroupView &View);

  /// Handles the answer of a replica. Permission is derived from the newest
  /// poll of each replica, which has to be in recovery, on the current timeline
  /// and following the current primary by name. The timeline alone is not
  /// enough: a replica that was pointed at a new primary reports its old
  /// timeline until it streams from that primary.
  void replicaPolled(const ReplicaPoll &Poll);

  /// \returns the time until which a write on \p Timeline may be acknowledged,
  /// or nothing if there is no permission for that timeline.
  std::optional<TimePoint> deadline(Term Timeline) const;

  /// Whether a write may be sent to the primary now. If not, it is correct to
  /// answer "not-run".
  bool mayStart(TimePoint Now) const;

  /// Decides whether a write that the primary has committed is acknowledged.
  /// \param AnswerTimeline timeline in the primary's answer.
  /// \param Commit position of the end of the commit in the log.
  /// \param Mode what an acknowledgement requires.
  /// \param SentAt when the commit was sent. Permission must not have lapsed
  /// since: during a lapse the primary may have been replaced, and may have
  /// become the primary of a later term with the same replicas.
  AcknowledgeDecision decide(Term AnswerTimeline, LogPosition Commit,
                             AcknowledgeMode Mode, TimePoint SentAt,
                             TimePoint Now) const;

  const GroupView &view() const { return this->View; }

private:
  struct Replica {
    std::optional<TimePoint> SentAt; ///< Newest poll that was answered.
    bool GivesPermission = false;
    LogPosition Received; ///< Highest position in the current term.
  };

  std::size_t replicasWith(LogPosition Commit) const;
  void updateDeadline();

  GroupView View;
  std::map<std::string, Replica> Replicas;
  std::optional<TimePoint> ValidUntil; ///< Of the current term's permission.
  TimePoint ValidSince; ///< Permission has not lapsed since then.
};

} // namespace lavenderdale
