#include "termcompletion.h"

#include "relativetime.h"

#include <algorithm>

namespace lavenderdale {

using namespace failoverlimits;

void TermCompletion::memberSeen(const ReplicaPoll &Poll) {
  const auto [Entry, Inserted] = this->Polls.try_emplace(Poll.Upstream, Poll);
  if (!Inserted && Entry->second.SentAt <= Poll.SentAt)
    Entry->second = Poll;
}

const ReplicaPoll *TermCompletion::recentPoll(const std::string &Member,
                                              TimePoint Now) const {
  const auto Found = this->Polls.find(Member);
  if (Found == this->Polls.end() ||
      Now - Found->second.SentAt > MemberPollLifetime)
    return nullptr;
  return &Found->second;
}

std::size_t
TermCompletion::reachableReplicas(const std::vector<std::string> &Members,
                                  const std::string &Primary,
                                  TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Name) {
        const ReplicaPoll *Poll = this->recentPoll(Name, Now);
        return Name != Primary && Poll != nullptr && Poll->InRecovery;
      }));
}

void TermCompletion::expire(PromotionContext &Context) {
  for (auto Entry = this->Running.begin(); Entry != this->Running.end();) {
    if (Context.Now >= Entry->second.Pending.Deadline)
      Entry = this->drop(Entry, true, Context);
    else
      ++Entry;
  }
}

void TermCompletion::cancel(PromotionContext &Context) {
  while (!this->Running.empty())
    this->drop(this->Running.begin(), true, Context);
}

TermCompletion::Jobs::iterator TermCompletion::drop(Jobs::iterator Entry,
                                                    bool CloseSession,
                                                    PromotionContext &Context) {
  if (CloseSession)
    Context.emit(CloseControlSession{Entry->second.Session});
  this->NotBefore[Entry->first] = Context.Now + Context.Times.RetryPause;
  return this->Running.erase(Entry);
}

void TermCompletion::update(const TermStatus &Status,
                            const std::vector<std::string> &Members,
                            PromotionContext &Context) {
  const ReplicaPoll *Primary = this->recentPoll(Status.Primary, Context.Now);
  if (Primary == nullptr || Primary->Timeline.Value == 0)
    return;
  if (Primary->InRecovery) {
    // A status stored by an older version of the software has no
    // PromotionStart; its lineage already has the timeline of the chosen
    // member.
    const bool IsChosen = Status.PromotionStart.has_value() ||
                          Primary->Timeline < Status.History.newest();
    if (Primary->isFenced() && IsChosen)
      this->start(Status.Primary, true, Status, Context);
    return;
  }
  // Replicas of a primary that is not on the new timeline yet would report the
  // old one.
  if (Primary->Timeline != Status.timeline())
    return;
  for (const std::string &Name : Members) {
    const ReplicaPoll *Poll = this->recentPoll(Name, Context.Now);
    if (Name == Status.Primary || Status.Replaced.contains(Name) ||
        Poll == nullptr || !Poll->InRecovery || Poll->Follows == Status.Primary)
      continue;
    // A member with lost writes cannot follow the primary; it has to be
    // rebuilt.
    if (Status.History.writeStatus({Poll->Timeline, Poll->logEnd()}) ==
        WriteStatus::Survived)
      this->start(Name, false, Status, Context);
  }
}

void TermCompletion::start(const std::string &Member, bool Promotes,
                           const TermStatus &Status,
                           PromotionContext &Context) {
  const auto Wait = this->NotBefore.find(Member);
  if (this->Running.contains(Member) ||
      (Wait != this->NotBefore.end() && Context.Now < Wait->second))
    return;
  Job J;
  J.Promotes = Promotes;
  J.InTerm = Status.Current;
  J.Primary = Status.Primary;
  J.Session = Context.nextCall();
  J.Pending = {J.Session, Context.callDeadline()};
  Context.emit(OpenControlSession{J.Session, Member});
  this->Running.emplace(Member, J);
}

TermCompletion::Jobs::iterator TermCompletion::find(CallId Call) {
  return std::find_if(
      this->Running.begin(), this->Running.end(),
      [&](const auto &Entry) { return Entry.second.Pending.Call == Call; });
}

