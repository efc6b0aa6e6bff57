#include "promotionmodel.h"

#include <algorithm>

namespace lavenderdale::model {
namespace {

constexpr const char *Names[] = {"db-a", "db-b", "db-c", "db-d", "db-e"};

PromotionTimes modelTimes(const Defects &Faults) {
  PromotionTimes Times;
  Times.FenceWait = Faults.NoFenceWait ? Duration::zero() : Times.FenceWait;
  Times.ClaimLifetime = 3 * TimeStep;
  Times.CallTimeout = TimeStep;
  Times.RetryPause = TimeStep;
  Times.CompletionDelay = TimeStep;
  return Times;
}

/// Replaces each "#id" by its order of appearance, so that states that differ
/// only in the ids of calls are equal.
void renumberCalls(std::string &Text) {
  std::map<std::string, std::size_t> Order;
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    Out += Text[I];
    if (Text[I] != '#')
      continue;
    std::string Id;
    while (I + 1 < Text.size() && std::isdigit(Text[I + 1]) != 0)
      Id += Text[++I];
    Out += std::to_string(Order.try_emplace(Id, Order.size()).first->second);
  }
  Text = std::move(Out);
}

std::string statusText(const TermStatus &S) {
  return "v" + std::to_string(S.Version) + "t" +
         std::to_string(S.Current.Value) + S.Primary +
         std::to_string(S.Replaced.size()) +
         (S.PromotionStart ? "p" + S.PromotionStart->toString() : "") +
         std::to_string(S.History.newest().Value) +
         (S.Claim ? S.Claim->AttemptId : "");
}

/// Describes a request or reply that is in flight.
struct MessageText {
  static std::string call(CallId Call) { return "#" + std::to_string(Call); }

  std::string operator()(const ReadStatus &A) const { return call(A.Call); }
  std::string operator()(const ClaimStatus &A) const {
    return call(A.Call) + statusText(A.Status);
  }
  std::string operator()(const ReleaseClaim &A) const {
    return call(A.Call) + statusText(A.Status);
  }
  std::string operator()(const ChangeTerm &A) const {
    return call(A.Call) + statusText(A.Status);
  }
  std::string operator()(const CompleteTerm &A) const {
    return call(A.Call) + statusText(A.Status);
  }
  std::string operator()(const PromoteMember &A) const {
    return call(A.Call) + call(A.Session) + A.Member +
           std::to_string(A.NewTerm.Value);
  }
  std::string operator()(const RepointMember &A) const {
    return call(A.Call) + call(A.Session) + A.Member + A.Primary;
  }
  std::string operator()(const StatusRead &E) const {
    return call(E.Call) + statusText(*E.Status);
  }
  std::string operator()(const UpdateAnswered &E) const {
    return call(E.Call) + std::to_string(static_cast<int>(E.Outcome)) + "v" +
           std::to_string(E.NewVersion);
  }
  std::string operator()(const MemberAnswered &E) const {
    return call(E.Call) + (E.Done ? "y" : "n");
  }
  std::string operator()(const MemberPolled &E) const {
    return call(E.Call) + E.Poll.Upstream + (E.Poll.isFenced() ? "f" : "") +
           std::to_string(E.Poll.Timeline.Value) + E.Poll.logEnd().toString() +
           E.Poll.Follows;
  }
  template <typename T> std::string operator()(const T &Other) const {
    if constexpr (requires { Other.Member; })
      return call(Other.Call) + Other.Member;
    return {};
  }
};

} // namespace

