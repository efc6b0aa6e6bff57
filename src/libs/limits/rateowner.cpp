#include "rateowner.h"

#include "base/softassert.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using namespace detail;
using std::chrono::milliseconds;

/// Ledgers are removed after this time without use. Longer than the validity of
/// any grant.
constexpr Duration LedgerLifetime = std::chrono::seconds(10);
/// Limits the product in accrue(), which therefore does not overflow for rates
/// up to 90 million per second. Idle time beyond it accrues nothing.
constexpr Duration MaxAccrualTime = std::chrono::seconds(100);
/// At one token per second, one microtoken accrues in this many nanoseconds.
constexpr std::int64_t NanosecondsPerMicrotoken = 1000;
/// Initial and maximum back-off after a lender had nothing to lend.
constexpr Duration InitialLoanBackoff = milliseconds(10);
constexpr Duration MaxLoanBackoff = milliseconds(80);
/// Back-off after a lender did not answer.
constexpr Duration UnresponsiveLenderBackoff = milliseconds(250);
/// Without an answer for this long, the same tokens are also requested from
/// other lenders.
constexpr Duration LoanHedgeDelay = milliseconds(10);

Microtokens expireEntries(RateLedgers &Ledgers, TimePoint Now) {
  Microtokens Total = 0;
  for (auto &[Client, Ledger] : Ledgers) {
    auto End = Ledger.Entries.begin();
    Microtokens Expired = 0;
    for (; End != Ledger.Entries.end() && End->ExpiresAt <= Now; ++End)
      Expired += End->Amount;
    Ledger.Entries.erase(Ledger.Entries.begin(), End);
    Ledger.Expired += Expired;
    Total += Expired;
  }
  return Total;
}

/// Above this level the bucket is about to overflow. Idle domains lend what is
/// above it and a busy domain below it borrows, so that no accrual is lost.
Microtokens highWaterMark(const OwnedRate &Owned) {
  return Owned.capacity() / 8 * 7;
}

TimePoint firstExpiry(const RateLedgers &Ledgers) {
  TimePoint First = TimePoint::max();
  for (const auto &[Client, Ledger] : Ledgers)
    if (!Ledger.Entries.empty())
      First = std::min(First, Ledger.Entries.front().ExpiresAt);
  return First;
}

void removeUnused(RateLedgers &Ledgers, TimePoint Now) {
  std::erase_if(Ledgers, [Now](const auto &Item) {
    return Item.second.Entries.empty() &&
           Now - Item.second.LastUsedAt > LedgerLifetime;
  });
}

void addEntry(RateLedger &Ledger, Microtokens Amount, TimePoint ExpiresAt) {
  if (Amount == 0)
    return;
  const auto Position =
      std::find_if(Ledger.Entries.begin(), Ledger.Entries.end(),
                   [ExpiresAt](const RateLedger::Entry &Other) {
                     return Other.ExpiresAt > ExpiresAt;
                   });
  Ledger.Entries.insert(Position, {Amount, ExpiresAt});
}

/// Applies the client's report to its ledger. Spent tokens are no longer
/// outstanding. Tokens that the client neither spent nor holds return to the
/// bucket, except those already expired here, which accrual may have replaced.
void applyReport(OwnedRate &Owned, RateLedger &Ledger,
                 const GrantRequest &Request) {
  const Microtokens Before = Ledger.outstanding();
  Ledger.reduceTo(Microtokens(Request.Held) * MicrotokensPerToken);
  const Microtokens After = Ledger.outstanding();
  const auto Spent =
      static_cast<Microtokens>(Request.Spent - Ledger.LastReportedSpent) *
      MicrotokensPerToken;
  const Microtokens Unused = Ledger.Issued - Ledger.Expired - Spent - After;
  if (softAssert(Spent >= 0, "the count of spent tokens never goes back"))
    Owned.Bucket += std::clamp<Microtokens>(Unused, 0, Before - After);
  Ledger.LastReportedSpent = Request.Spent;
  Ledger.Issued = After;
  Ledger.Expired = 0;
}

