#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "catalogue/cataloguesnapshot.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

struct PlatformRequest;

/// One message of a watch.
struct WatchMessage {
  enum class Type {
    Added,
    Modified,
    Deleted,  ///< The object's version is that of the deletion.
    Bookmark, ///< Only the object's version is set.
  };
  Type Kind = Type::Bookmark;
  CatalogueObject Object;
};

/// Client of the platform's object API. Calls share one keep-alive connection,
/// and a call made while another is under way opens its own. A connection that
/// is silent past a deadline is closed. Failures have these kinds:
/// PlatformUnavailable when there was no answer or the platform could not
/// answer, VersionConflict for 409, NotFound for 404, InvalidCatalogue for an
/// answer or an object that is not valid.
///
/// Used from one executor without concurrency. The client has to outlive its
/// calls.
class PlatformClient {
public:
  /// A watch without a message for this long has failed; the platform sends a
  /// bookmark each second.
  static constexpr std::chrono::seconds WatchSilenceLimit{3};

  template <typename T> using Call = boost::asio::awaitable<Result<T>>;

  PlatformClient(boost::asio::any_io_executor Executor,
                 boost::asio::ip::tcp::endpoint Endpoint);
  ~PlatformClient();
  PlatformClient(const PlatformClient &) = delete;
  PlatformClient &operator=(const PlatformClient &) = delete;

  /// Lists one kind, or all kinds without \p Kind. An object whose form is
  /// wrong is listed with a spec that does not pass validation.
  Call<ObjectList> list(std::optional<ObjectKind> Kind, TimePoint Deadline);

  Call<CatalogueObject> get(ObjectKind Kind, const std::string &Name,
                            TimePoint Deadline);

  /// \returns the object as stored, with its version.
  Call<CatalogueObject> create(CatalogueObject Object, TimePoint Deadline);

  /// Replaces spec and status if the stored version is still Object.Version.
  /// After PlatformUnavailable the change may or may not have taken effect.
  Call<CatalogueObject> replaceIf(CatalogueObject Object, TimePoint Deadline);

  /// Removes the object if the stored version is still \p Version.
  Call<void> remove(ObjectKind Kind, std::string Name, std::uint64_t Version,
                    TimePoint Deadline);

  /// As create(), replaceIf() and remove(), but a lost answer is resolved by
  /// reading the object back: when spec and status are what was sent, the
  /// change took effect; when the version is still the one expected, the change
  /// is sent again. So the content has to be unique to the caller where two
  /// callers must not both succeed (for example by an attempt id).
  Call<CatalogueObject> createResolved(CatalogueObject Object,
                                       TimePoint Deadline);
  Call<CatalogueObject> replaceIfResolved(CatalogueObject Object,
                                          TimePoint Deadline);
  Call<void> removeResolved(ObjectKind Kind, std::string Name,
                            std::uint64_t Version, TimePoint Deadline);

  /// Calls \p Handler for each change after \p Version until the watch fails;
  /// the caller then lists and watches again.
  /// \returns never success: VersionConflict when the version is too old,
  /// otherwise PlatformUnavailable.
  Call<void> watch(std::optional<ObjectKind> Kind, std::uint64_t Version,
                   std::function<void(const WatchMessage &)> Handler);

  /// Closes all connections; calls under way fail.
  void close();

private:
  class Implementation;
  using StoreMethod = Call<CatalogueObject> (PlatformClient::*)(CatalogueObject,
                                                                TimePoint);

  Call<CatalogueObject> callForObject(PlatformRequest Request,
                                      TimePoint Deadline);

  /// \param Object without a version if it is to be created.
  Call<CatalogueObject> storeResolved(StoreMethod Store, CatalogueObject Object,
                                      TimePoint Deadline);

  std::unique_ptr<Implementation> Impl;
};

/// Whether spec and status of two objects are the same.
bool sameContent(const CatalogueObject &Left, const CatalogueObject &Right);

} // namespace lavenderdale
