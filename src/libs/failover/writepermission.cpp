#include "writepermission.h"

#include "failoverlimits.h"

#include <algorithm>
#include <functional>

namespace lavenderdale {

using namespace failoverlimits;

void WritePermission::setView(const GroupView &View) {
  if (View.Current < this->View.Current || View == this->View)
    return;
  // Permission and positions are valid only for the term, primary and members
  // that they were obtained for.
  this->Replicas.clear();
  this->View = View;
  this->ValidUntil.reset();
  this->updateDeadline();
}

void WritePermission::replicaPolled(const ReplicaPoll &Poll) {
  const auto &Members = this->View.Members;
  const bool IsReplica =
      Poll.Upstream != this->View.Primary &&
      std::find(Members.begin(), Members.end(), Poll.Upstream) != Members.end();
  if (!IsReplica)
    return;
  Replica &Known = this->Replicas[Poll.Upstream];
  const bool IsCurrent = Poll.InRecovery && this->View.Timeline.Value != 0 &&
                         Poll.Timeline == this->View.Timeline;
  if (IsCurrent)
    Known.Received = std::max(Known.Received, Poll.ReceivePosition);
  if (Known.SentAt && Poll.SentAt <= *Known.SentAt)
    return;
  Known.SentAt = Poll.SentAt;
  Known.GivesPermission = IsCurrent && Poll.PrimaryConninfoSet &&
                          Poll.Follows == this->View.Primary;
  this->updateDeadline();
}

void WritePermission::updateDeadline() {
  const std::size_t Needed = replicasForMajority(this->View.Members.size());
  // The primary of a group with a single member cannot be replaced.
  if (Needed == 0) {
    if (!this->View.Members.empty())
      this->ValidUntil = TimePoint::max();
    return;
  }
  std::vector<TimePoint> Sent;
  for (const auto &[Name, Known] : this->Replicas)
    if (Known.GivesPermission)
      Sent.push_back(*Known.SentAt);
  if (Sent.size() < Needed) {
    this->ValidUntil.reset();
    return;
  }
  std::sort(Sent.begin(), Sent.end(), std::greater<>());
  const TimePoint From = Sent[Needed - 1];
  if (!this->ValidUntil || From >= *this->ValidUntil)
    this->ValidSince = From;
  this->ValidUntil = From + PermissionDuration;
}

std::optional<TimePoint> WritePermission::deadline(Term Timeline) const {
  if (Timeline.Value == 0 || Timeline != this->View.Timeline)
    return std::nullopt;
  return this->ValidUntil;
}

bool WritePermission::mayStart(TimePoint Now) const {
  const std::optional<TimePoint> Until = this->deadline(this->View.Timeline);
  return Until && Now < *Until;
}

std::size_t WritePermission::replicasWith(LogPosition Commit) const {
  return static_cast<std::size_t>(std::count_if(
      this->Replicas.begin(), this->Replicas.end(),
      [&](const auto &Entry) { return Entry.second.Received >= Commit; }));
}

AcknowledgeDecision WritePermission::decide(Term AnswerTimeline,
                                            LogPosition Commit,
                                            AcknowledgeMode Mode,
                                            TimePoint SentAt,
                                            TimePoint Now) const {
  const std::optional<TimePoint> Until = this->deadline(AnswerTimeline);
  if (!Until || Now >= *Until || SentAt < this->ValidSince)
    return AcknowledgeDecision::Withhold;
  const std::size_t Needed = replicasForMajority(this->View.Members.size());
  if (Mode == AcknowledgeMode::Replica && this->replicasWith(Commit) < Needed)
    return AcknowledgeDecision::WaitForReplica;
  return AcknowledgeDecision::Acknowledge;
}

} // namespace lavenderdale
