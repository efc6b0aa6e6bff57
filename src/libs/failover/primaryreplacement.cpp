#include "primaryreplacement.h"

#include "relativetime.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {

using namespace failoverlimits;

PrimaryReplacement::PrimaryReplacement(std::string Id, const std::string &Owner,
                                       TermStatus Base,
                                       const ReplacementMembers &Members,
                                       bool Planned, PromotionContext &Context)
    : Id(std::move(Id)), MemberCount(Members.All.size()), Planned(Planned),
      ClaimDeadline(Context.Now + Context.Times.ClaimLifetime),
      FenceDeadline(ClaimDeadline - Context.Times.FenceWait -
                    Context.Times.CallTimeout),
      Sent(std::move(Base)) {
  this->Sent.Claim = PromotionClaim{this->Id, Owner};
  for (const std::string &Name : Members.All)
    if (Name != this->Sent.Primary)
      this->Members[Name].Leaving = Members.Leaving.contains(Name);
  this->sendUpdate(Context);
}

bool PrimaryReplacement::isFinished() const {
  return this->Changed.has_value() || this->Failure.has_value();
}

void PrimaryReplacement::fail(GiveUpReason Reason) {
  if (!this->isFinished())
    this->Failure = Reason;
}

std::optional<TermStatus> PrimaryReplacement::released() const {
  const bool Release = this->Failure == GiveUpReason::NoQuorum ||
                       this->Failure == GiveUpReason::FenceChanged ||
                       this->Failure == GiveUpReason::NotCaughtUp ||
                       this->Failure == GiveUpReason::EvidenceWithdrawn;
  if (!Release)
    return std::nullopt;
  TermStatus Status = this->Claimed;
  Status.Claim.reset();
  return Status;
}

void PrimaryReplacement::expire(PromotionContext &Context) {
  if (this->isFinished())
    return;
  if (Context.Now >= this->ClaimDeadline) {
    this->fail(this->Current == Step::Claiming ? GiveUpReason::PlatformFailed
                                               : GiveUpReason::ClaimExpired);
    return;
  }
  if (this->Update && Context.Now >= this->Update->Deadline) {
    this->Update.reset();
    this->sendReadBack(Context);
  }
  if (this->ReadBack && Context.Now >= this->ReadBack->Deadline)
    this->ReadBack.reset();
  for (auto &[Name, M] : this->Members)
    if (M.Pending && Context.Now >= M.Pending->Deadline)
      M.Pending.reset();
  if (this->RunningCatchUp) {
    this->RunningCatchUp->expire(Context);
    this->checkCatchUp();
  }
}

void PrimaryReplacement::advance(PromotionContext &Context) {
  if (this->isFinished())
    return;
  switch (this->Current) {
  case Step::Claiming:
  case Step::Changing:
    if (!this->Update && !this->ReadBack)
      this->sendReadBack(Context);
    return;
  case Step::Fencing:
    if (Context.Now >= this->FenceDeadline) {
      this->fail(GiveUpReason::NoQuorum);
      return;
    }
    break;
  case Step::Waiting:
    if (Context.Now < this->WaitUntil)
      return;
    if (this->Planned) {
      this->startCatchUp(Context);
      return;
    }
    this->Current = Step::Checking;
    break;
  case Step::CatchingUp:
    if (this->RunningCatchUp) {
      this->RunningCatchUp->advance(Context);
      return;
    }
    break;
  case Step::Checking:
    break;
  }
  for (auto &[Name, M] : this->Members)
    if (!M.Pending)
      this->sendCommand(Name, M, Context);
}

void PrimaryReplacement::sendUpdate(PromotionContext &Context) {
  const CallId Call = Context.nextCall();
  this->Update = PendingCall{Call, Context.callDeadline()};
  if (this->Current == Step::Claiming)
    Context.emit(ClaimStatus{Call, this->Sent});
  else
    Context.emit(ChangeTerm{Call, this->Sent});
}

void PrimaryReplacement::sendReadBack(PromotionContext &Context) {
  const CallId Call = Context.nextCall();
  this->ReadBack = PendingCall{Call, Context.callDeadline()};
  Context.emit(ReadStatus{Call});
}

