#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Tracks on one host which member of a group is the primary. For groups whose
/// members refuse writing transactions by themselves unless they are primary.
///
/// A member proves that it is the primary by starting a writing transaction. A
/// claim in a member's entry only determines which member is tried first.
class PrimaryTracker {
public:
  /// A member that answered that it is not the primary is not tried again for
  /// this long, unless its entry starts to claim that it is.
  static constexpr std::chrono::milliseconds RefusalLifetime{150};
  /// A member whose promotion was ordered is preferred for this long.
  static constexpr std::chrono::milliseconds PromotionTimeout{4000};

  struct Member {
    std::string Id;
    bool ClaimsPrimary = false; ///< Its entry says that it is the primary.
    bool Leaving = false;
  };

  /// An order to promote a member that may still take effect.
  struct PendingOrder {
    std::string Id;
    std::uint64_t Token = 0; ///< Its fencing token.
    Term Before;             ///< Newest known term when it was sent.
  };

  void setMembers(const std::vector<Member> &Members, TimePoint Now);

  /// \p Id proved at \p At that it is the primary of \p InTerm. A proof that
  /// is older than the latest one is ignored, and failures after \p At still
  /// count.
  void recordLeadershipProof(const std::string &Id, Term InTerm, TimePoint At);
  /// \p Id answered that it is not the primary. That counts as a failure of the
  /// primary only if \p Id was the known one, or none is known.
  void recordLeadershipRefusal(const std::string &Id, TimePoint Now);
  /// A probe of \p Id got no answer.
  void recordUnreachable(const std::string &Id, TimePoint Now);
  /// \p Id answered that it leads \p InTerm. Proves its leadership only in a
  /// term that is newer than the known one: a primary that was replaced may not
  /// know it yet.
  void recordStatus(const std::string &Id, Term InTerm, TimePoint Now) {
    if (InTerm > this->ProvenTerm)
      this->recordLeadershipProof(Id, InTerm, Now);
  }
  /// A host ordered the promotion of \p Id.
  void promotionOrdered(const std::string &Id, TimePoint Now);

  /// An order was sent, or is about to be, in a group with synchronous
  /// replicas. Until its outcome is known, only the ordered member or one of a
  /// newer term can be the primary(): another one may be back after a crash,
  /// and commits that it acknowledged could be missing in the ordered member.
  /// Ignored if an order with the same or a higher token is known.
  void orderPending(const PendingOrder &Sent);
  /// The order with \p Token, and all before it, will not take effect any more.
  void orderSettled(std::uint64_t Token);
  const std::optional<PendingOrder> &pendingOrder() const {
    return this->Pending;
  }
  /// Whether \p Id cannot be the primary() because of a pending order.
  bool isExcludedByOrder(const std::string &Id) const;

  /// The member to send writes to, or nothing if none is likely to be the
  /// primary.
  std::optional<std::string> primary(TimePoint Now) const;

  /// The member to probe next: the likely primary, and each member in turn
  /// while there is none or while probes fail.
  std::optional<std::string> probeTarget(TimePoint Now);

  /// Whether no member has proved to be the primary for \p Limit, and a probe
  /// has failed since the last proof.
  bool isSuspected(TimePoint Now, std::chrono::milliseconds Limit) const;

  /// Whether a probe has failed, or a member refused writes, since the last
  /// proof.
  bool hasFailed() const { return this->FailedSince.has_value(); }

  /// Whether a promotion was ordered within the last \p Limit.
  bool orderedWithin(std::chrono::milliseconds Limit, TimePoint Now) const;

  /// Time since the last proof, or nothing if there was none.
  std::optional<Duration> provenAge(TimePoint Now) const;

  /// The member that proved last to be the primary, if it is still a member.
  std::optional<std::string> lastPrimary() const;
  bool isLeaving(const std::string &Id) const;
  Term term() const { return this->ProvenTerm; }

private:
  struct State {
    Member Entry;
    TimePoint ClaimedSince{};
    TimePoint RefusedAt{};
    TimePoint OrderedAt{};
  };

  bool mayBePrimary(const State &Each, TimePoint Now) const;

  std::map<std::string, State> Members;
  std::string ProvenPrimary;
  Term ProvenTerm;
  std::optional<TimePoint> ProvenAt;
  std::optional<PendingOrder> Pending;
  std::uint64_t SettledToken = 0; ///< Highest one of an order that is settled.
  std::optional<TimePoint> FailedSince; ///< First failure after the last proof.
  std::size_t ProbeTurn = 0;
};

} // namespace lavenderdale
