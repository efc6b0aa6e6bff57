#include "sessionproxy/socketoptions.h"

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <thread>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct ConnectedPair {
  asio::io_context Context;
  tcp::socket Own{Context};
  tcp::socket Peer{Context};

  ConnectedPair() {
    tcp::acceptor Acceptor(Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->Peer.connect(Acceptor.local_endpoint());
    this->Own = Acceptor.accept();
  }

  // The close reaches the other end of a loopback connection asynchronously.
  bool closeArrives() {
    constexpr int Checks = 10000;
    for (int Check = 0; Check < Checks; ++Check) {
      if (closedByPeer(this->Own))
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
};

} // namespace

// Guards against work that a host runs after a pause although the host that
// asked for it has given it up and closed the connection meanwhile.
TEST_CASE("a close is seen before the data that was sent ahead of it is read",
          "[at-most-once]") {
  ConnectedPair Pair;
  CHECK_FALSE(closedByPeer(Pair.Own));
  asio::write(Pair.Peer, asio::buffer(std::string("request")));
  CHECK_FALSE(closedByPeer(Pair.Own));
  Pair.Peer.close();
  CHECK(Pair.closeArrives());
  std::array<char, 7> Unread{};
  CHECK(asio::read(Pair.Own, asio::buffer(Unread)) == Unread.size());
}

// Guards against a reset, which discards unread data, that is taken for an open
// connection.
TEST_CASE("a reset counts as a close", "[at-most-once]") {
  ConnectedPair Pair;
  Pair.Peer.set_option(asio::socket_base::linger(true, 0));
  Pair.Peer.close();
  CHECK(Pair.closeArrives());
}
