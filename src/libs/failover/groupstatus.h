#pragma once

#include "consistency/lineage.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lavenderdale {

/// Marks a promotion in progress, and which host runs it.
struct PromotionClaim {
  std::string AttemptId; ///< Unique among all hosts and attempts.
  std::string Owner;     ///< Host name of the promoter.

  bool operator==(const PromotionClaim &) const = default;
};

/// The status of a group as the platform stores it.
struct TermStatus {
  std::uint64_t Version = 0; ///< Version of the object that it was read from.
  Term Current;              ///< Increases with each change of primary.
  std::string Primary;
  Lineage History; ///< Timelines whose promotion is complete.
  std::optional<PromotionClaim> Claim;
  /// Where the primary's timeline branches off. Set until its promotion is
  /// complete; only then is its timeline known and in the lineage. A chosen
  /// member may fail before it is promoted, so the number of a term's timeline
  /// may be lower than that of the term.
  std::optional<LogPosition> PromotionStart;
  /// Former primaries that must not follow the current one yet.
  std::set<std::string> Replaced;

  /// \returns the timeline of the primary, or 0 until its promotion is
  /// complete.
  Term timeline() const {
    if (this->PromotionStart)
      return {};
    return this->History.entries().empty() ? this->Current
                                           : this->History.newest();
  }

  bool operator==(const TermStatus &) const = default;
};

} // namespace lavenderdale
