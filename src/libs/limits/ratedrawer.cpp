#include "ratedrawer.h"

#include <algorithm>

namespace lavenderdale {
namespace {

/// A draw is due when less than 1 / LowDivisor of the wanted stock is left.
constexpr std::uint32_t LowDivisor = 6;

} // namespace

RateDrawer::RateDrawer(std::string Workspace, std::string Host,
                       std::uint64_t Incarnation, RateDrawerTimes Times)
    : Workspace(std::move(Workspace)), Host(std::move(Host)),
      Incarnation(Incarnation), Times(Times), Demand(Times.DrawWindow),
      ScarceDemand(Times.ScarceDrawWindow) {}

void RateDrawer::setOwners(const std::vector<std::string> &Owners,
                           std::uint64_t NewEpoch) {
  std::vector<Source> Named;
  for (const std::string &Owner : Owners) {
    const Source *Known = this->find(Owner);
    Named.push_back(Known != nullptr
                        ? *Known
                        : Source{.Owner = Owner, .Spent = this->SpentSum});
    // An owner that was not ready in the old epoch may be in the new one.
    if (NewEpoch != this->Epoch)
      Named.back().NotBefore = {};
  }
  this->Sources = std::move(Named);
  this->Epoch = NewEpoch;
  if (this->Pending && this->find(this->Pending->Owner) == nullptr)
    this->Pending.reset();
}

SpendDecision RateDrawer::trySpend(TimePoint Now, TimePoint GiveUpAt,
                                   SpendAttempt Attempt) {
  if (Attempt == SpendAttempt::First) {
    this->Demand.add(1, Now);
    this->ScarceDemand.add(1, Now);
  }
  this->dropExpired(Now);
  if (!this->Lots.empty()) {
    if (Attempt == SpendAttempt::Again && this->Waiting > 0)
      --this->Waiting;
    Lot &First = this->Lots.front();
    if (Source *From = this->find(First.Owner)) {
      ++From->Spent;
      From->ReportAt =
          std::min(From->ReportAt, Now + this->Times.ReportInterval);
    }
    ++this->SpentSum;
    if (--First.Tokens == 0)
      this->Lots.erase(this->Lots.begin());
    return {SpendKind::Spent, Now};
  }
  return this->withoutToken(Now, GiveUpAt, Attempt);
}

/// Counts waiting requests, not their tries: a request that tries often while
/// an answer is late needs one token only.
SpendDecision RateDrawer::withoutToken(TimePoint Now, TimePoint GiveUpAt,
                                       SpendAttempt Attempt) {
  if (Now >= GiveUpAt) {
    if (Attempt == SpendAttempt::Again && this->Waiting > 0)
      --this->Waiting;
    return {SpendKind::Refused, Now};
  }
  if (Attempt == SpendAttempt::First)
    ++this->Waiting;
  this->Waiting = std::max(this->Waiting, 1U);
  return {SpendKind::WaitUntil, std::min(GiveUpAt, this->nextPoll(Now))};
}

std::optional<DrawRequest> RateDrawer::poll(TimePoint Now) {
  this->giveUpPending(Now);
  if (this->Pending)
    return std::nullopt;
  this->dropExpired(Now);
  this->giveBack(Now);
  const std::uint32_t Wanted = this->wanted(Now);
  if (Wanted == 0)
    return this->report(Now);
  for (Source &From : this->Sources)
    if (From.NotBefore <= Now)
      return this->request(From, Wanted, Now);
  return std::nullopt;
}

TimePoint RateDrawer::nextPoll(TimePoint Now) const {
  if (this->Pending)
    return this->Pending->SentAt + this->Times.AnswerTimeout;
  const bool Wanted = this->wanted(Now) > 0;
  TimePoint Next = TimePoint::max();
  for (const Source &From : this->Sources) {
    if (From.ReportAt != TimePoint::max())
      Next = std::min(Next, std::max(From.ReportAt, From.NotBefore));
    if (Wanted)
      Next = std::min(Next, From.NotBefore);
  }
  if (this->Times.ReturnMargin > Duration{} && !this->Lots.empty())
    Next = std::min(Next, this->Lots.front().ReturnAt);
  return std::max(Next, Now);
}

void RateDrawer::receive(const std::string &Owner, const GrantAnswer &Answer,
                         TimePoint Now) {
  this->giveUpPending(Now);
  if (!this->Pending || this->Pending->Owner != Owner ||
      this->Pending->Sequence != Answer.Sequence ||
      this->Incarnation != Answer.Incarnation)
    return;
  const PendingDraw Draw = *this->Pending;
  this->Pending.reset();
  Source *From = this->find(Owner);
  if (From == nullptr)
    return;
  if (Answer.Status != GrantStatus::Granted) {
    From->NotBefore = Now + this->Times.OwnerAvoidance;
    return;
  }
  if (Answer.Tokens < Draw.Wanted) {
    this->ScarceUntil = Now + this->Times.ScarceTime;
    From->Pause = Answer.Tokens > 0
                      ? this->Times.ShortPause
                      : std::clamp(2 * From->Pause, this->Times.ShortPause,
                                   this->Times.LongestPause);
    From->NotBefore = Now + From->Pause;
  }
  if (Answer.Tokens == 0)
    return;
  // A short lease of the owner makes short grants.
  const Duration Margin =
      std::min(this->Times.ReturnMargin, Answer.Validity / 4);
  const TimePoint Until = Draw.SentAt + Answer.Validity;
  if (Answer.Validity < this->Times.DrawWindow)
    this->ScarceUntil = Now + this->Times.ScarceTime;
  const Lot Received{Owner, Answer.Tokens, Until, Until - Margin};
  const auto Place = std::find_if(
      this->Lots.begin(), this->Lots.end(),
      [&Received](const Lot &Other) { return Other.Until > Received.Until; });
  this->Lots.insert(Place, Received);
  From->ReportAt = std::min(From->ReportAt, Now + this->Times.ReportInterval);
}

std::uint32_t RateDrawer::held(TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const Lot &Each : this->Lots)
    if (this->usable(Each, Now))
      Sum += Each.Tokens;
  return Sum;
}

