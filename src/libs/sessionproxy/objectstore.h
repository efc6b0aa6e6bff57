#pragma once

#include "base/result.h"
#include "base/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lavenderdale {

/// The collections of the platform's object store that the proxy uses.
enum class Collection {
  Catalogue,  ///< Written by operators.
  Upstreams,  ///< Written by the upstreams.
  Hosts,      ///< Written by the hosts of the fleet, each its own object.
  Promotions, ///< Claims of hosts to promote, one object for each group.
};

struct StoredObject {
  std::string Name;
  std::uint64_t Revision = 0;
  Json::Value Spec;
  bool Removed = false; ///< In changes only.
};

/// Objects of a collection, or changes to it, up to a revision of the store.
struct StoredObjects {
  std::vector<StoredObject> Objects;
  std::uint64_t AtRevision = 0;
};

/// How current a listing has to be.
enum class ListFreshness { Current, MayBeStale };

/// The platform's object store. Every call can fail with PlatformUnavailable;
/// a change may then still take effect, also later.
class ObjectStore {
public:
  template <typename T> using Call = boost::asio::awaitable<Result<T>>;

  virtual ~ObjectStore() = default;

  virtual Call<StoredObjects> list(Collection From, ListFreshness Freshness,
                                   TimePoint Deadline) = 0;

  /// Waits for changes after \p Revision for at most \p Wait.
  /// \returns no objects if nothing changed. Errors: VersionConflict if the
  ///          changes are no longer kept; the caller lists again.
  virtual Call<StoredObjects> watch(Collection From, std::uint64_t Revision,
                                    std::chrono::milliseconds Wait) = 0;

  /// Errors: NotFound.
  virtual Call<StoredObject> get(Collection From, std::string Name,
                                 TimePoint Deadline) = 0;

  /// Errors: VersionConflict if it exists.
  virtual Call<StoredObject> create(Collection In, StoredObject Object,
                                    TimePoint Deadline) = 0;

  /// Replaces the object if it still has Object.Revision.
  /// Errors: VersionConflict, NotFound.
  virtual Call<StoredObject> replaceIf(Collection In, StoredObject Object,
                                       TimePoint Deadline) = 0;

  /// Errors: NotFound.
  virtual Call<void> remove(Collection From, std::string Name,
                            TimePoint Deadline) = 0;
};

/// Orders the promotion of an upstream. A call without an answer may still be
/// carried out later, unless one with a higher token came first.
class PromotionAuthority {
public:
  virtual ~PromotionAuthority() = default;

  /// Errors: VersionConflict if a higher token was used or the upstream does
  /// not run; PlatformUnavailable.
  virtual boost::asio::awaitable<Result<void>> promote(std::string Group,
                                                       std::string UpstreamId,
                                                       std::uint64_t Token,
                                                       TimePoint Deadline) = 0;
};

} // namespace lavenderdale
