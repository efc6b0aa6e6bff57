#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "catalogue/cataloguesnapshot.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace lavenderdale {

/// A change that a watch reports.
struct PlatformChange {
  CatalogueObject Object;
  bool Deleted = false;
  bool Bookmark = false; ///< Only Object.Version counts.
};

/// What the project needs of the platform's object API. All members are called
/// on one executor.
class PlatformGateway {
public:
  virtual ~PlatformGateway() = default;

  /// Lists all objects of all kinds.
  virtual boost::asio::awaitable<Result<ObjectList>>
  listAll(TimePoint Deadline) = 0;

  /// \returns the version of the platform's newest change.
  virtual boost::asio::awaitable<Result<std::uint64_t>>
  version(TimePoint Deadline) = 0;

  virtual boost::asio::awaitable<Result<CatalogueObject>>
  get(ObjectKind Kind, std::string Name, TimePoint Deadline) = 0;

  /// Stores \p Object if its version is current; version 0 creates it.
  /// \returns the stored object; VersionConflict if another version is stored;
  /// PlatformUnavailable if there was no answer: it may be stored yet.
  virtual boost::asio::awaitable<Result<CatalogueObject>>
  replaceIf(CatalogueObject Object, TimePoint Deadline) = 0;

  /// Reports changes after \p Version until the watch ends.
  /// \returns why it ended.
  virtual boost::asio::awaitable<Error>
  watchAll(std::uint64_t Version,
           std::function<void(const PlatformChange &)> OnChange) = 0;

  /// Ends a watch that is under way.
  virtual void stopWatch() = 0;
};

} // namespace lavenderdale
