#pragma once

#include "base/boottime.h"
#include "consistency/position.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lavenderdale {

/// What one host reports of the primary of a group.
struct PrimaryOpinion {
  bool Suspects = false; ///< It probed without finding a primary.
  std::optional<std::chrono::milliseconds> ProvenAge; ///< Of its last proof.
};

/// Limits of decidePromotion().
struct PromotionLimits {
  /// A proof of any host that is younger than this forbids a promotion.
  std::chrono::milliseconds RecentProof{600};
  /// Without half of the hosts, a suspicion has to last for this long. Their
  /// loss at the same moment is ordinary, and restarts take less.
  std::chrono::milliseconds MinorityPatience{3500};
  /// Hosts act one after the other with this delay, so that a claim is seldom
  /// contested.
  std::chrono::milliseconds RankDelay{350};
};

/// Whether a host should try to promote for a dead primary now. A cut between
/// hosts, or between some hosts and the primary, must not replace a primary
/// that the others reach; the claim in the object store decides between hosts
/// that act at the same time.
/// \param Others opinions of the hosts that were heard lately.
/// \param Hosts number of hosts of the fleet, this one included.
/// \param Rank position of this host among those heard, by name.
/// \param SuspectedFor how long this host has suspected the primary.
bool decidePromotion(std::span<const PrimaryOpinion> Others, std::size_t Hosts,
                     std::size_t Rank, std::chrono::milliseconds SuspectedFor,
                     const PromotionLimits &Limits);

/// A member that may be promoted, as it answered a moment ago.
struct PromotionCandidate {
  std::string Id;
  Position Received;
  bool Leaving = false;
  bool Leads = false; ///< It answered that it is the primary.
};

/// The member that received most; one that is leaving only if no other is
/// there.
/// \returns nothing without members, or if one that stays leads already: a
///          host that was cut off learns of the new primary in this way, and
///          must not undo the promotion.
std::optional<std::string>
choosePromotion(std::span<const PromotionCandidate> Candidates);

/// Decides when a host may take over the claim to promote. The claim of
/// another host is respected for a time after it was last seen to change, so
/// that two hosts do not promote in turn, and a host that was cut off first
/// learns what the others did.
class ClaimWatch {
public:
  /// Longer than the 3 s within which two holders must not take turns, by the
  /// time a holder needs from its claim to its order.
  static constexpr std::chrono::milliseconds Lease{3500};

  /// A claim was read. \param Holder empty if the claim was given up.
  void saw(std::uint64_t Revision, const std::string &Holder, BootTime Now);

  /// Whether \p Host may claim now.
  bool isFree(const std::string &Host, BootTime Now) const;

private:
  std::uint64_t Revision = 0;
  std::string Holder;
  BootTime Since{};
};

} // namespace lavenderdale
