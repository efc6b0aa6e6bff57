#include "rateowner.h"

#include "base/softassert.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using namespace detail;
using std::chrono::milliseconds;

/// Unused ledgers are removed after this time, which is longer than any grant
/// is valid.
constexpr Duration LedgerLifetime = std::chrono::seconds(10);
/// Bounds the product in accrue(), which is then exact for rates up to 90
/// million a second; a longer idle time accrues no more.
constexpr Duration LongestAccrual = std::chrono::seconds(100);
/// A rate of one token a second is one microtoken in this many nanoseconds.
constexpr std::int64_t NanosecondsPerMicrotoken = 1000;
/// First and longest pause after a lender had nothing to lend.
constexpr Duration FirstLoanPause = milliseconds(10);
constexpr Duration LongestLoanPause = milliseconds(80);
/// Pause after a lender did not answer.
constexpr Duration SilentLenderPause = milliseconds(250);
/// After this time without an answer, others are asked for the same tokens.
constexpr Duration LoanPatience = milliseconds(10);

Microtokens expireEntries(RateLedgers &Ledgers, TimePoint Now) {
  Microtokens Sum = 0;
  for (auto &[Client, Ledger] : Ledgers) {
    auto End = Ledger.Entries.begin();
    Microtokens Expired = 0;
    for (; End != Ledger.Entries.end() && End->Until <= Now; ++End)
      Expired += End->Amount;
    Ledger.Entries.erase(Ledger.Entries.begin(), End);
    Ledger.Expired += Expired;
    Sum += Expired;
  }
  return Sum;
}

/// A bucket above this level soon accrues nothing. Idle domains lend what is
/// above it, and a busy one below it borrows, so that no accrual is lost.
Microtokens nearlyFull(const OwnedRate &Owned) {
  return Owned.capacity() / 8 * 7;
}

TimePoint firstExpiry(const RateLedgers &Ledgers) {
  TimePoint First = TimePoint::max();
  for (const auto &[Client, Ledger] : Ledgers)
    if (!Ledger.Entries.empty())
      First = std::min(First, Ledger.Entries.front().Until);
  return First;
}

void removeUnused(RateLedgers &Ledgers, TimePoint Now) {
  std::erase_if(Ledgers, [Now](const auto &Item) {
    return Item.second.Entries.empty() &&
           Now - Item.second.UsedAt > LedgerLifetime;
  });
}

void addEntry(RateLedger &Ledger, Microtokens Amount, TimePoint Until) {
  if (Amount == 0)
    return;
  const auto Place = std::find_if(
      Ledger.Entries.begin(), Ledger.Entries.end(),
      [Until](const RateLedger::Entry &Other) { return Other.Until > Until; });
  Ledger.Entries.insert(Place, {Amount, Until});
}

/// Takes what the client reports. Spent tokens are no longer outstanding.
/// Tokens that it neither spent nor holds return to the bucket, but only as
/// far as they did not expire here: those may have been replaced by accrual.
void takeReport(OwnedRate &Owned, RateLedger &Ledger,
                const GrantRequest &Request) {
  const Microtokens Before = Ledger.outstanding();
  Ledger.reduceTo(Microtokens(Request.Held) * MicrotokensPerToken);
  const Microtokens After = Ledger.outstanding();
  const auto Spent =
      static_cast<Microtokens>(Request.Spent - Ledger.SpentBefore) *
      MicrotokensPerToken;
  const Microtokens Unused = Ledger.Given - Ledger.Expired - Spent - After;
  if (softAssert(Spent >= 0, "the count of spent tokens never goes back"))
    Owned.Bucket += std::clamp<Microtokens>(Unused, 0, Before - After);
  Ledger.SpentBefore = Request.Spent;
  Ledger.Given = After;
  Ledger.Expired = 0;
}

/// Splits \p Need over the lenders that can be asked now, by what they last
/// had to spare; each is also asked for a little, to learn of changes.
Microtokens partOf(Microtokens Need, const RateLender &Lender,
                   Microtokens SpareSum, std::int64_t Lenders) {
  const Microtokens Even = Need / Lenders + 1;
  if (SpareSum == 0)
    return Even;
  const auto Share =
      static_cast<double>(Lender.Spare) / static_cast<double>(SpareSum);
  return std::max(static_cast<Microtokens>(static_cast<double>(Need) * Share),
                  std::min(Even, MicrotokensPerToken));
}

} // namespace

