#pragma once

#include "membershipmessages.h"

#include <map>

namespace lavenderdale {

/// The known status of other hosts, and the status updates that this host still
/// has to spread by gossip.
class StatusTable {
public:
  /// Stores \p Update if it is newer than the known status of the host.
  /// \returns whether it was newer.
  bool merge(const HostStatus &Update);

  /// \returns the newest status of a host, or nullptr if none is known.
  const HostStatus *find(std::string_view Name) const;

  /// Whether \p Key is neither suspected nor departed.
  bool isUsable(const HostKey &Key) const;
  bool isSuspected(const HostKey &Key) const;
  /// Whether \p Key has announced that it leaves, or has been replaced by a
  /// later process of the same name.
  bool isDeparted(const HostKey &Key) const;

  /// Selects at most MaxUpdates status updates for a message to \p Peer, and
  /// counts them as sent. A suspicion of the peer itself always comes first, so
  /// that the peer can refute it.
  std::vector<HostStatus> takeUpdates(std::string_view Peer);

  /// Forgets hosts that are not members of \p Set, and earlier processes of
  /// members.
  void retainMembers(const MemberSet &Set);

private:
  struct Entry {
    HostStatus Status;
    unsigned SendsLeft = 0;
  };
  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace lavenderdale
