#pragma once

#include "readrule.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderdale {

enum class UpstreamRole { Primary, Replica };

enum class UpstreamAvailability {
  Serving,
  Leaving,     ///< Gets no new requests.
  Unreachable, ///< Known to be down or not reachable.
};

/// One upstream of a group, as known to the host that received the request.
struct UpstreamView {
  std::string Name;
  std::string FailureDomain;
  UpstreamRole Role = UpstreamRole::Replica;
  UpstreamAvailability State = UpstreamAvailability::Serving;
  Term Timeline;
  LogPosition Replayed;
  std::optional<Duration> Age; ///< Of its data, at the time of routing.
  Duration ExpectedWait{0};    ///< In the queue, and for the round trip.
};

/// A group, as known to the host that received the request.
struct ReadGroupView {
  Lineage History;
  std::vector<UpstreamView> Upstreams;
};

struct ReadRequest {
  ReadDemand Demand; ///< An accepted age of 0 requires the primary.
  std::string OwnFailureDomain;
  TimePoint Deadline;
};

/// Why a read may go to the primary instead of a replica.
enum class PrimaryReason {
  Behind,    ///< No replica has replayed the token's position.
  NoReplica, ///< No replica is serving.
  Age,       ///< The data of all replicas is older than accepted.
  Strong,    ///< The request accepts no age.
};

/// Names on the wire and in counters: "behind", "no-replica", "age", "strong".
std::string_view toString(PrimaryReason Reason);

/// An upstream that a read may be sent to.
struct ReadCandidate {
  std::string Upstream;
  UpstreamRole Role = UpstreamRole::Replica;
  /// Set for a replica that is catching up: until when the read may wait there
  /// for its position before it goes to the next candidate.
  std::optional<TimePoint> WaitUntil;
};

struct ReadPlan {
  enum class Outcome {
    Route,       ///< Try the candidates in order.
    SessionLost, ///< A write of the session was lost: answer session-lost.
    RefreshView, ///< The token's term is newer than the view: refresh it and
                 ///< route again, otherwise answer unavailable.
  };

  Outcome Result = Outcome::Route;
  std::vector<ReadCandidate> Candidates;
  /// Why the read may go to the primary. Counted when it gets there.
  std::optional<PrimaryReason> Reason;
};

/// Chooses the replicas for one read. The holder of a replica checks that the
/// replica may serve the read before it answers, so any choice provides
/// read-your-writes.
class ReadPolicy {
public:
  virtual ~ReadPolicy() = default;

  /// Appends the replicas to try to \p Plan, and sets its reason if none is
  /// expected to serve the read.
  virtual void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                           const ReadRequest &Request, TimePoint Now) const = 0;
};

/// Chooses the upstreams for reads.
class ReadRouter {
public:
  /// Maximum wait for a replica that is catching up. A read waits at most a
  /// quarter of its remaining time, too.
  static constexpr std::chrono::milliseconds MaxCatchUpWait{150};

  /// \returns until when a read may wait for a replica that is catching up.
  static TimePoint waitUntil(const ReadRequest &Request, TimePoint Now);

  /// Orders the upstreams for one read. First the replicas that can serve it
  /// now, those of the request's failure domain first, then by expected wait.
  /// If there are none, one that is catching up. The primary last.
  /// \param TieBreaker randomizes the order of replicas that are equal in this
  /// order; if null, they are ordered by name.
  static ReadPlan plan(const ReadGroupView &Group, const ReadRequest &Request,
                       TimePoint Now, std::mt19937_64 *TieBreaker = nullptr);

  /// Plans a read with the replicas that \p Policy chooses. The primary is
  /// last.
  static ReadPlan plan(const ReadGroupView &Group, const ReadRequest &Request,
                       TimePoint Now, const ReadPolicy &Policy);
};

} // namespace lavenderdale
