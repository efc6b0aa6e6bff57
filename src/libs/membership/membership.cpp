#include "membership.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A longer time between two ticks means that this process was paused.
constexpr milliseconds PauseLimit{500};
// The three monitors of a host that find it silent ask one after the other,
// so that usually only one of them asks.
constexpr milliseconds AskStagger{250};
// A suspicion that was refuted, while this host still gets no answer, is not
// repeated before this time has passed.
constexpr seconds RepeatSuspicionAfter{10};
constexpr milliseconds JoinBatch{300};
constexpr milliseconds JoinJitter{500};
constexpr milliseconds SelfJoinDelay{2000};
constexpr milliseconds SelfJoinJitter{2000};
constexpr milliseconds LeaveFallback{1500};
// A host that is alive although a member agreed to remove it raises the epoch
// after this time, which ends the agreement.
constexpr seconds DisownedLimit{3};
constexpr milliseconds ProposalLimit{1500};
constexpr milliseconds FetchInterval{500};
constexpr std::size_t SeedsPerRound = 3;
constexpr std::size_t MaxCachedOwners = 4096;
constexpr std::size_t MaxSuspectsAsked = 64;
// Every second round has one heartbeat to any member of the fleet, which
// spreads news between domains.
constexpr std::uint64_t RoundsPerRandomPeer = 2;
constexpr std::uint64_t RoundsPerContacts = 4;
constexpr seconds ContactsAfterAdoption{10};

HostStatus aliveStatus(const HostKey &Key) {
  return {Key, 0, HostState::Alive};
}

} // namespace

Membership::Membership(HostMember Self, std::mt19937_64 Random)
    : Self(std::move(Self)), Random(Random), Own(aliveStatus(this->Self.Key)),
      Lease(this->Self.Key) {}

Duration Membership::jitter(Duration Limit) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, Limit.count())(this->Random));
}

void Membership::setSeeds(std::vector<HostMember> Hosts) {
  std::erase_if(Hosts, [this](const HostMember &Host) {
    return Host.Key.Name == this->Self.Key.Name;
  });
  this->Seeds = std::move(Hosts);
}

void Membership::setConfigurationVersion(std::uint64_t NewVersion) {
  this->ConfigurationVersion = NewVersion;
}

bool Membership::isMember() const {
  return this->Set.find(this->Self.Key) != nullptr;
}

void Membership::adoptHostSet(const MemberSet &Newer, TimePoint Now) {
  if (Newer.Epoch <= this->Set.Epoch)
    return;
  const HostMember *Before = this->Set.find(this->Self.Key);
  const std::uint64_t JoinedBefore = Before ? Before->Joined : 0;
  this->EarlierViews.push_back(
      {toPlacementHosts(this->Domain), Now + TakeoverWait, JoinedBefore});
  std::erase_if(this->EarlierViews,
                [Now](const EarlierView &View) { return View.Until <= Now; });
  this->Set = Newer;
  this->Domain = Newer.ofDomain(this->Self.FailureDomain);
  this->OwnerCache.clear();
  this->AdoptedAt = Now;
  this->NewestEpoch = std::max(this->NewestEpoch, Newer.Epoch);
  this->Statuses.retainMembers(Newer);
  this->Lease.retainMembers(this->Domain);
  const HostMember *Own = this->Set.find(this->Self.Key);
  if (Own == nullptr || Own->Joined != JoinedBefore)
    this->ReachedSince.reset();
  this->noteReached(Now);
  this->Agreed.clear();
  this->Removal.reset();
  this->DisownedSince.reset();
  this->ProposalUntil.reset();
  std::erase_if(this->Nominations, [&Newer](const auto &Item) {
    const HostMember *Member = Newer.find(Item.first);
    const std::optional<HostMember> &Joining = Item.second.Joining;
    return Joining ? Member && Member->Key.Generation >= Joining->Key.Generation
                   : !Member;
  });
  ++this->Version;
}

void Membership::leave(TimePoint Now) {
  this->Own.State = HostState::Leaving;
  this->Statuses.merge(this->Own);
  this->Nominations.erase(this->Self.Key.Name);
  if (this->isMember())
    this->nominate(this->Self.Key.Name, std::nullopt, Now);
  this->NextHeartbeat = Now;
  ++this->Version;
}

PeerNews Membership::newsFor(std::string_view Peer) {
  return {this->Own, this->Set.Epoch, this->ConfigurationVersion,
          this->Statuses.takeUpdates(Peer)};
}

