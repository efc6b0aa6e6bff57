#pragma once

#include "base/result.h"
#include "endpoint.h"

#include <boost/asio/ip/tcp.hpp>

namespace lavenderdale {

/// Opens \p Acceptor on \p Where.
/// \param Backlog connections that may wait to be accepted.
/// Errors: Unavailable.
Result<void> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                      const Endpoint &Where, int Backlog);

} // namespace lavenderdale
