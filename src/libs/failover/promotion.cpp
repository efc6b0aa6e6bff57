#include "promotion.h"

#include "relativetime.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {

using namespace failoverlimits;

/// Passes an event to the attempt and the completion in progress.
struct Promotion::Dispatcher {
  Promotion &Owner;
  PromotionContext &Context;

  void operator()(const Tick & /*Event*/) const {}

  void operator()(const EvidenceCombined &Event) const {
    Owner.Evidence = Event;
    Owner.EvidenceAt = Context.Now;
    Context.Suspected = Owner.isSuspected(Context.Now);
  }

  void operator()(const StatusSeen &Event) const {
    Owner.updateStatus(Event.Status, false, Context);
  }

  void operator()(const MemberSeen &Event) const {
    Owner.Completion.memberSeen(Event.Poll);
  }

  void operator()(const StatusRead &Event) const {
    if (Owner.Refresh && Owner.Refresh->Call == Event.Call)
      Owner.Refresh.reset();
    if (Event.Status)
      Owner.updateStatus(*Event.Status, false, Context);
    if (Owner.Attempt)
      Owner.Attempt->statusRead(Event, Context);
    Owner.Completion.statusRead(Event, Context);
  }

  void operator()(const UpdateAnswered &Event) const {
    if (Owner.Attempt)
      Owner.Attempt->updateAnswered(Event, Context);
    Owner.storeAnswered(Event, Context);
  }

  void operator()(const MemberAnswered &Event) const {
    if (Owner.Attempt)
      Owner.Attempt->memberAnswered(Event, Context);
    Owner.Completion.memberAnswered(Event, Context);
  }

  void operator()(const MemberPolled &Event) const {
    Owner.Completion.memberSeen(Event.Poll);
    Owner.Completion.memberPolled(Event, Context);
    if (Owner.Attempt)
      Owner.Attempt->memberPolled(Event, Context);
  }
};

Promotion::Promotion(std::string Self, std::string Instance,
                     PromotionTimes Times)
    : Self(std::move(Self)), Instance(std::move(Instance)), Times(Times) {}

PromotionContext Promotion::context(TimePoint Now,
                                    std::vector<PromotionAction> &Actions) {
  return {Now, this->isSuspected(Now), this->Times, this->LastCall, Actions};
}

bool Promotion::isSuspected(TimePoint Now) const {
  return this->Status && this->Evidence.Agreed &&
         this->Evidence.Current == this->Status->Current &&
         Now - this->EvidenceAt <= EvidenceLifetime;
}

bool Promotion::needsPlannedChange(TimePoint Now) const {
  return this->Members.Leaving.contains(this->Status->Primary) &&
         std::ranges::any_of(this->Members.All, [&](const std::string &Name) {
           return !this->Members.Leaving.contains(Name) &&
                  this->Completion.followsPrimary(Name, *this->Status, Now);
         });
}

std::vector<PromotionAction>
Promotion::setMembers(std::vector<std::string> Members, TimePoint Now,
                      std::set<std::string> Leaving) {
  std::vector<PromotionAction> Actions;
  if (Members == this->Members.All && Leaving == this->Members.Leaving)
    return Actions;
  PromotionContext Context = this->context(Now, Actions);
  this->Members = {std::move(Members), std::move(Leaving)};
  this->Completion.cancel(Context);
  if (this->Attempt) {
    Context.emit(GiveUp{this->Attempt->id(), GiveUpReason::MembersChanged});
    this->Attempt.reset();
  }
  return Actions;
}

std::vector<PromotionAction> Promotion::handle(const PromotionEvent &Event,
                                               TimePoint Now) {
  std::vector<PromotionAction> Actions;
  PromotionContext Context = this->context(Now, Actions);
  this->expire(Context);
  this->endFinishedAttempt(Context);
  std::visit(Dispatcher{*this, Context}, Event);
  if (this->Attempt)
    this->Attempt->advance(Context);
  this->endFinishedAttempt(Context);
  Context.Suspected = this->isSuspected(Now);
  this->startIfNeeded(Context);
  if (!this->Attempt && this->Status && !this->Status->Claim &&
      Now >= this->CompleteFrom) {
    this->Completion.update(*this->Status, this->Members.All, Context);
    this->completeIfNeeded(Context);
  }
  return Actions;
}

void Promotion::expire(PromotionContext &Context) {
  if (this->Attempt)
    this->Attempt->expire(Context);
  this->Completion.expire(Context);
  if (this->Storing && Context.Now >= this->Storing->Deadline) {
    this->Storing.reset();
    this->refresh(Context);
  }
  if (this->Refresh && Context.Now >= this->Refresh->Deadline)
    this->Refresh.reset();
}

void Promotion::updateStatus(const TermStatus &Seen, bool Own,
                             PromotionContext &Context) {
  if (this->Status && Seen.Version <= this->Status->Version)
    return;
  const bool NewClaim = Seen.Claim && (!this->Status || !this->Status->Claim ||
                                       *this->Status->Claim != *Seen.Claim);
  if (NewClaim)
    this->ClaimSeenAt = Context.Now;
  if (this->Status && this->Status->Current != Seen.Current)
    this->Failures = 0;
  this->CompleteFrom =
      Own ? Context.Now : Context.Now + this->Times.CompletionDelay;
  this->Status = Seen;
  this->StatusSeenAt = Context.Now;
  Context.Suspected = this->isSuspected(Context.Now);
  if (this->Attempt)
    this->Attempt->observe(Seen, Context);
}

