#pragma once

#include "readrouter.h"

#include "base/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// One place to try a request at: an upstream through one of its holders.
struct Attempt {
  std::string Upstream;
  std::string Host;
  UpstreamRole Role = UpstreamRole::Replica;
  /// \see ReadCandidate::WaitUntil
  std::optional<TimePoint> WaitUntil;
};

/// Where an upstream is reached.
struct UpstreamPlaces {
  /// In the catalogue: it gets no new work, unless it is the primary.
  bool IsLeaving = false;
  std::vector<std::string> Holders;
};

/// \returns the places of an upstream, or nothing if the configuration in
/// force does not name it.
using PlacesOf =
    std::function<std::optional<UpstreamPlaces>(const std::string &Upstream)>;

/// A group's view and when it was made: ages in it grow since then.
struct TimedGroupView {
  ReadGroupView Routing; ///< Used for reads only.
  const std::string &Primary;
  TimePoint At;
};

struct AttemptPlan {
  std::vector<Attempt> Attempts; ///< To be tried in order; may be empty.
  /// Counted when a read reaches the primary.
  std::optional<PrimaryReason> Reason;
};

/// Plans where a request is tried: at each upstream that may serve it, through
/// this host if it is a holder, then through the other holders.
/// \param Read what a read demands; nothing for requests that go to the
/// primary only.
/// \param Policy chooses the replicas of a read; by their positions if null.
/// \returns the plan, or SessionLost.
Result<AttemptPlan> planAttempts(TimedGroupView View,
                                 const std::optional<ReadRequest> &Read,
                                 const PlacesOf &Places,
                                 const std::string &OwnHost, TimePoint Now,
                                 const ReadPolicy *Policy = nullptr);

} // namespace lavenderdale