void Membership::mergeStatus(const HostStatus &News, TimePoint Now) {
  if (News.Key.Name == this->Self.Key.Name) {
    if (News.Key == this->Self.Key && News.State == HostState::Suspected &&
        News.Incarnation >= this->Own.Incarnation &&
        this->Own.State == HostState::Alive) {
      this->Own.Incarnation = News.Incarnation + 1;
      this->Statuses.merge(this->Own);
    }
    return;
  }
  const bool WasSuspected = this->Statuses.isSuspected(News.Key);
  if (!this->Statuses.merge(News))
    return;
  ++this->Version;
  const auto Watched = this->Watches.find(News.Key.Name);
  if (WasSuspected && News.State == HostState::Alive &&
      Watched != this->Watches.end())
    Watched->second.LastAnswer = Now + RepeatSuspicionAfter - SuspectAfter;
}

void Membership::mergeNews(const PeerNews &News, TimePoint Now) {
  this->mergeStatus(News.Sender, Now);
  for (const HostStatus &Update : News.Updates)
    this->mergeStatus(Update, Now);
  if (News.Epoch > this->NewestEpoch) {
    this->NewestEpoch = News.Epoch;
    this->NewestEpochAt = News.Sender.Key.Name;
    this->NextFetch = Now;
  }
}

void Membership::noteContact(const PeerNews &News, TimePoint Now) {
  const HostMember *Member = this->Set.find(News.Sender.Key);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain)
    return;
  this->LastContact[Member->Key.Name] = Now;
  this->Lease.sawEpoch(Member->Key.Name, News.Epoch);
}

// Whether this host renews the lease of \p Peer. A peer that was removed and
// added again without knowing either still acts on an earlier host set.
bool Membership::renews(const HostKey &Peer, std::uint64_t PeerEpoch) const {
  const HostMember *Member = this->Set.find(Peer);
  return Member && Member->FailureDomain == this->Self.FailureDomain &&
         PeerEpoch >= Member->Joined && this->isMember() &&
         !this->isLeaving() && !this->Agreed.contains(Peer) &&
         !this->Statuses.isDeparted(Peer);
}

HeartbeatAnswer Membership::onHeartbeat(const Heartbeat &Message,
                                        TimePoint Now) {
  const HostKey &Peer = Message.News.Sender.Key;
  this->mergeNews(Message.News, Now);
  this->noteContact(Message.News, Now);
  const HostMember *SameName = this->Set.find(Peer.Name);
  if (Message.Joining &&
      (!SameName || SameName->Key.Generation < Peer.Generation))
    this->nominate(Peer.Name, Message.Joining,
                   Now + JoinBatch + this->jitter(JoinJitter));
  if (Message.News.Sender.State == HostState::Leaving && this->Set.find(Peer))
    this->nominate(Peer.Name, std::nullopt,
                   Now + LeaveFallback + this->jitter(JoinJitter));
  HeartbeatAnswer Answer;
  Answer.News = this->newsFor(Peer.Name);
  Answer.Renews = this->renews(Peer, Message.News.Epoch);
  Answer.AgreedToRemove = this->Agreed.contains(Peer);
  if (Answer.Renews && Message.WantsContacts &&
      Message.News.Epoch == this->Set.Epoch)
    Answer.Contacts = this->Lease.contacts(Now, this->Domain, this->Set.Epoch);
  return Answer;
}

void Membership::onHeartbeatAnswer(const HeartbeatAnswer &Answer,
                                   TimePoint SentAt, TimePoint Now) {
  const HostKey &Peer = Answer.News.Sender.Key;
  this->mergeNews(Answer.News, Now);
  this->noteContact(Answer.News, Now);
  const auto Watched = this->Watches.find(Peer.Name);
  if (Watched != this->Watches.end())
    Watched->second.LastAnswer = Now;
  const HostMember *Member = this->Set.find(Peer);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain)
    return;
  if (Answer.AgreedToRemove && Answer.News.Epoch == this->Set.Epoch &&
      !this->DisownedSince)
    this->DisownedSince = Now;
  if (Answer.Renews && !this->Agreed.contains(Peer))
    this->Lease.renew(Answer, SentAt, this->Domain, this->Set.Epoch);
}

// A host that has just woken up knows nothing about the last second.
bool Membership::agreeTo(const HostKey &Suspect, TimePoint Now) {
  const HostMember *Member = this->Set.find(Suspect);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain ||
      Suspect == this->Self.Key || !this->isMember() || this->isLeaving())
    return false;
  if (this->Agreed.contains(Suspect))
    return true;
  const auto Contact = this->LastContact.find(Suspect.Name);
  const bool HeardLately = Contact != this->LastContact.end() &&
                           Now - Contact->second < SuspectAfter;
  if (HeardLately || Now - this->WokeAt < SuspectAfter)
    return false;
  this->Agreed.insert(Suspect);
  return true;
}

