#include "promotionduty.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *HolderMember = "holder";
constexpr const char *AttemptMember = "attempt";

std::string textOf(const Json::Value &Spec, const char *Member) {
  return Spec.isObject() && Spec[Member].isString() ? Spec[Member].asString()
                                                    : std::string();
}

std::chrono::milliseconds toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length);
}

} // namespace

PromotionDuty::PromotionDuty(asio::any_io_executor Executor, ObjectStore &Store,
                             PromotionAuthority &Authority, ProxyState &State)
    : Executor(std::move(Executor)), Store(Store), Authority(Authority),
      State(State), Random(std::random_device{}()) {}

void PromotionDuty::start() {
  asio::co_spawn(this->Executor, this->run(), asio::detached);
  asio::co_spawn(this->Executor, this->listClaims(), asio::detached);
}

PromotionDuty::Task<void> PromotionDuty::listClaims() {
  const std::shared_ptr<PromotionDuty> Keep = this->shared_from_this();
  while (!this->Stopped) {
    const Result<StoredObjects> Listed = co_await this->Store.list(
        Collection::Promotions, ListFreshness::MayBeStale,
        steadyNow() + CallLimit);
    if (Listed)
      for (const StoredObject &Each : Listed.value().Objects)
        this->sawClaim(Each);
    else
      logInfo("event=claims_unknown error=\"" + Listed.error().Detail + "\"");
    co_await sleepUntil(steadyNow() + ListInterval);
  }
}

void PromotionDuty::sawClaim(const StoredObject &Claim) {
  this->Duties[Claim.Name].Claim.saw(
      Claim.Revision, textOf(Claim.Spec, HolderMember), BootClock::now());
}

PromotionDuty::Task<void> PromotionDuty::run() {
  const std::shared_ptr<PromotionDuty> Keep = this->shared_from_this();
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + CheckInterval);
    const TimePoint Now = steadyNow();
    for (const auto &[Name, Group] : this->State.groups()) {
      GroupDuty &Duty = this->Duties[Name];
      if (Duty.Active || Now < Duty.NotBefore ||
          !this->isDue(*Group, Duty, Now))
        continue;
      Duty.Active = true;
      asio::co_spawn(this->Executor, this->attempt(Group), asio::detached);
    }
  }
}

bool PromotionDuty::isDue(ProxyGroup &Group, GroupDuty &Duty, TimePoint Now) {
  FleetView &Fleet = this->State.fleet();
  const BootTime BootNow = BootClock::now();
  const std::size_t Rank = Fleet.rank(BootNow);
  const PromotionLimits Limits;
  if (Group.tracker().orderedWithin(OrderLifetime, Now))
    return false;
  const std::optional<std::string> Primary = Group.tracker().primary(Now);
  const bool Leaving = Primary && Group.tracker().isLeaving(*Primary);
  if (!Leaving)
    Duty.LeavingSince.reset();
  else if (!Duty.LeavingSince)
    Duty.LeavingSince = Now;
  if (Leaving &&
      Now - *Duty.LeavingSince >= Limits.RankDelay * static_cast<int>(Rank))
    return true;
  const std::optional<TimePoint> Since = Group.suspectedSince();
  if (!Since)
    return false;
  std::vector<PrimaryOpinion> Others;
  for (const FleetView::Host *Host : Fleet.fresh(BootNow))
    for (const GroupReport &Each : Host->Last->Groups) {
      if (Each.Group != Group.name())
        continue;
      PrimaryOpinion Opinion;
      Opinion.Suspects = Each.Suspects;
      if (Each.ProvenAgeMs >= 0)
        Opinion.ProvenAge =
            std::chrono::milliseconds(Each.ProvenAgeMs) +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                BootNow - Host->HeardAt);
      Others.push_back(Opinion);
    }
  return decidePromotion(Others, Fleet.size(BootNow), Rank,
                         toMilliseconds(Now - *Since), Limits);
}

