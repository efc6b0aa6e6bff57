#pragma once

#include "groupview.h"
#include "replicapoll.h"

#include <map>
#include <optional>

namespace lavenderdale {

enum class AcknowledgeMode {
  Primary, ///< Permission suffices.
  Replica, ///< A majority must also have received the commit position.
};

enum class AckDecision {
  Acknowledge,
  WaitForReplica, ///< Ask again after the next polls.
  Withhold,       ///< The outcome is unknown to the caller.
};

/// Decides for one group whether its primary's writes may be acknowledged.
class WritePermission {
public:
  /// Sets the current term, primary and members. A term below the current one
  /// is ignored; a new term starts without permission.
  void setView(const GroupView &View);

  /// Takes the answer of a replica. Permission comes from the newest poll of
  /// each: it has to be in recovery, on the current timeline and following the
  /// current primary by name. The name is needed because a replica that is
  /// pointed at a new primary reports its old timeline until it streams.
  void replicaPolled(const ReplicaPoll &Poll);

  /// \returns the time until which a write on \p Timeline may be acknowledged,
  /// or nothing if there is no permission for that timeline.
  std::optional<TimePoint> deadline(Term Timeline) const;

  /// Whether a write may be sent to the primary now. If not, "not-run" is
  /// true.
  bool mayStart(TimePoint Now) const;

  /// Decides about a write whose commit was answered.
  /// \param AnswerTimeline timeline of the answer.
  /// \param Commit end of the commit in the log.
  /// \param SentAt when the commit was sent. Permission must not have lapsed
  /// since: during a lapse the primary may have been replaced, and may have
  /// become the primary of a later term with the same replicas.
  AckDecision decide(Term AnswerTimeline, LogPosition Commit,
                     AcknowledgeMode Mode, TimePoint SentAt,
                     TimePoint Now) const;

  const GroupView &view() const { return this->View; }

private:
  struct Replica {
    std::optional<TimePoint> SentAt; ///< Newest poll that was answered.
    bool GivesPermission = false;
    LogPosition Received; ///< Highest in the current term.
  };

  std::size_t replicasWith(LogPosition Commit) const;
  void updateDeadline();

  GroupView View;
  std::map<std::string, Replica> Replicas;
  std::optional<TimePoint> Until; ///< Permission for the current term.
  TimePoint Since;                ///< Permission has not lapsed since.
};

} // namespace lavenderdale
