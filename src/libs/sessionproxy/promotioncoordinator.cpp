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
  this->GroupStates[Claim.Name].Claim.claimRead(
      Claim.Revision, stringMember(Claim.Spec, HolderMember), BootClock::now());
}

PromotionCoordinator::Task<void> PromotionCoordinator::run() {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + CheckInterval);
    const TimePoint Now = steadyNow();
    for (const auto &[Name, Group] : this->State.groups()) {
      GroupState &Progress = this->GroupStates[Name];
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
  if (Group.tracker().orderedWithin(PromotionCooldown, Now) ||
      Group.isEvacuated())
    return false;
  if (this->isSuccessorDue(Group, Progress, Now))
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

bool PromotionCoordinator::isReplacedWhileServing(
    ProxyGroup &Group, const GroupState &Progress) const {
  return Progress.LeavingSince && !Group.suspectedSince();
}

PromotionCoordinator::Task<void>
PromotionCoordinator::attemptPromotion(std::shared_ptr<ProxyGroup> Group) {
  const std::shared_ptr<PromotionCoordinator> Keep = this->shared_from_this();
  const std::string Name = Group->name();
  GroupState &Progress = this->GroupStates[Name];
  Progress.NotBefore = steadyNow() + AttemptPause;
  Result<std::string> Member = std::string();
  if (!Progress.Demoted)
    Member = co_await this->chooseMember(Group, Progress);
  if (!Member) {
    logInfo("event=promotion_no_candidate group=" + Name + " reason=\"" +
            Member.error().Detail + "\"");
    Progress.PutOff = true;
    Progress.Active = false;
    co_return;
  }
  const Result<std::uint64_t> Token =
      co_await this->acquireClaim(Name, Progress);
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
    Progress.Active = false;
    co_return;
  }
  if (IsClaimExpired()) {
    logInfo("event=promotion_claim_expired group=" + Name);
    Progress.Active = false;
    co_return;
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
    Group->promotionOrdered(Member.value());
    if (Progress.Demoted && Progress.Demoted->Id == Member.value())
      Progress.Demoted.reset();
    this->State.recordPromotionOrder(Name, Member.value(), Now);
  } else if (Ordered.error().Kind == ErrorKind::VersionConflict) {
    Progress.RefusedAt[Member.value()] = Now;
  }
  Progress.Active = false;
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
    const Result<void> Demoted = co_await this->demote(Group, Progress);
    if (!Demoted) {
      // Until then, the primary had answered this host just before.
      const TimePoint Now = steadyNow();
      if (!Progress.LeavingSince ||
          Now >= *Progress.LeavingSince + CompleteMemberWait)
        Progress.NotBefore = Now + DemotionPause;
      co_return Demoted.error();
    }
  }
  const Demotion Replaced = *Progress.Demoted;
  const CommitGuarantee Before = Group.commitGuarantee();
  std::vector<PromotionCandidate> Candidates;
  do {
    const auto Answers =
        co_await Group.queryStatus(steadyNow() + SuccessorStatusTimeout);
    Candidates = this->candidatesFrom(Group, Progress, Answers, Replaced.Id);
    if (std::ranges::any_of(Candidates, &PromotionCandidate::IsPrimary))
      co_return failure(ErrorKind::Unavailable,
                        "a member already is the primary");
    if (const std::optional<std::string> Successor =
            chooseSuccessor(Candidates, Replaced.End))
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
  const std::optional<std::string> Primary = Group.tracker().primary(Now);
  if (!Primary || !Progress.LeavingSince)
    co_return failure(ErrorKind::Unavailable, "no leaving primary is known");
  Demotion Started;
  Started.Id = *Primary;
  Started.CompleteUntil = *Progress.LeavingSince + CompleteMemberWait;
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

/// Acquires the claim to promote a member of \p Group.
/// \returns the fencing token. Errors: VersionConflict while another host
///          holds it, PlatformUnavailable.
PromotionCoordinator::Task<Result<std::uint64_t>>
PromotionCoordinator::acquireClaim(const std::string &Group,
                                   GroupState &Progress) {
  StoredObject Claim;
  Claim.Name = Group;
  const std::string Attempt = std::to_string(this->Random());
  Claim.Spec[HolderMember] = this->State.identity().Host;
  Claim.Spec[AttemptMember] = Attempt;
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
    Claim.Revision = Old.Revision;
    Stored = co_await this->Store.replaceIfUnchanged(
        Collection::Promotions, Claim, steadyNow() + CallTimeout);
  }
  if (Stored)
    co_return Stored.value().Revision;
  if (Stored.error().Kind != ErrorKind::PlatformUnavailable)
    co_return Stored.error();
  // The claim may have been stored although the answer was lost.
  const Result<StoredObject> Read = co_await this->Store.get(
      Collection::Promotions, Group, steadyNow() + CallTimeout);
  if (Read && stringMember(Read.value().Spec, AttemptMember) == Attempt)
    co_return Read.value().Revision;
  co_return Stored.error();
}

/// \param Replaced leaving primary that is to be replaced, if there is one. It
///        is no candidate.
std::vector<PromotionCandidate> PromotionCoordinator::candidatesFrom(
    ProxyGroup &Group, const GroupState &Progress,
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
  if (this->isReplacedWhileServing(*Group, Progress) &&
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
