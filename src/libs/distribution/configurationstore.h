#pragma once

#include "configurationmessages.h"

#include <functional>

namespace lavenderdale {

/// The configuration in force: the newest version of each object, and the
/// deletions of late. It only ever moves to newer versions.
class ConfigurationStore {
public:
  /// Number of deletions that are kept. A host that is further behind gets
  /// the whole configuration.
  static constexpr std::size_t MaxDeletions = 4096;
  /// Bounds the payloads in one PullAnswer, unless one object is larger.
  static constexpr std::size_t MaxPartBytes = std::size_t{512} << 10U;

  /// 0 if there is no configuration.
  std::uint64_t version() const { return this->Version; }

  /// The objects that exist, by name.
  const std::map<std::string, ConfigurationObject, std::less<>> &
  objects() const {
    return this->Objects;
  }

  /// Takes over a complete list.
  /// \returns whether it was taken: not if it is older.
  bool applyList(std::uint64_t ListVersion,
                 std::vector<ConfigurationObject> List);

  /// Takes over one change of the platform's watch, in its order.
  /// \returns whether it was newer.
  bool applyChange(ConfigurationObject Change);

  /// Notes that there is no further change up to \p Newer.
  void advance(std::uint64_t Newer);

  /// The request for what is missing here.
  PullRequest nextRequest() const;

  /// \returns the answer, or nothing if there are no changes.
  std::optional<PullAnswer> answer(const PullRequest &Request) const;

  /// Takes over a part; the objects are in force after the last part.
  /// \returns whether the version in force has changed.
  bool applyPart(const PullAnswer &Part);

private:
  using ObjectMap = std::map<std::string, ConfigurationObject, std::less<>>;

  struct Staging {
    std::uint64_t UpTo = 0;
    std::uint64_t Base = 0;
    std::uint64_t Source = 0; ///< The version of the newest part.
    bool Whole = false;       ///< Replaces all objects.
    std::vector<ConfigurationObject> Received;
  };

  void put(ConfigurationObject Change);
  bool joins(const PullAnswer &Part) const;
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
