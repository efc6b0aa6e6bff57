#include "attemptplan.h"

#include <algorithm>

namespace lavenderdale {
namespace {

void appendAttempts(const ReadCandidate &Candidate,
                    const UpstreamLocator &Locate, const std::string &OwnHost,
                    std::vector<Attempt> &Attempts) {
  std::optional<UpstreamLocation> Location = Locate(Candidate.Upstream);
  // A leaving primary serves until a planned change of primary replaces it.
  if (!Location ||
      (Location->IsLeaving && Candidate.Role != UpstreamRole::Primary))
    return;
  // If this host is a holder, it comes first, which saves a network hop.
  // Otherwise the holders share the load.
  const auto OwnEntry =
      std::find(Location->Holders.begin(), Location->Holders.end(), OwnHost);
  if (OwnEntry != Location->Holders.end())
    std::rotate(Location->Holders.begin(), OwnEntry, OwnEntry + 1);
  for (const std::string &Host : Location->Holders)
    Attempts.push_back(
        {Candidate.Upstream, Host, Candidate.Role, Candidate.WaitUntil});
}

} // namespace

Result<AttemptPlan> planAttempts(TimedGroupView View,
                                 const std::optional<ReadRequest> &Read,
                                 const UpstreamLocator &Locate,
                                 const std::string &OwnHost, TimePoint Now,
                                 const ReadPolicy *Policy) {
  AttemptPlan Planned;
  if (!Read) {
    appendAttempts({View.Primary, UpstreamRole::Primary, std::nullopt}, Locate,
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
    appendAttempts(Candidate, Locate, OwnHost, Planned.Attempts);
  return Planned;
}

} // namespace lavenderdale
