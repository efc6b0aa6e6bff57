#pragma once

#include "membershipmessages.h"
#include "ownerlease.h"
#include "removalround.h"
#include "statustable.h"

#include <random>

namespace lavenderdale {

/// Decides who is in the fleet, who is alive, and whether this host may use
/// its shares of the rates. The caller ticks it about every 50 ms, delivers
/// messages, and carries out the actions that tick() returns.
/// Not synchronized; the caller has one lock for it.
///
/// Why two owners never use one share at the same time:
/// - A host that is removed has lost its lease before (see OwnerLease); a new
///   owner waits 1 s after it has learned the epoch.
/// - A host that joins takes over shares only when every member of its domain
///   is known to have the epoch in which it joined, and 1 s later: grants of
///   earlier owners may be spent until then. Members that lag cannot renew the
///   lease of an owner that they still believe in past this point.
/// - A host that leaves gives up its shares, and renewing others, at once.
/// - A later process of the same name replaces the earlier one, which has
///   ended: names are unique in the fleet.
class Membership {
public:
  static constexpr std::chrono::milliseconds HeartbeatInterval{500};
  static constexpr std::chrono::milliseconds SuspectAfter{1000};
  /// Wait of a new owner after it has learned the epoch.
  static constexpr std::chrono::milliseconds TakeoverWait{1000};

  /// \param Self key, failure domain and address of this host.
  /// \param Random for jitter and for the choice of peers.
  Membership(HostMember Self, std::mt19937_64 Random);

  /// Hosts to contact while no host set is known, from the platform's list.
  void setSeeds(std::vector<HostMember> Hosts);

  /// The configuration version to tell peers.
  void setConfigurationVersion(std::uint64_t Version);

  /// Takes over a host set from the platform or a peer, if it is newer.
  void adoptHostSet(const MemberSet &Newer, TimePoint Now);

  /// Announces that this host leaves, and gives up its shares at once.
  void leave(TimePoint Now);

  HeartbeatAnswer onHeartbeat(const Heartbeat &Message, TimePoint Now);
  /// \param SentAt when the answered heartbeat was sent.
  void onHeartbeatAnswer(const HeartbeatAnswer &Answer, TimePoint SentAt,
                         TimePoint Now);
  RemovalAnswer onRemovalQuestion(const RemovalQuestion &Question,
                                  TimePoint Now);
  void onRemovalAnswer(const RemovalAnswer &Answer, TimePoint Now);

  /// \returns what has to be done now.
  std::vector<MembershipAction> tick(TimePoint Now);

  const MemberSet &hostSet() const { return this->Set; }
  bool isMember() const;
  bool isLeaving() const { return this->Own.State == HostState::Leaving; }

  /// Members that are neither suspected nor leaving: the hosts that tasks are
  /// placed on, except rate shares.
  std::vector<PlacementHost> liveHosts() const;

  /// Grows with each change of liveHosts() or hostSet().
  std::uint64_t version() const { return this->Version; }

  bool holdsLease(TimePoint Now) const {
    return this->leaseUntil(Now).has_value();
  }

  /// \returns when the own lease ends unless it is renewed, or nothing without
  ///          one.
  std::optional<TimePoint> leaseUntil(TimePoint Now) const;

  /// \returns until when this host may use its shares without asking again, or
  ///          nothing if it may not use them now. A host that joined may use
  ///          none until TakeoverWait after it learned that all members of its
  ///          domain know: grants of the earlier owners have expired by then.
  std::optional<TimePoint> sharesUntil(TimePoint Now) const;

  /// Whether this host owns its domain's share of the workspace's rate and
  /// may use it at this moment. To be checked for every grant.
  bool mayGrant(std::string_view Workspace, TimePoint Now) const;

private:
  struct Watch {
    TimePoint LastAnswer;
    std::size_t Rank = 0; ///< Position among this host's monitors.
  };
  struct EarlierView {
    std::vector<PlacementHost> Domain;
    TimePoint Until;
    std::uint64_t Joined = 0;
  };
  struct Nomination {
    TimePoint Due;
    std::optional<HostMember> Joining; ///< Empty for a host that leaves.
  };

  PeerNews newsFor(std::string_view Peer);
  void mergeNews(const PeerNews &News, TimePoint Now);
  void mergeStatus(const HostStatus &News, TimePoint Now);
  void noteContact(const PeerNews &News, TimePoint Now);
  bool renews(const HostKey &Peer, std::uint64_t PeerEpoch) const;
  bool agreeTo(const HostKey &Suspect, TimePoint Now);

  void detectPause(TimePoint Now);
  bool hasTakenOver(TimePoint Now) const;
  void noteReached(TimePoint Now);
  void updateWatches(TimePoint Now);
  void suspectSilent(TimePoint Now);
  void sendHeartbeats(TimePoint Now, std::vector<MembershipAction> &Actions);
  void sendHeartbeat(const HostMember &To,
                     std::vector<MembershipAction> &Actions);
  void addRandomPeers(std::vector<MembershipAction> &Actions);
  void collectRemovals(TimePoint Now, std::vector<MembershipAction> &Actions);
  std::set<HostKey> suspectsToRemove(TimePoint Now) const;
  bool isWithinLimit(const std::set<HostKey> &Suspects) const;
  void nominate(const std::string &Name, std::optional<HostMember> Joining,
                TimePoint Due);
  void nominateSelf(TimePoint Now);
  void propose(TimePoint Now, std::vector<MembershipAction> &Actions);
  bool canRemove(TimePoint Now) const;
  bool hasReasonToPropose(TimePoint Now) const;
  MemberSet buildProposal(TimePoint Now) const;
  void fetchNewer(TimePoint Now, std::vector<MembershipAction> &Actions);
  const std::string &ownerOf(std::string_view Workspace) const;
  Duration jitter(Duration Limit);

  const HostMember Self;
  std::mt19937_64 Random;
  HostStatus Own;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t Version = 1;

  MemberSet Set;
  std::vector<HostMember> Domain; ///< Members of the own domain, by name.
  /// Owners of the own domain's shares under the current host set.
  mutable std::map<std::string, std::string, std::less<>> OwnerCache;
  std::vector<EarlierView> EarlierViews;
  TimePoint AdoptedAt;
  std::vector<HostMember> Seeds;

  StatusTable Statuses;
  OwnerLease Lease;
  /// Since when all members are known to have the epoch in which this host
  /// joined.
  std::optional<TimePoint> ReachedSince;
  std::map<std::string, Watch> Watches;
  std::uint64_t WatchesVersion = 0;
  std::map<std::string, TimePoint> LastContact;
  std::optional<TimePoint> LastTick;
  TimePoint WokeAt;
  TimePoint NextHeartbeat;
  std::uint64_t Round = 0;

  std::set<HostKey> Agreed; ///< Valid for the current epoch.
  RemovalRound Removal;
  std::map<std::string, Nomination> Nominations;
  std::optional<TimePoint> DisownedSince;
  std::optional<TimePoint> ProposalUntil;

  std::uint64_t NewestEpoch = 0;
  std::string NewestEpochAt;
  TimePoint NextFetch;
};

} // namespace lavenderdale