/// Returns the part of \p Need to request from \p Lender. Need is divided among
/// the available lenders in proportion to their last reported spare amount.
/// Each is asked for at least a small amount, so that changes are noticed.
Microtokens shareOfNeed(Microtokens Need, const RateLender &Lender,
                        Microtokens TotalSpare, std::int64_t Lenders) {
  const Microtokens EqualPart = Need / Lenders + 1;
  if (TotalSpare == 0)
    return EqualPart;
  const auto Share =
      static_cast<double>(Lender.Spare) / static_cast<double>(TotalSpare);
  return std::max(static_cast<Microtokens>(static_cast<double>(Need) * Share),
                  std::min(EqualPart, MicrotokensPerToken));
}

} // namespace

Microtokens RateLedger::outstanding() const {
  Microtokens Total = 0;
  for (const Entry &Each : this->Entries)
    Total += Each.Amount;
  return Total;
}

void RateLedger::reduceTo(Microtokens Amount) {
  Microtokens Excess = this->outstanding() - Amount;
  while (Excess > 0) {
    Entry &First = this->Entries.front();
    const Microtokens Taken = std::min(Excess, First.Amount);
    First.Amount -= Taken;
    Excess -= Taken;
    if (First.Amount == 0)
      this->Entries.erase(this->Entries.begin());
  }
}

Microtokens OwnedRate::capacity() const {
  return Microtokens(this->Limit.Burst) * MicrotokensPerToken *
         this->Share.Numerator / this->Share.Denominator;
}

Microtokens OwnedRate::outstanding() const {
  Microtokens Total = 0;
  for (const RateLedgers *Ledgers : {&this->Grants, &this->Loans})
    for (const auto &[Client, Ledger] : *Ledgers)
      Total += Ledger.outstanding();
  return Total;
}

Microtokens OwnedRate::freeCapacity() const {
  return std::max<Microtokens>(0, this->capacity() - this->outstanding() -
                                      this->Bucket);
}

Microtokens OwnedRate::demand(TimePoint Now) const {
  return this->Demand.perWindow(Now) * DemandUnit.count() /
         DemandWindow.count();
}

Microtokens OwnedRate::unmet(TimePoint Now) const {
  Microtokens Total = 0;
  for (const auto &[Client, Ledger] : this->Grants)
    if (Now - Ledger.LastUsedAt < DemandUnit)
      Total += Ledger.Unmet;
  return Total;
}

RateOwner::RateOwner(std::string Host, std::uint64_t Incarnation,
                     RateOwnerTimes Times)
    : Host(std::move(Host)), Incarnation(Incarnation), Times(Times) {}

void RateOwner::configure(const std::string &Workspace, RateAndBurst Limit,
                          RateShare Share, std::uint64_t Epoch, TimePoint Now) {
  if (OwnedRate *Existing = this->find(Workspace)) {
    if (Epoch < Existing->Epoch)
      return;
    this->advance(*Existing, Now);
    if (Epoch <= Existing->Epoch + 1) {
      const bool Grows =
          std::uint64_t(Share.Numerator) * Existing->Share.Denominator >
          std::uint64_t(Existing->Share.Numerator) * Share.Denominator;
      Existing->Limit = Limit;
      Existing->Epoch = Epoch;
      if (Grows && Existing->NextShare != Share)
        Existing->NextShareAt = Now + this->Times.Handover;
      Existing->NextShare = Share;
      if (!Grows)
        Existing->Share = Share;
      this->advance(*Existing, Now);
      return;
    }
  }
  OwnedRate Added;
  Added.Limit = Limit;
  Added.Share = Added.NextShare = Share;
  Added.Epoch = Epoch;
  Added.ReadyAt = Now + this->Times.Handover;
  Added.AccruedTo = Now;
  this->Rates[Workspace] = Added;
}

