#include "sleepuntil.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lavenderdale {
namespace asio = boost::asio;

asio::awaitable<void> sleepUntil(TimePoint When) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(When);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace lavenderdale
