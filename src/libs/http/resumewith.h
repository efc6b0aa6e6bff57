#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace lavenderdale {

/// For asynchronous operations of Asio: resumes the calling coroutine and puts
/// a failure into \p Failure instead of throwing it.
inline auto resumeWith(boost::system::error_code &Failure) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, Failure);
}

} // namespace lavenderdale