void RateOwner::setLenders(const std::string &Workspace,
                           const std::vector<std::string> &Hosts) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return;
  std::vector<RateLender> Lenders;
  for (const std::string &Name : Hosts) {
    const auto Known = std::find_if(
        Owned->Lenders.begin(), Owned->Lenders.end(),
        [&Name](const RateLender &Lender) { return Lender.Host == Name; });
    Lenders.push_back(Known != Owned->Lenders.end() ? *Known
                                                    : RateLender{.Host = Name});
  }
  Owned->Lenders = std::move(Lenders);
}

void RateOwner::remove(const std::string &Workspace) {
  this->Rates.erase(Workspace);
}

void RateOwner::renewLease(TimePoint ValidUntil, TimePoint Now) {
  // Accrue under the old lease first: nothing accrues in a gap between leases.
  for (auto &[Workspace, Owned] : this->Rates)
    this->advance(Owned, Now);
  this->LeaseUntil = std::max(this->LeaseUntil, ValidUntil);
}

template <typename Request>
OpenedLedger RateOwner::openLedger(RateLedgers OwnedRate::*Ledgers,
                                   const Request &Incoming, TimePoint Now) {
  OpenedLedger Opened;
  Opened.Owned = this->find(Incoming.Workspace);
  if (Opened.Owned == nullptr)
    return Opened;
  this->advance(*Opened.Owned, Now);
  Opened.Status = GrantStatus::NotReady;
  if (!this->isReady(*Opened.Owned, Now))
    return Opened;
  RateLedgers &Known = Opened.Owned->*Ledgers;
  removeUnused(Known, Now);
  const auto [Position, IsNew] =
      Known.try_emplace({Incoming.Host, Incoming.Incarnation});
  Opened.Status = GrantStatus::Stale;
  if (Incoming.Sequence < Position->second.Sequence)
    return Opened;
  Opened.Status = GrantStatus::Granted;
  Opened.Ledger = &Position->second;
  Opened.IsNew = IsNew;
  Opened.IsRepeat = !IsNew && Incoming.Sequence == Position->second.Sequence;
  return Opened;
}

GrantAnswer RateOwner::grant(const GrantRequest &Request, TimePoint Now) {
  const OpenedLedger Opened =
      this->openLedger(&OwnedRate::Grants, Request, Now);
  if (Opened.Status != GrantStatus::Granted)
    return {.Workspace = Request.Workspace,
            .Incarnation = Request.Incarnation,
            .Sequence = Request.Sequence,
            .Status = Opened.Status};
  if (Opened.IsNew)
    Opened.Ledger->LastReportedSpent = Request.Spent;
  if (!Opened.IsRepeat)
    this->addGrant(*Opened.Owned, *Opened.Ledger, Request, Now);
  return Opened.Ledger->LastGrant;
}

void RateOwner::addGrant(OwnedRate &Owned, RateLedger &Ledger,
                         const GrantRequest &Request, TimePoint Now) const {
  applyReport(Owned, Ledger, Request);
  const Microtokens WholeTokens = Owned.Bucket / MicrotokensPerToken;
  const auto Tokens = std::min<Microtokens>(Request.Wanted, WholeTokens);
  const Microtokens Amount = Tokens * MicrotokensPerToken;
  const Duration Validity =
      std::min(this->Times.GrantValidity, this->LeaseUntil - Now);
  Owned.Bucket -= Amount;
  addEntry(Ledger, Amount, Now + Validity * this->Times.GrantCounting);
  Ledger.Issued += Amount;
  Ledger.Unmet = Microtokens(Request.Wanted) * MicrotokensPerToken - Amount;
  Ledger.Sequence = Request.Sequence;
  Ledger.LastUsedAt = Now;
  Ledger.LastGrant = {Request.Workspace,
                      Request.Incarnation,
                      Request.Sequence,
                      GrantStatus::Granted,
                      static_cast<std::uint32_t>(Tokens),
                      Validity};
  Owned.Demand.add(Amount, Now);
}

