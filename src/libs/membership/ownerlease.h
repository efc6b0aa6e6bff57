#pragma once

#include "base/timepoint.h"
#include "membershipmessages.h"

#include <map>
#include <set>

namespace lavenderdale {

/// The right of a host to use its shares of the rates. Two conditions make
/// sure that a removed host has lost it before its shares have a new owner:
///
/// - One: a member of the domain that has not agreed to remove this host
///   answered a heartbeat that was sent in the last second. All other members
///   agree before one host is removed, so its lease ends within 1 s.
/// - Several: hosts that are removed together can renew each other. In a
///   domain where this many hosts can be removed together, the lease also
///   needs signs of life of more members than that, of the last
///   ContactWindow. Signs of life are passed on in answers, never to a host
///   whose removal was agreed to; the removal waits for the window to pass.
///
/// Times are counted from when a heartbeat was sent, so delays only shorten
/// them.
class OwnerLease {
public:
  static constexpr std::chrono::milliseconds Length{1000};
  static constexpr std::chrono::seconds ContactWindow{20};

  explicit OwnerLease(HostKey Self);

  /// Notes a renewal by \p Answer to a heartbeat sent at \p SentAt.
  /// \param Domain members of the own domain, ordered by name.
  /// \param Epoch the own epoch.
  void renew(const HeartbeatAnswer &Answer, TimePoint SentAt,
             const std::vector<HostMember> &Domain, std::uint64_t Epoch);

  /// Notes the epoch that a member was seen with.
  void sawEpoch(const std::string &Name, std::uint64_t Epoch);

  /// Forgets hosts that are not in \p Domain.
  void retainMembers(const std::vector<HostMember> &Domain);

  /// \param Agreed hosts whose removal this host agreed to; their signs of
  ///               life do not count.
  bool isValid(TimePoint Now, const std::vector<HostMember> &Domain,
               const std::set<HostKey> &Agreed) const;

  /// \returns until when isValid() holds at least, unless this host agrees to
  /// more removals; not after \p Now if it does not hold now. Never more than
  /// Length after \p Now.
  TimePoint validUntil(TimePoint Now, const std::vector<HostMember> &Domain,
                       const std::set<HostKey> &Agreed) const;

  /// Whether every member of the domain is known to have had an epoch of at
  /// least \p Epoch. Members that joined later have.
  bool allReached(std::uint64_t Epoch,
                  const std::vector<HostMember> &Domain) const;

  /// The newest epoch that \p Member is known to have had.
  std::uint64_t epochOf(const HostMember &Member) const;

  /// HeartbeatAnswer::Contacts for a peer with the same epoch.
  std::vector<std::uint8_t> contacts(TimePoint Now,
                                     const std::vector<HostMember> &Domain,
                                     std::uint64_t Epoch) const;

private:
  void heard(const std::string &Name, TimePoint At);

  const HostKey Self;
  std::optional<TimePoint> RenewedUntil;
  std::map<std::string, TimePoint> HeardAt;
  std::map<std::string, std::uint64_t> Epochs;
};

} // namespace lavenderdale
