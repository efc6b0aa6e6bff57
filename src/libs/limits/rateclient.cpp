#include "rateclient.h"

#include <algorithm>

namespace lavenderdale {
namespace {

/// Tokens are requested when fewer than 1 / RefillDivisor of the demand per
/// window are left.
constexpr std::uint32_t RefillDivisor = 6;

} // namespace

RateClient::RateClient(std::string Workspace, std::string Host,
                       std::uint64_t Incarnation, RateClientTimes Times)
    : Workspace(std::move(Workspace)), Host(std::move(Host)),
      Incarnation(Incarnation), Times(Times), Demand(Times.DemandWindow),
      ShortageDemand(Times.ShortageDemandWindow) {}

void RateClient::setOwners(const std::vector<std::string> &Owners,
                           std::uint64_t NewEpoch) {
  std::vector<OwnerState> Updated;
  for (const std::string &Owner : Owners) {
    const OwnerState *Known = this->find(Owner);
    Updated.push_back(Known != nullptr ? *Known
                                       : OwnerState{.Owner = Owner,
                                                    .Spent = this->TotalSpent});
    // An owner that was not ready in the old epoch may be ready in the new one.
    if (NewEpoch != this->Epoch)
      Updated.back().NotBefore = {};
  }
  this->OwnerStates = std::move(Updated);
  this->Epoch = NewEpoch;
  if (this->Pending && this->find(this->Pending->Owner) == nullptr)
    this->Pending.reset();
}

SpendDecision RateClient::trySpend(TimePoint Now, TimePoint GiveUpAt,
                                   SpendAttempt Attempt) {
  if (Attempt == SpendAttempt::First) {
    this->Demand.add(1, Now);
    this->ShortageDemand.add(1, Now);
  }
  this->dropExpired(Now);
  if (!this->HeldGrants.empty()) {
    if (Attempt == SpendAttempt::Retry && this->WaitingRequests > 0)
      --this->WaitingRequests;
    HeldGrant &First = this->HeldGrants.front();
    if (OwnerState *From = this->find(First.Owner)) {
      ++From->Spent;
      From->ReportAt =
          std::min(From->ReportAt, Now + this->Times.ReportInterval);
    }
    ++this->TotalSpent;
    if (--First.Tokens == 0)
      this->HeldGrants.erase(this->HeldGrants.begin());
    return {SpendKind::Spent, Now};
  }
  return this->waitOrRefuse(Now, GiveUpAt, Attempt);
}

/// Counts waiting requests rather than attempts: a request that retries several
/// times while an answer is late still needs only one token.
SpendDecision RateClient::waitOrRefuse(TimePoint Now, TimePoint GiveUpAt,
                                       SpendAttempt Attempt) {
  if (Now >= GiveUpAt) {
    if (Attempt == SpendAttempt::Retry && this->WaitingRequests > 0)
      --this->WaitingRequests;
    return {SpendKind::Refused, Now};
  }
  if (Attempt == SpendAttempt::First)
    ++this->WaitingRequests;
  this->WaitingRequests = std::max(this->WaitingRequests, 1U);
  return {SpendKind::WaitUntil, std::min(GiveUpAt, this->nextPoll(Now))};
}

std::optional<AddressedGrantRequest> RateClient::poll(TimePoint Now) {
  this->expirePending(Now);
  if (this->Pending)
    return std::nullopt;
  this->dropExpired(Now);
  this->returnExpiring(Now);
  const std::uint32_t Wanted = this->tokensToRequest(Now);
  if (Wanted == 0)
    return this->dueReport(Now);
  for (OwnerState &From : this->OwnerStates)
    if (From.NotBefore <= Now)
      return this->makeRequest(From, Wanted, Now);
  return std::nullopt;
}

TimePoint RateClient::nextPoll(TimePoint Now) const {
  if (this->Pending)
    return this->Pending->SentAt + this->Times.AnswerTimeout;
  const bool Wanted = this->tokensToRequest(Now) > 0;
  TimePoint Next = TimePoint::max();
  for (const OwnerState &From : this->OwnerStates) {
    if (From.ReportAt != TimePoint::max())
      Next = std::min(Next, std::max(From.ReportAt, From.NotBefore));
    if (Wanted)
      Next = std::min(Next, From.NotBefore);
  }
  if (this->Times.ReturnMargin > Duration{} && !this->HeldGrants.empty())
    Next = std::min(Next, this->HeldGrants.front().ReturnAt);
  return std::max(Next, Now);
}

void RateClient::receive(const std::string &Owner, const GrantAnswer &Answer,
                         TimePoint Now) {
  this->expirePending(Now);
  if (!this->Pending || this->Pending->Owner != Owner ||
      this->Pending->Sequence != Answer.Sequence ||
      this->Incarnation != Answer.Incarnation)
    return;
  const PendingRequest Answered = *this->Pending;
  this->Pending.reset();
  OwnerState *From = this->find(Owner);
  if (From == nullptr)
    return;
  if (Answer.Status != GrantStatus::Granted) {
    From->NotBefore = Now + this->Times.OwnerAvoidance;
    return;
  }
  if (Answer.Tokens < Answered.Wanted) {
    this->ShortageUntil = Now + this->Times.ShortageHoldTime;
    From->Backoff = Answer.Tokens > 0 ? this->Times.InitialBackoff
                                      : std::clamp(2 * From->Backoff,
                                                   this->Times.InitialBackoff,
                                                   this->Times.MaxBackoff);
    From->NotBefore = Now + From->Backoff;
  }
  if (Answer.Tokens == 0)
    return;
  // A grant is never valid for longer than the owner's lease.
  const Duration Margin =
      std::min(this->Times.ReturnMargin, Answer.Validity / 4);
  const TimePoint ExpiresAt = Answered.SentAt + Answer.Validity;
  if (Answer.Validity < this->Times.DemandWindow)
    this->ShortageUntil = Now + this->Times.ShortageHoldTime;
  const HeldGrant Received{Owner, Answer.Tokens, ExpiresAt, ExpiresAt - Margin};
  const auto Position =
      std::find_if(this->HeldGrants.begin(), this->HeldGrants.end(),
                   [&Received](const HeldGrant &Other) {
                     return Other.ExpiresAt > Received.ExpiresAt;
                   });
  this->HeldGrants.insert(Position, Received);
  From->ReportAt = std::min(From->ReportAt, Now + this->Times.ReportInterval);
}

std::uint32_t RateClient::held(TimePoint Now) const {
  std::uint32_t Total = 0;
  for (const HeldGrant &Each : this->HeldGrants)
    if (this->usable(Each, Now))
      Total += Each.Tokens;
  return Total;
}

RateClient::OwnerState *RateClient::find(const std::string &Owner) {
  const auto Position = std::find_if(
      this->OwnerStates.begin(), this->OwnerStates.end(),
      [&Owner](const OwnerState &Each) { return Each.Owner == Owner; });
  return Position == this->OwnerStates.end() ? nullptr : &*Position;
}

/// Returns the number of tokens to request; 0 if none are needed now.
/// A due report also replenishes the tokens, which saves a separate request.
/// Tokens are requested in advance only from two requests per window on, so
/// that hosts with little traffic do not hold back the few tokens of a small
/// rate.
std::uint32_t RateClient::tokensToRequest(TimePoint Now) const {
  const DemandMeter &Meter =
      Now < this->ShortageUntil ? this->ShortageDemand : this->Demand;
  const auto PerWindow = static_cast<std::uint32_t>(Meter.perWindow(Now));
  const std::uint32_t Held = this->held(Now);
  const std::uint32_t InAdvance = PerWindow >= 2 ? PerWindow : 0;
  const std::uint32_t Target = InAdvance + this->WaitingRequests;
  const bool Low =
      Held < this->WaitingRequests || RefillDivisor * Held < InAdvance;
  return (Low || this->isReportDue(Now)) && Held < Target ? Target - Held : 0;
}

/// Returns the next due report of spent tokens. Without demand, the unused
/// tokens of the owner are returned with it.
std::optional<AddressedGrantRequest> RateClient::dueReport(TimePoint Now) {
  for (OwnerState &From : this->OwnerStates) {
    if (From.ReportAt > Now || From.NotBefore > Now)
      continue;
    if (this->Demand.perWindow(Now) == 0)
      std::erase_if(this->HeldGrants, [&From](const HeldGrant &Each) {
        return Each.Owner == From.Owner;
      });
    return this->makeRequest(From, 0, Now);
  }
  return std::nullopt;
}

AddressedGrantRequest
RateClient::makeRequest(OwnerState &From, std::uint32_t Wanted, TimePoint Now) {
  std::uint32_t Held = 0;
  for (const HeldGrant &Each : this->HeldGrants)
    if (Each.Owner == From.Owner)
      Held += Each.Tokens;
  ++this->Sequence;
  this->Pending = {From.Owner, this->Sequence, Wanted, Now};
  From.ReportAt =
      Held > 0 ? Now + this->Times.ReportInterval : TimePoint::max();
  return {From.Owner,
          {this->Workspace, this->Epoch, this->Host, this->Incarnation,
           this->Sequence, Wanted, From.Spent, Held}};
}

void RateClient::expirePending(TimePoint Now) {
  if (!this->Pending || Now - this->Pending->SentAt < this->Times.AnswerTimeout)
    return;
  if (OwnerState *From = this->find(this->Pending->Owner)) {
    From->NotBefore = Now + this->Times.OwnerAvoidance;
    From->ReportAt = From->NotBefore;
  }
  this->Pending.reset();
}

void RateClient::dropExpired(TimePoint Now) {
  std::erase_if(this->HeldGrants, [&](const HeldGrant &Each) {
    return !this->usable(Each, Now);
  });
}

/// Discards tokens that expire soon. The next request, which is due
/// immediately, reports them as neither held nor spent, which returns them to
/// the owner.
void RateClient::returnExpiring(TimePoint Now) {
  if (this->Times.ReturnMargin == Duration{})
    return;
  while (!this->HeldGrants.empty() &&
         this->HeldGrants.front().ReturnAt <= Now) {
    if (OwnerState *From = this->find(this->HeldGrants.front().Owner))
      From->ReportAt = Now;
    this->HeldGrants.erase(this->HeldGrants.begin());
  }
}

bool RateClient::isReportDue(TimePoint Now) const {
  return std::any_of(this->OwnerStates.begin(), this->OwnerStates.end(),
                     [Now](const OwnerState &Each) {
                       return Each.ReportAt <= Now && Each.NotBefore <= Now;
                     });
}

bool RateClient::usable(const HeldGrant &Held, TimePoint Now) const {
  return !this->Times.ExpiryChecked || Now < Held.ExpiresAt;
}

} // namespace lavenderdale