GroupModel::GroupModel(const Bounds &Limits, const Defects &Faults)
    : Remaining(Limits), Faults(Faults),
      Now(TimePoint() + std::chrono::hours(1)) {
  this->Status.Version = 1;
  this->Status.Current = Term{1};
  this->Status.Primary = Names[0];
  (void)this->Status.History.append(Term{1}, {});
  std::vector<std::string> AllNames(Names, Names + Limits.Members);
  for (const std::string &Name : AllNames) {
    Member M;
    M.Name = Name;
    M.InRecovery = Name != this->Status.Primary;
    M.Follows = M.InRecovery ? this->Status.Primary : "";
    this->Members.push_back(M);
  }
  if (Limits.ReplicaAhead)
    this->Members[0].Log = this->Members[2].Log = {++this->LastWrite};
  if (Limits.ReplicaFenced)
    this->Members[1].Follows.clear();
  for (unsigned I = 0; I < Limits.Watchers; ++I) {
    this->Watchers.emplace_back("w" + std::to_string(I), "1",
                                modelTimes(Faults));
    this->Watchers.back().setMembers(AllNames, this->Now,
                                     Limits.PrimaryLeaving
                                         ? std::set<std::string>{Names[0]}
                                         : std::set<std::string>());
    this->Descriptions.push_back(this->Watchers.back().describe(this->Now) +
                                 " ");
  }
  this->Holders.emplace_back().setView({Term{1}, Names[0], AllNames, Term{1}});
  this->recordPrimary(Term{1}, Names[0]);
  this->observe();
}

GroupModel::Member &GroupModel::member(const std::string &Name) {
  return *std::find_if(this->Members.begin(), this->Members.end(),
                       [&](const Member &M) { return M.Name == Name; });
}

const GroupModel::Member &GroupModel::member(const std::string &Name) const {
  return const_cast<GroupModel *>(this)->member(Name);
}

ReplicaPoll GroupModel::poll(const Member &M) const {
  ReplicaPoll Poll;
  Poll.Upstream = M.Name;
  Poll.SentAt = this->Now;
  Poll.Timeline = M.Timeline;
  Poll.ReceivePosition = {M.Log.size()};
  Poll.InRecovery = M.InRecovery;
  Poll.PrimaryConninfoSet = !M.Follows.empty();
  Poll.ReceiverRunning = !M.Follows.empty();
  Poll.Follows = M.CatchesUp ? "" : M.Follows;
  return Poll;
}

/// Executes a request at the platform or a member and returns its answer.
struct GroupModel::Executor {
  GroupModel &Model;
  std::size_t Sender;

