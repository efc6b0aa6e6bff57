#include "upstreamconnection.h"

#include "http/resumewith.h"
#include "messagereader.h"
#include "socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <sys/socket.h>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

Error refusal(const UpstreamReply &Reply) {
  const std::string Text = Reply.FailureCode + " " + Reply.FailureText;
  if (Reply.Failure == UpstreamFailure::ConnectionLimit)
    return failure(ErrorKind::TooManyConnections, Text);
  if (Reply.Failure == UpstreamFailure::WrongUpstream)
    return failure(ErrorKind::NotFound, Text);
  return failure(ErrorKind::Unavailable, Text);
}

} // namespace

UpstreamConnection::UpstreamConnection(const asio::any_io_executor &Executor,
                                       const UpstreamProtocol &Protocol)
    : Socket(Executor), Timer(Executor), Protocol(Protocol) {}

asio::awaitable<Result<void>>
UpstreamConnection::connect(Endpoint Where, UpstreamGreeting Greeting,
                            TimePoint Deadline) {
  const std::shared_ptr<UpstreamConnection> Self = this->shared_from_this();
  error_code Failure;
  const auto Address = asio::ip::make_address(Where.Address, Failure);
  if (Failure)
    co_return failure(ErrorKind::Unavailable,
                      "invalid address " + Where.Address);
  this->setDeadline(
      std::min<TimePoint>(Deadline, steadyNow() + ConnectTimeout));
  const asio::ip::tcp::endpoint Peer(Address, Where.Port);
  co_await this->Socket.async_connect(Peer, resumeWith(Failure));
  if (Failure) {
    this->close();
    co_return failure(ErrorKind::Unavailable, "connect: " + Failure.message());
  }
  this->setDeadline(Deadline);
  setLivenessOptions(this->Socket, UnacknowledgedTimeout);
  const std::string Out = this->Protocol.encodeGreeting(Greeting);
  co_await asio::async_write(this->Socket, asio::buffer(Out),
                             resumeWith(Failure));
  UpstreamReply Reply;
  std::optional<Error> Lost;
  if (Failure)
    Lost = failure(ErrorKind::Unavailable, "greeting: " + Failure.message());
  else
    Lost = co_await this->readReply(Reply);
  this->Deadline.reset();
  // After refusing a greeting, the upstream closes the connection without a
  // ready message.
  if (!Reply.ok() || Lost) {
    this->close();
    co_return Reply.ok() ? *Lost : refusal(Reply);
  }
  this->Open = true;
  co_return success();
}

asio::awaitable<ExchangeResult>
UpstreamConnection::exchange(std::vector<UpstreamCommand> Commands,
                             TimePoint Deadline) {
  const std::shared_ptr<UpstreamConnection> Self = this->shared_from_this();
  ExchangeResult Result;
  Result.SentAt = BootClock::now();
  std::string Out;
  for (const UpstreamCommand &Each : Commands)
    this->Protocol.encode(Each, Out);
  this->setDeadline(Deadline);
  error_code Failure;
  const std::size_t Sent = co_await asio::async_write(
      this->Socket, asio::buffer(Out), resumeWith(Failure));
  Result.Sent = Sent > 0;
  if (Failure)
    Result.Lost = failure(ErrorKind::Unavailable, "send: " + Failure.message());
  while (!Result.Lost && Result.Replies.size() < Commands.size()) {
    UpstreamReply Reply;
    Result.Lost = co_await this->readReply(Reply);
    if (!Result.Lost)
      Result.Replies.push_back(std::move(Reply));
  }
  this->Deadline.reset();
  if (Result.Lost)
    this->close();
  co_return Result;
}

bool UpstreamConnection::closedByPeer() {
  char Byte = 0;
  const ssize_t Size =
      recv(this->Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // An upstream sends nothing on an idle connection; unexpected bytes would be
  // taken for the replies to later commands.
  return Size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void UpstreamConnection::close() {
  this->Open = false;
  this->Deadline.reset();
  error_code Ignored;
  this->Socket.close(Ignored);
  this->Timer.cancel();
}

asio::awaitable<std::optional<Error>>
UpstreamConnection::readReply(UpstreamReply &Reply) {
  std::string Line;
  while (true) {
    if (std::optional<Error> Lost = co_await this->readLine(Line))
      co_return Lost;
    const UpstreamProtocol::Progress Progress =
        this->Protocol.decode(Line, Reply);
    if (Progress == UpstreamProtocol::Progress::Done)
      co_return std::nullopt;
    if (Progress == UpstreamProtocol::Progress::Malformed)
      co_return failure(ErrorKind::OutcomeUnknown,
                        "malformed reply from the upstream");
  }
}

asio::awaitable<std::optional<Error>>
UpstreamConnection::readLine(std::string &Line) {
  const error_code Failure =
      co_await readMessage(this->Socket, this->Buffer, MaxLineBytes, Line);
  if (Failure)
    co_return failure(ErrorKind::OutcomeUnknown, "read: " + Failure.message());
  co_return std::nullopt;
}

// The timer stays armed when an exchange ends in time, as nearly all do, and is
// rearmed only when it fires. This saves two system calls per exchange.
void UpstreamConnection::setDeadline(TimePoint Deadline) {
  this->Deadline = Deadline;
  if (!this->TimerArmed || Deadline < this->TimerAt)
    this->armTimer();
}

void UpstreamConnection::armTimer() {
  this->TimerArmed = true;
  this->TimerAt = *this->Deadline;
  this->Timer.expires_at(*this->Deadline);
  this->Timer.async_wait([Weak = this->weak_from_this()](error_code Failure) {
    const std::shared_ptr<UpstreamConnection> Self = Weak.lock();
    if (!Self || Failure)
      return;
    Self->TimerArmed = false;
    if (!Self->Deadline)
      return;
    if (*Self->Deadline <= steadyNow())
      Self->close();
    else
      Self->armTimer();
  });
}

} // namespace lavenderdale
