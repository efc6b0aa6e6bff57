#include "sleepuntil.h"

#include "resumewith.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace lavenderdale {
namespace asio = boost::asio;

asio::awaitable<void> sleepUntil(TimePoint When) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(When);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(resumeWith(Ignored));
}

} // namespace lavenderdale
