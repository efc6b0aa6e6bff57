#include "cataloguesnapshot.h"

#include "base/objectreader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lavenderdale {
namespace {

template <typename T>
const T *find(const ObjectMap<T> &Map, std::string_view Name) {
  const auto Found = Map.find(Name);
  return Found == Map.end() ? nullptr : Found->second.get();
}

using ObjectPointer = std::shared_ptr<const CatalogueObject>;
using ObjectKey = std::pair<ObjectKind, std::string_view>;

ObjectKey keyOf(const ObjectPointer &Object) {
  return {Object->Kind, Object->Name};
}

} // namespace

CatalogueSnapshot::CatalogueSnapshot(SnapshotContents Contents)
    : Contents(std::move(Contents)) {
  std::sort(this->Contents.Objects.begin(), this->Contents.Objects.end(),
            [](const ObjectPointer &Left, const ObjectPointer &Right) {
              return keyOf(Left) < keyOf(Right);
            });
}

const Workspace *CatalogueSnapshot::workspace(std::string_view Name) const {
  return find(this->Contents.Workspaces, Name);
}

const Route *CatalogueSnapshot::route(std::string_view Name) const {
  return find(this->Contents.Routes, Name);
}

const Key *CatalogueSnapshot::key(std::string_view Id) const {
  return find(this->Contents.Keys, Id);
}

const Group *CatalogueSnapshot::group(std::string_view Name) const {
  return find(this->Contents.Groups, Name);
}

const GroupStatus *
CatalogueSnapshot::groupStatus(std::string_view GroupName) const {
  return find(this->Contents.GroupStatuses, GroupName);
}

const Host *CatalogueSnapshot::host(std::string_view Name) const {
  return find(this->Contents.Hosts, Name);
}

const SigningSecret *
CatalogueSnapshot::signingSecret(std::string_view Id) const {
  return find(this->Contents.Secrets, Id);
}

const CatalogueObject *CatalogueSnapshot::object(ObjectKind Kind,
                                                 std::string_view Name) const {
  const ObjectKey Wanted{Kind, Name};
  const auto &Objects = this->Contents.Objects;
  const auto Found =
      std::lower_bound(Objects.begin(), Objects.end(), Wanted,
                       [](const ObjectPointer &Object, const ObjectKey &Key) {
                         return keyOf(Object) < Key;
                       });
  if (Found == Objects.end() || keyOf(*Found) != Wanted)
    return nullptr;
  return Found->get();
}

Json::Value CatalogueSnapshot::toJson() const {
  Json::Value Value(Json::objectValue);
  Value["version"] = static_cast<Json::UInt64>(this->version());
  Value["objects"] = Json::Value(Json::arrayValue);
  for (const ObjectPointer &Object : this->Contents.Objects)
    Value["objects"].append(Object->toJson());
  return Value;
}

Result<ObjectList> listFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "snapshot", ErrorKind::InvalidCatalogue);
  ObjectList List;
  List.Version = Reader.requiredUnsigned(
      "version", 0, std::numeric_limits<std::uint64_t>::max());
  const Json::Value &Objects = Reader.optionalArray("objects");
  BOOST_OUTCOME_TRYV(Reader.finish());
  for (const Json::Value &Item : Objects) {
    BOOST_OUTCOME_TRY(CatalogueObject Object, CatalogueObject::fromJson(Item));
    List.Objects.push_back(std::move(Object));
  }
  return List;
}

} // namespace lavenderdale
