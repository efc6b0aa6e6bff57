#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "consistency/readrouter.h"

#include <json/value.h>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lavenderdale {

/// The state of a group that entry hosts need for routing.
struct PublishedGroupView {
  ReadGroupView Routing;
  std::string Primary;
  Term Current;
  TimePoint At; ///< When it was created here or requested from a peer.

  Json::Value toJson() const;

  /// Parses the view of a peer.
  /// \param At when the view was requested.
  static Result<PublishedGroupView> fromJson(const Json::Value &Value,
                                             TimePoint At);
};

/// Whether a newer view must be requested before a request is routed.
/// \param LastFailureAt when an attempt at a member of the group last failed.
/// \param Suffices whether the view gives a target for the request that a newer
/// view cannot improve on.
bool isOutdated(const PublishedGroupView &View, TimePoint LastFailureAt,
                bool Suffices, TimePoint Now);

using GroupViewPointer = std::shared_ptr<const PublishedGroupView>;

/// The newest view of each group, shared by all workers. Thread-safe: sharded
/// by group name, with one lock per shard.
class GroupViews {
public:
  /// Replaces the view of \p Group unless \p View is older than the current
  /// one.
  void publish(const std::string &Group, GroupViewPointer View);

  /// \returns nullptr if there is no view of \p Group.
  GroupViewPointer find(const std::string &Group) const;

  /// Records the replay position that a member reported with an answer, so that
  /// no newer view has to be requested to learn it.
  void recordReplayed(const std::string &Group, const std::string &Upstream,
                      const Position &Replayed);

  /// \returns the routing of \p View, updated with the positions recorded by
  /// recordReplayed() on the same timeline.
  ReadGroupView routingOf(const std::string &Group,
                          const PublishedGroupView &View) const;

  /// Records that an attempt at a member of \p Group failed at \p Now.
  void recordFailure(const std::string &Group, TimePoint Now);

  /// \returns when recordFailure() was last called, or TimePoint::min().
  TimePoint lastFailureAt(const std::string &Group) const;

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<std::string, GroupViewPointer> Views;
    std::map<std::string, TimePoint> LastFailures;
    /// Positions by group, then by upstream.
    std::map<std::string, std::map<std::string, Position>> ReplayedByGroup;
  };

  static constexpr std::size_t ShardCount = 16;
  static std::size_t shardOf(const std::string &Group);

  std::array<Shard, ShardCount> Shards;
};

} // namespace lavenderdale
