#include "promotioncoordinator.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *HolderMember = "holder";
constexpr const char *AttemptMember = "attempt";
/// Member of the group whose promotion was or will be ordered, and the newest
/// known term before that. Only in groups with synchronous replicas, until it
/// is known that the order will not take effect.
constexpr const char *OrderedMember = "ordered";
constexpr const char *TermMember = "term";
/// Fencing token of an order that was withdrawn.
constexpr const char *SettledMember = "settled";

std::string stringMember(const Json::Value &Spec, const char *Member) {
  return Spec.isObject() && Spec[Member].isString() ? Spec[Member].asString()
                                                    : std::string();
}

std::chrono::milliseconds toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length);
}

} // namespace

PromotionCoordinator::PromotionCoordinator(asio::any_io_executor Executor,
                                           ObjectStore &Store,
                                           PromotionAuthority &Authority,
                                           ProxyState &State,
                                           MemberRecords &Members)
    : Executor(std::move(Executor)), Store(Store), Authority(Authority),
      State(State), Members(Members), Random(std::random_device{}()) {}

void PromotionCoordinator::start() {
  asio::co_spawn(this->Executor, this->run(), asio::detached);
  asio::co_spawn(this->Executor, this->refreshClaims(), asio::detached);
}

PromotionCoordinator::Task<void> PromotionCoordinator::refreshClaims() {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  while (!this->Stopped) {
    const Result<StoredObjects> Listed = co_await this->Store.list(
        Collection::Promotions, ListFreshness::MayBeStale,
        steadyNow() + CallTimeout);
    if (Listed)
      for (const StoredObject &Each : Listed.value().Objects)
        this->recordClaim(Each);
    else
      logInfo("event=claims_unknown error=\"" + Listed.error().Detail + "\"");
    co_await sleepUntil(steadyNow() + ClaimListInterval);
  }
}

void PromotionCoordinator::recordClaim(const StoredObject &Claim) {
  GroupState &Progress = this->GroupStates[Claim.Name];
  Progress.Claim.claimRead(
      Claim.Revision, stringMember(Claim.Spec, HolderMember), BootClock::now());
  const std::shared_ptr<ProxyGroup> Group = this->State.findGroup(Claim.Name);
  // This host may still decide to send no order.
  const bool IsUnderWay =
      Progress.Active &&
      stringMember(Claim.Spec, AttemptMember) == Progress.Attempt;
  if (!Group || Group->synchronousReplicas() == 0 || IsUnderWay)
    return;
  PrimaryTracker &Tracker = Group->tracker();
  const std::string Ordered = stringMember(Claim.Spec, OrderedMember);
  const Json::Value &Before = Claim.Spec[TermMember];
  const Json::Value &Settled = Claim.Spec[SettledMember];
  if (Settled.isUInt64())
    Tracker.orderSettled(Settled.asUInt64());
  if (Ordered.empty())
    return;
  const auto Known = Tracker.pendingOrder();
  Tracker.orderPending({Ordered, Claim.Revision,
                        Term{Before.isUInt64() ? Before.asUInt64() : 0}});
  const auto &Pending = Tracker.pendingOrder();
  if (Pending && (!Known || Known->Token != Pending->Token))
    logInfo("event=promotion_pending group=" + Claim.Name + " upstream=" +
            Pending->Id + " token=" + std::to_string(Pending->Token));
}

/// Reads the claim of a group with synchronous replicas, and so the orders of
/// other hosts.
PromotionCoordinator::Task<void>
PromotionCoordinator::readClaim(std::shared_ptr<ProxyGroup> Group) {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  GroupState &Progress = this->GroupStates[Group->name()];
  const TimePoint Began = steadyNow();
  Progress.ReadClaimAt = Began + OrderReadInterval;
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Promotions, Group->name(), Began + CallTimeout);
  Progress.ReadingClaim = false;
  if (Present)
    this->recordClaim(Present.value());
  else if (Present.error().Kind != ErrorKind::NotFound) {
    logInfo("event=orders_unknown group=" + Group->name() + " error=\"" +
            Present.error().Detail + "\"");
    co_return;
  }
  Group->ordersRead(Began);
}

