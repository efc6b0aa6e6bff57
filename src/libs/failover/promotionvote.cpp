#include "promotionvote.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace lavenderdale {

bool shouldPromote(std::span<const PrimaryReport> Others, std::size_t Heard,
                   std::size_t Hosts, std::size_t Rank,
                   std::chrono::milliseconds SuspectedFor,
                   const PromotionLimits &Limits) {
  bool OthersSuspect = Hosts == 1;
  for (const PrimaryReport &Each : Others) {
    if (Each.ProvenAge && *Each.ProvenAge < Limits.RecentProofAge)
      return false;
    OthersSuspect = OthersSuspect || Each.Suspects;
  }
  std::chrono::milliseconds Wait = Limits.delay(Rank);
  if (2 * Heard < Hosts || !OthersSuspect)
    Wait += Limits.MinoritySuspicionTime;
  return SuspectedFor >= Wait;
}

std::optional<std::string>
choosePromotionCandidate(std::span<const PromotionCandidate> Candidates) {
  for (const PromotionCandidate &Each : Candidates)
    if (Each.IsPrimary && !Each.Leaving)
      return std::nullopt;
  const auto Best = std::max_element(
      Candidates.begin(), Candidates.end(),
      [](const PromotionCandidate &A, const PromotionCandidate &B) {
        return std::tuple(!A.Leaving, A.Received, B.Id) <
               std::tuple(!B.Leaving, B.Received, A.Id);
      });
  if (Best == Candidates.end())
    return std::nullopt;
  return Best->Id;
}

bool mayLeadAfter(const Position &Received, Term Proved,
                  std::chrono::milliseconds SuspectedFor,
                  const PromotionLimits &Limits) {
  return Received.InTerm >= Proved || SuspectedFor >= Limits.OlderTermWait;
}

Result<std::string>
chooseCompleteCandidate(std::span<const PromotionCandidate> Candidates,
                        const CommitGuarantee &Guarantee) {
  std::optional<Position> Newest = Guarantee.Required;
  const PromotionCandidate *Best = nullptr;
  for (const PromotionCandidate &Each : Candidates) {
    if (Each.IsPrimary && !Each.Leaving)
      return failure(ErrorKind::Unavailable, "a member already is the primary");
    Newest = std::max(Newest.value_or(Each.Received), Each.Received);
    if (Each.Eligible &&
        (!Best || std::tuple(Best->Received, !Best->Leaving, Each.Id) <
                      std::tuple(Each.Received, !Each.Leaving, Best->Id)))
      Best = &Each;
  }
  if (Candidates.size() + Guarantee.SynchronousReplicas <= Guarantee.Replicas)
    return failure(ErrorKind::Unavailable,
                   std::to_string(Candidates.size()) + " of " +
                       std::to_string(Guarantee.Replicas) +
                       " replicas answered, any of the others may have "
                       "acknowledged commits");
  if (!Best)
    return failure(ErrorKind::Unavailable, "no member can be promoted");
  if (Best->Received < *Newest)
    return failure(ErrorKind::ReplicaBehind,
                   Best->Id + " lacks acknowledged commits");
  return Best->Id;
}

std::optional<std::string>
chooseSuccessor(std::span<const PromotionCandidate> Candidates,
                const Position &End, const std::string &Ordered) {
  std::vector<PromotionCandidate> Complete;
  for (const PromotionCandidate &Each : Candidates) {
    if (!Each.Eligible || Each.Received < End)
      continue;
    if (Each.Id == Ordered)
      return Ordered;
    Complete.push_back(Each);
  }
  return choosePromotionCandidate(Complete);
}

void ClaimTracker::claimRead(std::uint64_t NewRevision,
                             const std::string &NewHolder, BootTime Now) {
  if (NewRevision <= this->Revision)
    return;
  this->Revision = NewRevision;
  this->Holder = NewHolder;
  this->Since = Now;
}

bool ClaimTracker::mayClaim(const std::string &Host, BootTime Now) const {
  return this->Holder.empty() || this->Holder == Host ||
         Now - this->Since >= LeaseDuration;
}

} // namespace lavenderdale
