#include "groupviews.h"

#include "base/objectreader.h"

#include <algorithm>
#include <functional>

namespace lavenderdale {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// A view of this age is refreshed if it does not suffice for a request.
constexpr std::chrono::milliseconds ViewLifetime{300};
// A view of this age is refreshed in any case, since changes of expected waits
// and of reachability are not learned otherwise.
constexpr std::chrono::milliseconds MaxViewAge{1000};

Json::Value lineageToJson(const Lineage &History) {
  Json::Value List(Json::arrayValue);
  for (const Lineage::Entry &Entry : History.entries()) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(Json::Value::UInt64(Entry.InTerm.Value));
    Pair.append(Json::Value::UInt64(Entry.Start.Value));
    List.append(Pair);
  }
  return List;
}

bool lineageFromJson(const Json::Value &List, Lineage &History) {
  for (const Json::Value &Pair : List) {
    if (!Pair.isArray() || Pair.size() != 2 || !Pair[0].isUInt64() ||
        !Pair[1].isUInt64())
      return false;
    if (!History.append(Term{Pair[0].asUInt64()},
                        LogPosition{Pair[1].asUInt64()}))
      return false;
  }
  return true;
}

Json::Value memberToJson(const UpstreamView &Member) {
  Json::Value Value(Json::objectValue);
  Value["name"] = Member.Name;
  Value["failureDomain"] = Member.FailureDomain;
  Value["primary"] = Member.Role == UpstreamRole::Primary;
  Value["availability"] = static_cast<int>(Member.State);
  Value["timeline"] = Json::Value::UInt64(Member.Timeline.Value);
  Value["replayed"] = Json::Value::UInt64(Member.Replayed.Value);
  if (Member.Age)
    Value["ageUs"] =
        Json::Value::UInt64(duration_cast<microseconds>(*Member.Age).count());
  Value["waitUs"] = Json::Value::UInt64(
      duration_cast<microseconds>(Member.ExpectedWait).count());
  return Value;
}

Result<UpstreamView> memberFromJson(const Json::Value &Value) {
  constexpr std::uint64_t MaxMicroseconds = 1ULL << 50U;
  ObjectReader Reader(Value, "upstreams");
  UpstreamView Member;
  Member.Name = Reader.requiredString("name");
  Member.FailureDomain = Reader.requiredString("failureDomain");
  Member.Role = Reader.optionalBool("primary", false) ? UpstreamRole::Primary
                                                      : UpstreamRole::Replica;
  Member.State = static_cast<UpstreamAvailability>(
      Reader.requiredUnsigned("availability", 0, 2));
  Member.Timeline.Value = Reader.requiredUnsigned("timeline", 0, UINT64_MAX);
  Member.Replayed.Value = Reader.requiredUnsigned("replayed", 0, UINT64_MAX);
  if (Reader.has("ageUs"))
    Member.Age =
        microseconds(Reader.requiredUnsigned("ageUs", 0, MaxMicroseconds));
  Member.ExpectedWait =
      microseconds(Reader.optionalUnsigned("waitUs", 0, MaxMicroseconds, 0));
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Member;
}

} // namespace

Json::Value PublishedGroupView::toJson() const {
  Json::Value Value(Json::objectValue);
  Value["primary"] = this->Primary;
  Value["term"] = Json::Value::UInt64(this->Current.Value);
  Value["lineage"] = lineageToJson(this->Routing.History);
  Value["upstreams"] = Json::Value(Json::arrayValue);
  for (const UpstreamView &Member : this->Routing.Upstreams)
    Value["upstreams"].append(memberToJson(Member));
  return Value;
}

Result<PublishedGroupView>
PublishedGroupView::fromJson(const Json::Value &Value, TimePoint At) {
  ObjectReader Reader(Value, "view");
  PublishedGroupView View;
  View.At = At;
  View.Primary = Reader.requiredString("primary");
  View.Current.Value = Reader.requiredUnsigned("term", 0, UINT64_MAX);
  if (!lineageFromJson(Reader.optionalArray("lineage"), View.Routing.History))
    Reader.reject("lineage", "pairs of term and position in ascending order");
  for (const Json::Value &Member : Reader.optionalArray("upstreams")) {
    BOOST_OUTCOME_TRY(auto Read, memberFromJson(Member));
    View.Routing.Upstreams.push_back(std::move(Read));
  }
  BOOST_OUTCOME_TRYV(Reader.finish());
  return View;
}

bool isOutdated(const PublishedGroupView &View, TimePoint LastFailureAt,
                bool Suffices, TimePoint Now) {
  const Duration Age = Now - View.At;
  if (Age >= MaxViewAge)
    return true;
  return Age >= ViewLifetime && (!Suffices || LastFailureAt >= View.At);
}

std::size_t GroupViews::shardOf(const std::string &Group) {
  return std::hash<std::string>()(Group) % ShardCount;
}

void GroupViews::publish(const std::string &Group, GroupViewPointer View) {
  Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  GroupViewPointer &Known = GroupShard.Views[Group];
  if (!Known || Known->Current < View->Current ||
      (Known->Current == View->Current && Known->At <= View->At))
    Known = std::move(View);
}

GroupViewPointer GroupViews::find(const std::string &Group) const {
  const Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  const auto Found = GroupShard.Views.find(Group);
  return Found == GroupShard.Views.end() ? nullptr : Found->second;
}

void GroupViews::recordReplayed(const std::string &Group,
                                const std::string &Upstream,
                                const Position &Replayed) {
  Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  GroupShard.ReplayedByGroup[Group][Upstream] = Replayed;
}

ReadGroupView GroupViews::routingOf(const std::string &Group,
                                    const PublishedGroupView &View) const {
  ReadGroupView Routing = View.Routing;
  const Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  const auto Known = GroupShard.ReplayedByGroup.find(Group);
  if (Known == GroupShard.ReplayedByGroup.end())
    return Routing;
  for (UpstreamView &Member : Routing.Upstreams) {
    const auto Found = Known->second.find(Member.Name);
    if (Found != Known->second.end() && Found->second.InTerm == Member.Timeline)
      Member.Replayed = std::max(Member.Replayed, Found->second.Log);
  }
  return Routing;
}

void GroupViews::recordFailure(const std::string &Group, TimePoint Now) {
  Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  GroupShard.LastFailures[Group] = Now;
}

TimePoint GroupViews::lastFailureAt(const std::string &Group) const {
  const Shard &GroupShard = this->Shards[shardOf(Group)];
  const std::lock_guard Guard(GroupShard.Lock);
  const auto Found = GroupShard.LastFailures.find(Group);
  return Found == GroupShard.LastFailures.end() ? TimePoint::min()
                                                : Found->second;
}

} // namespace lavenderdale