PromotionCoordinator::Task<void> PromotionCoordinator::run() {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + CheckInterval);
    const TimePoint Now = steadyNow();
    for (const auto &[Name, Group] : this->State.groups()) {
      GroupState &Progress = this->GroupStates[Name];
      if ((Group->needsOrders() || Group->tracker().pendingOrder()) &&
          !Group->inTrouble() && !Progress.Active && !Progress.ReadingClaim &&
          Now >= Progress.ReadClaimAt) {
        Progress.ReadingClaim = true;
        asio::co_spawn(this->Executor, this->readClaim(Group), asio::detached);
      }
      if (Progress.Active || Now < Progress.NotBefore ||
          !this->isDue(*Group, Progress, Now))
        continue;
      Progress.Active = true;
      asio::co_spawn(this->Executor, this->attemptPromotion(Group),
                     asio::detached);
    }
  }
}

bool PromotionCoordinator::isDue(ProxyGroup &Group, GroupState &Progress,
                                 TimePoint Now) {
  FleetView &Fleet = this->State.fleet();
  const BootTime BootNow = BootClock::now();
  const PromotionLimits Limits;
  const auto &Pending = Group.tracker().pendingOrder();
  if (Pending && Progress.PendingToken != Pending->Token) {
    Progress.PendingToken = Pending->Token;
    Progress.PendingSince = Now;
  }
  if (Group.tracker().orderedWithin(PromotionCooldown, Now) ||
      Group.isEvacuated())
    return false;
  if (this->isSuccessorDue(Group, Progress, Now))
    return true;
  if (this->isSettlementDue(Group, Progress, Now))
    return true;
  const std::optional<std::string> Primary = Group.tracker().primary(Now);
  const bool Leaving = Primary && Group.tracker().isLeaving(*Primary);
  if (!Leaving)
    Progress.LeavingSince.reset();
  else if (!Progress.LeavingSince)
    Progress.LeavingSince = Now;
  const std::optional<TimePoint> Since = Group.suspectedSince();
  if (!Since)
    Progress.PutOff = false;
  if (!Leaving && !Since)
    return false;
  const std::size_t Rank = this->State.access().promotionRank(Group.name());
  // A leaving primary that this host does not reach may serve other hosts.
  if (!Since)
    return Now - *Progress.LeavingSince >= Limits.delay(Rank);
  std::vector<PrimaryReport> Others;
  for (const FleetView::Host *Host : Fleet.recentlyHeard(BootNow))
    for (const GroupReport &Each : Host->Last->Groups) {
      if (Each.Group != Group.name())
        continue;
      PrimaryReport Opinion;
      Opinion.Suspects = Each.Suspects;
      if (Each.PrimaryProofAgeMs >= 0)
        Opinion.ProvenAge =
            std::chrono::milliseconds(Each.PrimaryProofAgeMs) +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                BootNow - Host->HeardAt);
      Others.push_back(Opinion);
    }
  return shouldPromote(Others, Fleet.inContact(BootNow), Fleet.size(BootNow),
                       Rank, toMilliseconds(Now - *Since), Limits);
}

/// Whether a primary that this host demoted still has no successor.
bool PromotionCoordinator::isSuccessorDue(ProxyGroup &Group,
                                          GroupState &Progress, TimePoint Now) {
  if (!Progress.Demoted)
    return false;
  if (Group.tracker().lastPrimary() != Progress.Demoted->Id ||
      Now >= Progress.Demoted->ReplaceUntil)
    Progress.Demoted.reset();
  return Progress.Demoted.has_value();
}

