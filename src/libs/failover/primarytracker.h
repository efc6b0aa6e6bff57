#pragma once

#include "base/timepoint.h"
#include "consistency/term.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// What a host believes about the primary of one group whose members refuse
/// writing transactions by themselves when they do not lead.
///
/// A member proves that it leads by starting a writing transaction. Claims in
/// its entry only say where to look first.
class PrimaryTracker {
public:
  /// A member that refused to lead is not tried again for this long, unless
  /// it starts to claim to be the primary.
  static constexpr std::chrono::milliseconds RefusalLifetime{150};
  /// A member ordered to be promoted is expected to lead within this time.
  static constexpr std::chrono::milliseconds PromotionPreference{4000};

  struct Member {
    std::string Id;
    bool ClaimsPrimary = false;
    bool Leaving = false;
  };

  void setMembers(const std::vector<Member> &Members, TimePoint Now);

  /// \p Id led at \p Now in \p InTerm.
  void proved(const std::string &Id, Term InTerm, TimePoint Now);
  /// \p Id answered that it does not lead.
  void refused(const std::string &Id, TimePoint Now);
  /// A probe of \p Id failed without an answer.
  void unreachable(const std::string &Id, TimePoint Now);
  /// A host ordered the promotion of \p Id.
  void promotionOrdered(const std::string &Id, TimePoint Now);

  /// The member to send writes to, or nothing if none is likely to lead.
  std::optional<std::string> primary(TimePoint Now) const;

  /// The member to probe next; unlike primary(), any member in turn when none
  /// is likely to lead.
  std::optional<std::string> probeTarget(TimePoint Now);

  /// Whether no member has led for \p Limit although one was probed since.
  bool suspected(TimePoint Now, std::chrono::milliseconds Limit) const;

  /// Whether a promotion was ordered within \p Limit.
  bool orderedWithin(std::chrono::milliseconds Limit, TimePoint Now) const;

  /// Time since the last proof; nothing without one.
  std::optional<Duration> provenAge(TimePoint Now) const;

  /// The member that led last, if it is still there.
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

  bool mayLead(const State &Each, TimePoint Now) const;

  std::map<std::string, State> Members;
  std::string Proven;
  Term ProvenTerm;
  std::optional<TimePoint> ProvenAt;
  std::optional<TimePoint> FailedSince; ///< First failure after the last proof.
  std::size_t ProbeTurn = 0;
};

} // namespace lavenderdale
