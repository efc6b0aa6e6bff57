#pragma once

#include "callcounter.h"
#include "faults.h"
#include "objectstore.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace lavenderdale::standins {

/// What all connections share. Everything runs on one thread.
struct Platform {
  ObjectStore Store;
  CallCounter Counter;
  Faults Fault;
  std::list<boost::asio::steady_timer *> Watches; ///< Woken by each change.
  std::list<boost::asio::ip::tcp::socket *> Connections;

  void wakeWatches();

  /// Ends all connections, as the start of an outage does.
  void closeConnections();
};

/// Accepts connections to the object API until the context stops.
void startApi(boost::asio::ip::tcp::acceptor Listener, Platform &Shared);

} // namespace lavenderdale::standins
