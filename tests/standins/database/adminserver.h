#pragma once

#include "standindatabase.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <string_view>
#include <thread>

namespace lavenderdale::standin {

/// The HTTP interface for tests: GET /state and /log, POST /set, /freeze,
/// /cut, /promote and /rejoin, all with JSON. One request a connection.
class AdminServer {
public:
  /// \param Port 0: the kernel chooses.
  AdminServer(StandinDatabase &Database, const std::string &Address,
              std::uint16_t Port);
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  std::uint16_t port() const;

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void run();
  void serve(boost::asio::ip::tcp::socket Socket);
  Response answer(const Request &Asked);

  StandinDatabase &Database;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping{false};
  std::jthread Thread;
};

} // namespace lavenderdale::standin