/// Whether a primary is back while an order to replace it is pending, and this
/// host should settle that order. If no primary is back, it is replaced like
/// any that has failed.
bool PromotionCoordinator::isSettlementDue(ProxyGroup &Group,
                                           GroupState &Progress,
                                           TimePoint Now) {
  const auto &Pending = Group.tracker().pendingOrder();
  if (!Pending || Group.synchronousReplicas() == 0)
    return false;
  if (Group.suspectedSince() || !Group.tracker().lastPrimary())
    return false;
  if (Progress.Claim.isHeldBy(this->State.identity().Host))
    return true;
  const std::size_t Rank = this->State.access().promotionRank(Group.name());
  return Now - Progress.PendingSince >=
         ClaimTracker::LeaseDuration + PromotionLimits().delay(Rank);
}

bool PromotionCoordinator::isReplacedWhileServing(
    ProxyGroup &Group, const GroupState &Progress) const {
  return (Progress.LeavingSince || Group.tracker().pendingOrder()) &&
         !Group.suspectedSince();
}

PromotionCoordinator::Task<void>
PromotionCoordinator::attemptPromotion(std::shared_ptr<ProxyGroup> Group) {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  const std::string Name = Group->name();
  GroupState &Progress = this->GroupStates[Name];
  Progress.NotBefore = steadyNow() + AttemptPause;
  Result<std::string> Member = std::string();
  const bool Synchronous = Group->synchronousReplicas() > 0;
  if (Group->tracker().pendingOrder() && !Group->suspectedSince())
    Member = Group->tracker().pendingOrder()->Id;
  else if (!Progress.Demoted)
    Member = co_await this->chooseMember(Group, Progress);
  if (!Member) {
    logInfo("event=promotion_no_candidate group=" + Name + " reason=\"" +
            Member.error().Detail + "\"");
    Progress.PutOff = true;
    Progress.Active = false;
    co_return;
  }
  // A demoted primary acknowledges nothing, so its successor need not be known.
  const bool IsOrderKnown = Synchronous && !Progress.Demoted &&
                            !this->isReplacedWhileServing(*Group, Progress);
  const std::string Claimed = IsOrderKnown ? Member.value() : std::string();
  const Result<std::uint64_t> Token =
      co_await this->acquireClaim(Name, Progress, Claimed);
  Progress.IsEarlierPending = Group->tracker().pendingOrder().has_value();
  const BootTime ClaimedAt = BootClock::now();
  const TimePoint ClaimedAtSteady = steadyNow();
  // A host that had contact to most of the fleet all the time was not cut off,
  // so its suspicion does not date from before the end of a cut.
  const bool MayBeStale = !Group->suspectedSince() || Progress.PutOff ||
                          this->State.lowestContact() < MajorityContact;
  if (Token && MayBeStale && !Progress.Demoted)
    co_await Group->probeLastPrimary(steadyNow() + ConfirmationTime);
  // Since the check, other hosts may have acted or the primary may have
  // recovered.
  if (!Token ||
      Group->tracker().orderedWithin(PromotionCooldown, steadyNow()) ||
      !this->isDue(*Group, Progress, steadyNow())) {
    logInfo("event=promotion_not_claimed group=" + Name + " reason=\"" +
            (Token ? "promotion no longer needed" : Token.error().Detail) +
            "\"");
    Progress.NotBefore = steadyNow() + ClaimPause;
    if (Token && IsOrderKnown)
      co_await this->releaseOrder(Name, Token.value());
    Progress.Active = false;
    co_return;
  }
  const auto IsClaimExpired = [ClaimedAt] {
    return BootClock::now() - ClaimedAt > ClaimValidity;
  };
  if (!IsClaimExpired() &&
      (Progress.Demoted || this->isReplacedWhileServing(*Group, Progress)))
    Member = co_await this->replaceServing(*Group, Progress, Member.value(),
                                           ClaimedAtSteady + SuccessorWait);
  if (!Member) {
    logInfo("event=promotion_not_ordered group=" + Name + " reason=\"" +
            Member.error().Detail + "\"");
    if (IsOrderKnown)
      co_await this->releaseOrder(Name, Token.value());
    Progress.Active = false;
    co_return;
  }
  if (IsClaimExpired()) {
    logInfo("event=promotion_claim_expired group=" + Name);
    if (IsOrderKnown)
      co_await this->releaseOrder(Name, Token.value());
    Progress.Active = false;
    co_return;
  }
  if (Synchronous) {
    Group->tracker().orderPending(
        {Member.value(), Token.value(), this->newestTerm(Name)});
    this->State.recordPromotionOrder(Name, Member.value(), steadyNow());
  }
  const Result<void> Ordered = co_await this->Authority.promote(
      Name, Member.value(), Token.value(), steadyNow() + CallTimeout);
  logInfo(
      "event=promotion_ordered group=" + Name + " upstream=" + Member.value() +
      " token=" + std::to_string(Token.value()) +
      (Ordered ? " outcome=accepted"
               : " outcome=failed error=\"" + Ordered.error().Detail + "\""));
  const TimePoint Now = steadyNow();
  if (Ordered) {
    this->State.metrics().Promotions.add();
    Progress.NotBefore = Now + PromotionCooldown;
    Progress.IsEarlierPending = false;
    Group->promotionOrdered(Member.value());
    if (Progress.Demoted && Progress.Demoted->Id == Member.value())
      Progress.Demoted.reset();
    this->State.recordPromotionOrder(Name, Member.value(), Now);
  } else if (Ordered.error().Kind == ErrorKind::VersionConflict) {
    Progress.RefusedAt[Member.value()] = Now;
  }
  if (Synchronous && !Ordered &&
      Ordered.error().Kind != ErrorKind::PlatformUnavailable)
    co_await this->releaseOrder(Name, Token.value());
  Progress.Active = false;
}

