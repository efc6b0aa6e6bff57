#include "groupfake.h"

#include "failover/failoverlimits.h"

#include <algorithm>

namespace lavenderdale::matrix {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepLength{10};
constexpr milliseconds TickInterval{50};
constexpr milliseconds WriteInterval{150};
/// A write without a decision for this long is answered as unknown.
constexpr milliseconds WriteLimit{2000};

bool isDue(TimePoint Now, Duration Interval) {
  return Now.time_since_epoch() % Interval == Duration::zero();
}

template <typename T>
constexpr bool IsPlatformCall =
    std::is_same_v<T, ReadStatus> || std::is_same_v<T, ClaimStatus> ||
    std::is_same_v<T, ReleaseClaim> || std::is_same_v<T, ChangeTerm> ||
    std::is_same_v<T, CompleteTerm>;

} // namespace

GroupFake::GroupFake(const GroupFakeOptions &Options)
    : Names{"db-a", "db-b", "db-c"}, Random(Options.Seed), Options(Options) {
  for (std::size_t I = 0; I < this->Names.size(); ++I) {
    Member M;
    M.Name = this->Names[I];
    M.FailureDomain = "d" + std::to_string(I);
    M.InRecovery = I > 0;
    M.Follows = I > 0 ? "db-a" : "";
    this->Members.push_back(M);
  }
  this->Status.Version = 1;
  this->Status.Current = Term{1};
  this->Status.Primary = "db-a";
  (void)this->Status.History.append(Term{1}, {});
  this->Primaries[Term{1}] = "db-a";
  this->Holders.push_back({WritePermission(), "d0", {}});
  this->Holders.back().Permission.setView(
      {Term{1}, "db-a", this->Names, Term{1}});
  for (std::size_t I = 0; I < this->Names.size(); ++I) {
    this->Watchers.emplace_back().Self = {"w" + std::to_string(I),
                                          "d" + std::to_string(I)};
    this->startWatcher(I);
  }
}

void GroupFake::startWatcher(std::size_t Index) {
  WatcherHost &W = this->Watchers[Index];
  W.Agent.emplace(W.Self.Host, std::to_string(++this->LastInstance),
                  this->Options.Times);
  W.Agent->setMembers(this->Names, this->Now);
  W.Detector = {};
  W.Board = {};
}

void GroupFake::setMembers(const std::vector<std::string> &NewNames) {
  this->Names = NewNames;
  this->editSpec();
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    if (!this->Watchers[I].Agent)
      continue;
    for (const PromotionAction &Action :
         this->Watchers[I].Agent->setMembers(NewNames, this->Now))
      this->send(I, Action);
  }
  for (Holder &H : this->Holders) {
    GroupView View = H.Permission.view();
    View.Members = NewNames;
    H.Permission.setView(View);
  }
}

void GroupFake::addReplica(const std::string &Name,
                           const std::string &FailureDomain) {
  Member M = *this->find(this->Status.Primary);
  M.Name = Name;
  M.FailureDomain = FailureDomain;
  M.InRecovery = true;
  M.Follows = this->Status.Primary;
  M.Sessions.clear();
  this->Members.push_back(M);
  std::vector<std::string> NewNames = this->Names;
  NewNames.push_back(Name);
  this->setMembers(NewNames);
}

void GroupFake::heal() {
  this->PrimaryCut = this->PlatformDown = this->LosePlatformAnswers = false;
  this->SilentSessions = false;
  this->CutDomains.clear();
  this->OnRequest = {};
  this->OnWrite = {};
  for (Member &M : this->Members)
    M.Stalled = false;
  for (Holder &H : this->Holders)
    H.PausedUntil = this->Now;
  for (std::size_t I = 0; I < this->Watchers.size(); ++I) {
    this->Watchers[I].PausedUntil = this->Now;
    if (!this->Watchers[I].Agent)
      this->startWatcher(I);
  }
}

GroupFake::Member *GroupFake::find(const std::string &Name) {
  const auto Found = std::ranges::find(this->Members, Name, &Member::Name);
  return Found == this->Members.end() ? nullptr : &*Found;
}

