#include "primarytracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace lavenderdale {

void PrimaryTracker::setMembers(const std::vector<Member> &NewMembers,
                                TimePoint Now) {
  std::set<std::string> Present;
  for (const Member &Each : NewMembers) {
    Present.insert(Each.Id);
    State &Known = this->Members[Each.Id];
    if (Each.ClaimsPrimary && !Known.Entry.ClaimsPrimary) {
      Known.ClaimedSince = Now;
      Known.RefusedAt = {};
    }
    Known.Entry = Each;
  }
  std::erase_if(this->Members, [&Present](const auto &Each) {
    return !Present.count(Each.first);
  });
}

void PrimaryTracker::recordLeadershipProof(const std::string &Id, Term InTerm,
                                           TimePoint At) {
  if (InTerm < this->ProvenTerm)
    return;
  if (InTerm == this->ProvenTerm && this->ProvenAt && At < *this->ProvenAt)
    return;
  if (this->Pending &&
      (Id == this->Pending->Id || InTerm > this->Pending->Before))
    this->orderSettled(this->Pending->Token);
  this->ProvenPrimary = Id;
  this->ProvenTerm = InTerm;
  this->ProvenAt = At;
  if (this->FailedSince && *this->FailedSince <= At)
    this->FailedSince.reset();
  const auto Found = this->Members.find(Id);
  if (Found != this->Members.end() && Found->second.RefusedAt <= At)
    Found->second.RefusedAt = {};
}

void PrimaryTracker::recordLeadershipRefusal(const std::string &Id,
                                             TimePoint Now) {
  const auto Found = this->Members.find(Id);
  if (Found != this->Members.end())
    Found->second.RefusedAt = Now;
  const bool LeaderKnown = this->Members.contains(this->ProvenPrimary);
  if (!this->FailedSince && (Id == this->ProvenPrimary || !LeaderKnown))
    this->FailedSince = Now;
}

void PrimaryTracker::recordUnreachable(const std::string &Id, TimePoint Now) {
  // Any member counts: replicas are probed only while no primary is known.
  if (this->Members.count(Id) == 0)
    return;
  if (!this->FailedSince)
    this->FailedSince = Now;
}

void PrimaryTracker::promotionOrdered(const std::string &Id, TimePoint Now) {
  const auto Found = this->Members.find(Id);
  if (Found == this->Members.end())
    return;
  Found->second.OrderedAt = Now;
  Found->second.RefusedAt = {};
}

void PrimaryTracker::orderPending(const PendingOrder &Sent) {
  const std::uint64_t Known =
      this->Pending ? this->Pending->Token : this->SettledToken;
  if (Sent.Token > Known)
    this->Pending = Sent;
}

void PrimaryTracker::orderSettled(std::uint64_t Token) {
  this->SettledToken = std::max(this->SettledToken, Token);
  if (this->Pending && this->Pending->Token <= Token)
    this->Pending.reset();
}

bool PrimaryTracker::isExcludedByOrder(const std::string &Id) const {
  return this->Pending && Id != this->Pending->Id &&
         !(Id == this->ProvenPrimary &&
           this->ProvenTerm > this->Pending->Before);
}

bool PrimaryTracker::mayBePrimary(const State &Each, TimePoint Now) const {
  return Each.RefusedAt == TimePoint{} ||
         Now - Each.RefusedAt > RefusalLifetime;
}

std::optional<std::string> PrimaryTracker::primary(TimePoint Now) const {
  // The latest evidence counts: a host that has not used the group lately knows
  // only an old proof of a member that was replaced since.
  enum Evidence { None, Claim, Order, Proof };
  using Rank = std::tuple<TimePoint, Evidence>;
  const State *Best = nullptr;
  Rank BestRank(TimePoint{}, None);
  const auto Consider = [&](const State &Each, TimePoint At, Evidence Kind) {
    if (Rank(At, Kind) <= BestRank)
      return;
    Best = &Each;
    BestRank = Rank(At, Kind);
  };
  for (const auto &[Id, Each] : this->Members) {
    if (!this->mayBePrimary(Each, Now) || this->isExcludedByOrder(Id))
      continue;
    if (Id == this->ProvenPrimary && Each.RefusedAt == TimePoint{} &&
        this->ProvenAt)
      Consider(Each, *this->ProvenAt, Proof);
    if (Each.OrderedAt != TimePoint{} &&
        Now - Each.OrderedAt < PromotionTimeout)
      Consider(Each, Each.OrderedAt, Order);
    if (Each.Entry.ClaimsPrimary)
      Consider(Each, Each.ClaimedSince, Claim);
  }
  if (!Best)
    return std::nullopt;
  return Best->Entry.Id;
}

std::optional<std::string> PrimaryTracker::probeTarget(TimePoint Now) {
  if (this->Members.empty())
    return std::nullopt;
  std::optional<std::string> Likely = this->primary(Now);
  // While probes fail, only every other one goes to the likely primary.
  if (Likely && (!this->FailedSince || this->ProbeTurn++ % 2 == 0))
    return Likely;
  const std::size_t Index = (this->ProbeTurn++ / 2) % this->Members.size();
  return std::next(this->Members.begin(), static_cast<std::ptrdiff_t>(Index))
      ->first;
}

bool PrimaryTracker::isSuspected(TimePoint Now,
                                 std::chrono::milliseconds Limit) const {
  if (!this->FailedSince)
    return false;
  const TimePoint Since =
      this->ProvenAt ? std::max(*this->ProvenAt, *this->FailedSince - Limit / 2)
                     : *this->FailedSince;
  return Now - Since >= Limit;
}

bool PrimaryTracker::orderedWithin(std::chrono::milliseconds Limit,
                                   TimePoint Now) const {
  return std::any_of(this->Members.begin(), this->Members.end(),
                     [Limit, Now](const auto &Each) {
                       return Each.second.OrderedAt != TimePoint{} &&
                              Now - Each.second.OrderedAt < Limit;
                     });
}

std::optional<Duration> PrimaryTracker::provenAge(TimePoint Now) const {
  if (!this->ProvenAt)
    return std::nullopt;
  return Now - *this->ProvenAt;
}

std::optional<std::string> PrimaryTracker::lastPrimary() const {
  if (this->Members.count(this->ProvenPrimary) == 0)
    return std::nullopt;
  return this->ProvenPrimary;
}

bool PrimaryTracker::isLeaving(const std::string &Id) const {
  const auto Found = this->Members.find(Id);
  return Found != this->Members.end() && Found->second.Entry.Leaving;
}

} // namespace lavenderdale
