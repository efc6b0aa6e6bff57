#pragma once

#include "base/boottime.h"
#include "consistency/verifiedpositions.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lavenderdale {

/// One process of a member. A later one may have lost the log of the one
/// before.
struct MemberProcess {
  std::string Id;
  std::uint64_t StartedAt = 0; ///< Unix time in milliseconds.

  auto operator<=>(const MemberProcess &) const = default;
};

/// What must be known about the members of a group after a restart of all
/// hosts. Kept in the object store.
struct MemberRecord {
  /// The members, and the departed replicas that may have received acknowledged
  /// commits which no other member has.
  std::set<MemberProcess> Processes;
  std::string Primary; ///< The member that proved last to be the primary.
  /// Position that includes the commits of all other departed replicas.
  std::optional<Position> Required;

  bool operator==(const MemberRecord &) const = default;
};

/// Replicas of a group that are gone, and the commits that they may have been
/// the only ones to receive.
///
/// Commits that are acknowledged after a replica is gone have been received by
/// others. A log position that the primary proved after that moment therefore
/// includes all commits that the replica can have received alone.
class DepartedReplicas {
public:
  /// Process \p StartedAt of replica \p Id is a member.
  void present(const std::string &Id, std::uint64_t StartedAt, BootTime Now);
  /// Replica \p Id is no member any more. Ignored if it was none.
  void gone(const std::string &Id, BootTime Now);

  /// Member \p Id is the primary, so its departure leaves nothing behind.
  void leads(const std::string &Id) { this->Primary = Id; }

  /// Adds what the store keeps. A process that was there before was accounted
  /// for by another host if it was removed with a higher required position.
  void restore(const MemberRecord &Stored, BootTime Now);
  /// What the store has to keep.
  MemberRecord record() const;

  /// Uses the positions that the primary proved since replicas went.
  void update(const VerifiedPositions &Proved);

  /// Number of replicas after whose departure the primary proved no position.
  std::size_t unaccounted() const { return this->Gone.size(); }
  /// The position that a member needs to have all commits of the other
  /// departed replicas; nothing if there are none.
  std::optional<Position> required() const { return this->Required; }

private:
  std::map<std::string, std::uint64_t> Present; ///< Start time by id.
  std::map<MemberProcess, BootTime> Gone;       ///< When they were missed.
  MemberRecord Stored;                          ///< As restored last.
  std::string Primary;
  std::optional<Position> Required;
};

} // namespace lavenderdale
