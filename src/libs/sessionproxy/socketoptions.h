#pragma once

#include "base/result.h"
#include "http/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace lavenderdale {

/// Sends without delay, and ends the connection when the peer does not
/// acknowledge bytes, or does not answer probes while idle, for \p Limit.
/// Failures are logged; the connection works without the options.
void setLivenessOptions(boost::asio::ip::tcp::socket &Socket,
                        std::chrono::milliseconds Limit);

/// Opens \p Acceptor on \p Where. Errors: Unavailable.
Result<void> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                      const Endpoint &Where);

} // namespace lavenderdale
