#include "readrule.h"

namespace lavenderdale {
namespace {

ReadEligibility evaluatePosition(const Position &Seen,
                                 const ReplicaState &Replica,
                                 const Lineage &History) {
  if (Seen.InTerm > History.newest())
    return ReadEligibility::TermUnknown;
  if (History.writeStatus(Seen) != WriteStatus::Survived)
    return ReadEligibility::WriteLost;
  // The log of a replica on an older timeline may differ from the token's below
  // the token's position.
  if (Replica.Timeline < Seen.InTerm || Replica.Replayed < Seen.Log)
    return ReadEligibility::Behind;
  return ReadEligibility::MayServe;
}

} // namespace

ReadEligibility evaluateRead(const ReadDemand &Demand,
                             const ReplicaState &Replica,
                             std::optional<Duration> Age,
                             const Lineage &History) {
  if (Demand.Seen) {
    const ReadEligibility Eligibility =
        evaluatePosition(*Demand.Seen, Replica, History);
    if (Eligibility != ReadEligibility::MayServe)
      return Eligibility;
  }
  if (Replica.Timeline > History.newest())
    return ReadEligibility::TermUnknown;
  // A replica of an older timeline may have replayed writes that were lost.
  if (History.writeStatus({Replica.Timeline, Replica.Replayed}) !=
      WriteStatus::Survived)
    return ReadEligibility::Behind;
  if (Demand.AcceptedAge && (!Age || *Age > *Demand.AcceptedAge))
    return ReadEligibility::Behind;
  return ReadEligibility::MayServe;
}

} // namespace lavenderdale
