#include "membership.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A longer interval between two ticks means that this process was paused.
constexpr milliseconds PauseThreshold{500};
// When a host does not answer its three monitors, they start the removal at
// staggered times, so that usually only one of them sends requests.
constexpr milliseconds RemovalStagger{250};
// How long this host does not repeat a suspicion that was refuted, even if it
// still gets no answer from the host in question.
constexpr seconds RepeatSuspicionAfter{10};
constexpr milliseconds JoinBatchDelay{300};
constexpr milliseconds JoinJitter{500};
constexpr milliseconds SelfJoinDelay{2000};
constexpr milliseconds SelfJoinJitter{2000};
constexpr milliseconds LeaveFallbackDelay{1500};
// If a member has agreed to remove this host although it is alive, this host
// increments the epoch after this time, which ends the agreement.
constexpr seconds OwnRemovalAgreedLimit{3};
constexpr milliseconds ProposalTimeout{1500};
constexpr milliseconds FetchInterval{500};
constexpr std::size_t SeedsPerRound = 3;
constexpr std::size_t MaxCachedOwners = 4096;
constexpr std::size_t MaxSuspectsPerRequest = 64;
// Every second round includes a heartbeat to a random member of the fleet, so
// that status updates spread between domains.
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
  this->updateReachedSince(Now);
  this->Agreed.clear();
  this->Removal.reset();
  this->OwnRemovalAgreedSince.reset();
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

GossipPayload Membership::gossipFor(std::string_view Peer) {
  return {this->Own, this->Set.Epoch, this->ConfigurationVersion,
          this->Statuses.takeUpdates(Peer)};
}

void Membership::mergeStatus(const HostStatus &Update, TimePoint Now) {
  if (Update.Key.Name == this->Self.Key.Name) {
    if (Update.Key == this->Self.Key && Update.State == HostState::Suspected &&
        Update.Incarnation >= this->Own.Incarnation &&
        this->Own.State == HostState::Alive) {
      this->Own.Incarnation = Update.Incarnation + 1;
      this->Statuses.merge(this->Own);
    }
    return;
  }
  const bool WasSuspected = this->Statuses.isSuspected(Update.Key);
  if (!this->Statuses.merge(Update))
    return;
  ++this->Version;
  const auto Target = this->HeartbeatTargets.find(Update.Key.Name);
  if (WasSuspected && Update.State == HostState::Alive &&
      Target != this->HeartbeatTargets.end())
    Target->second.LastAnswer = Now + RepeatSuspicionAfter - SuspectAfter;
}

void Membership::mergeGossip(const GossipPayload &Gossip, TimePoint Now) {
  this->mergeStatus(Gossip.Sender, Now);
  for (const HostStatus &Update : Gossip.Updates)
    this->mergeStatus(Update, Now);
  if (Gossip.Epoch > this->NewestEpoch) {
    this->NewestEpoch = Gossip.Epoch;
    this->NewestEpochAt = Gossip.Sender.Key.Name;
    this->NextFetch = Now;
  }
}

void Membership::recordContact(const GossipPayload &Gossip, TimePoint Now) {
  const HostMember *Member = this->Set.find(Gossip.Sender.Key);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain)
    return;
  this->LastContact[Member->Key.Name] = Now;
  this->Lease.sawEpoch(Member->Key.Name, Gossip.Epoch);
}

// Whether this host renews the lease of Peer. The epoch is compared because a
// peer that was removed and added again without knowing it still uses an
// earlier host set.
bool Membership::renews(const HostKey &Peer, std::uint64_t PeerEpoch) const {
  const HostMember *Member = this->Set.find(Peer);
  return Member && Member->FailureDomain == this->Self.FailureDomain &&
         PeerEpoch >= Member->Joined && this->isMember() &&
         !this->isLeaving() && !this->Agreed.contains(Peer) &&
         !this->Statuses.isDeparted(Peer);
}