void TermCompletion::memberAnswered(const MemberAnswered &Answer,
                                    PromotionContext &Context) {
  const auto Entry = this->find(Answer.Call);
  if (Entry == this->Running.end())
    return;
  Job &J = Entry->second;
  if (Answer.Done && J.Reached == Stage::Opening) {
    J.Reached = Stage::ReadingStatus;
    J.Pending = {Context.nextCall(), Context.callDeadline()};
    Context.emit(ReadStatus{J.Pending.Call});
    return;
  }
  if (Answer.Done && J.Promotes && J.Reached == Stage::SendingCommand) {
    // Polls at once, to learn the timeline before the next regular poll.
    J.Reached = Stage::Polling;
    J.Pending = {Context.nextCall(), Context.callDeadline()};
    Context.emit(PollMember{J.Pending.Call, Entry->first});
    return;
  }
  this->drop(Entry, false, Context);
}

void TermCompletion::memberPolled(const MemberPolled &Answer,
                                  PromotionContext &Context) {
  const auto Entry = this->find(Answer.Call);
  if (Entry != this->Running.end())
    this->drop(Entry, false, Context);
}

bool TermCompletion::followsPrimary(const std::string &Member,
                                    const TermStatus &Status,
                                    TimePoint Now) const {
  const ReplicaPoll *Primary = this->recentPoll(Status.Primary, Now);
  const ReplicaPoll *Poll = this->recentPoll(Member, Now);
  return Primary != nullptr && !Primary->InRecovery && Poll != nullptr &&
         Poll->InRecovery && Poll->Follows == Status.Primary &&
         Primary->Timeline == Status.timeline() &&
         Poll->Timeline == Status.timeline();
}

bool TermCompletion::isReplica(const std::string &Member, TimePoint Since,
                               TimePoint Now) const {
  const ReplicaPoll *Poll = this->recentPoll(Member, Now);
  return Poll != nullptr && Poll->InRecovery && Poll->SentAt >= Since;
}

std::optional<Term> TermCompletion::reachedTimeline(const TermStatus &Status,
                                                    TimePoint Since,
                                                    TimePoint Now) const {
  const ReplicaPoll *Poll = this->recentPoll(Status.Primary, Now);
  // An older poll may show the member as the primary of an earlier term.
  if (!Status.PromotionStart || Poll == nullptr || Poll->SentAt < Since ||
      Poll->InRecovery || Poll->Timeline <= Status.History.newest())
    return std::nullopt;
  return Poll->Timeline;
}

void TermCompletion::statusRead(const StatusRead &Answer,
                                PromotionContext &Context) {
  const auto Entry = this->find(Answer.Call);
  if (Entry == this->Running.end())
    return;
  const Job &J = Entry->second;
  const bool Valid = Answer.Status && !Answer.Status->Claim &&
                     Answer.Status->Current == J.InTerm &&
                     Answer.Status->Primary == J.Primary;
  if (Valid)
    this->sendCommand(Entry->first, Entry->second, Context);
  else
    this->drop(Entry, true, Context);
}

void TermCompletion::sendCommand(const std::string &Member, Job &J,
                                 PromotionContext &Context) {
  J.Reached = Stage::SendingCommand;
  J.Pending = {Context.nextCall(), Context.callDeadline()};
  if (J.Promotes)
    Context.emit(PromoteMember{J.Pending.Call, J.Session, Member, J.InTerm});
  else
    Context.emit(
        RepointMember{J.Pending.Call, J.Session, Member, J.Primary, J.InTerm});
}

std::string TermCompletion::describe(TimePoint Now) const {
  std::string Text;
  for (const auto &[Name, Poll] : this->Polls) {
    if (this->recentPoll(Name, Now) == nullptr)
      continue;
    Text += " (" + Name + " " + std::to_string(Poll.Timeline.Value) + ":" +
            Poll.logEnd().toString() + (Poll.InRecovery ? "r" : "p") +
            (Poll.isFenced() ? "f" : "") + Poll.Follows + " " +
            millisecondsUntil(Poll.SentAt + MemberPollLifetime, Now) + ")";
  }
  for (const auto &[Name, When] : this->NotBefore)
    if (When > Now)
      Text += " after " + Name + millisecondsUntil(When, Now);
  for (const auto &[Name, J] : this->Running)
    Text += " {" + Name + (J.Promotes ? " promote " : " point ") + J.Primary +
            std::to_string(J.InTerm.Value) + " " +
            std::to_string(static_cast<int>(J.Reached)) +
            describeCall("call", J.Pending, Now) + " #" +
            std::to_string(J.Session) + "}";
  return Text;
}

} // namespace lavenderdale
