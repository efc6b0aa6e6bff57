#pragma once

#include "catalogueobject.h"
#include "group.h"
#include "groupstatus.h"
#include "host.h"
#include "hostset.h"
#include "key.h"
#include "route.h"
#include "signingsecret.h"
#include "workspace.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// Objects of one type by name. Values are shared between snapshots.
template <typename T>
using ObjectMap = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

/// The contents of a snapshot.
struct SnapshotContents {
  std::uint64_t Version = 0;
  ObjectMap<Workspace> Workspaces;
  ObjectMap<Route> Routes;
  ObjectMap<Key> Keys;
  ObjectMap<Group> Groups;
  ObjectMap<GroupStatus> GroupStatuses;
  ObjectMap<Host> Hosts;
  ObjectMap<SigningSecret> Secrets;
  std::shared_ptr<const HostSet> Hostset;
  /// The objects in force, as they are stored.
  std::vector<std::shared_ptr<const CatalogueObject>> Objects;
};

/// The configuration in force at one version. Immutable, so that threads share
/// it without a lock. Lookups return nullptr for unknown names; the objects
/// live as long as the snapshot.
class CatalogueSnapshot {
public:
  explicit CatalogueSnapshot(SnapshotContents Contents);

  /// resourceVersion of the list, or of the last change applied to it.
  std::uint64_t version() const { return this->Contents.Version; }

  const Workspace *workspace(std::string_view Name) const;
  const Route *route(std::string_view Name) const;
  const Key *key(std::string_view Id) const;
  const Group *group(std::string_view Name) const;
  const GroupStatus *groupStatus(std::string_view GroupName) const;
  const Host *host(std::string_view Name) const;
  const SigningSecret *signingSecret(std::string_view Id) const;
  const HostSet *hostSet() const { return this->Contents.Hostset.get(); }

  const ObjectMap<Workspace> &workspaces() const {
    return this->Contents.Workspaces;
  }
  const ObjectMap<Route> &routes() const { return this->Contents.Routes; }
  const ObjectMap<Key> &keys() const { return this->Contents.Keys; }
  const ObjectMap<Group> &groups() const { return this->Contents.Groups; }
  const ObjectMap<Host> &hosts() const { return this->Contents.Hosts; }
  const ObjectMap<SigningSecret> &signingSecrets() const {
    return this->Contents.Secrets;
  }

  /// The stored form of an object in force, or nullptr; gives its version.
  const CatalogueObject *object(ObjectKind Kind, std::string_view Name) const;

  /// The whole snapshot as one value: {"version","objects":[..]}. The reader
  /// is SnapshotBuilder::replaceAll() with listFromJson().
  Json::Value toJson() const;

private:
  SnapshotContents Contents;
};

using SnapshotPointer = std::shared_ptr<const CatalogueSnapshot>;

/// A complete list of objects at one version, from the platform or a peer.
struct ObjectList {
  std::uint64_t Version = 0;
  std::vector<CatalogueObject> Objects;
};

/// Reads what CatalogueSnapshot::toJson() wrote.
/// \returns the list, or InvalidCatalogue.
Result<ObjectList> listFromJson(const Json::Value &Value);

} // namespace lavenderdale