  PromotionEvent operator()(const ReadStatus &A) const {
    return StatusRead{A.Call, Model.Status};
  }
  PromotionEvent operator()(const ClaimStatus &A) const {
    return this->store(A.Call, A.Status);
  }
  PromotionEvent operator()(const ReleaseClaim &A) const {
    return this->store(A.Call, A.Status);
  }
  PromotionEvent operator()(const ChangeTerm &A) const {
    const UpdateAnswered Answer = this->store(A.Call, A.Status);
    if (Answer.Outcome == UpdateOutcome::Done) {
      const std::vector<unsigned> &Log = Model.member(A.Status.Primary).Log;
      for (const unsigned Write : Model.Acknowledged)
        if (std::find(Log.begin(), Log.end(), Write) == Log.end())
          Model.reportViolation(
              "acknowledged write missing from the chosen primary");
      GroupView View = Model.Holders.back().view();
      View.Current = A.Status.Current;
      View.Primary = A.Status.Primary;
      View.Timeline = {};
      Model.Holders.emplace_back().setView(View);
    }
    return Answer;
  }
  PromotionEvent operator()(const CompleteTerm &A) const {
    const UpdateAnswered Answer = this->store(A.Call, A.Status);
    if (Answer.Outcome == UpdateOutcome::Done)
      Model.complete(A.Status);
    return Answer;
  }
  UpdateAnswered store(CallId Call, const TermStatus &New) const {
    if (New.Version != Model.Status.Version && !Model.Faults.VersionsIgnored)
      return {Call, UpdateOutcome::Conflict};
    const std::uint64_t Version = Model.Status.Version + 1;
    Model.Status = New;
    Model.Status.Version = Version;
    return {Call, UpdateOutcome::Done, Version};
  }
  PromotionEvent operator()(const EndControlSessions &A) const {
    if (!Model.Faults.SessionsSurvive)
      Model.member(A.Member).Sessions.clear();
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const FenceMember &A) const {
    Member &M = Model.member(A.Member);
    M.Follows.clear();
    M.CatchesUp = false;
    return MemberAnswered{A.Call, M.InRecovery};
  }
  PromotionEvent operator()(const PollMember &A) const {
    ReplicaPoll Poll = Model.poll(Model.member(A.Member));
    if (Model.Faults.PositionsHidden ||
        (Model.Faults.NoCatchUp && !Poll.InRecovery))
      Poll.ReceivePosition = {};
    return MemberPolled{A.Call, Poll};
  }
  PromotionEvent operator()(const OpenControlSession &A) const {
    Model.member(A.Member).Sessions.emplace(Sender, A.Call);
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const PromoteMember &A) const {
    Member &M = Model.member(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0)
      return MemberAnswered{A.Call, false};
    if (M.InRecovery) {
      M.InRecovery = false;
      M.Follows.clear();
      // PostgreSQL uses the highest timeline whose history the member has, plus
      // one.
      M.Timeline = M.Timeline.next();
      Model.recordPrimary(A.NewTerm, M.Name);
    }
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const RepointMember &A) const {
    Member &M = Model.member(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0 || !M.InRecovery)
      return MemberAnswered{A.Call, false};
    M.Follows = A.Primary;
    M.CatchesUp = false;
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const CatchUpMember &A) const {
    Member &M = Model.member(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0 || !M.InRecovery)
      return MemberAnswered{A.Call, false};
    M.Follows = A.Primary;
    M.CatchesUp = true;
    return MemberAnswered{A.Call, true};
  }
  template <typename T> PromotionEvent operator()(const T & /*Report*/) const {
    return Tick{};
  }
};

void GroupModel::deliver(std::size_t Watcher, const PromotionEvent &Event) {
  for (PromotionAction &A : this->Watchers[Watcher].handle(Event, this->Now)) {
    // A command may be in flight already when its session is closed, so closing
    // has no effect; sessions last until they are used or ended.
    const bool IsRequest = !std::holds_alternative<CloseControlSession>(A) &&
                           !std::holds_alternative<Finished>(A) &&
                           !std::holds_alternative<GiveUp>(A);
    if (IsRequest)
      this->Requests.push_back({Watcher, std::move(A)});
  }
  this->Descriptions[Watcher] =
      this->Watchers[Watcher].describe(this->Now) + " ";
}

/// Tells the holder of the current term the timeline of its primary.
void GroupModel::complete(const TermStatus &Stored) {
  GroupView View = this->Holders.back().view();
  if (View.Current != Stored.Current)
    return;
  View.Timeline = Stored.timeline();
  this->Holders.back().setView(View);
}

void GroupModel::tick(std::size_t Watcher, bool Suspected) {
  for (const Member &M : this->Members)
    if (!M.Failed)
      this->deliver(Watcher, MemberSeen{this->poll(M)});
  this->deliver(Watcher, EvidenceCombined{this->Status.Current, Suspected});
  this->deliver(Watcher, StatusSeen{this->Status});
  this->deliver(Watcher, Tick{});
}