/// Withdraws the order that the claim names, because it was not sent or was
/// refused. Keeps it if an earlier one may still take effect.
PromotionCoordinator::Task<void>
PromotionCoordinator::releaseOrder(const std::string &Group,
                                   std::uint64_t Token) {
  GroupState &Progress = this->GroupStates[Group];
  if (Progress.IsEarlierPending)
    co_return;
  StoredObject Claim = this->newClaim(Group, {});
  Claim.Spec[SettledMember] = Json::UInt64(Token);
  Claim.Revision = Token;
  const Result<StoredObject> Released = co_await this->Store.replaceIfUnchanged(
      Collection::Promotions, Claim, steadyNow() + CallTimeout);
  if (Released)
    this->recordClaim(Released.value());
  logInfo("event=promotion_order_released group=" + Group +
          (Released ? "" : " error=\"" + Released.error().Detail + "\""));
}

/// Demotes a primary that still serves, unless that was done before, and
/// chooses the member to promote in its place.
/// \param Chosen the member that was chosen before the claim.
/// \param Until when the choice has to be made.
/// Errors: Unavailable, ReplicaBehind.
PromotionCoordinator::Task<Result<std::string>>
PromotionCoordinator::replaceServing(ProxyGroup &Group, GroupState &Progress,
                                     std::string Chosen, TimePoint Until) {
  if (!Progress.Demoted) {
    // Nothing may be sent to an evacuated primary, and the hosts that have
    // heard of the order use it no more.
    if (Group.isPrimaryEvacuated())
      co_return Chosen;
    // The member that was ordered may be gone. An order for the primary that is
    // back then changes nothing but makes the one before invalid.
    const std::optional<std::string> Back = Group.tracker().lastPrimary();
    if (Group.tracker().pendingOrder() && !Progress.LeavingSince && Back) {
      const auto Answers =
          co_await Group.queryStatus(steadyNow() + SuccessorStatusTimeout);
      const std::vector<PromotionCandidate> Known =
          this->candidatesFrom(Group, Progress, Answers, Back);
      if (std::ranges::none_of(Known, [&](const PromotionCandidate &Each) {
            return Each.Id == Chosen && Each.Eligible;
          }))
        co_return *Back;
    }
    const Result<void> Demoted = co_await this->demote(Group, Progress);
    if (!Demoted) {
      // Until then, the primary had answered this host just before.
      const TimePoint Now = steadyNow();
      if (Group.tracker().pendingOrder())
        Progress.NotBefore = Now + ClaimPause;
      else if (!Progress.LeavingSince ||
               Now >= *Progress.LeavingSince + CompleteMemberWait)
        Progress.NotBefore = Now + DemotionPause;
      co_return Demoted.error();
    }
  }
  const Demotion Replaced = *Progress.Demoted;
  const std::optional<PrimaryTracker::PendingOrder> Pending =
      Group.tracker().pendingOrder();
  const CommitGuarantee Before = Group.commitGuarantee();
  std::vector<PromotionCandidate> Candidates;
  do {
    const auto Answers =
        co_await Group.queryStatus(steadyNow() + SuccessorStatusTimeout);
    Candidates = this->candidatesFrom(Group, Progress, Answers, Replaced.Id);
    if (std::ranges::any_of(Candidates, &PromotionCandidate::IsPrimary))
      co_return failure(ErrorKind::Unavailable,
                        "a member already is the primary");
    if (const std::optional<std::string> Successor = chooseSuccessor(
            Candidates, Replaced.End, Pending ? Pending->Id : std::string()))
      co_return *Successor;
    co_await sleepUntil(steadyNow() + SuccessorPollPause);
  } while (steadyNow() + SuccessorStatusTimeout < Until);
  if (Before.SynchronousReplicas > 0)
    co_return this->chooseComplete(Group, Candidates, Before);
  std::erase_if(Candidates,
                [](const PromotionCandidate &Each) { return !Each.Eligible; });
  const std::optional<std::string> Best = choosePromotionCandidate(Candidates);
  // Without synchronous replicas, the demoted primary alone may have commits
  // that were acknowledged. It leads again until a replica has caught up.
  if (!Best || steadyNow() < Replaced.CompleteUntil)
    co_return Replaced.Id;
  co_return *Best;
}

