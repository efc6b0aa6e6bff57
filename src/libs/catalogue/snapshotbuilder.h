#pragma once

#include "cataloguesnapshot.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// An object whose newest version is not in force, and why.
struct CatalogueFault {
  ObjectKind Kind = ObjectKind::Workspace;
  std::string Name;
  std::uint64_t Version = 0; ///< The version that is not in force.
  std::uint64_t InForce = 0; ///< The version in force; 0 when none is.
  std::string Detail;
};

/// Collects objects and changes and makes snapshots of them. An object is never
/// replaced by an older version, a deleted object does not come back through a
/// late message, and the snapshot's version never goes back. An invalid object
/// keeps its last valid version in force and is listed as a fault.
///
/// Checks between objects: the owner and the group of a route exist, names of
/// upstreams are unique over all groups, and the primary named by a group's
/// status is a member of the group. A route without owner or group is not in
/// the snapshot. A key whose workspace is missing stays, and is a fault.
class SnapshotBuilder {
public:
  /// Applies one object, added or modified.
  /// \returns whether it was newer than what was known.
  bool apply(const CatalogueObject &Object);

  /// Applies a deletion. \p Version is the version of the deletion.
  bool remove(ObjectKind Kind, const std::string &Name, std::uint64_t Version);

  /// Applies a complete list: objects that are not in it are removed, unless
  /// they are newer than the list. A list older than version() is ignored.
  /// \returns whether the list was taken.
  bool replaceAll(const ObjectList &List);

  /// Raises the version without a change, as a bookmark does.
  void advance(std::uint64_t Version);

  /// The highest version seen.
  std::uint64_t version() const { return this->Version; }

  /// Makes the snapshot of what is known now and refreshes faults().
  SnapshotPointer build();

  /// Faults found by the last build().
  const std::vector<CatalogueFault> &faults() const { return this->Faults; }

private:
  struct Entry;
  struct Building;
  using Entries = std::map<std::string, std::shared_ptr<Entry>, std::less<>>;

  Entries &entries(ObjectKind Kind) {
    return this->ByKind[static_cast<std::size_t>(Kind)];
  }
  bool store(const CatalogueObject &Object);
  void buildGroups(Building &State);
  void buildRoutes(Building &State);
  void buildOthers(Building &State);

  std::array<Entries, ObjectKindCount> ByKind;
  std::vector<CatalogueFault> Faults;
  std::uint64_t Version = 0;
  std::uint64_t ListVersion = 0;
};

} // namespace lavenderdale
