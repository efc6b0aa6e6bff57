#include "writepermission.h"

#include "failoverlimits.h"

#include <algorithm>
#include <functional>

namespace lavenderdale {

using namespace failoverlimits;

void WritePermission::setView(const GroupView &View) {
  if (View.Current < this->View.Current || View == this->View)
    return;
  // Permission and positions of another term, primary or set of members say
  // nothing about the new one.
  this->Replicas.clear();
  this->View = View;
  this->Until.reset();
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
  const bool OfTerm = Poll.InRecovery && this->View.Timeline.Value != 0 &&
                      Poll.Timeline == this->View.Timeline;
  if (OfTerm)
    Known.Received = std::max(Known.Received, Poll.ReceivePosition);
  if (Known.SentAt && Poll.SentAt <= *Known.SentAt)
    return;
  Known.SentAt = Poll.SentAt;
  Known.GivesPermission =
      OfTerm && Poll.PrimaryConninfoSet && Poll.Follows == this->View.Primary;
  this->updateDeadline();
}

void WritePermission::updateDeadline() {
  const std::size_t Needed = replicasForMajority(this->View.Members.size());
  // The only member of its group cannot be replaced.
  if (Needed == 0) {
    if (!this->View.Members.empty())
      this->Until = TimePoint::max();
    return;
  }
  std::vector<TimePoint> Sent;
  for (const auto &[Name, Known] : this->Replicas)
    if (Known.GivesPermission)
      Sent.push_back(*Known.SentAt);
  if (Sent.size() < Needed) {
    this->Until.reset();
    return;
  }
  std::sort(Sent.begin(), Sent.end(), std::greater<>());
  const TimePoint From = Sent[Needed - 1];
  if (!this->Until || From >= *this->Until)
    this->Since = From;
  this->Until = From + PermissionDuration;
}

std::optional<TimePoint> WritePermission::deadline(Term Timeline) const {
  if (Timeline.Value == 0 || Timeline != this->View.Timeline)
    return std::nullopt;
  return this->Until;
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

AckDecision WritePermission::decide(Term AnswerTimeline, LogPosition Commit,
                                    AcknowledgeMode Mode, TimePoint SentAt,
                                    TimePoint Now) const {
  const std::optional<TimePoint> Until = this->deadline(AnswerTimeline);
  if (!Until || Now >= *Until || SentAt < this->Since)
    return AckDecision::Withhold;
  const std::size_t Needed = replicasForMajority(this->View.Members.size());
  if (Mode == AcknowledgeMode::Replica && this->replicasWith(Commit) < Needed)
    return AckDecision::WaitForReplica;
  return AckDecision::Acknowledge;
}

} // namespace lavenderdale
