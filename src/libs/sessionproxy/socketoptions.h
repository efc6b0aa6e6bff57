#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace lavenderdale {

/// Disables Nagle's algorithm, and lets the kernel close the connection when
/// the peer does not acknowledge data, or does not answer keep-alive probes
/// while idle.
/// \param Limit time without acknowledgement after which the connection is
///        closed; also the idle time before the first probe and the time
///        between probes, both in whole seconds.
/// Failures are only logged: the connection works without the options.
void setLivenessOptions(boost::asio::ip::tcp::socket &Socket,
                        std::chrono::milliseconds Limit);

/// Returns whether the peer of \p Socket has closed the connection, or the
/// connection has failed. True as soon as the peer's close has arrived, even if
/// data sent before it has not been read yet.
bool closedByPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace lavenderdale
