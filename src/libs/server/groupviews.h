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

/// What entry hosts need to know of a group for routing.
struct PublishedGroupView {
  ReadGroupView Routing;
  std::string Primary;
  Term Current;
  TimePoint At; ///< When it was made, or when it was asked of a peer.

  Json::Value toJson() const;
  static Result<PublishedGroupView> fromJson(const Json::Value &Value,
                                             TimePoint At);
};

/// Whether a newer view is to be asked for before a request is planned.
/// \param DoubtedAt when an attempt that the view led to last failed.
/// \param Suffices whether the view leads to a place for the request that a
/// newer one cannot better.
bool isOutdated(const PublishedGroupView &View, TimePoint DoubtedAt,
                bool Suffices, TimePoint Now);

using GroupViewPointer = std::shared_ptr<const PublishedGroupView>;

/// The newest view of each group, shared by all workers. Sharded by name, with
/// a lock per shard.
class GroupViews {
public:
  /// Replaces the view of \p Group unless it is older than the known one.
  void publish(const std::string &Group, GroupViewPointer View);

  /// \returns nullptr if there is none.
  GroupViewPointer find(const std::string &Group) const;

  /// Notes the position that a member told with an answer, so that views of
  /// find() need not be asked for again to learn it.
  void reached(const std::string &Group, const std::string &Upstream,
               const Position &Replayed);

  /// The routing of \p View with the positions that answers told since.
  ReadGroupView routingOf(const std::string &Group,
                          const PublishedGroupView &View) const;

  /// Notes that an attempt at a member of \p Group failed at \p Now.
  void doubt(const std::string &Group, TimePoint Now);

  /// \returns when doubt() was last called, or TimePoint::min().
  TimePoint doubtedAt(const std::string &Group) const;

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<std::string, GroupViewPointer> Views;
    std::map<std::string, TimePoint> Doubts;
    /// By group, then by upstream.
    std::map<std::string, std::map<std::string, Position>> Reached;
  };

  static constexpr std::size_t ShardCount = 16;
  static std::size_t shardOf(const std::string &Group);

  std::array<Shard, ShardCount> Shards;
};

} // namespace lavenderdale
