#include "roundrobin.h"

namespace lavenderdale {

void RoundRobin::addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                             const ReadRequest &Request, TimePoint Now) const {
  std::vector<const UpstreamView *> Serving;
  for (const UpstreamView &Each : Group.Upstreams)
    if (Each.Role == UpstreamRole::Replica &&
        Each.State == UpstreamAvailability::Serving)
      Serving.push_back(&Each);
  if (Serving.empty()) {
    Plan.Reason = PrimaryReason::NoReplica;
    return;
  }
  ReadCandidate Next{Serving[this->ReadIndex % Serving.size()]->Name,
                     UpstreamRole::Replica, std::nullopt};
  if (Request.Demand.Seen || Request.Demand.AcceptedAge)
    Next.WaitUntil = ReadRouter::waitUntil(Request, Now);
  Plan.Candidates.push_back(std::move(Next));
}

} // namespace lavenderdale
