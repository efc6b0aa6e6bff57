#pragma once

#include "consistency/lineage.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lavenderdale {

/// A promotion in progress.
struct PromotionClaim {
  std::string AttemptId; ///< Unique over all hosts and attempts.
  std::string Owner;     ///< Host name of the promoter.

  bool operator==(const PromotionClaim &) const = default;
};

/// The status of a group as the platform stores it.
struct TermStatus {
  std::uint64_t Version = 0; ///< Version of the object that it was read from.
  Term Current;              ///< Rises with each change of primary.
  std::string Primary;
  Lineage History; ///< Timelines whose promotion is complete.
  std::optional<PromotionClaim> Claim;
  /// Where the primary's timeline branches off, until its promotion is
  /// complete. Its timeline is known and in the lineage only then: a chosen
  /// member may die before it is promoted, so that timelines lag behind terms.
  std::optional<LogPosition> PromotionStart;
  /// Earlier primaries that may not follow the current one yet.
  std::set<std::string> Replaced;

  /// \returns the timeline of the primary, or 0 while it is not promoted.
  Term timeline() const {
    if (this->PromotionStart)
      return {};
    return this->History.entries().empty() ? this->Current
                                           : this->History.newest();
  }

  bool operator==(const TermStatus &) const = default;
};

} // namespace lavenderdale