LoanAnswer RateOwner::lend(const LoanRequest &Request, TimePoint Now) {
  const OpenedLedger Opened = this->openLedger(&OwnedRate::Loans, Request, Now);
  if (Opened.Status != GrantStatus::Granted)
    return {.Workspace = Request.Workspace,
            .Incarnation = Request.Incarnation,
            .Sequence = Request.Sequence,
            .Status = Opened.Status};
  if (!Opened.IsRepeat)
    this->addLoan(*Opened.Owned, *Opened.Ledger, Request, Now);
  return Opened.Ledger->LastLoan;
}

void RateOwner::addLoan(OwnedRate &Owned, RateLedger &Ledger,
                        const LoanRequest &Request, TimePoint Now) const {
  // The borrower has added its earlier loans, or its request has timed out.
  Ledger.Entries.clear();
  Microtokens Reserved = 2 * Owned.demand(Now) + Owned.unmet(Now);
  if (!Request.Urgent)
    Reserved = std::max(Reserved, highWaterMark(Owned));
  const Microtokens Spare = std::max<Microtokens>(0, Owned.Bucket - Reserved);
  const Microtokens Amount = std::clamp<Microtokens>(Request.Wanted, 0, Spare);
  const Duration Validity =
      std::min(this->Times.LoanValidity, this->LeaseUntil - Now);
  Owned.Bucket -= Amount;
  addEntry(Ledger, Amount, Now + Validity * this->Times.LoanCounting);
  Ledger.Sequence = Request.Sequence;
  Ledger.LastUsedAt = Now;
  Ledger.LastLoan = {Request.Workspace,
                     Request.Incarnation,
                     Request.Sequence,
                     GrantStatus::Granted,
                     Amount,
                     Spare - Amount,
                     Validity};
}

std::vector<AddressedLoanRequest>
RateOwner::pollLoans(const std::string &Workspace, TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return {};
  this->advance(*Owned, Now);
  this->expirePendingLoans(*Owned, Now);
  if (!this->isReady(*Owned, Now))
    return {};

  const Microtokens Demand = Owned->demand(Now);
  const Microtokens Unmet = Owned->unmet(Now);
  const bool Urgent = Owned->Bucket < Demand + Unmet;
  if (Demand + Unmet == 0 ||
      (!Urgent && Owned->Bucket >= highWaterMark(*Owned)))
    return {};
  Microtokens Need = Owned->freeCapacity();
  if (Urgent)
    Need = std::min(Need, 2 * Demand + Unmet - Owned->Bucket);
  Microtokens TotalSpare = 0;
  std::vector<RateLender *> Available;
  for (RateLender &Lender : Owned->Lenders) {
    if (Lender.RequestedAmount > 0 && Now - Lender.SentAt < LoanHedgeDelay)
      Need -= Lender.RequestedAmount;
    if (Lender.RequestedAmount > 0 || Lender.NotBefore > Now)
      continue;
    Available.push_back(&Lender);
    TotalSpare += Lender.Spare;
  }
  if (Need <= 0)
    return {};
  std::vector<AddressedLoanRequest> Requests;
  for (RateLender *Lender : Available) {
    const Microtokens Part =
        shareOfNeed(Need, *Lender, TotalSpare, std::ssize(Available));
    Requests.push_back(
        {Lender->Host,
         this->makeLoanRequest(Workspace, *Owned, *Lender, Part, Urgent, Now)});
  }
  return Requests;
}

LoanRequest RateOwner::makeLoanRequest(const std::string &Workspace,
                                       const OwnedRate &Owned,
                                       RateLender &Lender, Microtokens Wanted,
                                       bool Urgent, TimePoint Now) {
  Lender.Sequence = ++this->LoanSequence;
  Lender.SentAt = Now;
  Lender.RequestedAmount = Wanted;
  return {Workspace,       Owned.Epoch, this->Host, this->Incarnation,
          Lender.Sequence, Wanted,      Urgent};
}

void RateOwner::expirePendingLoans(OwnedRate &Owned, TimePoint Now) const {
  for (RateLender &Lender : Owned.Lenders) {
    if (Lender.RequestedAmount == 0 ||
        Now - Lender.SentAt < this->Times.LoanValidity)
      continue;
    Lender.RequestedAmount = 0;
    Lender.Spare = 0;
    Lender.NotBefore = Now + UnresponsiveLenderBackoff;
  }
}