void PrimaryReplacement::updateAnswered(const UpdateAnswered &Answer,
                                        PromotionContext &Context) {
  if (this->isFinished() || !this->Update || this->Update->Call != Answer.Call)
    return;
  this->Update.reset();
  if (Answer.Outcome != UpdateOutcome::Done) {
    // The conflicting version may be an earlier copy of this update whose
    // answer was lost, so the stored status is read after both outcomes.
    this->sendReadBack(Context);
    return;
  }
  TermStatus Stored = this->Sent;
  Stored.Version = Answer.NewVersion;
  this->observe(Stored, Context);
}

void PrimaryReplacement::statusRead(const StatusRead &Answer,
                                    PromotionContext &Context) {
  const bool IsReadBack = this->ReadBack && this->ReadBack->Call == Answer.Call;
  if (this->isFinished() || (!IsReadBack && !this->RunningCatchUp))
    return;
  this->ReadBack.reset();
  if (!Answer.Status)
    return;
  const TermStatus &Read = *Answer.Status;
  this->observe(Read, Context);
  if (this->RunningCatchUp && !this->isFinished()) {
    this->RunningCatchUp->statusRead(Answer);
    this->checkCatchUp();
    return;
  }
  const bool InUpdate =
      this->Current == Step::Claiming || this->Current == Step::Changing;
  if (this->isFinished() || !InUpdate || this->Update)
    return;
  // The update is not stored, so it is sent again. If the first copy is stored
  // after all, the second one conflicts.
  if (Read.Version == this->Sent.Version)
    this->sendUpdate(Context);
}

void PrimaryReplacement::observe(const TermStatus &Seen,
                                 PromotionContext &Context) {
  if (this->isFinished() || Seen.Version <= this->Sent.Version)
    return;
  if (this->Current == Step::Claiming) {
    if (Seen.Claim && Seen.Claim->AttemptId == this->Id)
      this->claimed(Seen, Context);
    else
      this->fail(GiveUpReason::ClaimConflict);
    return;
  }
  if (Seen.Version <= this->Claimed.Version)
    return;
  if (this->Current == Step::Changing && Seen.Current == this->Sent.Current &&
      Seen.Primary == this->Sent.Primary)
    this->succeed(Seen);
  else
    this->fail(GiveUpReason::ChangeConflict);
}

void PrimaryReplacement::claimed(const TermStatus &Status,
                                 PromotionContext &Context) {
  this->Claimed = Status;
  this->Update.reset();
  this->ReadBack.reset();
  this->Current = Step::Fencing;
  if (!Context.Suspected && !this->Planned)
    this->fail(GiveUpReason::EvidenceWithdrawn);
}

void PrimaryReplacement::sendCommand(const std::string &Name, Member &M,
                                     PromotionContext &Context) {
  if (M.Reached == Stage::Checked ||
      (M.Reached == Stage::Fenced && this->Current != Step::Checking))
    return;
  const CallId Call = Context.nextCall();
  M.Pending = PendingCall{Call, Context.callDeadline()};
  switch (M.Reached) {
  case Stage::EndSessions:
    Context.emit(EndControlSessions{Call, Name});
    return;
  case Stage::Fence:
    Context.emit(FenceMember{Call, Name});
    return;
  case Stage::Verify:
  case Stage::Fenced:
  case Stage::Checked:
    Context.emit(PollMember{Call, Name});
    return;
  }
}

PrimaryReplacement::Member *PrimaryReplacement::findMember(CallId Call) {
  for (auto &[Name, M] : this->Members)
    if (M.Pending && M.Pending->Call == Call)
      return &M;
  return nullptr;
}