PromotionDuty::Task<void>
PromotionDuty::attempt(std::shared_ptr<ProxyGroup> Group) {
  const std::shared_ptr<PromotionDuty> Keep = this->shared_from_this();
  const std::string Name = Group->name();
  GroupDuty &Duty = this->Duties[Name];
  Duty.NotBefore = steadyNow() + AttemptPause;
  const Result<std::string> Member = co_await this->chooseMember(*Group, Duty);
  if (!Member) {
    logInfo("event=promotion_no_candidate group=" + Name + " reason=\"" +
            Member.error().Detail + "\"");
    Duty.Active = false;
    co_return;
  }
  const Result<std::uint64_t> Token = co_await this->claim(Name, Duty);
  const BootTime ClaimedAt = BootClock::now();
  // The others may have acted, and the primary may be back, since the check.
  if (!Token || Group->tracker().orderedWithin(OrderLifetime, steadyNow()) ||
      !this->isDue(*Group, Duty, steadyNow())) {
    logInfo("event=promotion_not_claimed group=" + Name + " reason=\"" +
            (Token ? "no longer due" : Token.error().Detail) + "\"");
    Duty.NotBefore = steadyNow() + ClaimPause;
    Duty.Active = false;
    co_return;
  }
  if (BootClock::now() - ClaimedAt > OrderAfterClaim) {
    logInfo("event=promotion_claim_expired group=" + Name);
    Duty.Active = false;
    co_return;
  }
  const Result<void> Ordered = co_await this->Authority.promote(
      Name, Member.value(), Token.value(), steadyNow() + CallLimit);
  logInfo(
      "event=promotion_ordered group=" + Name + " upstream=" + Member.value() +
      " token=" + std::to_string(Token.value()) +
      (Ordered ? " outcome=accepted"
               : " outcome=failed error=\"" + Ordered.error().Detail + "\""));
  const TimePoint Now = steadyNow();
  if (Ordered) {
    this->State.metrics().Promotions.add();
    Duty.NotBefore = Now + OrderLifetime;
    Group->promotionOrdered(Member.value());
    this->State.setOrdered(Name, Member.value(), Now);
  } else if (Ordered.error().Kind == ErrorKind::VersionConflict) {
    Duty.RefusedAt[Member.value()] = Now;
  }
  Duty.Active = false;
}

/// Takes the claim of \p Group.
/// \returns the fencing token. Errors: VersionConflict while another host
///          holds it, PlatformUnavailable.
PromotionDuty::Task<Result<std::uint64_t>>
PromotionDuty::claim(const std::string &Group, GroupDuty &Duty) {
  StoredObject Claim;
  Claim.Name = Group;
  const std::string Attempt = std::to_string(this->Random());
  Claim.Spec[HolderMember] = this->State.identity().Host;
  Claim.Spec[AttemptMember] = Attempt;
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Promotions, Group, steadyNow() + CallLimit);
  Result<StoredObject> Stored = Present;
  if (!Present && Present.error().Kind == ErrorKind::NotFound) {
    Stored = co_await this->Store.create(Collection::Promotions, Claim,
                                         steadyNow() + CallLimit);
  } else if (Present) {
    const StoredObject &Old = Present.value();
    this->sawClaim(Old);
    if (!Duty.Claim.isFree(this->State.identity().Host, BootClock::now()))
      co_return failure(ErrorKind::VersionConflict,
                        "claimed by " + textOf(Old.Spec, HolderMember));
    Claim.Revision = Old.Revision;
    Stored = co_await this->Store.replaceIf(Collection::Promotions, Claim,
                                            steadyNow() + CallLimit);
  }
  if (Stored)
    co_return Stored.value().Revision;
  if (Stored.error().Kind != ErrorKind::PlatformUnavailable)
    co_return Stored.error();
  // The answer may be lost although the claim was stored.
  const Result<StoredObject> Read = co_await this->Store.get(
      Collection::Promotions, Group, steadyNow() + CallLimit);
  if (Read && textOf(Read.value().Spec, AttemptMember) == Attempt)
    co_return Read.value().Revision;
  co_return Stored.error();
}

PromotionDuty::Task<Result<std::string>>
PromotionDuty::chooseMember(ProxyGroup &Group, GroupDuty &Duty) {
  constexpr std::chrono::milliseconds AskLimit{600};
  const auto Answers = co_await Group.askStatus(steadyNow() + AskLimit);
  const TimePoint Now = steadyNow();
  const std::optional<std::string> Primary = Group.tracker().lastPrimary();
  std::vector<PromotionCandidate> Candidates;
  for (const auto &[Id, Status] : Answers) {
    const auto Refused = Duty.RefusedAt.find(Id);
    if (Refused != Duty.RefusedAt.end() &&
        Now - Refused->second < RefusedMemberPause)
      continue;
    const bool Leaving = Group.tracker().isLeaving(Id);
    logInfo("event=promotion_candidate group=" + Group.name() + " upstream=" +
            Id + " term=" + std::to_string(Status.Received.InTerm.Value) +
            " position=" + std::to_string(Status.Received.Log.Value) +
            (Leaving ? " leaving=true" : "") +
            (Status.Primary ? " role=primary" : " role=replica"));
    // The present primary stays only if nothing else can be done.
    if (Duty.LeavingSince && (Id == Primary || Leaving))
      continue;
    Candidates.push_back({Id, Status.Received, Leaving, Status.Primary});
  }
  const std::optional<std::string> Best = choosePromotion(Candidates);
  if (!Best)
    co_return failure(ErrorKind::Unavailable, Candidates.empty()
                                                  ? "no member answered"
                                                  : "a member leads already");
  const std::optional<Position> Newest = Group.verified().newestPosition();
  for (const PromotionCandidate &Each : Candidates)
    if (Each.Id == *Best && Duty.LeavingSince && Newest &&
        Each.Received < *Newest && Now - *Duty.LeavingSince < LeavingPatience)
      co_return failure(ErrorKind::ReplicaBehind,
                        "the best member lacks commits");
  co_return *Best;
}

} // namespace lavenderdale
