#pragma once

#include "demandmeter.h"
#include "ratemessages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Durations used by rate owners.
struct RateOwnerTimes {
  /// How long a new owner waits before it grants tokens; at least the longest
  /// lease, so that the previous owner's lease has expired.
  Duration Handover = std::chrono::seconds(1);
  /// How long granted tokens may be spent, counted from the request. Covers a
  /// few demand windows; a longer validity would lock up more tokens when a
  /// host fails.
  Duration GrantValidity = std::chrono::milliseconds(800);
  /// How long a borrower may add a loan to its bucket, counted from the
  /// request.
  Duration LoanValidity = std::chrono::milliseconds(100);
  /// Outstanding grants and loans are counted for this multiple of their
  /// validity. Only tests set it to 0, to show that they detect the resulting
  /// violation.
  int GrantCounting = 1;
  int LoanCounting = 1;
  auto operator<=>(const RateOwnerTimes &) const = default;
};

/// A loan request and the owner to send it to.
struct AddressedLoanRequest {
  std::string Lender;
  LoanRequest Request;
  auto operator<=>(const AddressedLoanRequest &) const = default;
};

namespace detail {

/// Host name and incarnation, which identify one process.
using RateClientProcess = std::pair<std::string, std::uint64_t>;

/// Accounts for the tokens granted or lent to one client.
struct RateLedger {
  struct Entry {
    Microtokens Amount = 0;
    TimePoint ExpiresAt{};
    auto operator<=>(const Entry &) const = default;
  };

  /// Returns the tokens that the client may still use.
  Microtokens outstanding() const;
  /// Reduces the outstanding tokens to \p Amount, starting with the entries
  /// that expire first.
  void reduceTo(Microtokens Amount);

  std::uint64_t Sequence = 0;
  std::vector<Entry> Entries;          ///< Ordered by expiry time.
  std::uint64_t LastReportedSpent = 0; ///< Spent count of the last report.
  Microtokens Issued = 0;  ///< Held at the last report, plus granted since.
  Microtokens Expired = 0; ///< Part of Issued whose validity has ended.
  Microtokens Unmet = 0;   ///< Part of the last request that was not granted.
  TimePoint LastUsedAt{};
  GrantAnswer LastGrant;
  LoanAnswer LastLoan;
  auto operator<=>(const RateLedger &) const = default;
};

using RateLedgers = std::map<RateClientProcess, RateLedger>;

/// State that a borrower keeps for one lender.
struct RateLender {
  std::string Host;
  TimePoint SentAt{};
  Microtokens RequestedAmount = 0; ///< 0 if no request is pending.
  Microtokens Spare = 0;           ///< From the last answer.
  std::uint64_t Sequence = 0;
  TimePoint NotBefore{}; ///< No request is sent before this time.
  Duration Backoff{};    ///< Current back-off after an answer without tokens.
  auto operator<=>(const RateLender &) const = default;
};

/// State of one workspace at its rate owner.
struct OwnedRate {
  /// Demand is expressed per DemandUnit, but measured over the longer
  /// DemandWindow, in which each entry host sends one or two requests.
  static constexpr Duration DemandUnit = std::chrono::milliseconds(100);
  static constexpr Duration DemandWindow = std::chrono::milliseconds(300);

  /// Returns the domain's share of the burst.
  Microtokens capacity() const;
  /// Returns the tokens that others may still use.
  Microtokens outstanding() const;
  /// Returns the tokens that can be added without exceeding capacity().
  Microtokens freeCapacity() const;
  /// Returns the tokens granted per DemandUnit.
  Microtokens demand(TimePoint Now) const;
  /// Returns the tokens that were requested in the last DemandUnit but not
  /// granted.
  Microtokens unmet(TimePoint Now) const;

  RateAndBurst Limit;
  RateShare Share;
  RateShare NextShare; ///< Takes effect at NextShareAt.
  TimePoint NextShareAt{};
  std::uint64_t Epoch = 0;
  TimePoint ReadyAt{}; ///< End of the handover wait.
  TimePoint AccruedTo{};
  std::int64_t Remainder = 0; ///< Accrued fraction of a microtoken.
  Microtokens Bucket = 0;
  RateLedgers Grants;
  RateLedgers Loans;
  std::vector<RateLender> Lenders;
  DemandMeter Demand{DemandWindow}; ///< In microtokens.
  auto operator<=>(const OwnedRate &) const = default;
};

/// The ledger for a request, or the reason why there is none.
struct OpenedLedger {
  GrantStatus Status =
      GrantStatus::NotOwner; ///< Granted if a ledger was found.
  OwnedRate *Owned = nullptr;
  RateLedger *Ledger = nullptr;
  bool IsNew = false;    ///< First request of the client process.
  bool IsRepeat = false; ///< Already answered; gets the same answer again.
};

} // namespace detail

