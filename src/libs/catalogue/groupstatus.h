#pragma once

#include "base/result.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// A timeline of a group and the log position at which it began.
struct LineageEntry {
  std::uint64_t Term = 0;    ///< PostgreSQL timeline.
  std::string StartPosition; ///< An LSN, for example "0/3000148".

  bool operator==(const LineageEntry &) const = default;
};

/// A claim to change the primary of a group.
struct PromotionAttempt {
  std::string Id;
  std::string By;         ///< Host that made the claim.
  std::string Candidate;  ///< Upstream; empty until it is chosen.
  std::uint64_t Term = 0; ///< The term that the attempt wants to begin.

  bool operator==(const PromotionAttempt &) const = default;
};

/// The "status" member of a group. Written by promoters only.
struct GroupStatus {
  std::uint64_t Term = 0;            ///< Rises with each change of primary.
  std::string Primary;               ///< Upstream.
  std::vector<LineageEntry> Lineage; ///< Timelines ascend.
  std::optional<PromotionAttempt> Attempt;
  /// Start of the primary's timeline, while its promotion is not complete.
  std::optional<std::string> PromotionStart;
  std::vector<std::string> Replaced; ///< May not follow the primary yet.

  /// \param Status the object's "status" member.
  static Result<GroupStatus> fromJson(const Json::Value &Status);
  Json::Value toJson() const;

  bool operator==(const GroupStatus &) const = default;
};

/// Whether \p Text is an LSN: two groups of 1 to 8 hex digits around '/'.
bool isLogPosition(const std::string &Text);

} // namespace lavenderdale
