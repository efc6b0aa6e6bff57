#include "readrouter.h"

#include <algorithm>
#include <array>

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 4> ReasonNames = {"behind", "no-replica",
                                                         "age", "strong"};

using UpstreamViews = std::vector<const UpstreamView *>;

/// The serving replicas, grouped by whether they can serve a read.
struct GroupedReplicas {
  UpstreamViews Ready;
  UpstreamViews CatchingUp;
  UpstreamViews TooOld;
};

/// Returns the serving replicas, those of \p OwnDomain first, then by expected
/// wait.
UpstreamViews orderedReplicas(const ReadGroupView &Group,
                              const std::string &OwnDomain,
                              std::mt19937_64 *TieBreaker) {
  UpstreamViews Replicas;
  for (const UpstreamView &U : Group.Upstreams)
    if (U.Role == UpstreamRole::Replica &&
        U.State == UpstreamAvailability::Serving)
      Replicas.push_back(&U);
  std::sort(Replicas.begin(), Replicas.end(),
            [](const auto *A, const auto *B) { return A->Name < B->Name; });
  if (TieBreaker != nullptr)
    std::shuffle(Replicas.begin(), Replicas.end(), *TieBreaker);
  std::stable_sort(Replicas.begin(), Replicas.end(),
                   [&](const auto *A, const auto *B) {
                     const bool AIsOwn = A->FailureDomain == OwnDomain;
                     const bool BIsOwn = B->FailureDomain == OwnDomain;
                     if (AIsOwn != BIsOwn)
                       return AIsOwn;
                     return A->ExpectedWait < B->ExpectedWait;
                   });
  return Replicas;
}

GroupedReplicas groupReplicas(const UpstreamViews &Replicas,
                              const ReadDemand &Demand,
                              const Lineage &History) {
  GroupedReplicas Grouped;
  const ReadDemand AnyAge{Demand.Seen, std::nullopt};
  for (const UpstreamView *U : Replicas) {
    const ReplicaState State{U->Timeline, U->Replayed};
    const bool AgeAccepted =
        !Demand.AcceptedAge || (U->Age && *U->Age <= *Demand.AcceptedAge);
    const ReadEligibility Eligibility =
        evaluateRead(AnyAge, State, U->Age, History);
    if (Eligibility == ReadEligibility::TermUnknown)
      continue;
    if (!AgeAccepted)
      Grouped.TooOld.push_back(U);
    else if (Eligibility == ReadEligibility::MayServe)
      Grouped.Ready.push_back(U);
    else
      Grouped.CatchingUp.push_back(U);
  }
  return Grouped;
}

void appendPrimary(ReadPlan &Plan, const ReadGroupView &Group) {
  for (const UpstreamView &U : Group.Upstreams)
    if (U.Role == UpstreamRole::Primary &&
        U.State == UpstreamAvailability::Serving)
      Plan.Candidates.push_back({U.Name, UpstreamRole::Primary, std::nullopt});
}

void appendReplicas(ReadPlan &Plan, const GroupedReplicas &Grouped,
                    const ReadRequest &Request, TimePoint Now) {
  for (const UpstreamView *U : Grouped.Ready)
    Plan.Candidates.push_back({U->Name, UpstreamRole::Replica, std::nullopt});
  if (!Grouped.Ready.empty())
    return;
  if (Grouped.CatchingUp.empty()) {
    Plan.Reason =
        Grouped.TooOld.empty() ? PrimaryReason::NoReplica : PrimaryReason::Age;
    return;
  }
  Plan.Reason = PrimaryReason::Behind;
  Plan.Candidates.push_back({Grouped.CatchingUp.front()->Name,
                             UpstreamRole::Replica,
                             ReadRouter::waitUntil(Request, Now)});
}

/// The default policy: chooses replicas by their known positions.
class PositionPolicy final : public ReadPolicy {
public:
  explicit PositionPolicy(std::mt19937_64 *TieBreaker)
      : TieBreaker(TieBreaker) {}

  void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                   const ReadRequest &Request, TimePoint Now) const override {
    const UpstreamViews Replicas =
        orderedReplicas(Group, Request.OwnFailureDomain, this->TieBreaker);
    appendReplicas(Plan, groupReplicas(Replicas, Request.Demand, Group.History),
                   Request, Now);
  }

private:
  std::mt19937_64 *TieBreaker;
};

} // namespace

std::string_view toString(PrimaryReason Reason) {
  return ReasonNames[static_cast<std::size_t>(Reason)];
}

TimePoint ReadRouter::waitUntil(const ReadRequest &Request, TimePoint Now) {
  const Duration Remaining = std::max(Request.Deadline - Now, Duration::zero());
  return Now + std::min<Duration>(MaxCatchUpWait, Remaining / 4);
}

ReadPlan ReadRouter::plan(const ReadGroupView &Group,
                          const ReadRequest &Request, TimePoint Now,
                          std::mt19937_64 *TieBreaker) {
  return plan(Group, Request, Now, PositionPolicy(TieBreaker));
}

ReadPlan ReadRouter::plan(const ReadGroupView &Group,
                          const ReadRequest &Request, TimePoint Now,
                          const ReadPolicy &Policy) {
  ReadPlan Plan;
  const std::optional<Position> &Seen = Request.Demand.Seen;
  if (Seen && Seen->InTerm > Group.History.newest()) {
    Plan.Result = ReadPlan::Outcome::RefreshView;
    return Plan;
  }
  if (Seen && Group.History.writeStatus(*Seen) != WriteStatus::Survived) {
    Plan.Result = ReadPlan::Outcome::SessionLost;
    return Plan;
  }
  const std::optional<Duration> &Accepted = Request.Demand.AcceptedAge;
  if (Accepted && *Accepted <= Duration::zero())
    Plan.Reason = PrimaryReason::Strong;
  else
    Policy.addReplicas(Plan, Group, Request, Now);
  appendPrimary(Plan, Group);
  return Plan;
}

} // namespace lavenderdale
