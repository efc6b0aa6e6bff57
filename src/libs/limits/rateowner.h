#pragma once

#include "demandmeter.h"
#include "ratemessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Durations used by rate owners. Tests set single ones to zero to show that
/// the checks find what then goes wrong.
struct RateOwnerTimes {
  /// Wait of a new owner; not shorter than the longest lease.
  Duration Handover = std::chrono::seconds(1);
  /// How long a grant may be spent, counted from its request.
  Duration GrantValidity = std::chrono::milliseconds(500);
  /// How long a loan may be added, counted from its request.
  Duration LoanValidity = std::chrono::milliseconds(100);
  /// How long outstanding tokens are counted, as a multiple of their validity
  /// (1, or 0 in tests).
  int OutstandingFactor = 1;
  auto operator<=>(const RateOwnerTimes &) const = default;
};

/// A loan request and the host that it is sent to.
struct LoanDraw {
  std::string Lender;
  LoanRequest Request;
  auto operator<=>(const LoanDraw &) const = default;
};

namespace detail {

/// What one host was granted and may still spend.
struct RateLedger {
  struct Entry {
    Microtokens Amount = 0;
    TimePoint Until{};
    auto operator<=>(const Entry &) const = default;
  };
  std::uint64_t Sequence = 0;
  GrantAnswer LastGrant;
  LoanAnswer LastLoan;
  std::vector<Entry> Entries; ///< In the order of their deadlines.
  std::uint64_t SpentBase = 0;
  std::uint64_t Granted = 0; ///< Tokens since the ledger was opened.
  TimePoint UsedAt{};
  auto operator<=>(const RateLedger &) const = default;
};

/// A lender as the borrower sees it.
struct RateLender {
  std::string Host;
  std::uint64_t Sequence = 0;
  TimePoint SentAt{};
  bool Pending = false;
  Microtokens Wanted = 0; ///< Of the pending request.
  TimePoint NextAt{};     ///< No request before this time.
  auto operator<=>(const RateLender &) const = default;
};

/// One workspace of an owner.
struct OwnedRate {
  RateAndBurst Limit;
  RateShare Share;
  RateShare NextShare;   ///< In force from NextShareAt.
  TimePoint NextShareAt{};
  std::uint64_t Epoch = 0;
  TimePoint ReadyAt{};   ///< End of the handover wait.
  TimePoint AccruedTo{};
  std::int64_t Remainder = 0; ///< Part of a microtoken not yet accrued.
  Microtokens Bucket = 0;
  std::map<std::pair<std::string, std::uint64_t>, RateLedger> Ledgers;
  std::vector<RateLender> Lenders;
  DemandMeter Demand; ///< In microtokens.
  auto operator<=>(const OwnedRate &) const = default;
};

} // namespace detail

/// The rate owner of one host: for each workspace that the host owns in its
/// failure domain, the domain's share of rate and burst.
///
/// Invariant: bucket + outstanding <= share of burst. Outstanding are tokens
/// that others may still spend or add to their own bucket. The sum over all
/// domains is thus never above the burst, and grows only by the rate.
class RateOwner {
public:
  /// \param Host name of this host.
  /// \param Incarnation random number of this process.
  RateOwner(std::string Host, std::uint64_t Incarnation,
            RateOwnerTimes Times = {});

  /// Makes this host the owner of \p Workspace, or changes its limit. An owner
  /// of the directly preceding epoch keeps its bucket; any other one starts
  /// empty and waits for the handover time. A smaller share holds at once, a
  /// greater one after the handover time.
  void configure(const std::string &Workspace, RateAndBurst Limit,
                 RateShare Share, std::uint64_t Epoch, TimePoint Now);

  /// Names the owners of \p Workspace in the other failure domains.
  void setLenders(const std::string &Workspace,
                  const std::vector<std::string> &Hosts);

  /// Ends the ownership of \p Workspace.
  void remove(const std::string &Workspace);

  /// Extends the lease of this host as an owner in \p Epoch. A lease of an
  /// older epoch than a workspace's does not count for that workspace. The
  /// only host of a domain passes TimePoint::max().
  void renewLease(std::uint64_t Epoch, TimePoint ValidUntil, TimePoint Now);

  /// Answers an entry host. A repeated request gets the first answer again.
  GrantAnswer grant(const GrantRequest &Request, TimePoint Now);

  /// Answers the owner of another domain. Keeps twice the own demand of a
  /// window back.
  LoanAnswer lend(const LoanRequest &Request, TimePoint Now);

  /// Returns the loan requests to send at \p Now. Called after each grant and
  /// each received loan.
  std::vector<LoanDraw> loansWanted(const std::string &Workspace,
                                    TimePoint Now);

  /// Takes an answer of \p Lender. Late and unexpected ones are ignored.
  void receiveLoan(const std::string &Lender, const LoanAnswer &Answer,
                   TimePoint Now);

  /// Returns the tokens in the bucket, in microtokens; 0 if not owned.
  Microtokens available(const std::string &Workspace, TimePoint Now);

  /// Returns the tokens that others may still use, in microtokens.
  Microtokens outstanding(const std::string &Workspace, TimePoint Now);

  auto operator<=>(const RateOwner &) const = default;

private:
  TimePoint leaseEnd(const detail::OwnedRate &Owned) const;
  bool ready(const detail::OwnedRate &Owned, TimePoint Now) const;
  void accrue(detail::OwnedRate &Owned, TimePoint Now) const;

  std::string Host;
  std::uint64_t Incarnation;
  RateOwnerTimes Times;
  std::uint64_t LeaseEpoch = 0;
  TimePoint LeaseUntil{};
  std::map<std::string, detail::OwnedRate> Rates;
};

} // namespace lavenderdale
