#include "catchup.h"

#include "relativetime.h"

#include <utility>

namespace lavenderdale {

using namespace failoverlimits;

CatchUp::CatchUp(const TermStatus &Claimed, std::string Member, LogPosition Has,
                 TimePoint Deadline)
    : Primary(Claimed.Primary), Timeline(Claimed.timeline()),
      Version(Claimed.Version), Member(std::move(Member)), Has(Has),
      Deadline(Deadline) {}

void CatchUp::expire(const PromotionContext &Context) {
  if (!this->isDone() && Context.Now >= this->Deadline)
    this->Current = Step::Failed;
  if (!this->Pending || Context.Now < this->Pending->Deadline)
    return;
  // A control session is used for one command only, so the retry of a command
  // that timed out opens a new one.
  if (this->Current == Step::CheckStatus || this->Current == Step::SetSource)
    this->Current = Step::OpenSession;
  this->Pending.reset();
}

void CatchUp::advance(PromotionContext &Context) {
  if (this->Pending || this->isDone() || this->isFailed())
    return;
  const CallId Call = Context.nextCall();
  this->Pending = PendingCall{Call, Context.callDeadline()};
  switch (this->Current) {
  case Step::PollPrimary:
    Context.emit(PollMember{Call, this->Primary});
    return;
  case Step::OpenSession:
    this->Session = Call;
    Context.emit(OpenControlSession{Call, this->Member});
    return;
  case Step::CheckStatus:
    Context.emit(ReadStatus{Call});
    return;
  case Step::SetSource:
    Context.emit(
        CatchUpMember{Call, this->Session, this->Member, this->Primary});
    return;
  case Step::AwaitLog:
    Context.emit(PollMember{Call, this->Member});
    return;
  case Step::Done:
  case Step::Failed:
    return;
  }
}

void CatchUp::statusRead(const StatusRead &Answer) {
  if (!this->isAwaited(Answer.Call))
    return;
  this->Pending.reset();
  // If the status changes after this read, the next promoter ends this control
  // session before it fences the member, so the command cannot lift its fence.
  if (Answer.Status && Answer.Status->Version == this->Version)
    this->Current = Step::SetSource;
  else
    this->Current = Answer.Status ? Step::Failed : Step::OpenSession;
}

void CatchUp::memberAnswered(const MemberAnswered &Answer) {
  if (!this->isAwaited(Answer.Call))
    return;
  this->Pending.reset();
  if (!Answer.Done) {
    // A planned change is abandoned if a member does not answer.
    this->Current = Step::Failed;
    return;
  }
  if (this->Current == Step::OpenSession)
    this->Current = Step::CheckStatus;
  else if (this->Current == Step::SetSource)
    this->Current = Step::AwaitLog;
}

void CatchUp::memberPolled(const MemberPolled &Answer,
                           const PromotionContext &Context) {
  if (!this->isAwaited(Answer.Call))
    return;
  this->Pending.reset();
  const ReplicaPoll &Poll = Answer.Poll;
  if (this->Current == Step::PollPrimary) {
    const bool IsPrimary = !Poll.InRecovery && Poll.Timeline == this->Timeline;
    this->Needed = Poll.logEnd();
    if (!IsPrimary)
      this->Current = Step::Failed;
    else
      this->Current =
          this->Has >= this->Needed ? Step::Done : Step::OpenSession;
    return;
  }
  if (Poll.Timeline != this->Timeline)
    this->Current = Step::Failed;
  else if (Poll.logEnd() >= this->Needed)
    this->Current = Step::Done;
  else
    this->Pending = PendingCall{0, Context.Now + FencePollInterval};
}

std::string CatchUp::describe(TimePoint Now) const {
  return " catch-up " + this->Member + " " +
         std::to_string(static_cast<int>(this->Current)) + " " +
         this->Has.toString() + " of " + this->Needed.toString() + " " +
         millisecondsUntil(this->Deadline, Now) + " #" +
         std::to_string(this->Session) + " " +
         describeCall("call", this->Pending, Now);
}

} // namespace lavenderdale
