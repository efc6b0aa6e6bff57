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

/// Replaces each "#id" by its order of appearance: ids themselves mean
/// nothing.
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

/// Identifies a request or reply under way.
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
  std::string operator()(const PointMember &A) const {
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

World::World(const Bounds &Limits, const Defects &Faults)
    : Left(Limits), Faults(Faults), Now(TimePoint() + std::chrono::hours(1)) {
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
  if (Limits.LeftFenced)
    this->Members[1].Follows.clear();
  for (unsigned I = 0; I < Limits.Watchers; ++I) {
    this->Watchers.emplace_back("w" + std::to_string(I), "1",
                                modelTimes(Faults));
    this->Watchers.back().setMembers(AllNames, this->Now,
                                     Limits.PrimaryLeaving
                                         ? std::set<std::string>{Names[0]}
                                         : std::set<std::string>());
    this->Texts.push_back(this->Watchers.back().describe(this->Now) + " ");
  }
  this->Holders.emplace_back().setView({Term{1}, Names[0], AllNames, Term{1}});
  this->recordPrimary(Term{1}, Names[0]);
  this->observe();
}

World::Member &World::member(const std::string &Name) {
  return *std::find_if(this->Members.begin(), this->Members.end(),
                       [&](const Member &M) { return M.Name == Name; });
}

const World::Member &World::member(const std::string &Name) const {
  return const_cast<World *>(this)->member(Name);
}

ReplicaPoll World::poll(const Member &M) const {
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
struct World::Executor {
  World &W;
  std::size_t Sender;

  PromotionEvent operator()(const ReadStatus &A) const {
    return StatusRead{A.Call, W.Status};
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
      const std::vector<unsigned> &Log = W.member(A.Status.Primary).Log;
      for (const unsigned Write : W.Acknowledged)
        if (std::find(Log.begin(), Log.end(), Write) == Log.end())
          W.violate("acknowledged write missing from the chosen primary");
      GroupView View = W.Holders.back().view();
      View.Current = A.Status.Current;
      View.Primary = A.Status.Primary;
      View.Timeline = {};
      W.Holders.emplace_back().setView(View);
    }
    return Answer;
  }
  PromotionEvent operator()(const CompleteTerm &A) const {
    const UpdateAnswered Answer = this->store(A.Call, A.Status);
    if (Answer.Outcome == UpdateOutcome::Done)
      W.complete(A.Status);
    return Answer;
  }
  UpdateAnswered store(CallId Call, const TermStatus &New) const {
    if (New.Version != W.Status.Version && !W.Faults.VersionsIgnored)
      return {Call, UpdateOutcome::Conflict};
    const std::uint64_t Version = W.Status.Version + 1;
    W.Status = New;
    W.Status.Version = Version;
    return {Call, UpdateOutcome::Done, Version};
  }
  PromotionEvent operator()(const EndControlSessions &A) const {
    if (!W.Faults.SessionsSurvive)
      W.member(A.Member).Sessions.clear();
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const FenceMember &A) const {
    Member &M = W.member(A.Member);
    M.Follows.clear();
    M.CatchesUp = false;
    return MemberAnswered{A.Call, M.InRecovery};
  }
  PromotionEvent operator()(const PollMember &A) const {
    ReplicaPoll Poll = W.poll(W.member(A.Member));
    if (W.Faults.PositionsHidden || (W.Faults.NoCatchUp && !Poll.InRecovery))
      Poll.ReceivePosition = {};
    return MemberPolled{A.Call, Poll};
  }
  PromotionEvent operator()(const OpenControlSession &A) const {
    W.member(A.Member).Sessions.emplace(Sender, A.Call);
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const PromoteMember &A) const {
    Member &M = W.member(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0)
      return MemberAnswered{A.Call, false};
    if (M.InRecovery) {
      M.InRecovery = false;
      M.Follows.clear();
      // The highest timeline that the member has the history of, plus one.
      M.Timeline = M.Timeline.next();
      W.recordPrimary(A.NewTerm, M.Name);
    }
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const PointMember &A) const {
    Member &M = W.member(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0 || !M.InRecovery)
      return MemberAnswered{A.Call, false};
    M.Follows = A.Primary;
    M.CatchesUp = false;
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const CatchUpMember &A) const {
    Member &M = W.member(A.Member);
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

void World::deliver(std::size_t Watcher, const PromotionEvent &Event) {
  for (PromotionAction &A : this->Watchers[Watcher].handle(Event, this->Now)) {
    // A closed session's command may be on its way already, so sessions stay
    // until they are used or ended.
    const bool IsRequest = !std::holds_alternative<CloseControlSession>(A) &&
                           !std::holds_alternative<Finished>(A) &&
                           !std::holds_alternative<GiveUp>(A);
    if (IsRequest)
      this->Requests.push_back({Watcher, std::move(A)});
  }
  this->Texts[Watcher] = this->Watchers[Watcher].describe(this->Now) + " ";
}

/// The holder of the term learns the timeline of its primary.
void World::complete(const TermStatus &Stored) {
  GroupView View = this->Holders.back().view();
  if (View.Current != Stored.Current)
    return;
  View.Timeline = Stored.timeline();
  this->Holders.back().setView(View);
}

void World::tick(std::size_t Watcher, bool Suspected) {
  for (const Member &M : this->Members)
    if (!M.Dead)
      this->deliver(Watcher, MemberSeen{this->poll(M)});
  this->deliver(Watcher, EvidenceCombined{this->Status.Current, Suspected});
  this->deliver(Watcher, StatusSeen{this->Status});
  this->deliver(Watcher, Tick{});
}

/// Drops what can change nothing any more: answers that nobody awaits, and
/// requests that nobody awaits and that have no effect but their answer or the
/// end of sessions.
void World::dropAbandoned() {
  const auto IsAwaited = [&](std::size_t Watcher, CallId Call) {
    return this->Texts[Watcher].find("#" + std::to_string(Call) + " ") !=
           std::string::npos;
  };
  const auto IsIdle = [&](const Request &R) {
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
  std::erase_if(this->Requests, IsIdle);
  std::erase_if(this->Held, IsIdle);
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

bool World::canPull(const Member &M) const {
  if (!M.InRecovery || M.Follows.empty())
    return false;
  const Member &From = this->member(M.Follows);
  return !M.Dead && !From.Dead && M.Timeline <= From.Timeline &&
         M.Log.size() <= From.Log.size() &&
         std::equal(M.Log.begin(), M.Log.end(), From.Log.begin()) &&
         (M.Timeline != From.Timeline || M.Log != From.Log);
}

void World::pull(Member &M) {
  const Member &From = this->member(M.Follows);
  M.Log = From.Log;
  M.Timeline = From.Timeline;
}

/// Whether the member holds writes that were lost, or is a replaced primary:
/// it cannot follow the current primary, and the platform rebuilds it.
bool World::needsRejoin(const Member &M) const {
  const Member &Primary = this->member(this->Status.Primary);
  if (Primary.InRecovery || Primary.Dead || M.Dead || &M == &Primary ||
      Primary.Timeline != this->Status.timeline() || !this->isWritable())
    return false;
  const WriteFate Fate =
      this->Status.History.fate({M.Timeline, {M.Log.size()}});
  return !M.InRecovery || Fate != WriteFate::Survived;
}

void World::rejoin(Member &M) {
  const Member &From = this->member(this->Status.Primary);
  M.InRecovery = true;
  M.Log = From.Log;
  M.Timeline = From.Timeline;
  M.Follows = From.Name;
  M.CatchesUp = false;
  M.Sessions.clear();
}

bool World::hasRequests(std::size_t Watcher) const {
  return std::any_of(this->Requests.begin(), this->Requests.end(),
                     [&](const Request &R) { return R.Watcher == Watcher; });
}

World::Request World::takeOldest(std::size_t Watcher) {
  const auto Oldest =
      std::find_if(this->Requests.begin(), this->Requests.end(),
                   [&](const Request &R) { return R.Watcher == Watcher; });
  Request Taken = std::move(*Oldest);
  this->Requests.erase(Oldest);
  return Taken;
}

void World::execute(const Request &R, bool AnswerNow) {
  const PromotionEvent Event = std::visit(
      [&](const auto &A) -> PromotionEvent {
        if constexpr (requires { A.Member; })
          if (this->member(A.Member).Dead)
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

std::vector<Step> World::steps() const {
  using enum Step::Kind;
  std::vector<Step> Steps;
  for (std::size_t I = 0; I < this->Held.size(); ++I)
    Steps.push_back({ReleaseRequest, I});
  for (std::size_t I = 0; I < this->Replies.size(); ++I)
    Steps.push_back({ReleaseAnswer, I});
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    if (this->hasRequests(I)) {
      Steps.push_back({Execute, I});
      if (this->Left.Delays > 0) {
        Steps.push_back({HoldRequest, I});
        Steps.push_back({HoldAnswer, I});
      }
      continue;
    }
    if (this->Left.Ticks > 0)
      Steps.push_back({Step::Kind::Tick, I});
    if (this->Left.QuietTicks > 0)
      Steps.push_back({QuietTick, I});
  }
  for (std::size_t I = 0; I < this->Members.size(); ++I) {
    const Member &M = this->Members[I];
    const bool IsChosen =
        M.Name == this->Status.Primary && this->Status.PromotionStart;
    if (this->Left.Deaths > 0 && IsChosen && !M.Dead)
      Steps.push_back({Death, I});
    if (!M.InRecovery && !M.Dead && this->Left.Writes > 0)
      Steps.push_back({Write, I});
    if (this->Left.Pulls > 0 && this->canPull(M))
      Steps.push_back({Pull, I});
    if (this->Left.Rejoins > 0 && this->needsRejoin(M))
      Steps.push_back({Rejoin, I});
  }
  if (this->Left.TimeSteps > 0)
    Steps.push_back({Time});
  return Steps;
}

void World::apply(const Step &S) {
  using enum Step::Kind;
  const Bounds Limits = this->Left;
  switch (S.What) {
  case Execute:
    this->execute(this->takeOldest(S.Index), true);
    break;
  case HoldAnswer:
    --this->Left.Delays;
    this->execute(this->takeOldest(S.Index), false);
    break;
  case HoldRequest:
    --this->Left.Delays;
    this->Held.push_back(this->takeOldest(S.Index));
    break;
  case ReleaseRequest: {
    const Request R = this->Held[S.Index];
    this->Held.erase(this->Held.begin() + static_cast<std::ptrdiff_t>(S.Index));
    this->execute(R, true);
    break;
  }
  case ReleaseAnswer: {
    const Reply R = this->Replies[S.Index];
    this->Replies.erase(this->Replies.begin() +
                        static_cast<std::ptrdiff_t>(S.Index));
    this->deliver(R.Watcher, R.Event);
    break;
  }
  case Step::Kind::Tick:
    if (Limits.Ticks != Bounds::Unlimited)
      --this->Left.Ticks;
    this->tick(S.Index, !Limits.PrimaryLeaving &&
                            this->Status.Current.Value < Limits.MaxTerm);
    break;
  case QuietTick:
    --this->Left.QuietTicks;
    this->tick(S.Index, this->member(this->Status.Primary).Dead);
    break;
  case Time:
    --this->Left.TimeSteps;
    this->Now += TimeStep;
    for (std::size_t I = 0; I < this->Watchers.size(); ++I)
      this->Texts[I] = this->Watchers[I].describe(this->Now) + " ";
    break;
  case Write:
    --this->Left.Writes;
    this->Members[S.Index].Log.push_back(++this->LastWrite);
    break;
  case Pull:
    --this->Left.Pulls;
    this->pull(this->Members[S.Index]);
    break;
  case Rejoin:
    --this->Left.Rejoins;
    this->rejoin(this->Members[S.Index]);
    break;
  case Death:
    --this->Left.Deaths;
    this->Members[S.Index].Dead = true;
    this->Members[S.Index].Sessions.clear();
    break;
  }
  this->dropAbandoned();
  this->observe();
}

void World::runPrefix(std::size_t Watcher, unsigned Requests) {
  this->apply({Step::Kind::Tick, Watcher});
  for (unsigned I = 0; I <= Requests; ++I) {
    if (!this->hasRequests(Watcher)) {
      this->apply({Step::Kind::Time});
      this->apply({Step::Kind::Tick, Watcher});
    }
    const bool Last = I == Requests;
    this->apply(
        {Last ? Step::Kind::HoldRequest : Step::Kind::Execute, Watcher});
  }
}

/// Whether enough live members can be fenced to replace the primary.
bool World::canBeReplaced() const {
  const auto Count = std::count_if(
      this->Members.begin(), this->Members.end(), [&](const Member &M) {
        return !M.Dead && M.InRecovery && M.Name != this->Status.Primary &&
               this->Status.History.fate({M.Timeline, {M.Log.size()}}) ==
                   WriteFate::Survived;
      });
  return static_cast<std::size_t>(Count) >=
         failoverlimits::fenceQuorum(this->Members.size());
}

void World::settle(unsigned TimeSteps) {
  if (!this->canBeReplaced())
    for (Member &M : this->Members)
      M.Dead = false;
  this->Left = {};
  this->Left.TimeSteps = TimeSteps;
  this->Left.QuietTicks = TimeSteps * this->Left.Watchers * 2;
  this->Left.Pulls = this->Left.QuietTicks * 2;
  for (unsigned T = 0; T < TimeSteps; ++T) {
    for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
      this->apply({Step::Kind::QuietTick, I});
      while (this->hasRequests(I))
        this->apply({Step::Kind::Execute, I});
    }
    for (Member &M : this->Members) {
      if (this->needsRejoin(M))
        this->rejoin(M);
      if (this->canPull(M))
        this->pull(M);
    }
    this->apply({Step::Kind::Time});
    this->observe();
  }
}

/// A replica whose timeline has the number of the primary's but another
/// origin would have another log.
void World::checkReplicas() {
  const Member &Primary = this->member(this->Status.Primary);
  for (const Member &M : this->Members) {
    const bool Follows = M.InRecovery && M.Follows == Primary.Name &&
                         M.Timeline == this->Status.timeline();
    if (Follows && Primary.Timeline == M.Timeline &&
        (M.Log.size() > Primary.Log.size() ||
         !std::equal(M.Log.begin(), M.Log.end(), Primary.Log.begin())))
      this->violate("replica of the primary's timeline with another log");
  }
}

void World::observe() {
  this->checkReplicas();
  for (WritePermission &Holder : this->Holders)
    this->observe(Holder);
}

/// The holder of a term's primary polls exactly when it gains by it, and an
/// answer of its primary is always waiting to be acknowledged.
void World::observe(WritePermission &Holder) {
  const GroupView View = Holder.view();
  for (const Member &M : this->Members) {
    ReplicaPoll Poll = this->poll(M);
    if (this->Faults.FollowsIgnored && Poll.PrimaryConninfoSet)
      Poll.Follows = View.Primary;
    if (!M.Dead && Poll.InRecovery && Poll.Timeline == View.Timeline &&
        Poll.Follows == View.Primary)
      Holder.replicaPolled(Poll);
  }
  const Member &Primary = this->member(View.Primary);
  const bool IsPrimary = !Primary.InRecovery && !Primary.Dead &&
                         View.Timeline.Value != 0 &&
                         Primary.Timeline == View.Timeline;
  if (IsPrimary)
    this->Answered[View.Current] = this->Now;
  const auto Answer = this->Answered.find(View.Current);
  if (Answer == this->Answered.end())
    return;
  const auto MayAcknowledge = [&](std::size_t Commit, AcknowledgeMode Mode) {
    return Holder.decide(View.Timeline, {Commit}, Mode, Answer->second,
                         this->Now) == AckDecision::Acknowledge;
  };
  if (this->Status.Current > View.Current &&
      MayAcknowledge(0, AcknowledgeMode::Primary))
    this->violate("acknowledgement after the change of term");
  // A planned change loses no write that the primary alone acknowledged.
  const AcknowledgeMode Kept = this->Left.PrimaryLeaving
                                   ? AcknowledgeMode::Primary
                                   : AcknowledgeMode::Replica;
  for (std::size_t I = 0; IsPrimary && I < Primary.Log.size(); ++I)
    if (MayAcknowledge(I + 1, Kept))
      this->Acknowledged.insert(Primary.Log[I]);
}

void World::recordPrimary(Term InTerm, const std::string &Name) {
  const auto Entry = this->Primaries.try_emplace(InTerm, Name).first;
  if (Entry->second != Name)
    this->violate("two primaries of one term");
}

void World::violate(const std::string &What) {
  if (this->Violation.empty())
    this->Violation = What;
}

bool World::isWritable() const {
  const WritePermission &Holder = this->Holders.back();
  const Member &Primary = this->member(this->Status.Primary);
  return !Primary.InRecovery && !Primary.Dead &&
         Primary.Timeline == this->Status.timeline() &&
         Holder.mayStart(this->Now);
}

std::string World::key() const {
  std::string Key = statusText(this->Status) + " left" +
                    std::to_string(this->Left.TimeSteps) + "," +
                    std::to_string(this->Left.Writes) + "," +
                    std::to_string(this->Left.Pulls) + "," +
                    std::to_string(this->Left.Delays) + "," +
                    std::to_string(this->Left.Rejoins) + "," +
                    std::to_string(this->Left.Deaths) + "," +
                    std::to_string(this->Left.QuietTicks) + "," +
                    std::to_string(this->Left.Ticks);
  for (const Member &M : this->Members) {
    Key += "|" + M.Name + (M.InRecovery ? "r" : "p") + (M.Dead ? "d" : "") +
           std::to_string(M.Timeline.Value) + M.Follows +
           (M.CatchesUp ? "c" : "") + ":";
    for (const unsigned Write : M.Log)
      Key += std::to_string(Write) + ",";
  }
  for (const WritePermission &Holder : this->Holders) {
    const auto Until = Holder.deadline(Holder.view().Timeline);
    const auto Left = Until ? *Until - this->Now : Duration::zero();
    Key += "|" + std::to_string(std::max<std::int64_t>(Left.count(), 0));
    const bool Lapsed =
        Holder.decide(Holder.view().Timeline, {}, AcknowledgeMode::Primary,
                      this->Answered.contains(Holder.view().Current)
                          ? this->Answered.at(Holder.view().Current)
                          : TimePoint(),
                      this->Now) != AckDecision::Acknowledge;
    Key += Lapsed ? "l" : "";
  }
  for (const unsigned Write : this->Acknowledged)
    Key += "a" + std::to_string(Write);
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    std::string Part = this->Texts[I];
    for (const Request &R : this->Requests)
      if (R.Watcher == I)
        Part += ";" + std::to_string(R.Action.index()) +
                std::visit(MessageText(), R.Action);
    for (const Request &R : this->Held)
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