RateDrawer::Source *RateDrawer::find(const std::string &Owner) {
  const auto Place = std::find_if(
      this->Sources.begin(), this->Sources.end(),
      [&Owner](const Source &Each) { return Each.Owner == Owner; });
  return Place == this->Sources.end() ? nullptr : &*Place;
}

/// A report that is due also fills up the stock, which saves a draw.
/// A token is drawn ahead only from two requests in a window on, so that hosts
/// with little traffic do not hold the few tokens of a small rate.
std::uint32_t RateDrawer::wanted(TimePoint Now) const {
  const DemandMeter &Meter =
      Now < this->ScarceUntil ? this->ScarceDemand : this->Demand;
  const auto PerWindow = static_cast<std::uint32_t>(Meter.perWindow(Now));
  const std::uint32_t Held = this->held(Now);
  const std::uint32_t Ahead = PerWindow >= 2 ? PerWindow : 0;
  const std::uint32_t Target = Ahead + this->Waiting;
  const bool Low = Held < this->Waiting || LowDivisor * Held < Ahead;
  return (Low || this->isReportDue(Now)) && Held < Target ? Target - Held : 0;
}

/// Reports what was spent. Without demand, unused tokens are given back.
std::optional<DrawRequest> RateDrawer::report(TimePoint Now) {
  for (Source &From : this->Sources) {
    if (From.ReportAt > Now || From.NotBefore > Now)
      continue;
    if (this->Demand.perWindow(Now) == 0)
      std::erase_if(this->Lots, [&From](const Lot &Each) {
        return Each.Owner == From.Owner;
      });
    return this->request(From, 0, Now);
  }
  return std::nullopt;
}

DrawRequest RateDrawer::request(Source &From, std::uint32_t Wanted,
                                TimePoint Now) {
  std::uint32_t Held = 0;
  for (const Lot &Each : this->Lots)
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

void RateDrawer::giveUpPending(TimePoint Now) {
  if (!this->Pending || Now - this->Pending->SentAt < this->Times.AnswerTimeout)
    return;
  if (Source *From = this->find(this->Pending->Owner)) {
    From->NotBefore = Now + this->Times.OwnerAvoidance;
    From->ReportAt = From->NotBefore;
  }
  this->Pending.reset();
}

void RateDrawer::dropExpired(TimePoint Now) {
  std::erase_if(this->Lots,
                [&](const Lot &Each) { return !this->usable(Each, Now); });
}

/// Takes tokens that expire soon out of use. The next request, which is due at
/// once, reports them as neither held nor spent.
void RateDrawer::giveBack(TimePoint Now) {
  if (this->Times.ReturnMargin == Duration{})
    return;
  while (!this->Lots.empty() && this->Lots.front().ReturnAt <= Now) {
    if (Source *From = this->find(this->Lots.front().Owner))
      From->ReportAt = Now;
    this->Lots.erase(this->Lots.begin());
  }
}

bool RateDrawer::isReportDue(TimePoint Now) const {
  return std::any_of(this->Sources.begin(), this->Sources.end(),
                     [Now](const Source &Each) {
                       return Each.ReportAt <= Now && Each.NotBefore <= Now;
                     });
}

bool RateDrawer::usable(const Lot &Held, TimePoint Now) const {
  return !this->Times.ExpiryChecked || Now < Held.Until;
}

} // namespace lavenderdale
