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

/// Runs the work that other hosts relay to this one, over the connections of
/// this host. Never relays it to a third host.
class RelayServer : public std::enable_shared_from_this<RelayServer> {
public:
  /// A host that does not acknowledge bytes for this long is considered down,
  /// and the transactions held for it are rolled back.
  static constexpr std::chrono::milliseconds UnacknowledgedTimeout{1500};
  /// Listen backlog. Many hosts connect at once after a power failure.
  static constexpr int Backlog = 1024;

  /// A connection with this many requests in progress is not read until some
  /// have ended.
  static constexpr std::size_t MaxRequestsInProgress = 1024;
  /// A connection with this many bytes of answers behind the one that is being
  /// written is not read until they have been taken.
  static constexpr std::size_t MaxUntakenBytes = std::size_t{1} << 20;

  RelayServer(const boost::asio::any_io_executor &Executor, ProxyState &State);

  /// Errors: Unavailable if the port cannot be bound.
  Result<void> listen(const Endpoint &Where);

  /// Stops listening and closes all connections.
  void stop();

  /// Number of requests in progress and of transactions held for other hosts.
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
  /// Numbers are never reused, so that stale ones are detected.
  std::uint64_t NextHeldNumber = 1;
  bool Stopped = false;
};

} // namespace lavenderdale