/// Drops messages that cannot change the state any more: answers that are not
/// awaited, and requests whose answer is not awaited and whose only other
/// effect may be the end of sessions.
void GroupModel::dropIneffective() {
  const auto IsAwaited = [&](std::size_t Watcher, CallId Call) {
    return this->Descriptions[Watcher].find("#" + std::to_string(Call) + " ") !=
           std::string::npos;
  };
  const auto IsIneffective = [&](const Request &R) {
    return std::visit(
        [&](const auto &A) {
          using T = std::decay_t<decltype(A)>;
          constexpr bool OnlyAnswers = std::is_same_v<T, ReadStatus> ||
                                       std::is_same_v<T, PollMember> ||
                                       std::is_same_v<T, OpenControlSession> ||
                                       std::is_same_v<T, EndControlSessions>;
          if constexpr (OnlyAnswers)
            return !IsAwaited(R.Watcher, A.Call);
          else
            return false;
        },
        R.Action);
  };
  std::erase_if(this->Requests, IsIneffective);
  std::erase_if(this->DelayedRequests, IsIneffective);
  std::erase_if(this->Replies, [&](const Reply &R) {
    return std::visit(
        [&](const auto &E) {
          if constexpr (requires { E.Call; })
            return !IsAwaited(R.Watcher, E.Call);
          else
            return true;
        },
        R.Event);
  });
}

bool GroupModel::canReplicate(const Member &M) const {
  if (!M.InRecovery || M.Follows.empty())
    return false;
  const Member &From = this->member(M.Follows);
  return !M.Failed && !From.Failed && M.Timeline <= From.Timeline &&
         M.Log.size() <= From.Log.size() &&
         std::equal(M.Log.begin(), M.Log.end(), From.Log.begin()) &&
         (M.Timeline != From.Timeline || M.Log != From.Log);
}

void GroupModel::replicate(Member &M) {
  const Member &From = this->member(M.Follows);
  M.Log = From.Log;
  M.Timeline = From.Timeline;
}

/// Whether the member has lost writes or is a former primary. It cannot follow
/// the current primary then, and the platform rebuilds it.
bool GroupModel::needsRebuild(const Member &M) const {
  const Member &Primary = this->member(this->Status.Primary);
  if (Primary.InRecovery || Primary.Failed || M.Failed || &M == &Primary ||
      Primary.Timeline != this->Status.timeline() || !this->isWritable())
    return false;
  const WriteStatus LogStatus =
      this->Status.History.writeStatus({M.Timeline, {M.Log.size()}});
  return !M.InRecovery || LogStatus != WriteStatus::Survived;
}

void GroupModel::rebuild(Member &M) {
  const Member &From = this->member(this->Status.Primary);
  M.InRecovery = true;
  M.Log = From.Log;
  M.Timeline = From.Timeline;
  M.Follows = From.Name;
  M.CatchesUp = false;
  M.Sessions.clear();
}

bool GroupModel::hasRequests(std::size_t Watcher) const {
  return std::any_of(this->Requests.begin(), this->Requests.end(),
                     [&](const Request &R) { return R.Watcher == Watcher; });
}

GroupModel::Request GroupModel::takeOldest(std::size_t Watcher) {
  const auto Oldest =
      std::find_if(this->Requests.begin(), this->Requests.end(),
                   [&](const Request &R) { return R.Watcher == Watcher; });
  Request Taken = std::move(*Oldest);
  this->Requests.erase(Oldest);
  return Taken;
}

void GroupModel::execute(const Request &R, bool AnswerNow) {
  const PromotionEvent Event = std::visit(
      [&](const auto &A) -> PromotionEvent {
        if constexpr (requires { A.Member; })
          if (this->member(A.Member).Failed)
            return MemberAnswered{A.Call, false};
        return Executor{*this, R.Watcher}(A);
      },
      R.Action);
  this->observe();
  if (AnswerNow)
    this->deliver(R.Watcher, Event);
  else
    this->Replies.push_back({R.Watcher, Event});
}

