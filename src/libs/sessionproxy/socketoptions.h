#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace lavenderdale {

/// Sends without delay, and ends the connection when the peer does not
/// acknowledge bytes, or does not answer probes while idle, for \p Limit.
/// Failures are logged; the connection works without the options.
void setLivenessOptions(boost::asio::ip::tcp::socket &Socket,
                        std::chrono::milliseconds Limit);

} // namespace lavenderdale