bool GroupFake::reaches(const std::string &FromDomain, const Member &M) const {
  return this->CutDomains.contains(FromDomain) ==
             this->CutDomains.contains(M.FailureDomain) &&
         !(this->PrimaryCut && M.Name == "db-a");
}

bool GroupFake::reachesPlatform(const std::string &FromDomain) const {
  return !this->PlatformDown && !this->CutDomains.contains(FromDomain);
}

ReplicaPoll GroupFake::poll(const Member &M, TimePoint SentAt) const {
  ReplicaPoll Poll;
  Poll.Upstream = M.Name;
  Poll.SentAt = SentAt;
  Poll.Timeline = M.Timeline;
  Poll.ReceivePosition = {M.Log.size()};
  Poll.InRecovery = M.InRecovery;
  Poll.PrimaryConninfoSet = !M.Follows.empty();
  Poll.ReceiverRunning = !M.Follows.empty();
  Poll.Follows = M.Follows;
  return Poll;
}

Duration GroupFake::latency() { return milliseconds(1 + this->Random() % 20); }

void GroupFake::post(Duration After, std::function<bool()> Run) {
  this->Events.push_back({this->Now + After, std::move(Run)});
}

/// Executes a request at the platform or a member and returns its answer.
struct GroupFake::Executor {
  GroupFake &G;
  std::size_t Sender;

  PromotionEvent operator()(const ReadStatus &A) const {
    return StatusRead{A.Call, G.Status};
  }
  PromotionEvent operator()(const ClaimStatus &A) const {
    return this->store(A.Call, A.Status);
  }
  PromotionEvent operator()(const ReleaseClaim &A) const {
    return this->store(A.Call, A.Status);
  }
  PromotionEvent operator()(const ChangeTerm &A) const {
    const UpdateAnswered Answer = this->store(A.Call, A.Status);
    if (Answer.Outcome == UpdateOutcome::Done)
      G.changed(A.Status);
    return Answer;
  }
  PromotionEvent operator()(const CompleteTerm &A) const {
    const UpdateAnswered Answer = this->store(A.Call, A.Status);
    if (Answer.Outcome == UpdateOutcome::Done)
      G.completed(A.Status);
    return Answer;
  }
  UpdateAnswered store(CallId Call, const TermStatus &New) const {
    if (New.Version != G.Status.Version)
      return {Call, UpdateOutcome::Conflict};
    const std::uint64_t Version = G.Status.Version + 1;
    G.Status = New;
    G.Status.Version = Version;
    return {Call, UpdateOutcome::Done, Version};
  }
  PromotionEvent operator()(const EndControlSessions &A) const {
    G.find(A.Member)->Sessions.clear();
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const FenceMember &A) const {
    Member &M = *G.find(A.Member);
    M.Follows.clear();
    return MemberAnswered{A.Call, M.InRecovery};
  }
  PromotionEvent operator()(const PollMember &A) const {
    return MemberPolled{A.Call, G.poll(*G.find(A.Member), G.Now)};
  }
  PromotionEvent operator()(const OpenControlSession &A) const {
    G.find(A.Member)->Sessions.emplace(Sender, A.Call);
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const PromoteMember &A) const {
    Member &M = *G.find(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0)
      return MemberAnswered{A.Call, false};
    if (M.InRecovery) {
      M.InRecovery = false;
      M.Follows.clear();
      // The highest timeline that the member has the history of, plus one.
      M.Timeline = M.Timeline.next();
      if (G.Primaries.try_emplace(A.NewTerm, M.Name).first->second != M.Name)
        G.violate("two primaries of one term");
    }
    return MemberAnswered{A.Call, true};
  }
  PromotionEvent operator()(const RepointMember &A) const {
    Member &M = *G.find(A.Member);
    if (M.Sessions.erase({Sender, A.Session}) == 0 || !M.InRecovery)
      return MemberAnswered{A.Call, false};
    M.Follows = A.Primary;
    return MemberAnswered{A.Call, true};
  }
  template <typename T> PromotionEvent operator()(const T & /*Report*/) const {
    return Tick{};
  }
};