void Promotion::endFinishedAttempt(PromotionContext &Context) {
  if (!this->Attempt || !this->Attempt->isFinished())
    return;
  const PrimaryReplacement Ended = std::move(*this->Attempt);
  this->Attempt.reset();
  if (Ended.changed()) {
    const TermStatus &Status = *Ended.changed();
    this->updateStatus(Status, true, Context);
    this->CompleteFrom = Context.Now;
    Context.emit(Finished{Ended.id(), Status.Current, Status.Primary});
    return;
  }
  const unsigned Doublings = std::min(this->Failures++, MaxRetryDoublings);
  this->AttemptFrom = Context.Now + this->Times.RetryPause * (1U << Doublings);
  Context.emit(GiveUp{Ended.id(), *Ended.failure()});
  if (const std::optional<TermStatus> Unclaimed = Ended.released())
    this->release(*Unclaimed, Context);
  else
    this->refresh(Context);
}

void Promotion::startIfNeeded(PromotionContext &Context) {
  if (this->Attempt || this->Storing || !this->Status ||
      Context.Now < this->AttemptFrom)
    return;
  const bool ClaimExpired =
      this->Status->Claim &&
      Context.Now - this->ClaimSeenAt >= this->Times.ClaimLifetime;
  if (this->Status->Claim && !ClaimExpired)
    return;
  const bool CanFence =
      this->Completion.reachableReplicas(this->Members.All,
                                         this->Status->Primary, Context.Now) >=
          fenceQuorum(this->Members.All.size()) &&
      !this->Members.All.empty();
  const bool Planned =
      !Context.Suspected && this->needsPlannedChange(Context.Now);
  if ((Context.Suspected || Planned) && CanFence) {
    this->Completion.cancel(Context);
    this->Attempt.emplace(this->Self + "/" + this->Instance + "/" +
                              std::to_string(++this->LastAttempt),
                          this->Self, *this->Status, this->Members, Planned,
                          Context);
    return;
  }
  if (!ClaimExpired)
    return;
  // No watcher will finish the attempt that made the claim, and members that it
  // left fenced cannot be pointed at the primary before the claim is gone.
  TermStatus Unclaimed = *this->Status;
  Unclaimed.Claim.reset();
  this->release(std::move(Unclaimed), Context);
}

void Promotion::release(TermStatus Unclaimed, PromotionContext &Context) {
  this->Stored = std::move(Unclaimed);
  this->Storing = PendingCall{Context.nextCall(), Context.callDeadline()};
  Context.emit(ReleaseClaim{this->Storing->Call, this->Stored});
}

// Before the primary's timeline is stored, no member follows it, and no write
// is acknowledged or read from that timeline. If the primary fails before that,
// no other member has its timeline, and the next timeline may reuse its number.
void Promotion::completeIfNeeded(PromotionContext &Context) {
  if (this->Storing || this->Refresh)
    return;
  const std::optional<Term> Reached = this->Completion.reachedTimeline(
      *this->Status, this->StatusSeenAt, Context.Now);
  TermStatus Complete = *this->Status;
  if (Reached) {
    if (!Complete.History.append(*Reached, *Complete.PromotionStart))
      return;
    Complete.PromotionStart.reset();
  } else {
    // Former primaries that were rebuilt may follow the current one.
    const std::size_t Rebuilt =
        std::erase_if(Complete.Replaced, [&](const std::string &Name) {
          return this->Completion.isReplica(Name, this->StatusSeenAt,
                                            Context.Now);
        });
    if (Rebuilt == 0 || Complete.PromotionStart)
      return;
  }
  this->Stored = std::move(Complete);
  this->Storing = PendingCall{Context.nextCall(), Context.callDeadline()};
  Context.emit(CompleteTerm{this->Storing->Call, this->Stored});
}

void Promotion::storeAnswered(const UpdateAnswered &Answer,
                              PromotionContext &Context) {
  if (!this->Storing || this->Storing->Call != Answer.Call)
    return;
  this->Storing.reset();
  if (Answer.Outcome != UpdateOutcome::Done) {
    this->refresh(Context);
    return;
  }
  this->Stored.Version = Answer.NewVersion;
  this->updateStatus(this->Stored, true, Context);
}

void Promotion::refresh(PromotionContext &Context) {
  this->Refresh = PendingCall{Context.nextCall(), Context.callDeadline()};
  Context.emit(ReadStatus{this->Refresh->Call});
}

std::string Promotion::describe(TimePoint Now) const {
  std::string Text = this->Self;
  if (this->Status)
    Text += " v" + std::to_string(this->Status->Version) + " term " +
            std::to_string(this->Status->Current.Value) + " " +
            this->Status->Primary;
  if (this->Status && this->Status->Claim)
    Text +=
        " claim " + this->Status->Claim->AttemptId + " " +
        millisecondsUntil(this->ClaimSeenAt + this->Times.ClaimLifetime, Now);
  Text += " from " + millisecondsUntil(this->CompleteFrom, Now) + " " +
          millisecondsUntil(this->AttemptFrom, Now);
  Text += " failures " +
          std::to_string(std::min(this->Failures, MaxRetryDoublings));
  if (this->Evidence.Agreed)
    Text += " evidence " + std::to_string(this->Evidence.Current.Value) + " " +
            millisecondsUntil(this->EvidenceAt + EvidenceLifetime, Now);
  Text += describeCall("store", this->Storing, Now) +
          describeCall("refresh", this->Refresh, Now);
  if (this->Attempt)
    Text += " attempt " + this->Attempt->describe(Now);
  return Text + this->Completion.describe(Now);
}

} // namespace lavenderdale
