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
  Leaving,     ///< Gets no new work.
  Unreachable, ///< Known to be down or cut off.
};

/// One upstream of a group as an entry host sees it.
struct UpstreamView {
  std::string Name;
  std::string FailureDomain;
  UpstreamRole Role = UpstreamRole::Replica;
  UpstreamAvailability State = UpstreamAvailability::Serving;
  Term Timeline;
  LogPosition Replayed;
  std::optional<Duration> Age; ///< At the time of routing.
  Duration ExpectedWait{0};    ///< Queue and round trip.
};

/// A group as an entry host sees it.
struct ReadGroupView {
  Lineage History;
  std::vector<UpstreamView> Upstreams;
};

struct ReadRequest {
  ReadDemand Demand; ///< An accepted age of 0 asks for the primary.
  std::string OwnFailureDomain;
  TimePoint Deadline;
};

/// Why a read was not left to a replica.
enum class PrimaryReason {
  Behind,    ///< No replica had replayed the token's position.
  NoReplica, ///< No replica is serving.
  Age,       ///< All replicas' data is older than accepted.
  Strong,    ///< The request accepts no age.
};

/// Wire and counter names: "behind", "no-replica", "age", "strong".
std::string_view toString(PrimaryReason Reason);

/// A place to send a read to.
struct ReadCandidate {
  std::string Upstream;
  UpstreamRole Role = UpstreamRole::Replica;
  /// Set for a replica that is catching up: how long the read may wait there
  /// for the position before it goes to the next candidate.
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
  /// Counted when the read reaches the primary.
  std::optional<PrimaryReason> Reason;
};

/// Chooses the replicas for one read. The holder of a replica applies the read
/// rule before it answers, so every choice keeps read-your-writes.
class ReadPolicy {
public:
  virtual ~ReadPolicy() = default;

  /// Appends the replicas to try, and sets the reason if none is expected to
  /// serve the read.
  virtual void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                           const ReadRequest &Request, TimePoint Now) const = 0;
};

/// Chooses where reads go.
class ReadRouter {
public:
  /// Longest wait for a replica that is catching up, unless a quarter of the
  /// remaining time is shorter.
  static constexpr std::chrono::milliseconds MaxCatchUpWait{150};

  /// Returns until when a read may wait for a replica that is catching up.
  static TimePoint waitUntil(const ReadRequest &Request, TimePoint Now);

  /// Orders the upstreams for one read: replicas that may serve it now, the
  /// own failure domain first, then by expected wait; then one that is
  /// catching up; then the primary.
  /// \param Ties breaks ties between replicas; by name if it is null.
  static ReadPlan plan(const ReadGroupView &Group, const ReadRequest &Request,
                       TimePoint Now, std::mt19937_64 *Ties = nullptr);

  /// The same with the replicas that \p Policy chooses.
  static ReadPlan plan(const ReadGroupView &Group, const ReadRequest &Request,
                       TimePoint Now, const ReadPolicy &Policy);
};

} // namespace lavenderdale
