#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace lavenderdale {

/// Runs the coroutine function \p Start on \p Executor and resumes the caller
/// on its own executor with the result. The result type needs no default
/// constructor, unlike with plain co_spawn().
template <typename T, typename Executor, typename Function>
boost::asio::awaitable<T> runOn(Executor &&Where, Function Start) {
  std::optional<T> Value = co_await boost::asio::co_spawn(
      std::forward<Executor>(Where),
      [&Start]() -> boost::asio::awaitable<std::optional<T>> {
        co_return co_await Start();
      },
      boost::asio::use_awaitable);
  co_return std::move(*Value);
}

} // namespace lavenderdale
