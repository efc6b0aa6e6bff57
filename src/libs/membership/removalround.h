#pragma once

#include "base/timepoint.h"
#include "membershipmessages.h"

#include <map>
#include <set>

namespace lavenderdale {

/// Collects the agreements to remove suspected hosts of the own domain, for
/// one epoch.
class RemovalRound {
public:
  /// Forgets everything, because the epoch has changed.
  void reset();

  /// Notes what \p Answer agrees to.
  void note(const RemovalAnswer &Answer);

  /// \param Suspects hosts to remove. Members that do not answer the question
  ///                 for 600 ms are added.
  /// \param Staying the members of the domain, this host included, without
  ///                those that have left.
  /// \returns the members that have to be asked now.
  std::vector<HostMember> step(std::set<HostKey> Suspects,
                               const std::vector<HostMember> &Staying,
                               TimePoint Now);

  /// The hosts that the members are asked about.
  const std::set<HostKey> &suspects() const { return this->Current; }

  /// Whether all members that are not suspects have agreed and, for more than
  /// one suspect, signs of life from before the agreements no longer count.
  bool isComplete(TimePoint Now) const;

private:
  bool hasAgreed(const HostKey &Member) const;
  bool isSilent(const HostKey &Member, TimePoint Now) const;

  std::set<HostKey> Current;
  std::map<HostKey, std::set<HostKey>> AgreedBy;
  std::map<HostKey, TimePoint> UnansweredSince;
  std::optional<TimePoint> LastAsked;
  std::optional<TimePoint> CompleteSince;
};

} // namespace lavenderdale