HeartbeatAnswer Membership::onHeartbeat(const Heartbeat &Message,
                                        TimePoint Now) {
  const HostKey &Peer = Message.Gossip.Sender.Key;
  this->mergeGossip(Message.Gossip, Now);
  this->recordContact(Message.Gossip, Now);
  const HostMember *SameName = this->Set.find(Peer.Name);
  if (Message.Joining &&
      (!SameName || SameName->Key.Generation < Peer.Generation))
    this->nominate(Peer.Name, Message.Joining,
                   Now + JoinBatchDelay + this->jitter(JoinJitter));
  if (Message.Gossip.Sender.State == HostState::Leaving && this->Set.find(Peer))
    this->nominate(Peer.Name, std::nullopt,
                   Now + LeaveFallbackDelay + this->jitter(JoinJitter));
  HeartbeatAnswer Answer;
  Answer.Gossip = this->gossipFor(Peer.Name);
  Answer.RenewsLease = this->renews(Peer, Message.Gossip.Epoch);
  Answer.AgreedToRemove = this->Agreed.contains(Peer);
  if (Answer.RenewsLease && Message.WantsContacts &&
      Message.Gossip.Epoch == this->Set.Epoch)
    Answer.Contacts = this->Lease.contacts(Now, this->Domain, this->Set.Epoch);
  return Answer;
}

void Membership::onHeartbeatAnswer(const HeartbeatAnswer &Answer,
                                   TimePoint SentAt, TimePoint Now) {
  const HostKey &Peer = Answer.Gossip.Sender.Key;
  this->mergeGossip(Answer.Gossip, Now);
  this->recordContact(Answer.Gossip, Now);
  const auto Target = this->HeartbeatTargets.find(Peer.Name);
  if (Target != this->HeartbeatTargets.end())
    Target->second.LastAnswer = Now;
  const HostMember *Member = this->Set.find(Peer);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain)
    return;
  if (Answer.AgreedToRemove && Answer.Gossip.Epoch == this->Set.Epoch &&
      !this->OwnRemovalAgreedSince)
    this->OwnRemovalAgreedSince = Now;
  if (Answer.RenewsLease && !this->Agreed.contains(Peer))
    this->Lease.renew(Answer, SentAt, this->Domain, this->Set.Epoch);
}

// A host that has just resumed after a pause has no information about the last
// second, so it agrees to nothing.
bool Membership::agreeTo(const HostKey &Suspect, TimePoint Now) {
  const HostMember *Member = this->Set.find(Suspect);
  if (!Member || Member->FailureDomain != this->Self.FailureDomain ||
      Suspect == this->Self.Key || !this->isMember() || this->isLeaving())
    return false;
  if (this->Agreed.contains(Suspect))
    return true;
  const auto Contact = this->LastContact.find(Suspect.Name);
  const bool HeardRecently = Contact != this->LastContact.end() &&
                             Now - Contact->second < SuspectAfter;
  if (HeardRecently || Now - this->ResumedAt < SuspectAfter)
    return false;
  this->Agreed.insert(Suspect);
  return true;
}

RemovalAnswer Membership::onRemovalRequest(const RemovalRequest &Request,
                                           TimePoint Now) {
  RemovalAnswer Answer{this->Self.Key, this->Set.Epoch, {}};
  const HostMember *Requester = this->Set.find(Request.Sender);
  if (Request.Epoch != this->Set.Epoch || !Requester ||
      Requester->FailureDomain != this->Self.FailureDomain ||
      Request.Suspects.size() > MaxSuspectsPerRequest)
    return Answer;
  for (const HostKey &Suspect : Request.Suspects)
    if (this->agreeTo(Suspect, Now))
      Answer.Agreed.push_back(Suspect);
  return Answer;
}

void Membership::onRemovalAnswer(const RemovalAnswer &Answer, TimePoint Now) {
  if (Answer.Epoch != this->Set.Epoch || !this->Set.find(Answer.Sender))
    return;
  this->LastContact[Answer.Sender.Name] = Now;
  this->Removal.recordAnswer(Answer);
}

std::vector<MembershipAction> Membership::tick(TimePoint Now) {
  std::vector<MembershipAction> Actions;
  this->detectPause(Now);
  this->updateReachedSince(Now);
  this->updateHeartbeatTargets(Now);
  this->suspectUnresponsive(Now);
  this->sendHeartbeats(Now, Actions);
  this->collectRemovals(Now, Actions);
  this->nominateSelf(Now);
  this->propose(Now, Actions);
  this->fetchNewer(Now, Actions);
  return Actions;
}

void Membership::detectPause(TimePoint Now) {
  const bool Paused = !this->LastTick || Now - *this->LastTick > PauseThreshold;
  this->LastTick = Now;
  if (!Paused)
    return;
  this->ResumedAt = Now;
  for (auto &[Name, Target] : this->HeartbeatTargets)
    Target.LastAnswer = Now;
}