void GroupFake::changed(const TermStatus &New) {
  const std::vector<unsigned> &Log = this->find(New.Primary)->Log;
  for (const unsigned Write : this->KeptWrites)
    if (std::ranges::find(Log, Write) == Log.end())
      this->violate("acknowledged write missing from the chosen primary");
  this->Holders.push_back(
      {WritePermission(), this->find(New.Primary)->FailureDomain, {}});
  this->Holders.back().Permission.setView(
      {New.Current, New.Primary, this->Names, New.timeline()});
}

// The holder of the term learns the timeline of its primary.
void GroupFake::completed(const TermStatus &New) {
  GroupView View = this->Holders.back().Permission.view();
  if (View.Current != New.Current)
    return;
  View.Timeline = New.timeline();
  this->Holders.back().Permission.setView(View);
}

void GroupFake::deliver(std::size_t Index, const PromotionEvent &Event) {
  WatcherHost &W = this->Watchers[Index];
  const Term Before = W.Agent->status() ? W.Agent->status()->Current : Term{};
  for (const PromotionAction &Action : W.Agent->handle(Event, this->Now))
    this->send(Index, Action);
  if (!W.Agent || !W.Agent->status())
    return;
  const Term Current = W.Agent->status()->Current;
  if (Current != Before)
    W.Detector.primaryChanged(Current, this->Now, Before == Term{});
}

// Requests and answers take time, are lost on a cut link, and wait while their
// receiver is paused.
void GroupFake::send(std::size_t Index, const PromotionAction &Action) {
  if (this->OnRequest)
    this->OnRequest(Index, Action);
  WatcherHost &W = this->Watchers[Index];
  const bool Platform = std::visit(
      [](const auto &A) { return IsPlatformCall<std::decay_t<decltype(A)>>; },
      Action);
  std::string To;
  std::visit(
      [&](const auto &A) {
        if constexpr (requires { A.Member; })
          To = A.Member;
      },
      Action);
  if (!Platform && To.empty()) // A report, or the end of a session.
    return;
  const auto Linked = [this, Index, Platform, To] {
    const std::string &From = this->Watchers[Index].Self.FailureDomain;
    return Platform ? this->reachesPlatform(From)
                    : this->reaches(From, *this->find(To));
  };
  this->post(
      this->latency(), [=, this, Instance = W.Agent ? &*W.Agent : nullptr] {
        if (!Linked())
          return true;
        const PromotionEvent Event = std::visit(Executor{*this, Index}, Action);
        const bool Lost =
            Platform ? this->LosePlatformAnswers : this->SilentSessions;
        if (!Lost && Linked())
          this->post(this->latency(), [=, this] {
            WatcherHost &Receiver = this->Watchers[Index];
            if (this->Now < Receiver.PausedUntil)
              return false;
            if (Receiver.Agent && &*Receiver.Agent == Instance)
              this->deliver(Index, Event);
            return true;
          });
        return true;
      });
}

void GroupFake::detect(std::size_t Index) {
  WatcherHost &W = this->Watchers[Index];
  const TimePoint SentAt = this->Now;
  W.Detector.pollSent(SentAt);
  const Member &Primary = *this->find(W.Agent->status()->Primary);
  const bool Answers = this->reaches(W.Self.FailureDomain, Primary) &&
                       !Primary.InRecovery &&
                       Primary.Timeline == W.Agent->status()->timeline();
  const auto Tell = [this, Index](auto Report) {
    return [this, Index, Report] {
      if (this->Now < this->Watchers[Index].PausedUntil)
        return false;
      Report(this->Watchers[Index].Detector);
      return true;
    };
  };
  if (Answers)
    this->post(this->latency(), Tell([this, SentAt](FailureDetector &D) {
                 D.pollAnswered(SentAt, this->Now);
               }));
  else
    this->post(milliseconds(80), Tell([this, SentAt](FailureDetector &D) {
                 D.pollTimedOut(SentAt, this->Now);
               }));
  for (const WatcherHost &Other : this->Watchers) {
    const bool Reached = Other.Agent && this->Now >= Other.PausedUntil &&
                         this->CutDomains.contains(Other.Self.FailureDomain) ==
                             this->CutDomains.contains(W.Self.FailureDomain);
    if (Reached)
      W.Board.record({Other.Self.Host, Other.Detector.term(),
                      Other.Detector.suspects(this->Now), this->Now});
  }
}

