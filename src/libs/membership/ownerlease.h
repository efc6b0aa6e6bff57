#pragma once

#include "base/timepoint.h"
#include "membershipmessages.h"

#include <map>
#include <set>

namespace lavenderdale {

/// The right of a host to use its shares of the rate limits. Two conditions
/// ensure that a removed host has lost its lease before its shares get a new
/// owner:
///
/// - Removal of one host: the lease needs an answer to a heartbeat. The
///   heartbeat must have been sent within the last second, and the answer must
///   come from a member of the domain that has not agreed to remove this host.
///   All other members agree before a host is removed, so its lease expires
///   within 1 s.
/// - Removal of several hosts: these could renew each other's leases.
///   Therefore, in a domain where two or more hosts can be removed together
///   (see maxRemovedTogether()), the lease also needs contacts with more
///   members than that number within the last ContactWindow. Members report
///   their contacts in heartbeat answers, but never to a host whose removal
///   they have agreed to. The removal of several hosts waits until
///   ContactWindow has passed.
///
/// Times count from the sending of a heartbeat, so delays only shorten a lease.
class OwnerLease {
public:
  static constexpr std::chrono::milliseconds Length{1000};
  static constexpr std::chrono::seconds ContactWindow{20};

  explicit OwnerLease(HostKey Self);

  /// Records a renewal by \p Answer to a heartbeat sent at \p SentAt.
  /// \param Domain members of this host's domain, ordered by name.
  /// \param Epoch this host's epoch.
  void renew(const HeartbeatAnswer &Answer, TimePoint SentAt,
             const std::vector<HostMember> &Domain, std::uint64_t Epoch);

  /// Records an epoch that a member has reported.
  void sawEpoch(const std::string &Name, std::uint64_t Epoch);

  /// Forgets hosts that are not in \p Domain.
  void retainMembers(const std::vector<HostMember> &Domain);

  /// \param Agreed hosts whose removal this host has agreed to; contacts with
  ///               them do not count.
  /// \returns when the lease expires unless it is renewed, or nothing if it is
  ///          not valid at \p Now.
  std::optional<TimePoint> validUntil(TimePoint Now,
                                      const std::vector<HostMember> &Domain,
                                      const std::set<HostKey> &Agreed) const;

  /// Whether every member of the domain is known to have had \p Epoch or a
  /// later one, including members that joined in it or later.
  bool allMembersReached(std::uint64_t Epoch,
                         const std::vector<HostMember> &Domain) const;

  /// \returns the newest epoch that \p Member is known to have had.
  std::uint64_t epochOf(const HostMember &Member) const;

  /// \returns the value of HeartbeatAnswer::Contacts for a peer in \p Epoch.
  std::vector<std::uint8_t> contacts(TimePoint Now,
                                     const std::vector<HostMember> &Domain,
                                     std::uint64_t Epoch) const;

private:
  void recordContact(const std::string &Name, TimePoint At);
  TimePoint contactUntil(const HostMember &Member) const;

  const HostKey Self;
  std::optional<TimePoint> RenewedUntil;
  std::map<std::string, TimePoint> LastContact; ///< By member name.
  std::map<std::string, std::uint64_t> Epochs;  ///< By member name.
};

} // namespace lavenderdale