PromotionCoordinator::Task<Result<void>>
PromotionCoordinator::demote(ProxyGroup &Group, GroupState &Progress) {
  const TimePoint Now = steadyNow();
  const bool IsOrderPending = Group.tracker().pendingOrder().has_value();
  const std::optional<std::string> Primary = IsOrderPending
                                                 ? Group.tracker().lastPrimary()
                                                 : Group.tracker().primary(Now);
  if (!Primary || (!IsOrderPending && !Progress.LeavingSince))
    co_return failure(ErrorKind::Unavailable, "no leaving primary is known");
  Demotion Started;
  Started.Id = *Primary;
  Started.CompleteUntil =
      Progress.LeavingSince.value_or(Now) + CompleteMemberWait;
  Started.ReplaceUntil = Now + DemotionLifetime;
  const Result<UpstreamStatus> Status =
      co_await Group.demotePrimary(*Primary, Now + DemotionTimeout);
  logInfo("event=primary_demoted group=" + Group.name() +
          " upstream=" + *Primary +
          (Status ? " position=" + toString(Status.value().Received)
                  : " error=\"" + Status.error().Detail + "\""));
  if (!Status)
    co_return Status.error();
  Started.End = Status.value().Received;
  Progress.Demoted = std::move(Started);
  co_return success();
}

/// Names a pending order in \p Claim if it names none, so that the order is not
/// forgotten should this host fail.
void PromotionCoordinator::keepPendingOrder(StoredObject &Claim) {
  const std::shared_ptr<ProxyGroup> Group = this->State.findGroup(Claim.Name);
  if (!Group || !Group->tracker().pendingOrder() ||
      Claim.Spec.isMember(OrderedMember))
    return;
  const PrimaryTracker::PendingOrder &Pending =
      *Group->tracker().pendingOrder();
  Claim.Spec[OrderedMember] = Pending.Id;
  Claim.Spec[TermMember] = Json::UInt64(Pending.Before.Value);
}

/// Builds a claim of this host.
/// \param Ordered the member to order; empty if it is not known yet.
StoredObject PromotionCoordinator::newClaim(const std::string &Group,
                                            const std::string &Ordered) {
  StoredObject Claim;
  Claim.Name = Group;
  Claim.Spec[HolderMember] = this->State.identity().Host;
  Claim.Spec[AttemptMember] = std::to_string(this->Random());
  if (!Ordered.empty()) {
    Claim.Spec[OrderedMember] = Ordered;
    Claim.Spec[TermMember] = Json::UInt64(this->newestTerm(Group).Value);
  }
  return Claim;
}

