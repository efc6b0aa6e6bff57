#pragma once

#include "membershipmessages.h"

#include <map>

namespace lavenderdale {

/// What a host knows about the state of others, and which news it still has
/// to spread.
class StatusTable {
public:
  /// Takes over \p News if it is newer than what is known.
  /// \returns whether it was.
  bool merge(const HostStatus &News);

  /// \returns the newest status, or null.
  const HostStatus *find(std::string_view Name) const;

  /// Whether \p Key is believed to be running and staying.
  bool isUsable(const HostKey &Key) const;
  bool isSuspected(const HostKey &Key) const;
  /// Whether \p Key has announced that it leaves, or was replaced by a later
  /// process of the same name.
  bool isDeparted(const HostKey &Key) const;

  /// Selects at most MaxUpdates pieces of news for a message to \p Peer. A
  /// suspicion of the peer itself always comes first, so that it can refute.
  std::vector<HostStatus> takeUpdates(std::string_view Peer);

  /// Forgets hosts that are not in \p Set, except later generations.
  void retainMembers(const MemberSet &Set);

private:
  struct Entry {
    HostStatus Status;
    unsigned SendsLeft = 0;
  };
  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace lavenderdale
