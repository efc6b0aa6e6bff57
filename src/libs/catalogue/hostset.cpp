#include "hostset.h"

#include "memberchecks.h"

#include <set>

namespace lavenderdale {
namespace {

constexpr std::uint64_t MaxEpoch = 0x7fffffffffffffffU;

Result<HostSetMember> readMember(const Json::Value &Value,
                                 const std::string &Path) {
  ObjectReader Reader(Value, Path, ErrorKind::InvalidCatalogue);
  HostSetMember Member;
  Member.Name = detail::requiredName(Reader, "name");
  Member.FailureDomain = detail::requiredName(Reader, "failureDomain");
  Member.PeerAddress = detail::requiredAddress(Reader, "peerAddress");
  Member.PeerPort = detail::requiredPort(Reader, "peerPort");
  Member.Generation = Reader.optionalUnsigned("generation", 0, MaxEpoch, 0);
  Member.Joined = Reader.optionalUnsigned("joined", 0, MaxEpoch, 0);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Member;
}

} // namespace

Result<HostSet> HostSet::fromJson(const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  HostSet Value;
  Value.Epoch = Reader.requiredUnsigned("epoch", 0, MaxEpoch);
  const Json::Value &Members = Reader.optionalArray("members");
  BOOST_OUTCOME_TRYV(Reader.finish());
  std::set<std::string> Names;
  for (Json::ArrayIndex I = 0; I < Members.size(); ++I) {
    const std::string Path = detail::itemPath(Reader, "members", I);
    BOOST_OUTCOME_TRY(HostSetMember Member, readMember(Members[I], Path));
    if (!Names.insert(Member.Name).second)
      return failure(ErrorKind::InvalidCatalogue,
                     Path + ".name: expected a unique name, found \"" +
                         Member.Name + "\" twice");
    Value.Members.push_back(std::move(Member));
  }
  return Value;
}

Json::Value HostSet::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["epoch"] = static_cast<Json::UInt64>(this->Epoch);
  Spec["members"] = Json::Value(Json::arrayValue);
  for (const HostSetMember &Member : this->Members) {
    Json::Value Item(Json::objectValue);
    Item["name"] = Member.Name;
    Item["failureDomain"] = Member.FailureDomain;
    Item["peerAddress"] = Member.PeerAddress;
    Item["peerPort"] = static_cast<Json::Int64>(Member.PeerPort);
    Item["generation"] = static_cast<Json::UInt64>(Member.Generation);
    Item["joined"] = static_cast<Json::UInt64>(Member.Joined);
    Spec["members"].append(Item);
  }
  return Spec;
}

} // namespace lavenderdale
