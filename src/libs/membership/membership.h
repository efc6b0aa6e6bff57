#pragma once

#include "membershipmessages.h"
#include "ownerlease.h"
#include "removalround.h"
#include "statustable.h"

#include <random>

namespace lavenderdale {

/// Determines which hosts are members of the fleet, which of them are alive,
/// and whether this host may use its shares of the rate limits. The caller
/// calls tick() about every 50 ms, delivers messages, and executes the actions
/// that tick() returns. Not thread-safe; the caller must serialize all calls.
///
/// A share never has two owners that use it at the same time, because:
/// - A host loses its lease before it is removed (see OwnerLease), and a new
///   owner waits for 1 s after it has learned the new epoch.
/// - A host that joins waits until every member of its domain is known to have
///   the epoch in which it joined. From that point on, no member can renew the
///   lease of an earlier owner because of an outdated host set. The host waits
///   for 1 s more before it uses its shares, because grants of earlier owners
///   can be spent until then.
/// - A host that leaves announces this to its peers. It immediately stops using
///   its shares of the rate limits and stops renewing the leases of other
///   hosts.
/// - A later process of the same name replaces the earlier one. The earlier one
///   has ended, because names are unique in the fleet.
class Membership {
public:
  static constexpr std::chrono::milliseconds HeartbeatInterval{500};
  static constexpr std::chrono::milliseconds SuspectAfter{1000};
  /// How long a new owner waits after it has learned the epoch.
  static constexpr std::chrono::milliseconds TakeoverWait{1000};

  /// \param Self key, failure domain and address of this host.
  /// \param Random source of jitter and of random peers.
  Membership(HostMember Self, std::mt19937_64 Random);

  /// Sets the hosts to contact while no host set is known. They come from the
  /// platform's list of hosts.
  void setSeeds(std::vector<HostMember> Hosts);

  /// Sets the configuration version that heartbeats report to peers.
  void setConfigurationVersion(std::uint64_t Version);

  /// Adopts a host set from the platform or a peer, if it is newer.
  void adoptHostSet(const MemberSet &Newer, TimePoint Now);

  /// Announces that this host leaves, and stops using its shares immediately.
  void leave(TimePoint Now);

  /// \returns the answer to send.
  HeartbeatAnswer onHeartbeat(const Heartbeat &Message, TimePoint Now);
  /// \param SentAt time at which the answered heartbeat was sent.
  void onHeartbeatAnswer(const HeartbeatAnswer &Answer, TimePoint SentAt,
                         TimePoint Now);
  /// \returns the answer to send.
  RemovalAnswer onRemovalRequest(const RemovalRequest &Request, TimePoint Now);
  void onRemovalAnswer(const RemovalAnswer &Answer, TimePoint Now);

  /// \returns the actions to execute now.
  std::vector<MembershipAction> tick(TimePoint Now);

  const MemberSet &hostSet() const { return this->Set; }
  bool isMember() const;
  bool isLeaving() const { return this->Own.State == HostState::Leaving; }

  /// \returns the members that are neither suspected nor leaving. All tasks
  ///          except rate shares are placed on these hosts.
  std::vector<PlacementHost> liveHosts() const;

  /// \returns a number that increases with each change of liveHosts() or
  ///          hostSet().
  std::uint64_t version() const { return this->Version; }

  bool holdsLease(TimePoint Now) const {
    return this->leaseUntil(Now).has_value();
  }

  /// \returns when this host's lease expires unless it is renewed, or nothing
  ///          if it has no lease.
  std::optional<TimePoint> leaseUntil(TimePoint Now) const;

  /// \returns until when this host may use its shares without another check, or
  ///          nothing if it may not use them now. After it has joined, a host
  ///          may use its shares only when TakeoverWait has passed since it
  ///          learned that all members of its domain know the epoch in which it
  ///          joined: grants of the earlier owners have expired by then.
  std::optional<TimePoint> sharesUntil(TimePoint Now) const;

  /// Whether this host owns its domain's share of the workspace's rate limit
  /// and may use it now. Must be checked for every grant.
  bool mayGrant(std::string_view Workspace, TimePoint Now) const;

private:
  /// A host to which this host sends heartbeats.
  struct HeartbeatTarget {
    TimePoint LastAnswer;
    std::size_t Rank = 0; ///< Position in the result of monitorsOf().
  };
  /// An earlier host set whose owners may still have valid grants.
  struct EarlierView {
    std::vector<PlacementHost> Domain; ///< Members of the own domain.
    TimePoint Until;                   ///< End of the grants' validity.
    std::uint64_t Joined = 0;          ///< Epoch in which this host joined.
  };
  /// A change of the host set that this host proposes when it is due.
  struct Nomination {
    TimePoint Due;
    std::optional<HostMember> Joining; ///< Empty if the host leaves.
  };

  GossipPayload gossipFor(std::string_view Peer);
  void mergeGossip(const GossipPayload &Gossip, TimePoint Now);
  void mergeStatus(const HostStatus &Update, TimePoint Now);
  void recordContact(const GossipPayload &Gossip, TimePoint Now);
  bool renews(const HostKey &Peer, std::uint64_t PeerEpoch) const;
  bool agreeTo(const HostKey &Suspect, TimePoint Now);

  void detectPause(TimePoint Now);
  bool hasTakenOver(TimePoint Now) const;
  void updateReachedSince(TimePoint Now);
  void updateHeartbeatTargets(TimePoint Now);
  void suspectUnresponsive(TimePoint Now);
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
  /// Owners of the own domain's shares by workspace, for the current host set.
  mutable std::map<std::string, std::string, std::less<>> OwnerCache;
  std::vector<EarlierView> EarlierViews;
  TimePoint AdoptedAt;
  std::vector<HostMember> Seeds;

  StatusTable Statuses;
  OwnerLease Lease;
  /// Since when all members of the domain are known to have the epoch in which
  /// this host joined.
  std::optional<TimePoint> ReachedSince;
  std::map<std::string, HeartbeatTarget> HeartbeatTargets;
  std::uint64_t TargetsVersion = 0;
  std::map<std::string, TimePoint> LastContact;
  std::optional<TimePoint> LastTick;
  TimePoint ResumedAt; ///< End of the last pause of this process.
  TimePoint NextHeartbeat;
  std::uint64_t Round = 0;

  /// Hosts whose removal this host has agreed to, in the current epoch.
  std::set<HostKey> Agreed;
  RemovalRound Removal;
  std::map<std::string, Nomination> Nominations;
  /// Since when a member is known to have agreed to remove this host.
  std::optional<TimePoint> OwnRemovalAgreedSince;
  std::optional<TimePoint> ProposalUntil; ///< No other proposal before.

  std::uint64_t NewestEpoch = 0;
  std::string NewestEpochAt; ///< Name of the peer that has NewestEpoch.
  TimePoint NextFetch;
};

} // namespace lavenderdale