RemovalAnswer Membership::onRemovalQuestion(const RemovalQuestion &Question,
                                            TimePoint Now) {
  RemovalAnswer Answer{this->Self.Key, this->Set.Epoch, {}};
  const HostMember *Asker = this->Set.find(Question.Sender);
  if (Question.Epoch != this->Set.Epoch || !Asker ||
      Asker->FailureDomain != this->Self.FailureDomain ||
      Question.Suspects.size() > MaxSuspectsAsked)
    return Answer;
  for (const HostKey &Suspect : Question.Suspects)
    if (this->agreeTo(Suspect, Now))
      Answer.Agreed.push_back(Suspect);
  return Answer;
}

void Membership::onRemovalAnswer(const RemovalAnswer &Answer, TimePoint Now) {
  if (Answer.Epoch != this->Set.Epoch || !this->Set.find(Answer.Sender))
    return;
  this->LastContact[Answer.Sender.Name] = Now;
  this->Removal.note(Answer);
}

std::vector<MembershipAction> Membership::tick(TimePoint Now) {
  std::vector<MembershipAction> Actions;
  this->detectPause(Now);
  this->noteReached(Now);
  this->updateWatches(Now);
  this->suspectSilent(Now);
  this->sendHeartbeats(Now, Actions);
  this->collectRemovals(Now, Actions);
  this->nominateSelf(Now);
  this->propose(Now, Actions);
  this->fetchNewer(Now, Actions);
  return Actions;
}

void Membership::detectPause(TimePoint Now) {
  const bool Paused = !this->LastTick || Now - *this->LastTick > PauseLimit;
  this->LastTick = Now;
  if (!Paused)
    return;
  this->WokeAt = Now;
  for (auto &[Name, Watched] : this->Watches)
    Watched.LastAnswer = Now;
}

// A suspected monitor is still sent heartbeats, and another host is added in
// its place.
void Membership::updateWatches(TimePoint Now) {
  if (this->WatchesVersion == this->Version)
    return;
  this->WatchesVersion = this->Version;
  std::map<std::string, Watch> Updated;
  const auto Add = [&](const std::vector<PlacementHost> &Hosts) {
    std::size_t Rank = 0;
    for (const std::string &Name :
         monitorsOf({this->Self.Key.Name, this->Self.FailureDomain}, Hosts)) {
      const auto Known = this->Watches.find(Name);
      const TimePoint LastAnswer =
          Known == this->Watches.end() ? Now : Known->second.LastAnswer;
      Updated.try_emplace(Name, Watch{LastAnswer, Rank++});
    }
  };
  if (this->isMember()) {
    Add(toPlacementHosts(this->Set.Members));
    Add(this->liveHosts());
  }
  this->Watches = std::move(Updated);
}

void Membership::suspectSilent(TimePoint Now) {
  for (const auto &[Name, Watched] : this->Watches) {
    const HostMember *Member = this->Set.find(Name);
    if (!Member || Now - Watched.LastAnswer < SuspectAfter ||
        !this->Statuses.isUsable(Member->Key))
      continue;
    const HostStatus *Known = this->Statuses.find(Name);
    this->Statuses.merge(
        {Member->Key, Known ? Known->Incarnation : 0, HostState::Suspected});
    ++this->Version;
  }
}

void Membership::sendHeartbeat(const HostMember &To,
                               std::vector<MembershipAction> &Actions) {
  SendHeartbeat Action{To.Key.Name, To.Address, {}};
  Action.Message.News = this->newsFor(To.Key.Name);
  Action.Message.WantsContacts =
      maxRemovedTogether(this->Domain.size()) >= 2 ||
      !this->Lease.allReached(this->Set.Epoch, this->Domain);
  const bool Recent = this->LastTick &&
                      *this->LastTick - this->AdoptedAt < ContactsAfterAdoption;
  if (!Recent && this->Round % RoundsPerContacts != 0)
    Action.Message.WantsContacts = false;
  if (!this->isMember() && !this->isLeaving())
    Action.Message.Joining = this->Self;
  Actions.emplace_back(std::move(Action));
}