// Continues to send heartbeats to suspected hosts, and adds another host for
// each of them.
void Membership::updateHeartbeatTargets(TimePoint Now) {
  if (this->TargetsVersion == this->Version)
    return;
  this->TargetsVersion = this->Version;
  std::map<std::string, HeartbeatTarget> Updated;
  const auto Add = [&](const std::vector<PlacementHost> &Hosts) {
    std::size_t Rank = 0;
    for (const std::string &Name :
         monitorsOf({this->Self.Key.Name, this->Self.FailureDomain}, Hosts)) {
      const auto Known = this->HeartbeatTargets.find(Name);
      const TimePoint LastAnswer = Known == this->HeartbeatTargets.end()
                                       ? Now
                                       : Known->second.LastAnswer;
      Updated.try_emplace(Name, HeartbeatTarget{LastAnswer, Rank++});
    }
  };
  if (this->isMember()) {
    Add(toPlacementHosts(this->Set.Members));
    Add(this->liveHosts());
  }
  this->HeartbeatTargets = std::move(Updated);
}

void Membership::suspectUnresponsive(TimePoint Now) {
  for (const auto &[Name, Target] : this->HeartbeatTargets) {
    const HostMember *Member = this->Set.find(Name);
    if (!Member || Now - Target.LastAnswer < SuspectAfter ||
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
  Action.Message.Gossip = this->gossipFor(To.Key.Name);
  Action.Message.WantsContacts =
      maxRemovedTogether(this->Domain.size()) >= 2 ||
      !this->Lease.allMembersReached(this->Set.Epoch, this->Domain);
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
        !this->HeartbeatTargets.contains(Peer.Key.Name))
      this->sendHeartbeat(Peer, Actions);
}

void Membership::sendHeartbeats(TimePoint Now,
                                std::vector<MembershipAction> &Actions) {
  if (Now < this->NextHeartbeat)
    return;
  this->NextHeartbeat = Now + HeartbeatInterval;
  ++this->Round;
  for (const auto &[Name, Target] : this->HeartbeatTargets)
    if (const HostMember *Member = this->Set.find(Name))
      this->sendHeartbeat(*Member, Actions);
  this->addRandomPeers(Actions);
}

// A host starts a removal only if one of the hosts that it monitors does not
// answer.
std::set<HostKey> Membership::suspectsToRemove(TimePoint Now) const {
  std::set<HostKey> Suspects;
  bool MayStart = false;
  for (const HostMember &Member : this->Domain) {
    if (!this->Statuses.isSuspected(Member.Key))
      continue;
    Suspects.insert(Member.Key);
    const auto Target = this->HeartbeatTargets.find(Member.Key.Name);
    MayStart |= Target != this->HeartbeatTargets.end() &&
                Now - Target->second.LastAnswer >=
                    SuspectAfter + RemovalStagger * Target->second.Rank;
  }
  return MayStart ? Suspects : std::set<HostKey>();
}

// Applies the limit to the domain as each suspect last knew it. The current
// members that had joined by that epoch are a lower bound of its size.
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
      this->Removal.update(this->suspectsToRemove(Now), Staying, Now);
  const std::set<HostKey> &Suspects = this->Removal.suspects();
  if (Suspects.empty() || !this->isWithinLimit(Suspects))
    return;
  const RemovalRequest Request{
      this->Self.Key, this->Set.Epoch, {Suspects.begin(), Suspects.end()}};
  this->Removal.recordAnswer(this->onRemovalRequest(Request, Now));
  for (const HostMember &Member : ToAsk)
    if (Member.Key != this->Self.Key)
      Actions.emplace_back(
          SendRemovalRequest{Member.Key.Name, Member.Address, Request});
}

void Membership::nominate(const std::string &Name,
                          std::optional<HostMember> Joining, TimePoint Due) {
  const auto [Entry, Inserted] =
      this->Nominations.try_emplace(Name, Nomination{Due, Joining});
  if (!Inserted)
    Entry->second.Joining = std::move(Joining);
}

// Usually, members add a host that sends them heartbeats. A host adds itself
// only if none of them does, for example because all members have restarted.
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
    return false; // A proposal with an outdated epoch would be rejected.
  if (this->canRemove(Now))
    return true;
  if (this->OwnRemovalAgreedSince &&
      Now - *this->OwnRemovalAgreedSince >= OwnRemovalAgreedLimit)
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
  this->ProposalUntil = Now + ProposalTimeout + this->jitter(JoinJitter);
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

void Membership::updateReachedSince(TimePoint Now) {
  const HostMember *Own = this->Set.find(this->Self.Key);
  if (Own == nullptr ||
      !this->Lease.allMembersReached(Own->Joined, this->Domain))
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
  if (!this->Lease.allMembersReached(Joined, this->Domain))
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