/// The rate owner on one host. For each workspace that the host owns in its
/// failure domain, it manages a token bucket with the domain's share of rate
/// and burst. Performs no I/O.
///
/// Invariant: bucket + outstanding <= share of burst. Outstanding are the
/// tokens that entry hosts may still spend or that borrowers may still add to
/// their bucket. The sum over all domains therefore never exceeds the burst and
/// grows at most at the rate, which bounds the tokens spent in any window.
class RateOwner {
public:
  /// \param Host name of this host.
  /// \param Incarnation random number that identifies this process.
  RateOwner(std::string Host, std::uint64_t Incarnation,
            RateOwnerTimes Times = {});

  /// Makes this host the owner of \p Workspace, or changes its limit. An owner
  /// of the same or the directly preceding epoch keeps its bucket; any other
  /// starts with an empty bucket and waits for the handover time. A smaller
  /// share takes effect immediately, a larger one after the handover time. An
  /// older epoch is ignored.
  void configure(const std::string &Workspace, RateAndBurst Limit,
                 RateShare Share, std::uint64_t Epoch, TimePoint Now);

  /// Sets the owners of \p Workspace in the other failure domains, from which
  /// tokens can be borrowed.
  void setLenders(const std::string &Workspace,
                  const std::vector<std::string> &Hosts);

  /// Ends the ownership of \p Workspace.
  void remove(const std::string &Workspace);

  /// Extends the lease of this host to \p ValidUntil, which is counted from the
  /// sending of the answered heartbeat. The only host of a domain renews its
  /// own lease for the same duration. The handover wait of a new owner must
  /// begin after the last renewal for the previous owner.
  void renewLease(TimePoint ValidUntil, TimePoint Now);

  /// Answers a grant request of an entry host. A repeated request gets the same
  /// answer again.
  GrantAnswer grant(const GrantRequest &Request, TimePoint Now);

  /// Answers a loan request of the owner in another domain. The bucket keeps
  /// the local demand of two DemandUnits plus the unmet demand, and at least
  /// seven eighths of its capacity if the request is not urgent.
  LoanAnswer lend(const LoanRequest &Request, TimePoint Now);

  /// Returns the loan requests to send at \p Now. Call it after each grant()
  /// and receiveLoan().
  std::vector<AddressedLoanRequest> pollLoans(const std::string &Workspace,
                                              TimePoint Now);

  /// Processes an answer of \p Lender. Late and unexpected answers are ignored.
  void receiveLoan(const std::string &Lender, const LoanAnswer &Answer,
                   TimePoint Now);

  /// Returns the tokens in the bucket, in microtokens; 0 if this host is not
  /// the owner.
  Microtokens available(const std::string &Workspace, TimePoint Now);

  /// Returns the granted and lent tokens that others may still use, in
  /// microtokens; 0 if this host is not the owner.
  Microtokens outstanding(const std::string &Workspace, TimePoint Now);

  auto operator<=>(const RateOwner &) const = default;

private:
  template <typename Request>
  detail::OpenedLedger
  openLedger(detail::RateLedgers detail::OwnedRate::*Ledgers,
             const Request &Incoming, TimePoint Now);
  detail::OwnedRate *find(const std::string &Workspace);
  bool isReady(const detail::OwnedRate &Owned, TimePoint Now) const;
  void advance(detail::OwnedRate &Owned, TimePoint Now) const;
  void accrue(detail::OwnedRate &Owned, TimePoint To) const;
  void addGrant(detail::OwnedRate &Owned, detail::RateLedger &Ledger,
                const GrantRequest &Request, TimePoint Now) const;
  void addLoan(detail::OwnedRate &Owned, detail::RateLedger &Ledger,
               const LoanRequest &Request, TimePoint Now) const;
  void expirePendingLoans(detail::OwnedRate &Owned, TimePoint Now) const;
  LoanRequest makeLoanRequest(const std::string &Workspace,
                              const detail::OwnedRate &Owned,
                              detail::RateLender &Lender, Microtokens Wanted,
                              bool Urgent, TimePoint Now);

  std::string Host;
  std::uint64_t Incarnation;
  RateOwnerTimes Times;
  TimePoint LeaseUntil{};
  std::uint64_t LoanSequence = 0;
  std::map<std::string, detail::OwnedRate> Rates;
};

} // namespace lavenderdale
