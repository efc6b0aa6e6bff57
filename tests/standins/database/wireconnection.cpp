#include "wireconnection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lavenderdale::standin {
namespace {

constexpr std::size_t ReadBytes = std::size_t{64} << 10;
constexpr std::size_t MaxMessageBytes = std::size_t{256} << 20;
constexpr std::size_t LengthBytes = 4;
constexpr unsigned ByteBits = 8;
constexpr std::size_t Int16Bytes = 2;
constexpr std::size_t Int32Bytes = 4;
constexpr std::size_t Int64Bytes = 8;

void putNumber(std::string &Target, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = Bytes; I > 0; --I)
    Target.push_back(static_cast<char>(Value >> (ByteBits * (I - 1))));
}

void setNoDelay(int Fd) {
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

bool waitFor(int Fd, short Events, std::chrono::milliseconds Timeout) {
  pollfd Poll{Fd, Events, 0};
  return ::poll(&Poll, 1, static_cast<int>(Timeout.count())) > 0;
}

} // namespace

std::uint64_t MessageReader::number(std::size_t Bytes) {
  if (this->Body.size() < Bytes) {
    this->Bad = true;
    this->Body = {};
    return 0;
  }
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < Bytes; ++I)
    Value = (Value << ByteBits) | static_cast<unsigned char>(this->Body[I]);
  this->Body.remove_prefix(Bytes);
  return Value;
}

std::uint8_t MessageReader::byte() {
  return static_cast<std::uint8_t>(this->number(1));
}

std::uint16_t MessageReader::int16() {
  return static_cast<std::uint16_t>(this->number(Int16Bytes));
}

std::uint32_t MessageReader::int32() {
  return static_cast<std::uint32_t>(this->number(Int32Bytes));
}

std::uint64_t MessageReader::int64() { return this->number(Int64Bytes); }

std::string MessageReader::text() {
  const std::size_t End = this->Body.find('\0');
  if (End == std::string_view::npos) {
    this->Bad = true;
    this->Body = {};
    return {};
  }
  std::string Value(this->Body.substr(0, End));
  this->Body.remove_prefix(End + 1);
  return Value;
}

std::string MessageReader::bytes(std::size_t Count) {
  if (this->Body.size() < Count) {
    this->Bad = true;
    this->Body = {};
    return {};
  }
  std::string Value(this->Body.substr(0, Count));
  this->Body.remove_prefix(Count);
  return Value;
}

MessageWriter &MessageWriter::byte(char Value) {
  this->Body.push_back(Value);
  return *this;
}

MessageWriter &MessageWriter::int16(std::size_t Value) {
  putNumber(this->Body, Value, Int16Bytes);
  return *this;
}

MessageWriter &MessageWriter::int32(std::uint64_t Value) {
  putNumber(this->Body, Value, Int32Bytes);
  return *this;
}

MessageWriter &MessageWriter::int64(std::uint64_t Value) {
  putNumber(this->Body, Value, Int64Bytes);
  return *this;
}

MessageWriter &MessageWriter::text(std::string_view Value) {
  this->Body.append(Value);
  this->Body.push_back('\0');
  return *this;
}

MessageWriter &MessageWriter::bytes(std::string_view Value) {
  this->Body.append(Value);
  return *this;
}

MessageWriter &MessageWriter::value(const std::optional<std::string> &Value) {
  if (!Value)
    return this->int32(UINT32_MAX);
  return this->int32(Value->size()).bytes(*Value);
}

WireConnection::WireConnection(int Fd) : Fd(Fd) { setNoDelay(Fd); }

WireConnection::~WireConnection() { ::close(this->Fd); }

int WireConnection::connectTo(const std::string &Address, std::uint16_t Port,
                              std::chrono::milliseconds Timeout) {
  boost::system::error_code Bad;
  const auto Numeric = boost::asio::ip::make_address(Address, Bad);
  if (Bad)
    return -1;
  const boost::asio::ip::tcp::endpoint Target(Numeric, Port);
  const int Fd = ::socket(Target.protocol().family(),
                          SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Fd < 0)
    return -1;
  int Failure = 0;
  socklen_t Size = sizeof Failure;
  const bool Started = ::connect(Fd, Target.data(),
                                 static_cast<socklen_t>(Target.size())) == 0 ||
                       errno == EINPROGRESS;
  if (Started && waitFor(Fd, POLLOUT, Timeout) &&
      ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Failure, &Size) == 0 &&
      Failure == 0) {
    ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
    return Fd;
  }
  ::close(Fd);
  return -1;
}

std::optional<std::string> WireConnection::readUntyped() {
  std::string Length;
  if (!this->readExact(LengthBytes, Length))
    return std::nullopt;
  const std::size_t Size = MessageReader(Length).int32();
  std::string Body;
  if (Size < LengthBytes || Size > MaxMessageBytes ||
      !this->readExact(Size - LengthBytes, Body))
    return std::nullopt;
  return Body;
}

std::optional<WireMessage> WireConnection::readMessage() {
  std::string Type;
  if (!this->readExact(1, Type))
    return std::nullopt;
  auto Body = this->readUntyped();
  if (!Body)
    return std::nullopt;
  return WireMessage{Type[0], std::move(*Body)};
}

bool WireConnection::waitReadable(std::chrono::milliseconds Timeout) {
  return this->InputUsed < this->Input.size() ||
         waitFor(this->Fd, POLLIN, Timeout);
}

bool WireConnection::readExact(std::size_t Count, std::string &Target) {
  while (this->Input.size() - this->InputUsed < Count) {
    this->Input.erase(0, std::exchange(this->InputUsed, 0));
    const std::size_t Filled = this->Input.size();
    this->Input.resize(Filled + std::max(ReadBytes, Count - Filled));
    ssize_t Got = 0;
    do {
      Got = ::recv(this->Fd, this->Input.data() + Filled,
                   this->Input.size() - Filled, 0);
    } while (Got < 0 && errno == EINTR);
    this->Input.resize(Filled +
                       static_cast<std::size_t>(std::max<ssize_t>(Got, 0)));
    if (Got <= 0)
      return false;
  }
  Target.assign(this->Input, this->InputUsed, Count);
  this->InputUsed += Count;
  return true;
}

void WireConnection::put(char Type, const std::string &Body) {
  this->Output.push_back(Type);
  putNumber(this->Output, Body.size() + LengthBytes, LengthBytes);
  this->Output.append(Body);
}

bool WireConnection::flush() {
  std::size_t Sent = 0;
  while (Sent < this->Output.size()) {
    const ssize_t Count = ::send(this->Fd, this->Output.data() + Sent,
                                 this->Output.size() - Sent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  this->Output.clear();
  return true;
}

} // namespace lavenderdale::standin
