#pragma once

#include "base/timepoint.h"

#include <boost/asio/awaitable.hpp>

namespace lavenderdale {

/// Resumes the calling coroutine on its executor at \p When.
boost::asio::awaitable<void> sleepUntil(TimePoint When);

} // namespace lavenderdale
