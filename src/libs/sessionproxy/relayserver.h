#pragma once

#include "http/endpoint.h"
#include "proxystate.h"
#include "relaymessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace lavenderdale {

/// Carries out the work that other hosts ask for, over the connections of
/// this host. Never passes work on.
class RelayServer : public std::enable_shared_from_this<RelayServer> {
public:
  /// A host that does not acknowledge bytes for this long is taken as gone,
  /// and the transactions held for it are rolled back.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{1500};
  /// Hosts that connect at once, as after a loss of power.
  static constexpr int Backlog = 1024;

  RelayServer(const boost::asio::any_io_executor &Executor, ProxyState &State);

  /// Errors: Unavailable if the port cannot be bound.
  Result<void> listen(const Endpoint &Where);

  /// Closes all connections.
  void stop();

  /// Requests being carried out and transactions held for other hosts.
  std::size_t active() const { return this->Active; }

private:
  class Peer;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Peer> From);

  boost::asio::any_io_executor Executor;
  ProxyState &State;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<Peer>> Peers;
  std::size_t Active = 0;
  std::uint64_t NextHeld = 1; ///< Unique, so that no old number fits.
  bool Stopped = false;
};

} // namespace lavenderdale
