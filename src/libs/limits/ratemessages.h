#pragma once

#include "base/timepoint.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderdale {

/// A millionth of a token. One token is the permission to run one statement.
/// Buckets and loans are counted in microtokens, since a share of a small rate
/// is a fraction; grants to entry hosts are whole tokens.
using Microtokens = std::int64_t;
inline constexpr Microtokens MicrotokensPerToken = 1'000'000;

/// What a workspace may use over the whole fleet.
struct RateAndBurst {
  std::uint32_t Rate = 0;  ///< Statements per second.
  std::uint32_t Burst = 0; ///< Statements.
  auto operator<=>(const RateAndBurst &) const = default;
};

/// The part of rate and burst that belongs to one failure domain.
struct RateShare {
  std::uint32_t Numerator = 1;
  std::uint32_t Denominator = 1; ///< Number of failure domains.
  auto operator<=>(const RateShare &) const = default;
};

/// Sent by an entry host to a rate owner. It asks for tokens and tells what
/// became of the earlier ones.
struct GrantRequest {
  std::string Workspace;
  /// Host set epoch known to the entry host. The lease, not the epoch, decides
  /// whether an owner may grant; a difference tells who has to catch up.
  std::uint64_t Epoch = 0;
  std::string Host;
  /// Random number chosen at the start of the process, so that a restarted
  /// host is not mistaken for the earlier one.
  std::uint64_t Incarnation = 0;
  /// Counts up per owner. All requests with a smaller number are answered or
  /// given up: their answers are ignored if they still arrive.
  std::uint64_t Sequence = 0;
  std::uint32_t Wanted = 0; ///< Tokens; 0 only reports.
  std::uint64_t Spent = 0;  ///< Tokens of this owner spent since the start.
  std::uint32_t Held = 0;   ///< Tokens of this owner that may still be spent.
  auto operator<=>(const GrantRequest &) const = default;
};

enum class GrantStatus {
  Granted,  ///< Tokens may be fewer than wanted, also none.
  NotOwner, ///< The host does not own the workspace.
  NotReady, ///< New owner that still waits, or its lease has expired.
  Stale,    ///< A request with a greater sequence was answered before.
};

struct GrantAnswer {
  std::string Workspace;
  std::uint64_t Incarnation = 0; ///< Of the request.
  std::uint64_t Sequence = 0;
  GrantStatus Status = GrantStatus::NotOwner;
  std::uint32_t Tokens = 0;
  Duration Validity{}; ///< Counted from when the request was sent.
  auto operator<=>(const GrantAnswer &) const = default;
};

/// Sent by a rate owner to the owner of another failure domain.
struct LoanRequest {
  std::string Workspace;
  std::uint64_t Epoch = 0;
  std::string Host; ///< The borrower.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< As in GrantRequest.
  Microtokens Wanted = 0;
  /// Requests wait or soon will. Otherwise only what the lender would lose by
  /// a full bucket is asked for.
  bool Urgent = false;
  auto operator<=>(const LoanRequest &) const = default;
};

struct LoanAnswer {
  std::string Workspace;
  std::uint64_t Incarnation = 0; ///< Of the request.
  std::uint64_t Sequence = 0;
  GrantStatus Status = GrantStatus::NotOwner;
  Microtokens Amount = 0;
  Microtokens Spare = 0; ///< What the lender could still lend.
  Duration Validity{};   ///< Counted from when the request was sent.
  auto operator<=>(const LoanAnswer &) const = default;
};

} // namespace lavenderdale
