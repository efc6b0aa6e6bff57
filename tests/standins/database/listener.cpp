#include "listener.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lavenderdale::standin {
namespace {

constexpr int Backlog = 512;
constexpr int PollMilliseconds = 10;

std::uint16_t portOf(int Fd) {
  boost::asio::ip::tcp::endpoint Bound;
  auto Size = static_cast<socklen_t>(Bound.capacity());
  ::getsockname(Fd, Bound.data(), &Size);
  return Bound.port();
}

} // namespace

Listener::Listener(const std::string &Address, std::uint16_t Port)
    : Address(Address), Port(Port) {
  this->Reserved = this->bindSocket();
  this->Port = portOf(this->Reserved);
  this->setOpen(true);
}

Listener::~Listener() {
  this->setOpen(false);
  ::close(this->Reserved);
}

int Listener::bindSocket() const {
  const boost::asio::ip::tcp::endpoint Endpoint(
      boost::asio::ip::make_address(this->Address), this->Port);
  const int Bound = ::socket(Endpoint.protocol().family(),
                             SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int On = 1;
  ::setsockopt(Bound, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (Bound >= 0 && ::bind(Bound, Endpoint.data(),
                           static_cast<socklen_t>(Endpoint.size())) == 0)
    return Bound;
  ::close(Bound);
  throw std::runtime_error("cannot bind " + this->Address + " port " +
                           std::to_string(this->Port));
}

int Listener::accept() {
  int Polled = -1;
  {
    const std::scoped_lock Lock(this->Mutex);
    Polled = this->Fd;
  }
  pollfd Poll{Polled, POLLIN, 0};
  if (::poll(&Poll, 1, PollMilliseconds) <= 0)
    return -1;
  const std::scoped_lock Lock(this->Mutex);
  return this->Fd < 0 ? -1
                      : ::accept4(this->Fd, nullptr, nullptr, SOCK_CLOEXEC);
}

void Listener::setOpen(bool Open) {
  const std::scoped_lock Lock(this->Mutex);
  if (Open == (this->Fd >= 0))
    return;
  if (!Open) {
    ::close(std::exchange(this->Fd, -1));
    return;
  }
  this->Fd = this->bindSocket();
  if (::listen(this->Fd, Backlog) != 0)
    throw std::runtime_error("cannot listen on port " +
                             std::to_string(this->Port));
}

} // namespace lavenderdale::standin
