#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>

namespace lavenderdale::standins {

struct AdminAnswer {
  int Status = 200;
  Json::Value Body = Json::Value(Json::objectValue);
};

/// Called with method ("GET", "POST"), path, and the body or null.
using AdminHandler = std::function<AdminAnswer(const std::string &Method,
                                               const std::string &Path,
                                               const Json::Value &Body)>;

/// Opens a listener on the loopback interface; port 0 lets the kernel choose.
/// \throws boost::system::system_error when the port is taken.
boost::asio::ip::tcp::acceptor listenOnLoopback(boost::asio::io_context &Io,
                                                std::uint16_t Port);

/// Serves HTTP with JSON bodies until the context stops.
void startAdminServer(boost::asio::ip::tcp::acceptor Listener,
                      AdminHandler Handler);

/// Stops \p Io on SIGTERM and SIGINT.
void stopOnSignal(boost::asio::io_context &Io);

} // namespace lavenderdale::standins