std::vector<Step> GroupModel::steps() const {
  using enum Step::Kind;
  std::vector<Step> Steps;
  for (std::size_t I = 0; I < this->DelayedRequests.size(); ++I)
    Steps.push_back({RunDelayedRequest, I});
  for (std::size_t I = 0; I < this->Replies.size(); ++I)
    Steps.push_back({DeliverDelayedAnswer, I});
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    if (this->hasRequests(I)) {
      Steps.push_back({Execute, I});
      if (this->Remaining.Delays > 0) {
        Steps.push_back({DelayRequest, I});
        Steps.push_back({DelayAnswer, I});
      }
      continue;
    }
    if (this->Remaining.Ticks > 0)
      Steps.push_back({Step::Kind::Tick, I});
    if (this->Remaining.UnsuspectingTicks > 0)
      Steps.push_back({UnsuspectingTick, I});
  }
  for (std::size_t I = 0; I < this->Members.size(); ++I) {
    const Member &M = this->Members[I];
    const bool IsChosen =
        M.Name == this->Status.Primary && this->Status.PromotionStart;
    if (this->Remaining.MemberFailures > 0 && IsChosen && !M.Failed)
      Steps.push_back({MemberFailure, I});
    if (!M.InRecovery && !M.Failed && this->Remaining.Writes > 0)
      Steps.push_back({Write, I});
    if (this->Remaining.Replications > 0 && this->canReplicate(M))
      Steps.push_back({Replicate, I});
    if (this->Remaining.Rebuilds > 0 && this->needsRebuild(M))
      Steps.push_back({Rebuild, I});
  }
  if (this->Remaining.TimeSteps > 0)
    Steps.push_back({Time});
  return Steps;
}

void GroupModel::apply(const Step &S) {
  using enum Step::Kind;
  const Bounds Limits = this->Remaining;
  switch (S.What) {
  case Execute:
    this->execute(this->takeOldest(S.Index), true);
    break;
  case DelayAnswer:
    --this->Remaining.Delays;
    this->execute(this->takeOldest(S.Index), false);
    break;
  case DelayRequest:
    --this->Remaining.Delays;
    this->DelayedRequests.push_back(this->takeOldest(S.Index));
    break;
  case RunDelayedRequest: {
    const Request R = this->DelayedRequests[S.Index];
    this->DelayedRequests.erase(this->DelayedRequests.begin() +
                                static_cast<std::ptrdiff_t>(S.Index));
    this->execute(R, true);
    break;
  }
  case DeliverDelayedAnswer: {
    const Reply R = this->Replies[S.Index];
    this->Replies.erase(this->Replies.begin() +
                        static_cast<std::ptrdiff_t>(S.Index));
    this->deliver(R.Watcher, R.Event);
    break;
  }
  case Step::Kind::Tick:
    if (Limits.Ticks != Bounds::Unlimited)
      --this->Remaining.Ticks;
    this->tick(S.Index, !Limits.PrimaryLeaving &&
                            this->Status.Current.Value < Limits.MaxTerm);
    break;
  case UnsuspectingTick:
    --this->Remaining.UnsuspectingTicks;
    this->tick(S.Index, this->member(this->Status.Primary).Failed);
    break;
  case Time:
    --this->Remaining.TimeSteps;
    this->Now += TimeStep;
    for (std::size_t I = 0; I < this->Watchers.size(); ++I)
      this->Descriptions[I] = this->Watchers[I].describe(this->Now) + " ";
    break;
  case Write:
    --this->Remaining.Writes;
    this->Members[S.Index].Log.push_back(++this->LastWrite);
    break;
  case Replicate:
    --this->Remaining.Replications;
    this->replicate(this->Members[S.Index]);
    break;
  case Rebuild:
    --this->Remaining.Rebuilds;
    this->rebuild(this->Members[S.Index]);
    break;
  case MemberFailure:
    --this->Remaining.MemberFailures;
    this->Members[S.Index].Failed = true;
    this->Members[S.Index].Sessions.clear();
    break;
  }
  this->dropIneffective();
  this->observe();
}

void GroupModel::runPrefix(std::size_t Watcher, unsigned Requests) {
  this->apply({Step::Kind::Tick, Watcher});
  for (unsigned I = 0; I <= Requests; ++I) {
    if (!this->hasRequests(Watcher)) {
      this->apply({Step::Kind::Time});
      this->apply({Step::Kind::Tick, Watcher});
    }
    const bool Last = I == Requests;
    this->apply(
        {Last ? Step::Kind::DelayRequest : Step::Kind::Execute, Watcher});
  }
}