Microtokens RateLedger::outstanding() const {
  Microtokens Sum = 0;
  for (const Entry &Each : this->Entries)
    Sum += Each.Amount;
  return Sum;
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
  Microtokens Sum = 0;
  for (const RateLedgers *Ledgers : {&this->Grants, &this->Loans})
    for (const auto &[Client, Ledger] : *Ledgers)
      Sum += Ledger.outstanding();
  return Sum;
}

Microtokens OwnedRate::room() const {
  return std::max<Microtokens>(0, this->capacity() - this->outstanding() -
                                      this->Bucket);
}

Microtokens OwnedRate::demand(TimePoint Now) const {
  return this->Demand.perWindow(Now) * DemandUnit.count() /
         DemandWindow.count();
}

Microtokens OwnedRate::unmet(TimePoint Now) const {
  Microtokens Sum = 0;
  for (const auto &[Client, Ledger] : this->Grants)
    if (Now - Ledger.UsedAt < DemandUnit)
      Sum += Ledger.Unmet;
  return Sum;
}

RateOwner::RateOwner(std::string Host, std::uint64_t Incarnation,
                     RateOwnerTimes Times)
    : Host(std::move(Host)), Incarnation(Incarnation), Times(Times) {}

void RateOwner::configure(const std::string &Workspace, RateAndBurst Limit,
                          RateShare Share, std::uint64_t Epoch, TimePoint Now) {
  if (OwnedRate *Old = this->find(Workspace)) {
    if (Epoch < Old->Epoch)
      return;
    this->settle(*Old, Now);
    if (Epoch <= Old->Epoch + 1) {
      const bool Grows =
          std::uint64_t(Share.Numerator) * Old->Share.Denominator >
          std::uint64_t(Old->Share.Numerator) * Share.Denominator;
      Old->Limit = Limit;
      Old->Epoch = Epoch;
      if (Grows && Old->NextShare != Share)
        Old->NextShareAt = Now + this->Times.Handover;
      Old->NextShare = Share;
      if (!Grows)
        Old->Share = Share;
      this->settle(*Old, Now);
      return;
    }
  }
  OwnedRate Fresh;
  Fresh.Limit = Limit;
  Fresh.Share = Fresh.NextShare = Share;
  Fresh.Epoch = Epoch;
  Fresh.ReadyAt = Now + this->Times.Handover;
  Fresh.AccruedTo = Now;
  this->Rates[Workspace] = Fresh;
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
  // Accrue under the old lease first: a gap between leases accrues nothing.
  for (auto &[Workspace, Owned] : this->Rates)
    this->settle(Owned, Now);
  this->LeaseUntil = std::max(this->LeaseUntil, ValidUntil);
}

template <typename Request>
OpenedLedger RateOwner::open(RateLedgers OwnedRate::*Ledgers,
                             const Request &Asked, TimePoint Now) {
  OpenedLedger Opened;
  Opened.Owned = this->find(Asked.Workspace);
  if (Opened.Owned == nullptr)
    return Opened;
  this->settle(*Opened.Owned, Now);
  Opened.Status = GrantStatus::NotReady;
  if (!this->ready(*Opened.Owned, Now))
    return Opened;
  RateLedgers &Known = Opened.Owned->*Ledgers;
  removeUnused(Known, Now);
  const auto [Place, IsNew] =
      Known.try_emplace({Asked.Host, Asked.Incarnation});
  Opened.Status = GrantStatus::Stale;
  if (Asked.Sequence < Place->second.Sequence)
    return Opened;
  Opened.Status = GrantStatus::Granted;
  Opened.Ledger = &Place->second;
  Opened.IsNew = IsNew;
  Opened.IsRepeat = !IsNew && Asked.Sequence == Place->second.Sequence;
  return Opened;
}