Term PromotionCoordinator::newestTerm(const std::string &Group) {
  const Term Answered = this->GroupStates[Group].NewestTerm;
  const std::shared_ptr<ProxyGroup> Found = this->State.findGroup(Group);
  return Found ? std::max(Found->tracker().term(), Answered) : Answered;
}

/// Acquires the claim to promote a member of \p Group.
/// \param Ordered the member, if it is known.
/// \returns the fencing token. Errors: VersionConflict while another host
///          holds it, PlatformUnavailable.
PromotionCoordinator::Task<Result<std::uint64_t>>
PromotionCoordinator::acquireClaim(const std::string &Group,
                                   GroupState &Progress,
                                   const std::string &Ordered) {
  StoredObject Claim = this->newClaim(Group, Ordered);
  const std::string Attempt = stringMember(Claim.Spec, AttemptMember);
  Progress.Attempt = Attempt;
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Promotions, Group, steadyNow() + CallTimeout);
  Result<StoredObject> Stored = Present;
  if (!Present && Present.error().Kind == ErrorKind::NotFound) {
    Stored = co_await this->Store.create(Collection::Promotions, Claim,
                                         steadyNow() + CallTimeout);
  } else if (Present) {
    const StoredObject &Old = Present.value();
    this->recordClaim(Old);
    if (!Progress.Claim.mayClaim(this->State.identity().Host, BootClock::now()))
      co_return failure(ErrorKind::VersionConflict,
                        "claimed by " + stringMember(Old.Spec, HolderMember));
    this->keepPendingOrder(Claim);
    Claim.Revision = Old.Revision;
    Stored = co_await this->Store.replaceIfUnchanged(
        Collection::Promotions, Claim, steadyNow() + CallTimeout);
  }
  if (Stored) {
    this->recordClaim(Stored.value());
    co_return Stored.value().Revision;
  }
  if (Stored.error().Kind != ErrorKind::PlatformUnavailable)
    co_return Stored.error();
  // The claim may have been stored although the answer was lost.
  const Result<StoredObject> Read = co_await this->Store.get(
      Collection::Promotions, Group, steadyNow() + CallTimeout);
  if (Read && stringMember(Read.value().Spec, AttemptMember) == Attempt) {
    this->recordClaim(Read.value());
    co_return Read.value().Revision;
  }
  co_return Stored.error();
}

/// \param Replaced leaving primary that is to be replaced, if there is one. It
///        is no candidate.
std::vector<PromotionCandidate> PromotionCoordinator::candidatesFrom(
    ProxyGroup &Group, GroupState &Progress,
    const std::vector<std::pair<std::string, UpstreamStatus>> &Answers,
    const std::optional<std::string> &Replaced) {
  const TimePoint Now = steadyNow();
  std::vector<PromotionCandidate> Candidates;
  for (const auto &[Id, Status] : Answers) {
    const auto Refused = Progress.RefusedAt.find(Id);
    const bool WasRefused = Refused != Progress.RefusedAt.end() &&
                            Now - Refused->second < RefusedMemberPause;
    const bool Leaving = Group.tracker().isLeaving(Id);
    logInfo("event=promotion_candidate group=" + Group.name() + " upstream=" +
            Id + " term=" + std::to_string(Status.Received.InTerm.Value) +
            " position=" + std::to_string(Status.Received.Log.Value) +
            (Leaving ? " leaving=true" : "") +
            (Status.Primary ? " role=primary" : " role=replica"));
    Progress.NewestTerm = std::max(Progress.NewestTerm, Status.InTerm);
    if (Status.Primary)
      Group.tracker().recordStatus(Id, Status.InTerm, Now);
    if (Id == Replaced)
      continue;
    // When a leaving primary is replaced, it stays primary if all other members
    // are leaving as well.
    const bool Eligible = !WasRefused && !(Replaced && Leaving);
    Candidates.push_back(
        {Id, Status.Received, Leaving, Status.Primary, Eligible});
  }
  return Candidates;
}

