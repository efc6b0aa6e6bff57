#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace lavenderdale {

/// Reads one message of a caller or an upstream, up to MessageEnd.
/// \param Buffer bytes that were received and not read yet; keeps those of
///        later messages.
/// \param MaxBytes maximum length of the message with its end.
/// \param Message receives the message without its end.
/// \returns no error; not_found if the message is longer than \p MaxBytes; the
///          error of the socket.
boost::asio::awaitable<boost::system::error_code>
readMessage(boost::asio::ip::tcp::socket &From, std::string &Buffer,
            std::size_t MaxBytes, std::string &Message);

} // namespace lavenderdale