GrantAnswer RateOwner::grant(const GrantRequest &Request, TimePoint Now) {
  const OpenedLedger Opened = this->open(&OwnedRate::Grants, Request, Now);
  if (Opened.Status != GrantStatus::Granted)
    return {.Workspace = Request.Workspace,
            .Incarnation = Request.Incarnation,
            .Sequence = Request.Sequence,
            .Status = Opened.Status};
  if (Opened.IsNew)
    Opened.Ledger->SpentBefore = Request.Spent;
  if (!Opened.IsRepeat)
    this->addGrant(*Opened.Owned, *Opened.Ledger, Request, Now);
  return Opened.Ledger->LastGrant;
}

void RateOwner::addGrant(OwnedRate &Owned, RateLedger &Ledger,
                         const GrantRequest &Request, TimePoint Now) const {
  takeReport(Owned, Ledger, Request);
  const Microtokens Whole = Owned.Bucket / MicrotokensPerToken;
  const auto Tokens = std::min<Microtokens>(Request.Wanted, Whole);
  const Microtokens Amount = Tokens * MicrotokensPerToken;
  const Duration Validity =
      std::min(this->Times.GrantValidity, this->LeaseUntil - Now);
  Owned.Bucket -= Amount;
  addEntry(Ledger, Amount, Now + Validity * this->Times.GrantCounting);
  Ledger.Given += Amount;
  Ledger.Unmet = Microtokens(Request.Wanted) * MicrotokensPerToken - Amount;
  Ledger.Sequence = Request.Sequence;
  Ledger.UsedAt = Now;
  Ledger.LastGrant = {Request.Workspace,
                      Request.Incarnation,
                      Request.Sequence,
                      GrantStatus::Granted,
                      static_cast<std::uint32_t>(Tokens),
                      Validity};
  Owned.Demand.add(Amount, Now);
}

LoanAnswer RateOwner::lend(const LoanRequest &Request, TimePoint Now) {
  const OpenedLedger Opened = this->open(&OwnedRate::Loans, Request, Now);
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
  // Earlier loans were added by the borrower, or its request was given up.
  Ledger.Entries.clear();
  Microtokens Kept = 2 * Owned.demand(Now) + Owned.unmet(Now);
  if (!Request.Urgent)
    Kept = std::max(Kept, nearlyFull(Owned));
  const Microtokens Spare = std::max<Microtokens>(0, Owned.Bucket - Kept);
  const Microtokens Amount = std::clamp<Microtokens>(Request.Wanted, 0, Spare);
  const Duration Validity =
      std::min(this->Times.LoanValidity, this->LeaseUntil - Now);
  Owned.Bucket -= Amount;
  addEntry(Ledger, Amount, Now + Validity * this->Times.LoanCounting);
  Ledger.Sequence = Request.Sequence;
  Ledger.UsedAt = Now;
  Ledger.LastLoan = {Request.Workspace,
                     Request.Incarnation,
                     Request.Sequence,
                     GrantStatus::Granted,
                     Amount,
                     Spare - Amount,
                     Validity};
}

std::vector<LoanDraw> RateOwner::loansWanted(const std::string &Workspace,
                                             TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return {};
  this->settle(*Owned, Now);
  this->giveUpLoans(*Owned, Now);
  if (!this->ready(*Owned, Now))
    return {};

  const Microtokens Demand = Owned->demand(Now);
  const Microtokens Unmet = Owned->unmet(Now);
  const bool Urgent = Owned->Bucket < Demand + Unmet;
  if (Demand + Unmet == 0 || (!Urgent && Owned->Bucket >= nearlyFull(*Owned)))
    return {};
  Microtokens Need = Owned->room();
  if (Urgent)
    Need = std::min(Need, 2 * Demand + Unmet - Owned->Bucket);
  Microtokens SpareSum = 0;
  std::vector<RateLender *> Askable;
  for (RateLender &Lender : Owned->Lenders) {
    if (Lender.Asked > 0 && Now - Lender.SentAt < LoanPatience)
      Need -= Lender.Asked;
    if (Lender.Asked > 0 || Lender.NextAt > Now)
      continue;
    Askable.push_back(&Lender);
    SpareSum += Lender.Spare;
  }
  if (Need <= 0)
    return {};
  std::vector<LoanDraw> Draws;
  for (RateLender *Lender : Askable) {
    const Microtokens Part =
        partOf(Need, *Lender, SpareSum, std::ssize(Askable));
    Draws.push_back(
        {Lender->Host,
         this->makeLoanRequest(Workspace, *Owned, *Lender, Part, Urgent, Now)});
  }
  return Draws;
}

