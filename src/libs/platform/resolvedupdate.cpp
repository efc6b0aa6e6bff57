#include "resolvedupdate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds CallLimit{1000};
constexpr std::chrono::milliseconds ReadBackPause{100};

TimePoint now() { return std::chrono::steady_clock::now(); }

bool sameContent(const CatalogueObject &A, const CatalogueObject &B) {
  return A.Spec == B.Spec && A.Status == B.Status;
}

} // namespace

asio::awaitable<Result<CatalogueObject>>
replaceIfResolved(PlatformGateway &Platform, CatalogueObject Object,
                  TimePoint Deadline) {
  Result<CatalogueObject> Answer = co_await Platform.replaceIf(
      Object, std::min(Deadline, now() + CallLimit));
  while (!Answer && Answer.error().Kind == ErrorKind::PlatformUnavailable &&
         now() < Deadline) {
    const Result<CatalogueObject> Found = co_await Platform.get(
        Object.Kind, Object.Name, std::min(Deadline, now() + CallLimit));
    if (Found && Found.value().Version != Object.Version) {
      if (sameContent(Found.value(), Object))
        co_return Found;
      co_return failure(ErrorKind::VersionConflict,
                        Object.label() + " was changed by somebody else");
    }
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    Pause.expires_after(ReadBackPause);
    boost::system::error_code Ignored;
    co_await Pause.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    // The object is as before: the update was lost or is still on its way.
    // Sending it again is safe, since it is conditional.
    if (Found || Found.error().Kind == ErrorKind::NotFound)
      Answer = co_await Platform.replaceIf(
          Object, std::min(Deadline, now() + CallLimit));
  }
  co_return Answer;
}

} // namespace lavenderdale
