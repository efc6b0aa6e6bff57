#pragma once

#include "memberset.h"

#include <optional>
#include <variant>

namespace lavenderdale {

/// In the order in which a later one replaces an earlier one of the same
/// incarnation.
enum class HostState { Alive, Suspected, Leaving };

/// What is known about a host. A suspected host refutes the suspicion with a
/// higher incarnation.
struct HostStatus {
  HostKey Key;
  std::uint64_t Incarnation = 0;
  HostState State = HostState::Alive;

  bool operator==(const HostStatus &) const = default;
};

/// The first part of heartbeats and answers: the sender's own status, the
/// epoch and configuration version it has in force, and news about others.
struct PeerNews {
  HostStatus Sender;
  std::uint64_t Epoch = 0;
  std::uint64_t ConfigurationVersion = 0;
  std::vector<HostStatus> Updates; ///< At most MaxUpdates.
};

/// Bounds the size of heartbeats and answers.
constexpr std::size_t MaxUpdates = 8;

/// Sent every 500 ms to each monitor.
struct Heartbeat {
  PeerNews News;
  bool WantsContacts = false;
  /// Set while the sender is not a member and wants to be one.
  std::optional<HostMember> Joining;
};

struct HeartbeatAnswer {
  PeerNews News;
  /// The receiver's lease is renewed until 1 s after the heartbeat was sent.
  bool Renews = false;
  /// The sender has agreed, in its epoch, to remove the receiver.
  bool AgreedToRemove = false;
  /// For each member of the domain, ordered by name: the age in whole
  /// seconds, rounded up, of the newest sign of life of that member in this
  /// epoch; UnknownContact if there is none. Empty if not wanted, or if the
  /// two hosts have different epochs.
  std::vector<std::uint8_t> Contacts;
};

constexpr std::uint8_t UnknownContact = 255;

/// Asks a member of the same domain to agree to the removal of hosts.
struct RemovalQuestion {
  HostKey Sender;
  std::uint64_t Epoch = 0;
  std::vector<HostKey> Suspects;
};

/// The suspects whose removal the sender agrees to. An agreement holds for
/// the rest of the epoch.
struct RemovalAnswer {
  HostKey Sender;
  std::uint64_t Epoch = 0;
  std::vector<HostKey> Agreed;
};

/// Send a heartbeat; hand the answer to Membership::onHeartbeatAnswer().
struct SendHeartbeat {
  std::string To;
  std::string Address;
  Heartbeat Message;
};

/// Ask a member; hand the answer to Membership::onRemovalAnswer().
struct AskRemoval {
  std::string To;
  std::string Address;
  RemovalQuestion Message;
};

/// Replace the platform's host set if it still has ExpectedEpoch (0: create
/// it). Whatever comes of it, the host set read afterwards is handed to
/// Membership::adoptHostSet().
struct ProposeHostSet {
  std::uint64_t ExpectedEpoch = 0;
  MemberSet Proposed;
};

/// Get a host set of at least \p Epoch from the peer, or from the platform.
struct FetchHostSet {
  std::string From;
  std::uint64_t Epoch = 0;
};

using MembershipAction =
    std::variant<SendHeartbeat, AskRemoval, ProposeHostSet, FetchHostSet>;

} // namespace lavenderdale