LoanRequest RateOwner::makeLoanRequest(const std::string &Workspace,
                                       const OwnedRate &Owned,
                                       RateLender &Lender, Microtokens Wanted,
                                       bool Urgent, TimePoint Now) {
  Lender.Sequence = ++this->LoanSequence;
  Lender.SentAt = Now;
  Lender.Asked = Wanted;
  return {Workspace,       Owned.Epoch, this->Host, this->Incarnation,
          Lender.Sequence, Wanted,      Urgent};
}

void RateOwner::giveUpLoans(OwnedRate &Owned, TimePoint Now) const {
  for (RateLender &Lender : Owned.Lenders) {
    if (Lender.Asked == 0 || Now - Lender.SentAt < this->Times.LoanValidity)
      continue;
    Lender.Asked = 0;
    Lender.Spare = 0;
    Lender.NextAt = Now + SilentLenderPause;
  }
}

void RateOwner::receiveLoan(const std::string &Lender, const LoanAnswer &Answer,
                            TimePoint Now) {
  OwnedRate *Owned = this->find(Answer.Workspace);
  if (Owned == nullptr)
    return;
  this->settle(*Owned, Now);
  this->giveUpLoans(*Owned, Now);
  const auto From =
      std::find_if(Owned->Lenders.begin(), Owned->Lenders.end(),
                   [&](const RateLender &Each) { return Each.Host == Lender; });
  if (From == Owned->Lenders.end() || From->Asked == 0 ||
      From->Sequence != Answer.Sequence ||
      this->Incarnation != Answer.Incarnation)
    return;
  const bool Full = Answer.Amount >= From->Asked;
  From->Asked = 0;
  From->Spare = Answer.Spare;
  From->Pause = Answer.Amount > 0 ? FirstLoanPause
                                  : std::clamp(2 * From->Pause, FirstLoanPause,
                                               LongestLoanPause);
  From->NextAt = Full ? Now : Now + From->Pause;
  if (Now - From->SentAt >= Answer.Validity || !this->ready(*Owned, Now))
    return;
  Owned->Bucket += std::clamp<Microtokens>(Answer.Amount, 0, Owned->room());
}

Microtokens RateOwner::available(const std::string &Workspace, TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return 0;
  this->settle(*Owned, Now);
  return Owned->Bucket;
}

Microtokens RateOwner::outstanding(const std::string &Workspace,
                                   TimePoint Now) {
  OwnedRate *Owned = this->find(Workspace);
  if (Owned == nullptr)
    return 0;
  this->settle(*Owned, Now);
  return Owned->outstanding();
}

OwnedRate *RateOwner::find(const std::string &Workspace) {
  const auto Place = this->Rates.find(Workspace);
  return Place == this->Rates.end() ? nullptr : &Place->second;
}

bool RateOwner::ready(const OwnedRate &Owned, TimePoint Now) const {
  return Now >= Owned.ReadyAt && Now < this->LeaseUntil;
}

/// Brings the bucket to \p Now. Each expiry is a step of its own: a bucket
/// that was full until tokens expired has accrued nothing before that.
void RateOwner::settle(OwnedRate &Owned, TimePoint Now) const {
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
  const Microtokens Most =
      std::max<Microtokens>(0, Owned.capacity() - Owned.outstanding());
  if (End > Begin) {
    const std::int64_t Elapsed =
        std::chrono::nanoseconds(std::min(End - Begin, LongestAccrual)).count();
    const std::int64_t Units =
        Elapsed * Owned.Limit.Rate * Owned.Share.Numerator + Owned.Remainder;
    const std::int64_t UnitsPerMicrotoken =
        NanosecondsPerMicrotoken * Owned.Share.Denominator;
    Owned.Bucket += Units / UnitsPerMicrotoken;
    Owned.Remainder = Units % UnitsPerMicrotoken;
  }
  if (Owned.Bucket < Most)
    return;
  Owned.Bucket = Most;
  Owned.Remainder = 0;
}

} // namespace lavenderdale
