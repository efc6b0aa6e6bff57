#include "replicaage.h"

#include <algorithm>

namespace lavenderdale {

void ReplicaAge::primaryPolled(TimePoint SentAt, const Position &Current) {
  if (!this->Polls.empty()) {
    Poll &Newest = this->Polls.back();
    if (SentAt <= Newest.SentAt || Current < Newest.Current)
      return;
    if (Current == Newest.Current) {
      Newest.SentAt = SentAt;
      return;
    }
  }
  if (this->Polls.size() == MaxPolls)
    this->Polls.pop_front();
  this->Polls.push_back({SentAt, Current});
}

std::optional<Duration> ReplicaAge::age(const Position &Replayed,
                                        TimePoint Now) const {
  const auto Above = std::upper_bound(
      this->Polls.begin(), this->Polls.end(), Replayed,
      [](const Position &P, const Poll &Entry) { return P < Entry.Current; });
  if (Above == this->Polls.begin())
    return std::nullopt;
  const Poll &Newest = *(Above - 1);
  // A poll of another term cannot be compared with this replica's position,
  // because writes of that term may have been lost.
  if (Newest.Current.InTerm != Replayed.InTerm)
    return std::nullopt;
  return Now - Newest.SentAt;
}

} // namespace lavenderdale
