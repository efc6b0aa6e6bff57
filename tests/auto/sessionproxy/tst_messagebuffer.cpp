#include "sessionproxy/messagebuffer.h"

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace lavenderdale;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Use = MemoryBudget::Use;

constexpr std::size_t MaxBytes = 20000;

/// A caller's connection whose messages are read.
struct Reader {
  explicit Reader(std::size_t ReceivingLimit)
      : Budget(std::make_shared<MemoryBudget>(
            MemoryBudget::Limits{{10, 1}, {ReceivingLimit, 0, 0, 0}},
            steadyNow())),
        Account(*Budget, MemoryBudget::Role::Caller, "caller", [] {}) {}

  /// Reads messages until the peer, which sends \p Chunks, closes.
  void readAll(const std::vector<std::string> &Chunks) {
    asio::io_context Context;
    tcp::acceptor Acceptor(Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket Peer(Context);
    Peer.connect(Acceptor.local_endpoint());
    tcp::socket Own = Acceptor.accept();
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          std::string Message;
          while (!this->Failure) {
            this->Failure = co_await this->Buffer.read(Own, MaxBytes,
                                                       this->Account, Message);
            if (!this->Failure)
              this->Messages.push_back(Message);
          }
        },
        asio::detached);
    for (const std::string &Each : Chunks) {
      asio::write(Peer, asio::buffer(Each));
      Context.poll();
    }
    Peer.close();
    Context.run();
  }

  std::shared_ptr<MemoryBudget> Budget;
  MemoryBudget::Account Account;
  MessageBuffer Buffer;
  std::vector<std::string> Messages;
  boost::system::error_code Failure;
};

} // namespace

// Guards against bytes that are lost, repeated or mixed up when the buffer
// grows, is moved out with a large message, or is used again.
TEST_CASE("messages arrive as sent, however they are cut", "[memory]") {
  for (unsigned Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    const auto Below = [&Random](std::size_t End) {
      return std::uniform_int_distribution<std::size_t>(0, End - 1)(Random);
    };
    std::vector<std::string> Sent;
    std::string Stream;
    for (unsigned Each = 0; Each < 40; ++Each) {
      std::string Message(Below(4) ? Below(100) : Below(MaxBytes - 2), 'x');
      for (char &At : Message)
        At = "\r\nab"[Below(4)];
      for (std::size_t At = Message.find("\r\n"); At != std::string::npos;
           At = Message.find("\r\n"))
        Message[At + 1] = 'c';
      if (!Message.empty() && Message.back() == '\r')
        Message.back() = 'd';
      Sent.push_back(Message);
      Stream += Message + "\r\n";
    }
    std::vector<std::string> Chunks;
    for (std::size_t At = 0; At < Stream.size();) {
      const std::size_t Size = 1 + Below(Below(2) ? 50 : 9000);
      Chunks.push_back(Stream.substr(At, Size));
      At += Size;
    }
    Reader Caller(std::size_t{1} << 20);
    Caller.readAll(Chunks);
    CHECK(Caller.Failure == asio::error::eof);
    CHECK(Caller.Messages == Sent);
    CHECK(Caller.Buffer.pending() == 0);
  }
}

// Guards against a peer that makes a host keep a message without end, and
// against a limit that is off by the end of the message.
TEST_CASE("a message of a caller that is too long is refused", "[memory]") {
  Reader Caller(std::size_t{1} << 20);
  Caller.readAll({std::string(MaxBytes - 2, 'x') + "\r\n",
                  std::string(MaxBytes - 1, 'x') + "\r\n"});
  CHECK(Caller.Failure == asio::error::not_found);
  CHECK(Caller.Messages ==
        std::vector<std::string>{std::string(MaxBytes - 2, 'x')});
}

// Guards against a large message that is read without memory for it, and
// against a small one that needs any.
TEST_CASE("memory is reserved before more is read", "[memory]") {
  Reader Caller(MemoryBudget::OrdinaryBytes * 2);
  Caller.readAll({"small\r\n", std::string(MaxBytes - 2, 'x') + "\r\n"});
  CHECK(Caller.Failure == asio::error::no_buffer_space);
  CHECK(Caller.Messages == std::vector<std::string>{"small"});
  CHECK(Caller.Buffer.bytes() <= MemoryBudget::OrdinaryBytes * 2);
  CHECK(Caller.Budget->takeCounts().Refused == 1);
}

// Guards against an idle connection that keeps the buffer of an earlier large
// message.
TEST_CASE("the buffer of a large message is given up", "[memory]") {
  Reader Caller(std::size_t{1} << 20);
  Caller.readAll({std::string(MaxBytes - 2, 'x') + "\r\n"});
  CHECK(Caller.Messages.size() == 1);
  CHECK(Caller.Buffer.bytes() <= MessageBuffer::FirstBytes);
}
