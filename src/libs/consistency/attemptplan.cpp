#include "attemptplan.h"

#include <algorithm>

namespace lavenderdale {
namespace {

void addPlaces(const ReadCandidate &Candidate, const PlacesOf &Places,
               const std::string &OwnHost, std::vector<Attempt> &Attempts) {
  std::optional<UpstreamPlaces> At = Places(Candidate.Upstream);
  // A leaving primary serves until a planned change has replaced it.
  if (!At || (At->IsLeaving && Candidate.Role != UpstreamRole::Primary))
    return;
  // This host first: it saves a hop. Otherwise the two share the load.
  const auto Own = std::find(At->Holders.begin(), At->Holders.end(), OwnHost);
  if (Own != At->Holders.end())
    std::rotate(At->Holders.begin(), Own, Own + 1);
  for (const std::string &Host : At->Holders)
    Attempts.push_back(
        {Candidate.Upstream, Host, Candidate.Role, Candidate.WaitUntil});
}

} // namespace

Result<AttemptPlan> planAttempts(TimedGroupView View,
                                 const std::optional<ReadRequest> &Read,
                                 const PlacesOf &Places,
                                 const std::string &OwnHost, TimePoint Now,
                                 const ReadPolicy *Policy) {
  AttemptPlan Planned;
  if (!Read) {
    addPlaces({View.Primary, UpstreamRole::Primary, std::nullopt}, Places,
              OwnHost, Planned.Attempts);
    return Planned;
  }
  for (UpstreamView &Member : View.Routing.Upstreams)
    if (Member.Age)
      *Member.Age += Now - View.At;
  const ReadPlan Plan =
      Policy ? ReadRouter::plan(View.Routing, *Read, Now, *Policy)
             : ReadRouter::plan(View.Routing, *Read, Now);
  if (Plan.Result == ReadPlan::Outcome::SessionLost)
    return failure(ErrorKind::SessionLost, "a write of the session was lost");
  Planned.Reason = Plan.Reason;
  for (const ReadCandidate &Candidate : Plan.Candidates)
    addPlaces(Candidate, Places, OwnHost, Planned.Attempts);
  return Planned;
}

} // namespace lavenderdale
