#pragma once

#include "objectstore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lavenderdale {

/// What this host knows of a collection of the store, from the store or from a
/// host that watches it: the objects, and recent changes for other hosts. What
/// another host sends never replaces an object by an older state of it.
class SharedCollection {
public:
  /// Changes that are kept for other hosts. A host that is further behind gets
  /// all objects.
  static constexpr std::size_t MaxChanges = 64;
  static constexpr std::size_t MaxChangeBytes = std::size_t{1024} * 1024;
  /// Removed objects of which the revisions are kept since the last list.
  static constexpr std::size_t MaxRemoved = 10000;

  /// Records a list of the store, which is authoritative.
  void recordList(const StoredObjects &Listed, TimePoint Now);

  /// Records changes after \p After that the store sent.
  void recordChanges(std::uint64_t After, const StoredObjects &Changes,
                     TimePoint Now);

  /// Records that the store did not answer at \p Now.
  void recordFailure(TimePoint Now);

  /// Applies a list that another host sent, with its AnsweredAt.
  /// Errors: VersionConflict if it is older than what is known here.
  Result<StoredObjects> acceptList(StoredObjects Listed);

  /// Applies changes after \p After that another host sent.
  /// \returns the changes that are new here. Errors: VersionConflict if too
  ///          many objects were removed since the last list; the caller must
  ///          list again.
  Result<StoredObjects> acceptChanges(std::uint64_t After,
                                      StoredObjects Changes);

  /// Whether the objects are known.
  bool isKnown() const { return this->Known; }
  /// Whether the last call of the store was answered.
  bool storeAnswers() const {
    return this->AnsweredAt && !this->FailedSinceAnswer;
  }
  std::uint64_t revision() const { return this->Revision; }
  std::optional<TimePoint> answeredAt() const { return this->AnsweredAt; }
  std::optional<TimePoint> failedAt() const { return this->FailedAt; }

  /// \returns the changes after \p After as members of a JSON array, or nothing
  ///          if they are no longer kept.
  std::optional<std::string> changesAfter(std::uint64_t After) const;

  /// \returns all objects as members of a JSON array.
  const std::string &allObjects();

private:
  struct ChangeBatch {
    std::uint64_t AtRevision = 0;
    std::string Encoded; ///< Members of a JSON array.
  };

  void replaceAll(const StoredObjects &Listed);
  void apply(const StoredObject &Change);
  bool isNew(const StoredObject &Change) const;
  void keep(std::uint64_t After, const StoredObjects &Changes);
  void answered(TimePoint At);

  bool Known = false;
  std::map<std::string, StoredObject> Objects;  ///< By name.
  std::map<std::string, std::uint64_t> Removed; ///< Since the last list.
  std::uint64_t ListedAt = 0;                   ///< Revision of that list.
  std::uint64_t Revision = 0;                   ///< Of the last answer.
  std::deque<ChangeBatch> Batches;              ///< The oldest first.
  std::uint64_t KeptAfter = 0; ///< Changes after it are in Batches.
  std::size_t KeptBytes = 0;
  std::optional<std::string> Encoded; ///< Of all objects; unset after changes.
  std::optional<TimePoint> AnsweredAt;
  std::optional<TimePoint> FailedAt;
  bool FailedSinceAnswer = false;
};

} // namespace lavenderdale