void Membership::addRandomPeers(std::vector<MembershipAction> &Actions) {
  const bool Joining = !this->isMember();
  if (!Joining && this->Round % RoundsPerRandomPeer != 0)
    return;
  std::vector<HostMember> Peers;
  const auto &Known =
      this->Set.Members.empty() ? this->Seeds : this->Set.Members;
  std::ranges::sample(Known, std::back_inserter(Peers),
                      Joining ? SeedsPerRound : 1, this->Random);
  for (const HostMember &Peer : Peers)
    if (Peer.Key.Name != this->Self.Key.Name &&
        !this->Watches.contains(Peer.Key.Name))
      this->sendHeartbeat(Peer, Actions);
}

void Membership::sendHeartbeats(TimePoint Now,
                                std::vector<MembershipAction> &Actions) {
  if (Now < this->NextHeartbeat)
    return;
  this->NextHeartbeat = Now + HeartbeatInterval;
  ++this->Round;
  for (const auto &[Name, Watched] : this->Watches)
    if (const HostMember *Member = this->Set.find(Name))
      this->sendHeartbeat(*Member, Actions);
  this->addRandomPeers(Actions);
}

// Only a host that finds one of its own monitors silent starts a removal.
std::set<HostKey> Membership::suspectsToRemove(TimePoint Now) const {
  std::set<HostKey> Suspects;
  bool MayAsk = false;
  for (const HostMember &Member : this->Domain) {
    if (!this->Statuses.isSuspected(Member.Key))
      continue;
    Suspects.insert(Member.Key);
    const auto Watched = this->Watches.find(Member.Key.Name);
    MayAsk |= Watched != this->Watches.end() &&
              Now - Watched->second.LastAnswer >=
                  SuspectAfter + AskStagger * Watched->second.Rank;
  }
  return MayAsk ? Suspects : std::set<HostKey>();
}

// The limit is that of the domain as the suspect saw it last, at least. Of
// the current members, those who joined up to that epoch were in its view.
bool Membership::isWithinLimit(const std::set<HostKey> &Suspects) const {
  return std::ranges::all_of(Suspects, [&](const HostKey &Suspect) {
    const HostMember *Member = this->Set.find(Suspect);
    if (!Member)
      return false;
    const std::uint64_t Seen = this->Lease.epochOf(*Member);
    const auto InView =
        std::ranges::count_if(this->Domain, [Seen](const HostMember &Other) {
          return Other.Joined <= Seen;
        });
    return Suspects.size() <=
           maxRemovedTogether(static_cast<std::size_t>(InView));
  });
}

void Membership::collectRemovals(TimePoint Now,
                                 std::vector<MembershipAction> &Actions) {
  if (!this->isMember() || this->isLeaving())
    return;
  std::vector<HostMember> Staying;
  for (const HostMember &Member : this->Domain)
    if (!this->Statuses.isDeparted(Member.Key))
      Staying.push_back(Member);
  const std::vector<HostMember> ToAsk =
      this->Removal.step(this->suspectsToRemove(Now), Staying, Now);
  const std::set<HostKey> &Suspects = this->Removal.suspects();
  if (Suspects.empty() || !this->isWithinLimit(Suspects))
    return;
  const RemovalQuestion Question{
      this->Self.Key, this->Set.Epoch, {Suspects.begin(), Suspects.end()}};
  this->Removal.note(this->onRemovalQuestion(Question, Now));
  for (const HostMember &Member : ToAsk)
    if (Member.Key != this->Self.Key)
      Actions.emplace_back(
          AskRemoval{Member.Key.Name, Member.Address, Question});
}

void Membership::nominate(const std::string &Name,
                          std::optional<HostMember> Joining, TimePoint Due) {
  const auto [Entry, Inserted] =
      this->Nominations.try_emplace(Name, Nomination{Due, Joining});
  if (!Inserted)
    Entry->second.Joining = std::move(Joining);
}

// Members add a host that sends them heartbeats. A host adds itself only if
// that does not happen, for example because all members have restarted.
void Membership::nominateSelf(TimePoint Now) {
  if (this->isMember() || this->isLeaving() ||
      this->Nominations.contains(this->Self.Key.Name))
    return;
  this->nominate(this->Self.Key.Name, this->Self,
                 Now + SelfJoinDelay + this->jitter(SelfJoinJitter));
}

bool Membership::canRemove(TimePoint Now) const {
  return this->Removal.isComplete(Now) &&
         this->isWithinLimit(this->Removal.suspects());
}

bool Membership::hasReasonToPropose(TimePoint Now) const {
  if (this->NewestEpoch > this->Set.Epoch)
    return false; // A proposal from an old epoch would fail.
  if (this->canRemove(Now))
    return true;
  if (this->DisownedSince && Now - *this->DisownedSince >= DisownedLimit)
    return true;
  return std::ranges::any_of(this->Nominations, [Now](const auto &Item) {
    return Now >= Item.second.Due;
  });
}

