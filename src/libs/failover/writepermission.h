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

  /// Takes the answer of a replica. Answers to polls that were sent before
  /// the newest one known are ignored.
  void replicaPolled(const ReplicaPoll &Poll);

  /// \returns the time until which a write of \p InTerm may be acknowledged,
  /// or nothing if there is no permission for that term.
  std::optional<TimePoint> deadline(Term InTerm) const;

  /// Whether a write may be sent to the primary now. If not, "not-run" is
  /// true.
  bool mayStart(TimePoint Now) const;

  /// Decides about a write whose commit was answered.
  /// \param AnswerTerm timeline of the answer.
  /// \param Commit end of the commit in the log.
  AckDecision decide(Term AnswerTerm, LogPosition Commit, AcknowledgeMode Mode,
                     TimePoint Now) const;

  const GroupView &view() const { return this->View; }

private:
  struct Replica {
    TimePoint SentAt; ///< Newest poll that was answered.
    bool GivesPermission = false;
    LogPosition Received; ///< Highest in the current term.
  };

  std::size_t replicasWith(LogPosition Commit) const;

  GroupView View;
  std::map<std::string, Replica> Replicas;
};

} // namespace lavenderdale
