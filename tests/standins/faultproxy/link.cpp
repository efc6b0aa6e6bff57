#include "link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace lavenderdale::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Awaiting = asio::as_tuple(asio::use_awaitable);

// A throttled direction forwards at most this many bytes at a time, so that
// the rate is even.
constexpr std::size_t BufferBytes = 16384;

// How often a link that accepts nothing looks whether it may again.
constexpr std::chrono::milliseconds PollInterval{10};

/// A pair of sockets. Each direction is one coroutine that shares ownership.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Link &Owner, tcp::socket ClientSide, tcp::socket TargetSide,
             std::uint64_t Number)
      : Owner(Owner), Client(std::move(ClientSide)),
        Target(std::move(TargetSide)), Number(Number) {
    this->Owner.Open.insert(this);
  }

  ~Connection() { this->Owner.Open.erase(this); }

  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void start() {
    const auto Self = this->shared_from_this();
    asio::co_spawn(
        this->Client.get_executor(),
        forward(Self, this->Client, this->Target, this->Owner.Faults.Up),
        asio::detached);
    asio::co_spawn(
        this->Client.get_executor(),
        forward(Self, this->Target, this->Client, this->Owner.Faults.Down),
        asio::detached);
  }

  /// Closes with a reset instead of an orderly end.
  void reset() {
    boost::system::error_code Ignored;
    for (tcp::socket *Socket : {&this->Client, &this->Target}) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }

  /// Ends the stream towards the receiver of a half-closed direction.
  void applyHalfClose() {
    boost::system::error_code Ignored;
    if (this->Owner.Faults.Up.HalfClosed)
      this->Target.shutdown(tcp::socket::shutdown_send, Ignored);
    if (this->Owner.Faults.Down.HalfClosed)
      this->Client.shutdown(tcp::socket::shutdown_send, Ignored);
  }

private:
  static asio::awaitable<void> forward(std::shared_ptr<Connection> Self,
                                       tcp::socket &From, tcp::socket &To,
                                       const DirectionFaults &Faults) {
    std::array<char, BufferBytes> Buffer{};
    asio::steady_timer Timer(From.get_executor());
    while (true) {
      const auto [ReadError, Size] =
          co_await From.async_read_some(asio::buffer(Buffer), Awaiting);
      if (Faults.isSilent(Self->Number)) {
        // The end of the stream is not carried either.
        if (ReadError)
          co_return;
        continue;
      }
      if (ReadError) {
        Self->endOfStream(ReadError, To);
        co_return;
      }
      if (Faults.HalfClosed)
        continue;
      const std::chrono::nanoseconds Pause =
          pauseOf(Faults, Self->Number, Size);
      if (Pause.count() > 0) {
        Timer.expires_after(Pause);
        co_await Timer.async_wait(Awaiting);
      }
      // A fault may have begun during the pause.
      if (Faults.isSilent(Self->Number))
        continue;
      const auto [WriteError, Written] = co_await asio::async_write(
          To, asio::buffer(Buffer.data(), Size), Awaiting);
      if (WriteError) {
        Self->reset();
        co_return;
      }
    }
  }

  static std::chrono::nanoseconds pauseOf(const DirectionFaults &Faults,
                                          std::uint64_t Number,
                                          std::size_t Size) {
    std::chrono::nanoseconds Pause = Faults.delayOf(Number);
    if (Faults.BytesPerSecond > 0)
      Pause += std::chrono::nanoseconds(static_cast<std::int64_t>(
          1e9 * static_cast<double>(Size) /
          static_cast<double>(Faults.BytesPerSecond)));
    return Pause;
  }

  void endOfStream(const boost::system::error_code &Error, tcp::socket &To) {
    boost::system::error_code Ignored;
    if (Error == asio::error::eof)
      To.shutdown(tcp::socket::shutdown_send, Ignored);
    else
      this->reset();
  }

  Link &Owner;
  tcp::socket Client;
  tcp::socket Target;
  std::uint64_t Number;
};

Link::Link(std::string Name, tcp::acceptor Listener, tcp::endpoint Target)
    : Name(std::move(Name)), Listener(std::move(Listener)),
      Target(std::move(Target)) {}

std::uint16_t Link::port() const {
  return this->Listener.local_endpoint().port();
}

void Link::start() {
  asio::co_spawn(this->Listener.get_executor(), this->acceptAll(),
                 asio::detached);
}

std::string Link::apply(const Json::Value &Call) {
  std::string Refusal = applyFault(this->Faults, Call, this->Newest);
  const std::set<Connection *> Affected = this->Open;
  for (Connection *Item : Affected) {
    if (this->Faults.Cut)
      Item->reset();
    else
      Item->applyHalfClose();
  }
  return Refusal;
}

Json::Value Link::toJson() const {
  Json::Value Value = standins::toJson(this->Faults);
  Value["port"] = static_cast<Json::Int64>(this->port());
  Value["connections"] = static_cast<Json::UInt64>(this->Open.size());
  Value["accepted"] = static_cast<Json::UInt64>(this->Newest);
  return Value;
}

asio::awaitable<void> Link::acceptAll() {
  asio::steady_timer Timer(this->Listener.get_executor());
  while (true) {
    if (this->Faults.AcceptsNone) {
      Timer.expires_after(PollInterval);
      co_await Timer.async_wait(Awaiting);
      continue;
    }
    auto [Error, Socket] = co_await this->Listener.async_accept(Awaiting);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error)
      continue;
    if (this->Faults.Cut) {
      boost::system::error_code Ignored;
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket.close(Ignored);
      continue;
    }
    asio::co_spawn(this->Listener.get_executor(),
                   this->carry(std::move(Socket)), asio::detached);
  }
}

asio::awaitable<void> Link::carry(tcp::socket Client) {
  const std::uint64_t Number = ++this->Newest;
  tcp::socket Upstream(Client.get_executor());
  const auto [Error] = co_await Upstream.async_connect(this->Target, Awaiting);
  boost::system::error_code Ignored;
  if (Error || this->Faults.Cut) {
    Client.set_option(asio::socket_base::linger(true, 0), Ignored);
    Client.close(Ignored);
    co_return;
  }
  Client.set_option(tcp::no_delay(true), Ignored);
  Upstream.set_option(tcp::no_delay(true), Ignored);
  std::make_shared<Connection>(*this, std::move(Client), std::move(Upstream),
                               Number)
      ->start();
}

} // namespace lavenderdale::standins