MemberSet Membership::buildProposal(TimePoint Now) const {
  MemberSet Proposed{this->Set.Epoch + 1, {}};
  const bool Removes = this->canRemove(Now);
  for (const HostMember &Member : this->Set.Members) {
    const bool Removed =
        Removes && this->Removal.suspects().contains(Member.Key);
    const auto Nominated = this->Nominations.find(Member.Key.Name);
    const bool Replaced = Nominated != this->Nominations.end();
    if (!Removed && !Replaced && !this->Statuses.isDeparted(Member.Key))
      Proposed.Members.push_back(Member);
  }
  for (const auto &[Name, Nominated] : this->Nominations) {
    if (!Nominated.Joining)
      continue;
    Proposed.Members.push_back(*Nominated.Joining);
    Proposed.Members.back().Joined = Proposed.Epoch;
  }
  std::ranges::sort(Proposed.Members, {}, &HostMember::Key);
  return Proposed;
}

void Membership::propose(TimePoint Now,
                         std::vector<MembershipAction> &Actions) {
  if (this->ProposalUntil && Now < *this->ProposalUntil)
    return;
  if (!this->hasReasonToPropose(Now))
    return;
  this->ProposalUntil = Now + ProposalLimit + this->jitter(JoinJitter);
  Actions.emplace_back(
      ProposeHostSet{this->Set.Epoch, this->buildProposal(Now)});
}

void Membership::fetchNewer(TimePoint Now,
                            std::vector<MembershipAction> &Actions) {
  if (this->NewestEpoch <= this->Set.Epoch || Now < this->NextFetch)
    return;
  this->NextFetch = Now + FetchInterval;
  Actions.emplace_back(FetchHostSet{this->NewestEpochAt, this->NewestEpoch});
}

std::vector<PlacementHost> Membership::liveHosts() const {
  std::vector<PlacementHost> Hosts;
  for (const HostMember &Member : this->Set.Members)
    if (this->Statuses.isUsable(Member.Key))
      Hosts.push_back({Member.Key.Name, Member.FailureDomain});
  return Hosts;
}

std::optional<TimePoint> Membership::leaseUntil(TimePoint Now) const {
  if (!this->isMember() || this->isLeaving())
    return std::nullopt;
  return this->Lease.validUntil(Now, this->Domain, this->Agreed);
}

std::optional<TimePoint> Membership::sharesUntil(TimePoint Now) const {
  return this->hasTakenOver(Now) ? this->leaseUntil(Now) : std::nullopt;
}

bool Membership::hasTakenOver(TimePoint Now) const {
  return this->ReachedSince && Now >= *this->ReachedSince + TakeoverWait;
}

void Membership::noteReached(TimePoint Now) {
  const HostMember *Own = this->Set.find(this->Self.Key);
  if (Own == nullptr || !this->Lease.allReached(Own->Joined, this->Domain))
    this->ReachedSince.reset();
  else if (!this->ReachedSince)
    this->ReachedSince = Now;
}

const std::string &Membership::ownerOf(std::string_view Workspace) const {
  const auto Known = this->OwnerCache.find(Workspace);
  if (Known != this->OwnerCache.end())
    return Known->second;
  if (this->OwnerCache.size() >= MaxCachedOwners)
    this->OwnerCache.clear();
  std::string Owner = rateOwnerOf(Workspace, this->Self.FailureDomain,
                                  toPlacementHosts(this->Domain))
                          .value_or(std::string());
  return this->OwnerCache.emplace(Workspace, std::move(Owner)).first->second;
}

bool Membership::mayGrant(std::string_view Workspace, TimePoint Now) const {
  if (!this->holdsLease(Now) || !this->hasTakenOver(Now))
    return false;
  const std::uint64_t Joined = this->Set.find(this->Self.Key)->Joined;
  if (!this->Lease.allReached(Joined, this->Domain))
    return false;
  if (this->ownerOf(Workspace) != this->Self.Key.Name)
    return false;
  const auto Owned = [&](const std::vector<PlacementHost> &Hosts) {
    return rateOwnerOf(Workspace, this->Self.FailureDomain, Hosts) ==
           this->Self.Key.Name;
  };
  return std::ranges::all_of(this->EarlierViews, [&](const EarlierView &View) {
    return Now >= View.Until || (View.Joined == Joined && Owned(View.Domain));
  });
}

} // namespace lavenderdale
