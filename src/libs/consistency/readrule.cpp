#include "readrule.h"

namespace lavenderdale {
namespace {

ReadVerdict judgePosition(const Position &Seen, const ReplicaState &Replica,
                          const Lineage &History) {
  if (Seen.InTerm > History.newest())
    return ReadVerdict::TermUnknown;
  if (History.fate(Seen) != WriteFate::Survived)
    return ReadVerdict::WriteLost;
  // On an older timeline the replica's log may differ from the token's below
  // the position.
  if (Replica.Timeline < Seen.InTerm || Replica.Replayed < Seen.Log)
    return ReadVerdict::Behind;
  return ReadVerdict::MayServe;
}

} // namespace

ReadVerdict judgeRead(const ReadDemand &Demand, const ReplicaState &Replica,
                      std::optional<Duration> Age, const Lineage &History) {
  if (Demand.Seen) {
    const ReadVerdict Verdict = judgePosition(*Demand.Seen, Replica, History);
    if (Verdict != ReadVerdict::MayServe)
      return Verdict;
  }
  if (Replica.Timeline > History.newest())
    return ReadVerdict::TermUnknown;
  // A replica of an older timeline may have replayed writes that were lost.
  if (History.fate({Replica.Timeline, Replica.Replayed}) != WriteFate::Survived)
    return ReadVerdict::Behind;
  if (Demand.AcceptedAge && (!Age || *Age > *Demand.AcceptedAge))
    return ReadVerdict::Behind;
  return ReadVerdict::MayServe;
}

} // namespace lavenderdale
