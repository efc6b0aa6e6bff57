#pragma once

#include "memberset.h"

#include <optional>
#include <variant>

namespace lavenderdale {

/// Ordered by precedence: with the same incarnation, a later value replaces an
/// earlier one.
enum class HostState { Alive, Suspected, Leaving };

/// The status of a host, as spread by gossip. A suspected host refutes the
/// suspicion with a higher incarnation.
struct HostStatus {
  HostKey Key;
  std::uint64_t Incarnation = 0;
  HostState State = HostState::Alive;

  bool operator==(const HostStatus &) const = default;
};

/// The common part of heartbeats and their answers: the sender's own status,
/// its current epoch and configuration version, and status updates about other
/// hosts.
struct GossipPayload {
  HostStatus Sender;
  std::uint64_t Epoch = 0;
  std::uint64_t ConfigurationVersion = 0;
  std::vector<HostStatus> Updates; ///< At most MaxUpdates.
};

/// Limits the size of heartbeats and their answers.
constexpr std::size_t MaxUpdates = 8;

/// Sent every 500 ms to the hosts that monitorsOf() returns.
struct Heartbeat {
  GossipPayload Gossip;
  bool WantsContacts = false; ///< Asks for HeartbeatAnswer::Contacts.
  /// The sender's entry for the host set if it wants to become a member.
  std::optional<HostMember> Joining;
};

struct HeartbeatAnswer {
  GossipPayload Gossip;
  /// Whether the receiver's lease is renewed until 1 s after the heartbeat was
  /// sent.
  bool RenewsLease = false;
  /// Whether the sender has agreed to remove the receiver in its epoch.
  bool AgreedToRemove = false;
  /// For each member of the domain, ordered by name: the time since the last
  /// contact with that member in this epoch, in seconds, rounded up;
  /// UnknownContact if there was none. Empty if not asked for, or if the two
  /// hosts have different epochs.
  std::vector<std::uint8_t> Contacts;
};

constexpr std::uint8_t UnknownContact = 255;

/// Asks a member of the same failure domain to agree to the removal of hosts.
struct RemovalRequest {
  HostKey Sender;
  std::uint64_t Epoch = 0;
  std::vector<HostKey> Suspects;
};

/// Lists the suspects whose removal the sender agrees to. An agreement is valid
/// until the epoch changes.
struct RemovalAnswer {
  HostKey Sender;
  std::uint64_t Epoch = 0;
  std::vector<HostKey> Agreed;
};

/// Action: send a heartbeat, and pass the answer to
/// Membership::onHeartbeatAnswer().
struct SendHeartbeat {
  std::string To;
  std::string Address;
  Heartbeat Message;
};

/// Action: ask a member to agree to a removal, and pass the answer to
/// Membership::onRemovalAnswer().
struct SendRemovalRequest {
  std::string To;
  std::string Address;
  RemovalRequest Message;
};

/// Action: replace the host set on the platform if it still has ExpectedEpoch,
/// or create it if ExpectedEpoch is 0. Then, also after a failure, read the
/// host set and pass it to Membership::adoptHostSet().
struct ProposeHostSet {
  std::uint64_t ExpectedEpoch = 0;
  MemberSet Proposed;
};

/// Action: read a host set of at least Epoch from the peer From, or else from
/// the platform, and pass it to Membership::adoptHostSet().
struct FetchHostSet {
  std::string From;
  std::uint64_t Epoch = 0;
};

using MembershipAction = std::variant<SendHeartbeat, SendRemovalRequest,
                                      ProposeHostSet, FetchHostSet>;

} // namespace lavenderdale
