#pragma once

#include "base/timepoint.h"
#include "membershipmessages.h"

#include <map>
#include <set>

namespace lavenderdale {

/// Collects the agreements of the domain's members to remove suspected hosts,
/// for one epoch.
class RemovalRound {
public:
  /// Discards all state. Must be called when the epoch changes.
  void reset();

  /// Records the agreements in \p Answer.
  void recordAnswer(const RemovalAnswer &Answer);

  /// Sets the hosts to remove and selects the members to ask.
  /// \param Suspects hosts to remove. Members that have not answered a request
  ///                 for 600 ms are added.
  /// \param Staying the members of the domain, including this host, without
  ///                those that have left.
  /// \returns the members that must be asked now.
  std::vector<HostMember> update(std::set<HostKey> Suspects,
                                 const std::vector<HostMember> &Staying,
                                 TimePoint Now);

  /// \returns the hosts to remove.
  const std::set<HostKey> &suspects() const { return this->Current; }

  /// Whether all members that are not suspects have agreed and, if there is
  /// more than one suspect, contacts from before the agreements have expired
  /// (see OwnerLease).
  bool isComplete(TimePoint Now) const;

private:
  bool hasAgreed(const HostKey &Member) const;
  bool isSilent(const HostKey &Member, TimePoint Now) const;

  std::set<HostKey> Current;
  std::map<HostKey, std::set<HostKey>> AgreedBy;
  std::map<HostKey, TimePoint> UnansweredSince;
  std::optional<TimePoint> LastRequested;
  std::optional<TimePoint> CompleteSince;
};

} // namespace lavenderdale
