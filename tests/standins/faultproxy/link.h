#pragma once

#include "linkfaults.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace lavenderdale::standins {

class Connection;

/// One listener and the target to which it forwards. Runs on one thread.
class Link {
public:
  Link(std::string Name, boost::asio::ip::tcp::acceptor Listener,
       boost::asio::ip::tcp::endpoint Target);

  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Accepts connections until the context stops.
  void start();

  /// \returns what was wrong with the call, or nothing.
  std::string apply(const Json::Value &Call);

  const std::string &name() const { return this->Name; }
  std::uint16_t port() const;
  const LinkFaults &faults() const { return this->Faults; }
  Json::Value toJson() const;

private:
  friend class Connection;

  boost::asio::awaitable<void> acceptAll();
  boost::asio::awaitable<void> carry(boost::asio::ip::tcp::socket Client);

  std::string Name;
  boost::asio::ip::tcp::acceptor Listener;
  boost::asio::ip::tcp::endpoint Target;
  LinkFaults Faults;
  std::uint64_t Newest = 0; ///< Number of the newest connection.
  std::set<Connection *> Open;
};

} // namespace lavenderdale::standins