void RateOwner::receiveLoan(const std::string &Lender, const LoanAnswer &Answer,
                            TimePoint Now) {
  OwnedRate *Owned = this->find(Answer.Workspace);
  if (Owned == nullptr)
    return;
  this->advance(*Owned, Now);
  this->expirePendingLoans(*Owned, Now);
  const auto From =
      std::find_if(Owned->Lenders.begin(), Owned->Lenders.end(),
                   [&](const RateLender &Each) { return Each.Host == Lender; });
  if (From == Owned->Lenders.end() || From->RequestedAmount == 0 ||
      From->Sequence != Answer.Sequence ||
      this->Incarnation != Answer.Incarnation)
    return;
  const bool Full = Answer.Amount >= From->RequestedAmount;
  From->RequestedAmount = 0;
  From->Spare = Answer.Spare;
  From->Backoff =
      Answer.Amount > 0
          ? InitialLoanBackoff
          : std::clamp(2 * From->Backoff, InitialLoanBackoff, MaxLoanBackoff);
  From->NotBefore = Full ? Now : Now + From->Backoff;
  if (Now - From->SentAt >= Answer.Validity || !this->isReady(*Owned, Now))
    return;
  Owned->Bucket +=
      std::clamp<Microtokens>(Answer.Amount, 0, Owned->freeCapacity());
}

Microtokens RateOwner::available(const std::string &Workspace, TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return 0;
  this->advance(*Owned, Now);
  return Owned->Bucket;
}

Microtokens RateOwner::outstanding(const std::string &Workspace,
                                   TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return 0;
  this->advance(*Owned, Now);
  return Owned->outstanding();
}

OwnedRate *RateOwner::find(const std::string &Workspace) {
  const auto Position = this->Rates.find(Workspace);
  return Position == this->Rates.end() ? nullptr : &Position->second;
}

bool RateOwner::isReady(const OwnedRate &Owned, TimePoint Now) const {
  return Now >= Owned.ReadyAt && Now < this->LeaseUntil;
}

/// Advances the bucket to \p Now. Each expiry is a separate step, because a
/// bucket that was full until tokens expired accrued nothing before that.
void RateOwner::advance(OwnedRate &Owned, TimePoint Now) const {
  while (true) {
    const TimePoint Expiry =
        std::min(firstExpiry(Owned.Grants), firstExpiry(Owned.Loans));
    if (Expiry > Now)
      break;
    this->accrue(Owned, Expiry);
    expireEntries(Owned.Grants, Expiry);
    expireEntries(Owned.Loans, Expiry);
  }
  if (Owned.Share != Owned.NextShare && Owned.NextShareAt <= Now) {
    this->accrue(Owned, Owned.NextShareAt);
    Owned.Share = Owned.NextShare;
  }
  this->accrue(Owned, Now);
}

void RateOwner::accrue(OwnedRate &Owned, TimePoint To) const {
  const TimePoint Begin = std::max(Owned.AccruedTo, Owned.ReadyAt);
  const TimePoint End = std::min(To, this->LeaseUntil);
  Owned.AccruedTo = std::max(Owned.AccruedTo, To);
  const Microtokens MaxBucket =
      std::max<Microtokens>(0, Owned.capacity() - Owned.outstanding());
  if (End > Begin) {
    const std::int64_t Elapsed =
        std::chrono::nanoseconds(std::min(End - Begin, MaxAccrualTime)).count();
    const std::int64_t Units =
        Elapsed * Owned.Limit.Rate * Owned.Share.Numerator + Owned.Remainder;
    const std::int64_t UnitsPerMicrotoken =
        NanosecondsPerMicrotoken * Owned.Share.Denominator;
    Owned.Bucket += Units / UnitsPerMicrotoken;
    Owned.Remainder = Units % UnitsPerMicrotoken;
  }
  if (Owned.Bucket < MaxBucket)
    return;
  Owned.Bucket = MaxBucket;
  Owned.Remainder = 0;
}

} // namespace lavenderdale
