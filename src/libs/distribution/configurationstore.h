#pragma once

#include "configurationmessages.h"

#include <functional>

namespace lavenderdale {

/// The current configuration of a host: the newest version of each object, and
/// recent deletions. Its version never decreases.
class ConfigurationStore {
public:
  /// Number of deletions that are kept. A host that needs earlier ones gets the
  /// complete configuration.
  static constexpr std::size_t MaxDeletions = 4096;
  /// Limits the payloads in one PullAnswer. A part ends with the object that
  /// reaches this size, and others of the same version.
  static constexpr std::size_t MaxPartBytes = std::size_t{512} << 10U;

  /// \returns the version, or 0 if there is no configuration.
  std::uint64_t version() const { return this->Version; }

  /// \returns the existing objects, by name.
  const std::map<std::string, ConfigurationObject, std::less<>> &
  objects() const {
    return this->Objects;
  }

  /// Replaces all objects by a complete list, unless the list is older.
  /// \returns whether the list was applied.
  bool applyList(std::uint64_t ListVersion,
                 std::vector<ConfigurationObject> List);

  /// Applies a change from the platform's watch, unless it is older. Changes
  /// must come in the order of their versions.
  /// \returns whether the change was applied.
  bool applyChange(ConfigurationObject Change);

  /// Raises the version to \p Newer, up to which there are no other changes.
  void advance(std::uint64_t Newer);

  /// \returns the request for the changes that are missing here.
  PullRequest nextRequest() const;

  /// \returns the answer to \p Request, or nothing if there are no changes.
  std::optional<PullAnswer> answer(const PullRequest &Request) const;

  /// Adds a part of a transfer. The objects are installed after the last part.
  /// \returns whether the objects were installed.
  bool applyPart(const PullAnswer &Part);

private:
  using ObjectMap = std::map<std::string, ConfigurationObject, std::less<>>;

  /// A transfer in progress.
  struct Staging {
    std::uint64_t UpTo = 0;   ///< All objects up to this version are here.
    std::uint64_t Base = 0;   ///< See PullRequest::Base.
    std::uint64_t Source = 0; ///< PullAnswer::Version of the last part.
    bool Whole = false;       ///< Whether it replaces all objects.
    std::vector<ConfigurationObject> Received;
  };

  void put(ConfigurationObject Change);
  bool continuesTransfer(const PullAnswer &Part) const;
  void trimDeletions();
  void install(std::uint64_t NewVersion);

  std::uint64_t Version = 0;
  ObjectMap Objects;
  std::map<std::uint64_t, std::string> Deletions; ///< By version.
  /// Deletions up to this version may be missing.
  std::uint64_t DeletionsFrom = 0;
  std::optional<Staging> Staged;
};

} // namespace lavenderdale
