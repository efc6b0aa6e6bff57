#pragma once

#include "readrouter.h"

#include "base/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// One way to try a request: at an upstream, through one of its holders.
struct Attempt {
  std::string Upstream;
  std::string Host;
  UpstreamRole Role = UpstreamRole::Replica;
  /// \see ReadCandidate::WaitUntil
  std::optional<TimePoint> WaitUntil;
};

/// The hosts through which an upstream is reached.
struct UpstreamLocation {
  /// Marked as leaving in the catalogue. It gets no new requests, unless it is
  /// the primary.
  bool IsLeaving = false;
  std::vector<std::string> Holders;
};

/// \returns the location of an upstream, or nothing if it is not in the
/// configuration in force.
using UpstreamLocator =
    std::function<std::optional<UpstreamLocation>(const std::string &Upstream)>;

/// A view of a group and the time that the ages in it refer to.
struct TimedGroupView {
  ReadGroupView Routing; ///< Used only for reads.
  const std::string &Primary;
  TimePoint At;
};

struct AttemptPlan {
  std::vector<Attempt> Attempts; ///< In the order to try them; may be empty.
  /// Why a read may go to the primary. Counted when it gets there.
  std::optional<PrimaryReason> Reason;
};

/// Plans where a request is tried: at each upstream that may serve it, through
/// this host if it is a holder, then through the other holders.
/// \param Read the requirements of a read; nothing for requests that only the
/// primary may serve.
/// \param Locate finds the holders of an upstream.
/// \param OwnHost name of this host.
/// \param Policy chooses the replicas of a read; if null, they are chosen by
/// their positions.
/// \returns the plan, or SessionLost.
Result<AttemptPlan> planAttempts(TimedGroupView View,
                                 const std::optional<ReadRequest> &Read,
                                 const UpstreamLocator &Locate,
                                 const std::string &OwnHost, TimePoint Now,
                                 const ReadPolicy *Policy = nullptr);

} // namespace lavenderdale
