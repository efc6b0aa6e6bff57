#pragma once

#include "base/timepoint.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderdale {

/// A millionth of a token. One token permits one statement. Buckets and loans
/// are counted in microtokens because a domain's share of a small rate is a
/// fraction of a token; grants to entry hosts are whole tokens.
using Microtokens = std::int64_t;
inline constexpr Microtokens MicrotokensPerToken = 1'000'000;

/// Rate limit of a workspace over all hosts.
struct RateAndBurst {
  std::uint32_t Rate = 0;  ///< Statements per second.
  std::uint32_t Burst = 0; ///< Statements.
  auto operator<=>(const RateAndBurst &) const = default;
};

/// The fraction of rate and burst that is assigned to one failure domain.
struct RateShare {
  std::uint32_t Numerator = 1;
  std::uint32_t Denominator = 1; ///< Number of failure domains.
  auto operator<=>(const RateShare &) const = default;
};

/// Sent by an entry host to a rate owner. It requests tokens and reports the
/// use of tokens granted before.
struct GrantRequest {
  std::string Workspace;
  /// Host set epoch known to the entry host. The lease, not the epoch, decides
  /// whether an owner may grant; a difference shows which side has an outdated
  /// host set.
  std::uint64_t Epoch = 0;
  std::string Host;
  /// Random number chosen at process start. It distinguishes a restarted host
  /// from its previous process.
  std::uint64_t Incarnation = 0;
  /// Increases with each request. All requests with a smaller number have been
  /// answered or have timed out; late answers to them are ignored.
  std::uint64_t Sequence = 0;
  std::uint32_t Wanted = 0; ///< Tokens; 0 for a report only.
  std::uint64_t Spent = 0;  ///< Rises with each token of this owner spent.
  std::uint32_t Held = 0;   ///< This owner's tokens that may still be spent.
  auto operator<=>(const GrantRequest &) const = default;
};

enum class GrantStatus {
  Granted,  ///< Possibly with fewer tokens than requested, or none.
  NotOwner, ///< The host does not own the workspace.
  NotReady, ///< Handover wait is not over, or the lease has expired.
  Stale,    ///< A request with a larger sequence was already answered.
};

/// Answer of a rate owner to a GrantRequest.
struct GrantAnswer {
  std::string Workspace;
  std::uint64_t Incarnation = 0; ///< Copied from the request.
  std::uint64_t Sequence = 0;
  GrantStatus Status = GrantStatus::NotOwner;
  std::uint32_t Tokens = 0;
  Duration Validity{}; ///< Counted from the sending of the request.
  auto operator<=>(const GrantAnswer &) const = default;
};

/// Sent by a rate owner to the owner in another failure domain, to borrow
/// tokens from its bucket.
struct LoanRequest {
  std::string Workspace;
  std::uint64_t Epoch = 0;
  std::string Host; ///< The borrower.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< As in GrantRequest.
  Microtokens Wanted = 0;
  /// True if requests are waiting or will be soon. Otherwise the borrower only
  /// requests tokens that the lender would lose to a full bucket.
  bool Urgent = false;
  auto operator<=>(const LoanRequest &) const = default;
};

/// Answer of the lender to a LoanRequest.
struct LoanAnswer {
  std::string Workspace;
  std::uint64_t Incarnation = 0; ///< Copied from the request.
  std::uint64_t Sequence = 0;
  GrantStatus Status = GrantStatus::NotOwner;
  Microtokens Amount = 0;
  Microtokens Spare = 0; ///< Amount that the lender could lend in addition.
  Duration Validity{};   ///< Counted from the sending of the request.
  auto operator<=>(const LoanAnswer &) const = default;
};

} // namespace lavenderdale