void PrimaryReplacement::memberAnswered(const MemberAnswered &Answer,
                                        PromotionContext &Context) {
  if (this->RunningCatchUp) {
    this->RunningCatchUp->memberAnswered(Answer);
    this->checkCatchUp();
    return;
  }
  Member *M = this->isFinished() ? nullptr : this->findMember(Answer.Call);
  if (M == nullptr)
    return;
  M->Pending.reset();
  if (!Answer.Done) {
    // Retries later, so that a member that answers with errors is not called in
    // a tight loop.
    M->Pending = PendingCall{
        0, std::min(Context.callDeadline(), Context.Now + PollInterval)};
    return;
  }
  if (M->Reached == Stage::EndSessions)
    M->Reached = Stage::Fence;
  else if (M->Reached == Stage::Fence)
    M->Reached = Stage::Verify;
}

void PrimaryReplacement::memberPolled(const MemberPolled &Answer,
                                      PromotionContext &Context) {
  if (this->RunningCatchUp) {
    this->RunningCatchUp->memberPolled(Answer, Context);
    this->checkCatchUp();
    return;
  }
  Member *M = this->isFinished() ? nullptr : this->findMember(Answer.Call);
  if (M == nullptr)
    return;
  M->Pending.reset();
  if (M->Reached == Stage::Verify)
    this->verifyFence(*M, Answer.Poll);
  else if (M->Reached == Stage::Fenced)
    this->checkFence(*M, Answer.Poll);
  if (this->isFinished())
    return;
  if (M->Reached == Stage::Verify)
    M->Pending = PendingCall{0, Context.Now + FencePollInterval};
  if (this->Current == Step::Fencing && this->isFenceComplete())
    this->startWait(Context);
  if (this->Current == Step::CatchingUp &&
      this->countReached(Stage::Fenced) == this->Members.size())
    this->Current = Step::Checking;
  if (this->Current == Step::Checking &&
      this->countReached(Stage::Checked) == this->Members.size())
    this->changeTerm(Context);
}

void PrimaryReplacement::verifyFence(Member &M, const ReplicaPoll &Poll) {
  // PostgreSQL reloads its configuration after it has answered the command, so
  // a member that is not fenced yet is polled again.
  if (!Poll.isFenced())
    return;
  // The platform may rebuild a member that has lost writes or an unknown
  // timeline at any time, which lifts its fence.
  const Position End{Poll.Timeline, Poll.logEnd()};
  if (this->Claimed.History.writeStatus(End) != WriteStatus::Survived)
    return;
  M.Poll = Poll;
  M.Reached = Stage::Fenced;
}

bool PrimaryReplacement::isFenceComplete() const {
  if (this->countReached(Stage::Fenced) < fenceQuorum(this->MemberCount))
    return false;
  if (this->Planned && this->bestCandidate() == this->Members.end())
    return false;
  const Term Newest = this->Claimed.History.newest();
  bool NewestIsFenced = false;
  bool AllFollowersFenced = true;
  for (const auto &[Name, M] : this->Members) {
    const bool IsFenced = M.Reached == Stage::Fenced;
    NewestIsFenced = NewestIsFenced || (IsFenced && M.Poll.Timeline == Newest);
    AllFollowersFenced = AllFollowersFenced &&
                         (IsFenced || this->Claimed.Replaced.contains(Name));
  }
  // If no fenced member is on the newest timeline, the promoted one reuses the
  // number of that timeline. Every member that may be on the old timeline of
  // this number must be fenced then.
  return NewestIsFenced || AllFollowersFenced;
}

void PrimaryReplacement::checkFence(Member &M, const ReplicaPoll &Poll) {
  const bool Same = Poll.isFenced() && Poll.Timeline == M.Poll.Timeline &&
                    Poll.logEnd() == M.Poll.logEnd();
  if (Same)
    M.Reached = Stage::Checked;
  else
    this->fail(GiveUpReason::FenceChanged);
}

void PrimaryReplacement::startWait(PromotionContext &Context) {
  this->Current = Step::Waiting;
  this->WaitUntil = Context.Now + Context.Times.FenceWait;
  // Drops members that were not fenced before the wait.
  std::erase_if(this->Members, [](const auto &Entry) {
    return Entry.second.Reached != Stage::Fenced;
  });
}

std::size_t PrimaryReplacement::countReached(Stage Reached) const {
  return static_cast<std::size_t>(std::count_if(
      this->Members.begin(), this->Members.end(),
      [&](const auto &Entry) { return Entry.second.Reached == Reached; }));
}

