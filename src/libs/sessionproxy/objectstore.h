#pragma once

#include "base/result.h"
#include "base/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Collections of the platform's object store that the proxy uses.
enum class Collection {
  Catalogue,  ///< Written by operators.
  Upstreams,  ///< Written by the upstreams themselves.
  Hosts,      ///< Registrations of the hosts, one object for each host.
  Promotions, ///< Claims of the right to promote, one object for each group.
  /// Orders of operators, one object for each evacuated failure domain.
  Evacuations,
  /// Members of groups with synchronous replicas, one object for each group;
  /// see MemberRecord.
  Members,
};

/// Revisions of the store never go back, although it may return from an older
/// copy and count its own revisions from there again: the upper bits tell its
/// era, which rises with each such return.
constexpr int StoreRevisionBits = 40;
constexpr std::uint64_t MaxStoreRevision =
    (std::uint64_t{1} << StoreRevisionBits) - 1;
/// Keeps revisions, and so fencing tokens, below 2^53: exact as a double, which
/// some decoders of JSON read numbers as.
constexpr std::uint64_t MaxStoreEra = (std::uint64_t{1} << 13) - 1;

/// \returns the era of the store in which it gave out \p Revision.
constexpr std::uint64_t storeEra(std::uint64_t Revision) {
  return Revision >> StoreRevisionBits;
}

/// \returns the store's own number of \p Revision and its era, for a log line.
inline std::string describeRevision(std::uint64_t Revision) {
  std::string Text = "revision=" + std::to_string(Revision & MaxStoreRevision);
  if (const std::uint64_t Era = storeEra(Revision); Era != 0)
    Text += " era=" + std::to_string(Era);
  return Text;
}

/// An object of the store, or a change to one.
struct StoredObject {
  std::string Name;
  std::uint64_t Revision = 0; ///< See StoreRevisionBits.
  Json::Value Spec;
  bool Removed = false; ///< Set only in changes.
};

/// Objects of a collection, or changes to them, up to a revision of the store.
struct StoredObjects {
  std::vector<StoredObject> Objects;
  std::uint64_t AtRevision = 0;
  /// Set if another host passed on what it had received: when the store
  /// answered it, or earlier.
  std::optional<TimePoint> AnsweredAt;
  /// When the store last failed to answer that host; unset if it never did.
  std::optional<TimePoint> FailedAt;
};

/// Whether a list may be served from a stale copy of the store.
enum class ListFreshness { Current, MayBeStale };

/// The platform's object store. Every call can fail with PlatformUnavailable;
/// a change that fails in this way may still take effect, even later.
class ObjectStore {
public:
  template <typename T> using Call = boost::asio::awaitable<Result<T>>;

  virtual ~ObjectStore() = default;

  /// Returns all objects of a collection.
  virtual Call<StoredObjects> list(Collection From, ListFreshness Freshness,
                                   TimePoint Deadline) = 0;

  /// Waits at most \p Wait for changes after \p Revision.
  /// \returns no objects if nothing changed. Errors: VersionConflict if the
  ///          store no longer keeps these changes, or is in another era; the
  ///          caller must list again.
  virtual Call<StoredObjects> watch(Collection From, std::uint64_t Revision,
                                    std::chrono::milliseconds Wait) = 0;

  /// Returns one object. Errors: NotFound.
  virtual Call<StoredObject> get(Collection From, std::string Name,
                                 TimePoint Deadline) = 0;

  /// Creates an object. Errors: VersionConflict if it already exists.
  virtual Call<StoredObject> create(Collection In, StoredObject Object,
                                    TimePoint Deadline) = 0;

  /// Replaces the object if its revision is still Object.Revision.
  /// Errors: VersionConflict, also if the store is in another era than the
  /// revision; NotFound.
  virtual Call<StoredObject> replaceIfUnchanged(Collection In,
                                                StoredObject Object,
                                                TimePoint Deadline) = 0;

  /// Removes an object. Errors: NotFound.
  virtual Call<void> remove(Collection From, std::string Name,
                            TimePoint Deadline) = 0;
};

/// The system that promotes upstreams on request. A request without an answer
/// may still be carried out later, unless one with a higher token came first.
class PromotionAuthority {
public:
  virtual ~PromotionAuthority() = default;

  /// Requests the promotion of an upstream to primary of its group.
  /// \param Token fencing token of the request.
  /// Errors: VersionConflict if a higher token was used or the upstream is not
  /// running; Unavailable if the request was not sent or not accepted;
  /// PlatformUnavailable if it may still be carried out.
  virtual boost::asio::awaitable<Result<void>> promote(std::string Group,
                                                       std::string UpstreamId,
                                                       std::uint64_t Token,
                                                       TimePoint Deadline) = 0;
};

} // namespace lavenderdale
