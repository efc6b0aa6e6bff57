#pragma once

#include "cataloguesnapshot.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderdale {

/// An object whose newest version is not wholly in force, and why.
struct CatalogueFault {
  ObjectKind Kind = ObjectKind::Workspace;
  std::string Name;
  std::uint64_t Version = 0; ///< The newest version.
  std::string Detail;
};

/// Collects objects and changes and makes snapshots of them. An object is never
/// replaced by an older version, a deleted object does not come back through a
/// late message, and the snapshot's version never goes back. An invalid object
/// keeps its last valid version in force and is listed as a fault. A key is the
/// exception: it is not in force while its newest version is invalid, because
/// that version may be meant as a withdrawal. Spec and status of a group are
/// judged apart, so that an invalid spec does not hold back a change of
/// primary.
///
/// Checks between objects: the owner and the group of a route exist, names of
/// upstreams are unique over all groups, and the primary named by a group's
/// status is a member of the group. A route without owner or group is not in
/// the snapshot. A key whose workspace is missing stays, and is a fault.
class SnapshotBuilder {
public:
  SnapshotBuilder();
  ~SnapshotBuilder();
  SnapshotBuilder(SnapshotBuilder &&) noexcept;
  SnapshotBuilder &operator=(SnapshotBuilder &&) noexcept;

  /// Applies one object, added or modified.
  /// \returns whether it was newer than what was known.
  bool apply(const CatalogueObject &Object);

  /// Applies a deletion. \p DeletedAt is the version of the deletion.
  /// \returns whether it was newer than what was known.
  bool remove(ObjectKind Kind, const std::string &Name,
              std::uint64_t DeletedAt);

  /// Applies a complete list: objects that are not in it are removed. A list
  /// older than version() is ignored.
  /// \returns whether the list was taken.
  bool replaceAll(const ObjectList &List);

  /// Raises the version without a change, as a bookmark does.
  void advance(std::uint64_t SeenVersion);

  /// The highest version seen.
  std::uint64_t version() const { return this->Version; }

  /// Makes the snapshot of what is known now and refreshes faults().
  SnapshotPointer build();

  /// Faults found by the last build().
  const std::vector<CatalogueFault> &faults() const { return this->Faults; }

private:
  struct Entry;
  struct GroupPass;
  using Entries = std::map<std::string, std::unique_ptr<Entry>, std::less<>>;

  Entries &entries(ObjectKind Kind) {
    return this->ByKind[static_cast<std::size_t>(Kind)];
  }
  bool store(const CatalogueObject &Object);
  void report(const Entry &Item, std::string Detail);
  template <typename T>
  void buildKind(ObjectKind Kind, ObjectMap<T> &Target,
                 SnapshotContents &Contents);
  void buildGroups(SnapshotContents &Contents);
  void buildRoutes(SnapshotContents &Contents);
  void buildHostSet(SnapshotContents &Contents);
  void checkKeys(const SnapshotContents &Contents);

  std::array<Entries, ObjectKindCount> ByKind;
  std::vector<CatalogueFault> Faults;
  std::uint64_t Version = 0;
  std::uint64_t ListVersion = 0;
};

} // namespace lavenderdale
