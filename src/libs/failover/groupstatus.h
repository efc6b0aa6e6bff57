#pragma once

#include "consistency/lineage.h"

#include <cstdint>
#include <optional>
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
  Term Current;
  std::string Primary;
  Lineage History;
  std::optional<PromotionClaim> Claim;

  bool operator==(const TermStatus &) const = default;
};

} // namespace lavenderdale