void GroupFake::tickWatcher(std::size_t Index) {
  WatcherHost &W = this->Watchers[Index];
  if (!W.Agent || this->Now < W.PausedUntil)
    return;
  if (this->reachesPlatform(W.Self.FailureDomain))
    this->deliver(Index, StatusSeen{this->Status});
  for (const Member &M : this->Members)
    if (this->reaches(W.Self.FailureDomain, M) && !this->SilentSessions)
      this->deliver(Index, MemberSeen{this->poll(M, this->Now)});
  if (W.Agent && W.Agent->status()) {
    if (isDue(this->Now, failoverlimits::PollInterval))
      this->detect(Index);
    std::vector<Watcher> All;
    All.reserve(this->Watchers.size());
    for (const WatcherHost &Each : this->Watchers)
      All.push_back(Each.Self);
    const Term Current = W.Agent->status()->Current;
    this->deliver(
        Index,
        EvidenceCombined{Current, W.Board.hasQuorum(All, Current, this->Now)});
  }
  if (W.Agent && this->Now >= W.PausedUntil)
    this->deliver(Index, Tick{});
}

// A holder polls the members over links of its own: the first primary can be
// cut off from all others but its holder.
void GroupFake::tickHolder(std::size_t Index) {
  const Holder &H = this->Holders[Index];
  if (this->Now < H.PausedUntil)
    return;
  for (std::size_t I = 0; I < this->Members.size(); ++I) {
    const bool Cut = this->CutDomains.contains(H.FailureDomain) !=
                     this->CutDomains.contains(this->Members[I].FailureDomain);
    if (Cut || this->SilentSessions)
      continue;
    this->post(this->latency(), [=, this, SentAt = this->Now] {
      const ReplicaPoll Poll = this->poll(this->Members[I], SentAt);
      this->post(this->latency(), [=, this] {
        if (this->Now < this->Holders[Index].PausedUntil)
          return false;
        this->Holders[Index].Permission.replicaPolled(Poll);
        return true;
      });
      return true;
    });
  }
}

void GroupFake::replicate() {
  for (Member &M : this->Members) {
    const Member *From = M.Follows.empty() ? nullptr : this->find(M.Follows);
    const bool Streams =
        From && M.InRecovery && !M.Stalled &&
        this->reaches(M.FailureDomain, *From) && M.Timeline <= From->Timeline &&
        M.Log.size() <= From->Log.size() &&
        std::equal(M.Log.begin(), M.Log.end(), From->Log.begin());
    if (!Streams)
      continue;
    M.Log = From->Log;
    M.Timeline = From->Timeline;
  }
}

// The platform rebuilds members that cannot follow the current primary.
void GroupFake::rebuild() {
  const Member &Primary = *this->find(this->Status.Primary);
  if (Primary.InRecovery || Primary.Timeline != this->Status.timeline() ||
      !this->reachesPlatform(Primary.FailureDomain))
    return;
  for (Member &M : this->Members) {
    if (M.Timeline >= Primary.Timeline ||
        !this->reaches(M.FailureDomain, Primary) ||
        (this->PrimaryCut && M.Name == "db-a"))
      continue;
    const WriteStatus Fate =
        this->Status.History.writeStatus({M.Timeline, {M.Log.size()}});
    if (M.InRecovery && Fate != WriteStatus::Lost)
      continue;
    M.InRecovery = true;
    M.Log = Primary.Log;
    M.Timeline = Primary.Timeline;
    M.Follows = Primary.Name;
    M.Sessions.clear();
  }
}

