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

using GroupViewPointer = std::shared_ptr<const PublishedGroupView>;

/// The newest view of each group, shared by all workers. Sharded by name, with
/// a lock per shard.
class GroupViews {
public:
  /// Replaces the view of \p Group unless it is older than the known one.
  void publish(const std::string &Group, GroupViewPointer View);

  /// \returns nullptr if there is none.
  GroupViewPointer find(const std::string &Group) const;

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<std::string, GroupViewPointer> Views;
  };

  static constexpr std::size_t ShardCount = 16;
  static std::size_t shardOf(const std::string &Group);

  std::array<Shard, ShardCount> Shards;
};

} // namespace lavenderdale
