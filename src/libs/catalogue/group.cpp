#include "group.h"

#include "memberchecks.h"

#include <algorithm>
#include <set>

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 2> StateNames = {"serving", "leaving"};

// Five connections of an upstream are kept for monitors and control, and each
// of its two holders needs one (see "A database is reached through few hosts").
constexpr std::uint64_t MinConnections = 7;
constexpr std::uint64_t MaxConnections = 10000;
constexpr std::uint64_t MaxSlots = 10000;
constexpr Json::ArrayIndex MaxUpstreams = 16;

Result<Upstream> readUpstream(const Json::Value &Value,
                              const std::string &Path) {
  ObjectReader Reader(Value, Path, ErrorKind::InvalidCatalogue);
  Upstream Member;
  Member.Name = detail::requiredName(Reader, "name");
  Member.Address = detail::requiredAddress(Reader, "address");
  Member.Port = detail::requiredPort(Reader, "port");
  Member.FailureDomain = detail::requiredName(Reader, "failureDomain");
  Member.Connections = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("connections", MinConnections, MaxConnections));
  Member.Slots =
      static_cast<std::uint32_t>(Reader.requiredUnsigned("slots", 1, MaxSlots));
  Member.State =
      detail::optionalEnum<UpstreamState>(Reader, "state", StateNames)
          .value_or(UpstreamState::Serving);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Member;
}

Json::Value upstreamToJson(const Upstream &Member) {
  Json::Value Value(Json::objectValue);
  Value["name"] = Member.Name;
  Value["address"] = Member.Address;
  Value["port"] = static_cast<Json::Int64>(Member.Port);
  Value["failureDomain"] = Member.FailureDomain;
  Value["connections"] = static_cast<Json::Int64>(Member.Connections);
  Value["slots"] = static_cast<Json::Int64>(Member.Slots);
  Value["state"] = std::string(toString(Member.State));
  return Value;
}

Result<std::vector<Upstream>> readUpstreams(const Json::Value &Array,
                                            const ObjectReader &Parent) {
  std::vector<Upstream> Members;
  std::set<std::string> Names;
  for (Json::ArrayIndex I = 0; I < Array.size(); ++I) {
    const std::string Path = detail::itemPath(Parent, "upstreams", I);
    BOOST_OUTCOME_TRY(Upstream Member, readUpstream(Array[I], Path));
    if (!Names.insert(Member.Name).second)
      return failure(ErrorKind::InvalidCatalogue,
                     Path + ".name: expected a unique name, found \"" +
                         Member.Name + "\" twice");
    Members.push_back(std::move(Member));
  }
  return Members;
}

} // namespace

std::string_view toString(UpstreamState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

Result<Group> Group::fromJson(std::string Name, const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  Group Value;
  Value.Name = std::move(Name);
  Value.Database = Reader.requiredString("database");
  Value.User = Reader.requiredString("user");
  const Json::Value &Upstreams = Reader.optionalArray("upstreams");
  if (Upstreams.empty() || Upstreams.size() > MaxUpstreams)
    Reader.reject("upstreams",
                  "1 to " + std::to_string(MaxUpstreams) + " upstreams");
  BOOST_OUTCOME_TRYV(Reader.finish());
  BOOST_OUTCOME_TRY(Value.Upstreams, readUpstreams(Upstreams, Reader));
  return Value;
}

Json::Value Group::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["database"] = this->Database;
  Spec["user"] = this->User;
  Spec["upstreams"] = Json::Value(Json::arrayValue);
  for (const Upstream &Member : this->Upstreams)
    Spec["upstreams"].append(upstreamToJson(Member));
  return Spec;
}

const Upstream *Group::upstream(std::string_view Name) const {
  const auto Found = std::find_if(
      this->Upstreams.begin(), this->Upstreams.end(),
      [Name](const Upstream &Member) { return Member.Name == Name; });
  return Found == this->Upstreams.end() ? nullptr : &*Found;
}

} // namespace lavenderdale
