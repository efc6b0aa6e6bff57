#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "catalogue/cataloguesnapshot.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace lavenderdale {

/// A change reported by a watch.
struct PlatformChange {
  CatalogueObject Object;
  bool Deleted = false;
  bool Bookmark = false; ///< Only Object.Version is meaningful.
};

/// The operations of the platform's object API that the daemon uses. All member
/// functions are called on one executor.
class PlatformGateway {
public:
  virtual ~PlatformGateway() = default;

  /// Lists all objects of all kinds.
  virtual boost::asio::awaitable<Result<ObjectList>>
  listAll(TimePoint Deadline) = 0;

  /// \returns the version of the newest change on the platform.
  virtual boost::asio::awaitable<Result<std::uint64_t>>
  version(TimePoint Deadline) = 0;

  /// Reads one object.
  virtual boost::asio::awaitable<Result<CatalogueObject>>
  get(ObjectKind Kind, std::string Name, TimePoint Deadline) = 0;

  /// Stores \p Object if its version is current; creates it if the version is
  /// 0. \returns the stored object; VersionConflict if another version is
  /// stored; PlatformUnavailable if there was no answer, in which case the
  /// object may still be stored.
  virtual boost::asio::awaitable<Result<CatalogueObject>>
  replaceIf(CatalogueObject Object, TimePoint Deadline) = 0;

  /// Reports all changes after \p Version until the watch ends.
  /// \returns the reason why the watch ended.
  virtual boost::asio::awaitable<Error>
  watchAll(std::uint64_t Version,
           std::function<void(const PlatformChange &)> OnChange) = 0;

  /// Ends the current watch, if any.
  virtual void stopWatch() = 0;
};

} // namespace lavenderdale