/// Whether enough members are up and can be fenced to replace the primary.
bool GroupModel::canBeReplaced() const {
  const auto Count = std::count_if(
      this->Members.begin(), this->Members.end(), [&](const Member &M) {
        return !M.Failed && M.InRecovery && M.Name != this->Status.Primary &&
               this->Status.History.writeStatus({M.Timeline, {M.Log.size()}}) ==
                   WriteStatus::Survived;
      });
  return static_cast<std::size_t>(Count) >=
         failoverlimits::fenceQuorum(this->Members.size());
}

void GroupModel::recover(unsigned TimeSteps) {
  if (!this->canBeReplaced())
    for (Member &M : this->Members)
      M.Failed = false;
  this->Remaining = {};
  this->Remaining.TimeSteps = TimeSteps;
  this->Remaining.UnsuspectingTicks = TimeSteps * this->Remaining.Watchers * 2;
  this->Remaining.Replications = this->Remaining.UnsuspectingTicks * 2;
  for (unsigned T = 0; T < TimeSteps; ++T) {
    for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
      this->apply({Step::Kind::UnsuspectingTick, I});
      while (this->hasRequests(I))
        this->apply({Step::Kind::Execute, I});
    }
    for (Member &M : this->Members) {
      if (this->needsRebuild(M))
        this->rebuild(M);
      if (this->canReplicate(M))
        this->replicate(M);
    }
    this->apply({Step::Kind::Time});
    this->observe();
  }
}

/// Checks that no replica is on a timeline with the primary's number but of
/// another origin, which shows in a different log.
void GroupModel::checkReplicas() {
  const Member &Primary = this->member(this->Status.Primary);
  for (const Member &M : this->Members) {
    const bool Follows = M.InRecovery && M.Follows == Primary.Name &&
                         M.Timeline == this->Status.timeline();
    if (Follows && Primary.Timeline == M.Timeline &&
        (M.Log.size() > Primary.Log.size() ||
         !std::equal(M.Log.begin(), M.Log.end(), Primary.Log.begin())))
      this->reportViolation(
          "replica of the primary's timeline with another log");
  }
}

void GroupModel::observe() {
  this->checkReplicas();
  for (WritePermission &Holder : this->Holders)
    this->observe(Holder);
}

/// Models the worst case for \p Holder: it polls whenever that extends its
/// permission, and always has an answer of its primary to acknowledge.
void GroupModel::observe(WritePermission &Holder) {
  const GroupView View = Holder.view();
  for (const Member &M : this->Members) {
    ReplicaPoll Poll = this->poll(M);
    if (this->Faults.FollowsIgnored && Poll.PrimaryConninfoSet)
      Poll.Follows = View.Primary;
    if (!M.Failed && Poll.InRecovery && Poll.Timeline == View.Timeline &&
        Poll.Follows == View.Primary)
      Holder.replicaPolled(Poll);
  }
  const Member &Primary = this->member(View.Primary);
  const bool IsPrimary = !Primary.InRecovery && !Primary.Failed &&
                         View.Timeline.Value != 0 &&
                         Primary.Timeline == View.Timeline;
  if (IsPrimary)
    this->Answered[View.Current] = this->Now;
  const auto Answer = this->Answered.find(View.Current);
  if (Answer == this->Answered.end())
    return;
  const auto MayAcknowledge = [&](std::size_t Commit, AcknowledgeMode Mode) {
    return Holder.decide(View.Timeline, {Commit}, Mode, Answer->second,
                         this->Now) == AcknowledgeDecision::Acknowledge;
  };
  if (this->Status.Current > View.Current &&
      MayAcknowledge(0, AcknowledgeMode::Primary))
    this->reportViolation("acknowledgement after the change of term");
  // A planned change must not even lose writes that were acknowledged without a
  // replica.
  const AcknowledgeMode Kept = this->Remaining.PrimaryLeaving
                                   ? AcknowledgeMode::Primary
                                   : AcknowledgeMode::Replica;
  for (std::size_t I = 0; IsPrimary && I < Primary.Log.size(); ++I)
    if (MayAcknowledge(I + 1, Kept))
      this->Acknowledged.insert(Primary.Log[I]);
}