bool PrimaryReplacement::isCandidate(const Member &M) const {
  const bool IsFenced =
      M.Reached == Stage::Fenced || M.Reached == Stage::Checked;
  if (!this->Planned)
    return IsFenced;
  return IsFenced && !M.Leaving && M.Poll.Timeline == this->Claimed.timeline();
}

/// The candidate with the highest position, then one that is not leaving, then
/// the first by name.
std::map<std::string, PrimaryReplacement::Member>::const_iterator
PrimaryReplacement::bestCandidate() const {
  auto Best = this->Members.end();
  for (auto Each = this->Members.begin(); Each != this->Members.end(); ++Each) {
    const Member &M = Each->second;
    if (!this->isCandidate(M))
      continue;
    const auto RankOf = [](const Member &Ranked) {
      return std::make_pair(
          Position{Ranked.Poll.Timeline, Ranked.Poll.logEnd()},
          !Ranked.Leaving);
    };
    if (Best == this->Members.end() || RankOf(Best->second) < RankOf(M))
      Best = Each;
  }
  return Best;
}

void PrimaryReplacement::startCatchUp(PromotionContext &Context) {
  this->Current = Step::CatchingUp;
  const auto Best = this->bestCandidate();
  this->RunningCatchUp.emplace(this->Claimed, Best->first,
                               Best->second.Poll.logEnd(),
                               this->ClaimDeadline - Context.Times.CallTimeout);
  this->RunningCatchUp->advance(Context);
}

void PrimaryReplacement::checkCatchUp() {
  if (this->RunningCatchUp->isFailed()) {
    this->fail(GiveUpReason::NotCaughtUp);
  } else if (this->RunningCatchUp->isDone()) {
    // The member is fenced again, which also reads its new position.
    this->Members[this->RunningCatchUp->member()].Reached = Stage::Fence;
    this->RunningCatchUp.reset();
  }
}

void PrimaryReplacement::changeTerm(PromotionContext &Context) {
  if (this->Claimed.History.newest() > this->Claimed.Current) {
    this->fail(GiveUpReason::BadLineage);
    return;
  }
  const auto Chosen = this->bestCandidate();
  this->Sent = this->Claimed;
  this->Sent.Claim.reset();
  this->Sent.Current = this->Claimed.Current.next();
  this->Sent.Replaced.insert(this->Claimed.Primary);
  this->Sent.Replaced.erase(Chosen->first);
  this->Sent.Primary = Chosen->first;
  this->Sent.History.dropAbove(Chosen->second.Poll.Timeline);
  this->Sent.PromotionStart = Chosen->second.Poll.logEnd();
  this->Current = Step::Changing;
  this->sendUpdate(Context);
}

void PrimaryReplacement::succeed(const TermStatus &Status) {
  this->Changed = Status;
}

std::string PrimaryReplacement::describe(TimePoint Now) const {
  std::string Text =
      this->Id + " step " + std::to_string(static_cast<int>(this->Current)) +
      " claim v" + std::to_string(this->Claimed.Version) + " sent v" +
      std::to_string(this->Sent.Version) + " " + this->Sent.Primary;
  Text += " deadlines " + millisecondsUntil(this->ClaimDeadline, Now) + " " +
          millisecondsUntil(this->FenceDeadline, Now);
  if (this->Current == Step::Waiting)
    Text += " wait " + millisecondsUntil(this->WaitUntil, Now);
  if (this->RunningCatchUp)
    Text += this->RunningCatchUp->describe(Now);
  Text += describeCall("update", this->Update, Now) +
          describeCall("read", this->ReadBack, Now);
  for (const auto &[Name, M] : this->Members) {
    Text += " [" + Name + " " + std::to_string(static_cast<int>(M.Reached)) +
            describeCall("call", M.Pending, Now);
    if (M.Reached >= Stage::Fenced)
      Text += " " + std::to_string(M.Poll.Timeline.Value) + ":" +
              M.Poll.logEnd().toString();
    Text += "]";
  }
  return Text;
}

} // namespace lavenderdale