PromotionCoordinator::Task<Result<std::string>>
PromotionCoordinator::chooseMember(std::shared_ptr<ProxyGroup> Group,
                                   GroupState &Progress) {
  if (Group->synchronousReplicas() > 0) {
    const Result<void> Refreshed = co_await this->Members.refresh(Group);
    if (!Refreshed)
      co_return failure(ErrorKind::PlatformUnavailable,
                        "the record of departed replicas cannot be read: " +
                            Refreshed.error().Detail);
  }
  const CommitGuarantee Before = Group->commitGuarantee();
  const auto Answers = co_await Group->queryStatus(
      steadyNow() +
      (Before.SynchronousReplicas > 0 ? CompleteStatusTimeout : StatusTimeout));
  const TimePoint Now = steadyNow();
  const std::optional<std::string> Primary = Group->tracker().lastPrimary();
  // Such a primary could not be demoted by this host.
  if (Progress.LeavingSince && !Group->suspectedSince() &&
      !Group->isPrimaryEvacuated() &&
      Now < *Progress.LeavingSince + CompleteMemberWait &&
      std::ranges::none_of(Answers, [&Primary](const auto &Each) {
        return Each.first == Primary;
      }))
    co_return failure(ErrorKind::Unavailable,
                      "the leaving primary does not answer");
  std::vector<PromotionCandidate> Candidates =
      this->candidatesFrom(*Group, Progress, Answers,
                           Progress.LeavingSince ? Primary : std::nullopt);
  if (Before.SynchronousReplicas > 0)
    co_return this->chooseComplete(*Group, Candidates, Before);
  std::erase_if(Candidates,
                [](const PromotionCandidate &Each) { return !Each.Eligible; });
  const std::optional<std::string> Best = choosePromotionCandidate(Candidates);
  if (!Best)
    co_return failure(ErrorKind::Unavailable,
                      Candidates.empty() ? "no member answered"
                                         : "a member already is the primary");
  const std::optional<Position> Newest = Group->verified().newestPosition();
  const std::optional<TimePoint> Suspected = Group->suspectedSince();
  for (const PromotionCandidate &Each : Candidates) {
    if (Each.Id != *Best)
      continue;
    if (Progress.LeavingSince && Newest && Each.Received < *Newest &&
        Now - *Progress.LeavingSince < CompleteMemberWait)
      co_return failure(ErrorKind::ReplicaBehind,
                        "the most recent replica still lacks commits");
    if (Suspected &&
        !mayLeadAfter(Each.Received, Group->tracker().term(),
                      toMilliseconds(Now - *Suspected), PromotionLimits()))
      co_return failure(ErrorKind::ReplicaBehind,
                        "no member has commits of the newest term");
  }
  co_return *Best;
}

/// Chooses a member of a group with synchronous replicas. Unlike without them,
/// a member that lacks commits is not promoted even if the primary has failed
/// for good: an operator decides that by ending the guarantee in the catalogue.
Result<std::string> PromotionCoordinator::chooseComplete(
    ProxyGroup &Group, const std::vector<PromotionCandidate> &Candidates,
    const CommitGuarantee &Before) {
  // Replicas may have come and gone during the query.
  CommitGuarantee Guarantee = Group.commitGuarantee();
  Guarantee.Replicas = std::max(Guarantee.Replicas, Before.Replicas);
  Result<std::string> Chosen = chooseCompleteCandidate(Candidates, Guarantee);
  logInfo("event=promotion_choice group=" + Group.name() +
          " synchronous=" + std::to_string(Guarantee.SynchronousReplicas) +
          " answered=" + std::to_string(Candidates.size()) +
          " replicas=" + std::to_string(Guarantee.Replicas) +
          (Chosen ? " upstream=" + Chosen.value()
                  : " error=\"" + Chosen.error().Detail + "\""));
  return Chosen;
}

} // namespace lavenderdale
