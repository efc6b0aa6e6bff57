#pragma once

#include "base/boottime.h"
#include "base/result.h"
#include "consistency/position.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lavenderdale {

/// What one host reports about the primary of a group. A host that neither
/// suspects it nor has a recent proof has not tried to reach it lately, and has
/// no say.
struct PrimaryReport {
  bool Suspects = false; ///< Its probes found no primary.
  std::optional<std::chrono::milliseconds>
      ProvenAge; ///< Time since a member last proved to be the primary.
};

/// Limits of shouldPromote().
struct PromotionLimits {
  /// A host that saw a proof more recent than this prevents a promotion.
  std::chrono::milliseconds RecentProofAge{600};
  /// While less than half of the hosts can be heard, or no other host suspects
  /// the primary, a suspicion has to last for this long. Many hosts may restart
  /// at the same time, but a restart takes less than this.
  std::chrono::milliseconds MinoritySuspicionTime{3500};
  /// Delay between the hosts, which act one after the other so that they seldom
  /// compete for a claim.
  std::chrono::milliseconds RankDelay{350};
  /// Hosts of a higher rank wait no longer than this one, so that the hosts of
  /// a large fleet do not wait for dozens of others.
  std::size_t MaxDelayedRank = 8;
  /// Without synchronous replicas, a member without commits of the newest
  /// proved term is promoted only when the primary has been suspected for this
  /// long. A crashed member needs up to 7 s to come back with its log, and
  /// writes have to be served again after 12 s.
  std::chrono::milliseconds OlderTermWait{8000};

  /// How long the host of \p Rank leaves a promotion to those before it.
  std::chrono::milliseconds delay(std::size_t Rank) const {
    return this->RankDelay *
           static_cast<int>(std::min(Rank, this->MaxDelayedRank));
  }
};

/// Whether a host should try to replace a failed primary now. A network
/// partition between hosts, or between some hosts and the primary, must not
/// lead to the replacement of a primary that other hosts reach. If several
/// hosts act at the same time, the claim in the object store decides.
/// \param Others reports of the other hosts that were heard recently.
/// \param Heard number of hosts to which there is a path now, including this
///        one.
/// \param Hosts number of hosts of the fleet, including this one.
/// \param Rank position of this host in the promotionOrder() of the group.
/// \param SuspectedFor how long this host has suspected the primary.
bool shouldPromote(std::span<const PrimaryReport> Others, std::size_t Heard,
                   std::size_t Hosts, std::size_t Rank,
                   std::chrono::milliseconds SuspectedFor,
                   const PromotionLimits &Limits);

/// A member that may be promoted, from its answer to a recent probe.
struct PromotionCandidate {
  std::string Id;
  Position Received;
  bool Leaving = false;
  bool IsPrimary = false; ///< Answered that it is the primary.
  /// May be promoted. A replica that may not still shows which commits exist.
  bool Eligible = true;
};

/// Chooses the member with the highest received position. A member that is
/// leaving is chosen only if there is no other.
/// \returns the member's id. Nothing without members, or if a member that is
/// not leaving is the primary already: a host that was cut off learns in this
/// way that another one was promoted, and must not replace it.
std::optional<std::string>
choosePromotionCandidate(std::span<const PromotionCandidate> Candidates);

/// Whether a member may be promoted in a group without synchronous replicas, as
/// far as the terms of its log go.
///
/// Load pattern: a primary is replaced while it is cut off, and keeps its log
/// of the older term. Its successor crashes, and it is the only one to answer.
///
/// \param Received last position of the member's log.
/// \param Proved newest term in which a member proved to be the primary.
/// \param SuspectedFor how long the primary has been suspected.
bool mayLeadAfter(const Position &Received, Term Proved,
                  std::chrono::milliseconds SuspectedFor,
                  const PromotionLimits &Limits);

/// What the promoted member of a group must have received.
struct CommitGuarantee {
  /// Number of replicas that have received a commit before it is acknowledged.
  /// Without any, the primary alone may have an acknowledged commit.
  std::size_t SynchronousReplicas = 0;
  /// Number of members besides the failed primary that may have received
  /// commits which no other one has, with those that are gone.
  std::size_t Replicas = 0;
  /// Position up to which replicas that are gone may have acknowledged commits.
  std::optional<Position> Required;
};

/// Chooses the member to promote in a group with synchronous replicas: one that
/// has every acknowledged commit. So many replicas must have answered that at
/// least one of any SynchronousReplicas is among them.
///
/// Load pattern: one replica receives nothing for a while, so that all commits
/// are acknowledged by another one, which answers slowly when the primary
/// crashes.
///
/// \returns the member's id. Errors: Unavailable while too few replicas have
///          answered, or if a member already is the primary; ReplicaBehind if
///          no eligible candidate is known to have all commits.
Result<std::string>
chooseCompleteCandidate(std::span<const PromotionCandidate> Candidates,
                        const CommitGuarantee &Guarantee);

/// Chooses the member that replaces a primary which was demoted in order to be
/// replaced, and acknowledges nothing any more.
///
/// Load pattern: a replica stops receiving between its choice and the moment
/// when it would lead, while the primary acknowledges commits.
///
/// \param End last position of the demoted primary's log.
/// \param Ordered member whose promotion was ordered already, which is
///        preferred: that order may still take effect.
/// \returns an eligible member that has the whole log, one that is not leaving
///          if possible, or nothing.
std::optional<std::string>
chooseSuccessor(std::span<const PromotionCandidate> Candidates,
                const Position &End, const std::string &Ordered = {});

/// Decides when a host may take over the claim to promote a member. The claim
/// of another host is respected for a time after it was last seen to change.
/// This keeps two hosts from promoting members in turn, and gives a host that
/// was cut off the time to learn what the others did.
class ClaimTracker {
public:
  /// How long a claim is respected. Two holders must not alternate within 3 s;
  /// the rest is the time that a holder needs from its claim to its order to
  /// promote.
  static constexpr std::chrono::milliseconds LeaseDuration{3500};

  /// A claim was read.
  /// \param Revision revision of the claim's object.
  /// \param Holder host that holds the claim, empty if it was released.
  void claimRead(std::uint64_t Revision, const std::string &Holder,
                 BootTime Now);

  /// Whether \p Host held the claim when it was last read.
  bool isHeldBy(const std::string &Host) const { return this->Holder == Host; }

  /// Whether \p Host may take the claim now.
  bool mayClaim(const std::string &Host, BootTime Now) const;

private:
  std::uint64_t Revision = 0;
  std::string Holder;
  BootTime Since{};
};

} // namespace lavenderdale
