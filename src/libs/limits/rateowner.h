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
  /// Wait of a new owner; not shorter than the longest lease.
  Duration Handover = std::chrono::seconds(1);
  /// How long a grant may be spent, counted from its request. It covers a few
  /// windows of demand; a longer one holds tokens back when a host dies.
  Duration GrantValidity = std::chrono::milliseconds(800);
  /// How long a loan may be added, counted from its request.
  Duration LoanValidity = std::chrono::milliseconds(100);
  /// Outstanding grants and loans are counted for this multiple of their
  /// validity. Only tests set it to 0, to show that their checks find the
  /// fault.
  int GrantCounting = 1;
  int LoanCounting = 1;
  auto operator<=>(const RateOwnerTimes &) const = default;
};

/// A loan request and the host that it is sent to.
struct LoanDraw {
  std::string Lender;
  LoanRequest Request;
  auto operator<=>(const LoanDraw &) const = default;
};

namespace detail {

/// A host and the random number of its process.
using RateClient = std::pair<std::string, std::uint64_t>;

/// What a client was given and may still use.
struct RateLedger {
  struct Entry {
    Microtokens Amount = 0;
    TimePoint Until{};
    auto operator<=>(const Entry &) const = default;
  };

  Microtokens outstanding() const;
  /// Takes what is more than \p Amount from the entries that expire first.
  void reduceTo(Microtokens Amount);

  std::uint64_t Sequence = 0;
  std::vector<Entry> Entries;    ///< In the order of their deadlines.
  std::uint64_t SpentBefore = 0; ///< As of the last report.
  Microtokens Given = 0;         ///< Held at the last report and granted since.
  Microtokens Expired = 0; ///< Of these, no longer counted as outstanding.
  Microtokens Unmet = 0;   ///< Wanted, but not granted, by the last request.
  TimePoint UsedAt{};
  GrantAnswer LastGrant;
  LoanAnswer LastLoan;
  auto operator<=>(const RateLedger &) const = default;
};

using RateLedgers = std::map<RateClient, RateLedger>;

/// A lender as the borrower sees it.
struct RateLender {
  std::string Host;
  TimePoint SentAt{};
  Microtokens Asked = 0; ///< By the pending request, 0 without one.
  Microtokens Spare = 0; ///< As of its last answer.
  std::uint64_t Sequence = 0;
  TimePoint NextAt{}; ///< No request before this time.
  Duration Pause{};   ///< After the last answer without tokens.
  auto operator<=>(const RateLender &) const = default;
};

/// One workspace of an owner.
struct OwnedRate {
  /// Demand is counted per DemandUnit. It is measured over a longer time, in
  /// which each entry host draws once or twice.
  static constexpr Duration DemandUnit = std::chrono::milliseconds(100);
  static constexpr Duration DemandWindow = std::chrono::milliseconds(300);

  Microtokens capacity() const;
  Microtokens outstanding() const;
  /// Tokens that can be added without exceeding the share of the burst.
  Microtokens room() const;
  /// Returns what was granted in a DemandUnit.
  Microtokens demand(TimePoint Now) const;
  /// Returns what was wanted in the last DemandUnit, but not granted.
  Microtokens unmet(TimePoint Now) const;

  RateAndBurst Limit;
  RateShare Share;
  RateShare NextShare; ///< In force from NextShareAt.
  TimePoint NextShareAt{};
  std::uint64_t Epoch = 0;
  TimePoint ReadyAt{}; ///< End of the handover wait.
  TimePoint AccruedTo{};
  std::int64_t Remainder = 0; ///< Accrued, but less than a microtoken.
  Microtokens Bucket = 0;
  RateLedgers Grants;
  RateLedgers Loans;
  std::vector<RateLender> Lenders;
  DemandMeter Demand{DemandWindow}; ///< In microtokens.
  auto operator<=>(const OwnedRate &) const = default;
};

/// The ledger of a request, or why there is none.
struct OpenedLedger {
  GrantStatus Status = GrantStatus::NotOwner; ///< Granted with a ledger.
  OwnedRate *Owned = nullptr;
  RateLedger *Ledger = nullptr;
  bool IsNew = false;    ///< The first request of its process.
  bool IsRepeat = false; ///< Answered before; gets the same answer.
};

} // namespace detail

/// The rate owner of one host: for each workspace that the host owns in its
/// failure domain, the domain's share of rate and burst.
///
/// Invariant: bucket + outstanding <= share of burst. Outstanding are tokens
/// that entry hosts may still spend, or borrowers still add to their bucket.
/// The sum over all domains is therefore never above the burst and grows by
/// the rate at most, which bounds what is spent in any window.
class RateOwner {
public:
  /// \param Host name of this host.
  /// \param Incarnation random number of this process.
  RateOwner(std::string Host, std::uint64_t Incarnation,
            RateOwnerTimes Times = {});

  /// Makes this host the owner of \p Workspace, or changes its limit. An owner
  /// of the same or the directly preceding epoch keeps its bucket; any other
  /// one starts empty and waits for the handover time. A smaller share holds
  /// at once, a greater one after the handover time. An older epoch is
  /// ignored.
  void configure(const std::string &Workspace, RateAndBurst Limit,
                 RateShare Share, std::uint64_t Epoch, TimePoint Now);

  /// Names the owners of \p Workspace in the other failure domains.
  void setLenders(const std::string &Workspace,
                  const std::vector<std::string> &Hosts);

  /// Ends the ownership of \p Workspace.
  void remove(const std::string &Workspace);

  /// Extends the lease of this host until \p ValidUntil, which is counted from
  /// the sending of the heartbeat that was answered. The only host of a domain
  /// renews its own lease by the same time. A new owner's handover wait must
  /// begin after the last renewal for the old owner.
  void renewLease(TimePoint ValidUntil, TimePoint Now);

  /// Answers an entry host. A repeated request gets the first answer again.
  GrantAnswer grant(const GrantRequest &Request, TimePoint Now);

  /// Answers the owner of another domain. The own demand of two windows is
  /// kept back, and seven eighths of the capacity from a request that is not
  /// urgent.
  LoanAnswer lend(const LoanRequest &Request, TimePoint Now);

  /// Returns the loan requests to send at \p Now. Called after each grant() and
  /// receiveLoan().
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
  template <typename Request>
  detail::OpenedLedger open(detail::RateLedgers detail::OwnedRate::*Ledgers,
                            const Request &Asked, TimePoint Now);
  detail::OwnedRate *find(const std::string &Workspace);
  bool ready(const detail::OwnedRate &Owned, TimePoint Now) const;
  void settle(detail::OwnedRate &Owned, TimePoint Now) const;
  void accrue(detail::OwnedRate &Owned, TimePoint To) const;
  void addGrant(detail::OwnedRate &Owned, detail::RateLedger &Ledger,
                const GrantRequest &Request, TimePoint Now) const;
  void addLoan(detail::OwnedRate &Owned, detail::RateLedger &Ledger,
               const LoanRequest &Request, TimePoint Now) const;
  void giveUpLoans(detail::OwnedRate &Owned, TimePoint Now) const;
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
