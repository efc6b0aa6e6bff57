#include "readrouter.h"

#include <algorithm>
#include <array>

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 4> ReasonNames = {"behind", "no-replica",
                                                         "age", "strong"};

using Views = std::vector<const UpstreamView *>;

/// The serving replicas, by what they can do for the read.
struct SortedReplicas {
  Views Ready;
  Views CatchingUp;
  Views TooOld;
};

/// Serving replicas, the own failure domain first, then by expected wait.
Views orderedReplicas(const ReadGroupView &Group, const std::string &OwnDomain,
                      std::mt19937_64 *Ties) {
  Views Replicas;
  for (const UpstreamView &U : Group.Upstreams)
    if (U.Role == UpstreamRole::Replica &&
        U.State == UpstreamAvailability::Serving)
      Replicas.push_back(&U);
  std::sort(Replicas.begin(), Replicas.end(),
            [](const auto *A, const auto *B) { return A->Name < B->Name; });
  if (Ties != nullptr)
    std::shuffle(Replicas.begin(), Replicas.end(), *Ties);
  std::stable_sort(Replicas.begin(), Replicas.end(),
                   [&](const auto *A, const auto *B) {
                     const bool OwnA = A->FailureDomain == OwnDomain;
                     const bool OwnB = B->FailureDomain == OwnDomain;
                     if (OwnA != OwnB)
                       return OwnA;
                     return A->ExpectedWait < B->ExpectedWait;
                   });
  return Replicas;
}

SortedReplicas sortReplicas(const Views &Replicas, const ReadDemand &Demand,
                            const Lineage &History) {
  SortedReplicas Sorted;
  const ReadDemand AnyAge{Demand.Seen, std::nullopt};
  for (const UpstreamView *U : Replicas) {
    const ReplicaState State{U->Timeline, U->Replayed};
    const bool AgeAccepted =
        !Demand.AcceptedAge || (U->Age && *U->Age <= *Demand.AcceptedAge);
    const ReadVerdict Verdict = judgeRead(AnyAge, State, U->Age, History);
    if (Verdict == ReadVerdict::TermUnknown)
      continue;
    if (!AgeAccepted)
      Sorted.TooOld.push_back(U);
    else if (Verdict == ReadVerdict::MayServe)
      Sorted.Ready.push_back(U);
    else
      Sorted.CatchingUp.push_back(U);
  }
  return Sorted;
}

void appendPrimary(ReadPlan &Plan, const ReadGroupView &Group) {
  for (const UpstreamView &U : Group.Upstreams)
    if (U.Role == UpstreamRole::Primary &&
        U.State == UpstreamAvailability::Serving)
      Plan.Candidates.push_back({U.Name, UpstreamRole::Primary, std::nullopt});
}

void appendReplicas(ReadPlan &Plan, const SortedReplicas &Sorted,
                    const ReadRequest &Request, TimePoint Now) {
  for (const UpstreamView *U : Sorted.Ready)
    Plan.Candidates.push_back({U->Name, UpstreamRole::Replica, std::nullopt});
  if (!Sorted.Ready.empty())
    return;
  if (Sorted.CatchingUp.empty()) {
    Plan.Reason =
        Sorted.TooOld.empty() ? PrimaryReason::NoReplica : PrimaryReason::Age;
    return;
  }
  Plan.Reason = PrimaryReason::Behind;
  Plan.Candidates.push_back({Sorted.CatchingUp.front()->Name,
                             UpstreamRole::Replica,
                             ReadRouter::waitUntil(Request, Now)});
}

/// The policy of the router: replicas by what is known of their positions.
class FreshestReplicas final : public ReadPolicy {
public:
  explicit FreshestReplicas(std::mt19937_64 *Ties) : Ties(Ties) {}

  void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                   const ReadRequest &Request, TimePoint Now) const override {
    const Views Replicas =
        orderedReplicas(Group, Request.OwnFailureDomain, this->Ties);
    appendReplicas(Plan, sortReplicas(Replicas, Request.Demand, Group.History),
                   Request, Now);
  }

private:
  std::mt19937_64 *Ties;
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
                          std::mt19937_64 *Ties) {
  return plan(Group, Request, Now, FreshestReplicas(Ties));
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
  if (Seen && Group.History.fate(*Seen) != WriteFate::Survived) {
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