void GroupModel::recordPrimary(Term InTerm, const std::string &Name) {
  const auto Entry = this->Primaries.try_emplace(InTerm, Name).first;
  if (Entry->second != Name)
    this->reportViolation("two primaries of one term");
}

void GroupModel::reportViolation(const std::string &What) {
  if (this->Violation.empty())
    this->Violation = What;
}

bool GroupModel::isWritable() const {
  const WritePermission &Holder = this->Holders.back();
  const Member &Primary = this->member(this->Status.Primary);
  return !Primary.InRecovery && !Primary.Failed &&
         Primary.Timeline == this->Status.timeline() &&
         Holder.mayStart(this->Now);
}

std::string GroupModel::key() const {
  std::string Key = statusText(this->Status) + " left" +
                    std::to_string(this->Remaining.TimeSteps) + "," +
                    std::to_string(this->Remaining.Writes) + "," +
                    std::to_string(this->Remaining.Replications) + "," +
                    std::to_string(this->Remaining.Delays) + "," +
                    std::to_string(this->Remaining.Rebuilds) + "," +
                    std::to_string(this->Remaining.MemberFailures) + "," +
                    std::to_string(this->Remaining.UnsuspectingTicks) + "," +
                    std::to_string(this->Remaining.Ticks);
  for (const Member &M : this->Members) {
    Key += "|" + M.Name + (M.InRecovery ? "r" : "p") + (M.Failed ? "d" : "") +
           std::to_string(M.Timeline.Value) + M.Follows +
           (M.CatchesUp ? "c" : "") + ":";
    for (const unsigned Write : M.Log)
      Key += std::to_string(Write) + ",";
  }
  for (const WritePermission &Holder : this->Holders) {
    const auto Until = Holder.deadline(Holder.view().Timeline);
    const auto Remaining = Until ? *Until - this->Now : Duration::zero();
    Key += "|" + std::to_string(std::max<std::int64_t>(Remaining.count(), 0));
    const bool Lapsed =
        Holder.decide(Holder.view().Timeline, {}, AcknowledgeMode::Primary,
                      this->Answered.contains(Holder.view().Current)
                          ? this->Answered.at(Holder.view().Current)
                          : TimePoint(),
                      this->Now) != AcknowledgeDecision::Acknowledge;
    Key += Lapsed ? "l" : "";
  }
  for (const unsigned Write : this->Acknowledged)
    Key += "a" + std::to_string(Write);
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    std::string Part = this->Descriptions[I];
    for (const Request &R : this->Requests)
      if (R.Watcher == I)
        Part += ";" + std::to_string(R.Action.index()) +
                std::visit(MessageText(), R.Action);
    for (const Request &R : this->DelayedRequests)
      if (R.Watcher == I)
        Part += ";h" + std::to_string(R.Action.index()) +
                std::visit(MessageText(), R.Action);
    for (const Reply &R : this->Replies)
      if (R.Watcher == I)
        Part += ";r" + std::to_string(R.Event.index()) +
                std::visit(MessageText(), R.Event);
    for (const Member &M : this->Members)
      for (const auto &[Owner, Session] : M.Sessions)
        if (Owner == I)
          Part += ";s" + M.Name + "#" + std::to_string(Session);
    renumberCalls(Part);
    Key += "|" + Part;
  }
  return Key;
}

} // namespace lavenderdale::model