void GroupFake::start(Write &W) {
  const Holder &H = this->Holders[W.By];
  const GroupView &View = H.Permission.view();
  if (!this->Options.PermissionIgnored && !H.Permission.mayStart(this->Now)) {
    W.Now = Write::State::Over; // Answered as not-run: nothing was sent.
    return;
  }
  // An old holder may start writes at a member that is the primary again; they
  // run in the newer term and are not acknowledged.
  if (this->Status.Current > View.Current &&
      this->Status.Primary != View.Primary)
    this->violate("write started at a primary that has been replaced");
  W.Now = Write::State::Sent;
  W.SentAt = this->Now;
  W.Number = ++this->LastWrite;
  const std::size_t Index = static_cast<std::size_t>(&W - this->Writes.data());
  this->post(this->latency(), [this, Index] {
    Write &Sent = this->Writes[Index];
    const GroupView &Of = this->Holders[Sent.By].Permission.view();
    Member &Primary = *this->find(Of.Primary);
    if (Primary.InRecovery)
      return true;
    Sent.AnsweredIn = Primary.Timeline;
    Primary.Log.push_back(Sent.Number);
    Sent.Commit = {Primary.Log.size()};
    this->post(this->latency(), [this, Index] {
      Write &Committed = this->Writes[Index];
      if (this->Now < this->Holders[Committed.By].PausedUntil)
        return false;
      if (Committed.Now == Write::State::Sent)
        Committed.Now = Write::State::Answered;
      return true;
    });
    return true;
  });
}

void GroupFake::decide(Write &W) {
  const Holder &H = this->Holders[W.By];
  const Term Own = H.Permission.view().Current;
  const AcknowledgeDecision Decision =
      this->Options.PermissionIgnored
          ? AcknowledgeDecision::Acknowledge
          : H.Permission.decide(W.AnsweredIn, W.Commit, this->Options.Mode,
                                W.SentAt, this->Now);
  if (Decision == AcknowledgeDecision::WaitForReplica)
    return;
  W.Now = Write::State::Over;
  if (Decision == AcknowledgeDecision::Withhold)
    return;
  ++this->AcknowledgedCount;
  if (this->Status.Current > Own)
    this->violate("write acknowledged by a primary that has been replaced");
  if (this->Options.Mode == AcknowledgeMode::Replica)
    this->KeptWrites.insert(W.Number);
}

void GroupFake::advance(Write &W) {
  if (W.Now == Write::State::Over)
    return;
  if (this->OnWrite)
    this->OnWrite(W);
  if (this->Now < this->Holders[W.By].PausedUntil)
    return;
  if (this->Now > W.StartAt + WriteLimit)
    W.Now = Write::State::Over;
  else if (W.Now == Write::State::Queued && this->Now >= W.StartAt)
    this->start(W);
  else if (W.Now == Write::State::Answered)
    this->decide(W);
}

void GroupFake::run(Duration Time) {
  for (const TimePoint End = this->Now + Time;
       this->Now < End && this->Violation.empty(); this->Now += StepLength) {
    // A holder that wakes up acts on what it has before it hears more.
    for (std::size_t I = 0; I < this->Writes.size(); ++I)
      this->advance(this->Writes[I]);
    std::vector<Event> Due;
    std::erase_if(this->Events, [&](Event &Each) {
      if (Each.Due > this->Now)
        return false;
      Due.push_back(std::move(Each));
      return true;
    });
    for (Event &Each : Due)
      if (!Each.Run())
        this->Events.push_back(std::move(Each));
    if (isDue(this->Now, TickInterval)) {
      this->replicate();
      for (std::size_t I = 0; I < this->Watchers.size(); ++I)
        this->tickWatcher(I);
      this->rebuild();
    }
    if (isDue(this->Now, failoverlimits::PollInterval))
      for (std::size_t I = 0; I < this->Holders.size(); ++I)
        this->tickHolder(I);
    if (isDue(this->Now, WriteInterval))
      for (std::size_t I = 0; I < this->Holders.size(); ++I)
        if (this->Now >= this->Holders[I].PausedUntil)
          this->Writes.push_back(
              {I, this->Now + this->Options.QueueWait, {}, 0, {}, {}});
  }
}

bool GroupFake::isWritable() const {
  return this->Holders.back().Permission.view().Current ==
             this->Status.Current &&
         this->Holders.back().Permission.mayStart(this->Now);
}

bool GroupFake::allFollow() const {
  return std::ranges::all_of(this->Members, [this](const Member &M) {
    return M.Name == this->Status.Primary
               ? !M.InRecovery
               : M.InRecovery && M.Follows == this->Status.Primary;
  });
}

void GroupFake::violate(const std::string &What) {
  if (this->Violation.empty())
    this->Violation = What;
}

} // namespace lavenderdale::matrix
