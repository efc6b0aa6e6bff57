#include "httpserver.h"

#include "handshakefilter.h"
#include "listenon.h"
#include "resumewith.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <list>
#include <optional>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// How often expired connections are looked for. A timer per connection would
// cost several hundred bytes for each idle client.
constexpr std::chrono::milliseconds SweepInterval{250};
// Time for a request on an open connection after the listener has closed.
constexpr std::chrono::milliseconds LastRequestWait{500};
// Time for handshakes under way when the listener closes, several round trips
// of callers 3 ms away.
constexpr std::chrono::milliseconds HandshakeWait{100};

// Pause after accept() failed, for example for lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryPause{100};

struct Connection {
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  tcp::socket Socket;
  TimePoint Deadline;
  bool Busy = false;
  /// Waits for the first byte of a request.
  bool Idle = false;
  /// Waits for a request, or has not received it completely.
  bool Replaceable = false;
};

/// The part of a request in the bytes of all bodies.
class BodyReservation {
public:
  explicit BodyReservation(std::atomic<std::size_t> &Sum) : Sum(Sum) {}
  ~BodyReservation() { this->release(); }
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;

  /// Returns whether the sum stays within \p Limit with \p Wanted bytes more.
  bool reserve(std::size_t Wanted, std::size_t Limit) {
    this->Bytes += Wanted;
    return this->Sum.fetch_add(Wanted) + Wanted <= Limit;
  }

  void release() { this->Sum.fetch_sub(std::exchange(this->Bytes, 0)); }

private:
  std::atomic<std::size_t> &Sum;
  std::size_t Bytes = 0;
};

/// The connections of one worker; touched by that worker only.
struct WorkerState {
  explicit WorkerState(asio::io_context &Context)
      : Context(Context), SweepTimer(Context) {}

  asio::io_context &Context;
  asio::steady_timer SweepTimer;
  std::list<Connection> Connections;
};

Error readError(const error_code &Failure) {
  if (Failure == http::error::body_limit)
    return failure(ErrorKind::PayloadTooLarge, "the body is too large");
  if (Failure == http::error::header_limit)
    return failure(ErrorKind::PayloadTooLarge, "the header is too large");
  return failure(ErrorKind::BadRequest, "not HTTP/1.1: " + Failure.message());
}

bool isProtocolError(const error_code &Failure) {
  return Failure.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

HttpRequest takeRequest(http::request<http::string_body> &&Message) {
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Fields.add(std::string(Field.name_string()),
                       std::string(Field.value()));
  Request.Body = std::move(Message.body());
  return Request;
}

http::response<http::string_body>
makeMessage(HttpResponse Response, unsigned Version, bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(Version);
  Message.result(static_cast<unsigned>(Response.Status));
  Message.set(http::field::content_type, Response.ContentType);
  for (const auto &[Name, Value] : Response.Fields.all())
    Message.insert(Name, Value);
  Message.body() = std::move(Response.Body);
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  return Message;
}

} // namespace

class HttpServer::Private
    : public std::enable_shared_from_this<HttpServer::Private> {
public:
  Private(WorkerPool &Workers, HttpServerLimits Limits, Handler Handle)
      : Workers(Workers), Limits(Limits), Handle(std::move(Handle)) {
    for (std::size_t I = 0; I < Workers.size(); ++I)
      this->States.push_back(std::make_unique<WorkerState>(Workers.worker(I)));
  }

  Result<Endpoint> listen(const Endpoint &Where) {
    tcp::acceptor &NewAcceptor = this->Acceptor.emplace(Workers.worker(0));
    BOOST_OUTCOME_TRY(listenOn(NewAcceptor, Where,
                               asio::socket_base::max_listen_connections));
    this->Listening = true;
    const Endpoint Bound{Where.Address, NewAcceptor.local_endpoint().port()};
    asio::co_spawn(this->Workers.worker(0),
                   this->acceptLoop(this->shared_from_this()), asio::detached);
    for (const auto &State : this->States)
      asio::co_spawn(State->Context,
                     this->sweepLoop(this->shared_from_this(), *State),
                     asio::detached);
    return Bound;
  }

  void closeIdle() {
    if (this->Stopped.exchange(true))
      return;
    asio::co_spawn(this->Workers.worker(0),
                   this->stopListening(this->shared_from_this()),
                   asio::detached);
    for (const auto &State : this->States)
      asio::post(State->Context,
                 [Self = this->shared_from_this(), Raw = State.get()] {
                   for (Connection &Open : Raw->Connections)
                     closeIfIdle(Open);
                 });
  }

  std::atomic<bool> CloseAfterResponses{false};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Listening{false};
  std::atomic<std::size_t> Open{0};
  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::size_t> ReceivingBytes{0};
  std::atomic<std::uint64_t> RefusedBodies{0};

private:
  // Leaves time for a request that was sent before the listener closed.
  static void closeIfIdle(Connection &Open) {
    if (Open.Idle)
      Open.Deadline = std::min(Open.Deadline, deadline(LastRequestWait));
  }

  // Closing the listener resets the connections that nobody has accepted. So
  // no new ones are let in, those under way are waited for, and all that wait
  // are accepted first.
  asio::awaitable<void> stopListening(std::shared_ptr<Private>) {
    if (!this->Acceptor)
      co_return;
    error_code Failure;
    if (dropNewHandshakes(this->Acceptor->native_handle())) {
      asio::steady_timer Pause(this->Workers.worker(0));
      Pause.expires_after(HandshakeWait);
      co_await Pause.async_wait(resumeWith(Failure));
    }
    this->acceptWaiting();
    this->Acceptor->close(Failure);
    this->Listening = false;
  }

  void acceptWaiting() {
    error_code Failure;
    this->Acceptor->non_blocking(true, Failure);
    while (!Failure) {
      WorkerState &State = *this->States.front();
      tcp::socket Socket = this->Acceptor->accept(State.Context, Failure);
      if (!Failure)
        this->startServing(State, std::move(Socket));
    }
  }

  // The connection counts from here, so that a stop does not miss one whose
  // worker has not yet seen it.
  void startServing(WorkerState &State, tcp::socket Socket) {
    const bool Admitted = this->Open.fetch_add(1) < this->Limits.MaxConnections;
    asio::co_spawn(State.Context,
                   this->serve(this->shared_from_this(), State,
                               std::move(Socket), Admitted),
                   asio::detached);
  }

  asio::awaitable<void> acceptLoop(std::shared_ptr<Private>) {
    std::size_t Turn = 0;
    while (!this->Stopped) {
      WorkerState &State = *this->States[Turn++ % this->States.size()];
      error_code Failure;
      tcp::socket Socket = co_await this->Acceptor->async_accept(
          State.Context, resumeWith(Failure));
      if (Failure == asio::error::operation_aborted)
        co_return;
      if (Failure) {
        asio::steady_timer Pause(this->Workers.worker(0));
        Pause.expires_after(AcceptRetryPause);
        co_await Pause.async_wait(resumeWith(Failure));
        continue;
      }
      this->startServing(State, std::move(Socket));
    }
  }

  asio::awaitable<void> sweepLoop(std::shared_ptr<Private>,
                                  WorkerState &State) {
    while (true) {
      State.SweepTimer.expires_after(SweepInterval);
      error_code Failure;
      co_await State.SweepTimer.async_wait(resumeWith(Failure));
      if (Failure)
        co_return;
      const TimePoint Now = steadyNow();
      for (Connection &Open : State.Connections)
        if (!Open.Busy && Now >= Open.Deadline)
          Open.Socket.close(Failure);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Private>, WorkerState &State,
                              tcp::socket Socket, bool Admitted) {
    State.Connections.emplace_front(std::move(Socket));
    const auto Self = State.Connections.begin();
    error_code Ignored;
    Self->Socket.set_option(tcp::no_delay(true), Ignored);
    if (Admitted || (this->Limits.ReplaceOldest && closeOldest(State)))
      co_await this->serveRequests(*Self);
    else
      co_await this->refuse(*Self);
    this->Open.fetch_sub(1);
    State.Connections.erase(Self);
  }

  // Returns whether there was one to close. New connections are at the front.
  static bool closeOldest(WorkerState &State) {
    for (auto Each = State.Connections.rbegin();
         Each != State.Connections.rend(); ++Each)
      if (std::exchange(Each->Replaceable, false)) {
        error_code Ignored;
        Each->Socket.close(Ignored);
        return true;
      }
    return false;
  }

  asio::awaitable<void> refuse(Connection &Open) {
    this->Refused.fetch_add(1);
    HttpResponse Response = problemResponse(
        failure(ErrorKind::TooManyConnections,
                "limit " + std::to_string(this->Limits.MaxConnections)));
    co_await this->write(Open, std::move(Response), 11, false);
  }

  // The read buffer exists only while a request is under way, to keep idle
  // connections small.
  asio::awaitable<void> serveRequests(Connection &Open) {
    std::optional<beast::flat_buffer> Buffer;
    bool KeepAlive = true;
    while (KeepAlive) {
      Open.Replaceable = true;
      if (!Buffer || Buffer->size() == 0) {
        Buffer.reset();
        Open.Busy = false;
        Open.Deadline = deadline(this->Stopped ? LastRequestWait
                                               : this->Limits.IdleTimeout);
        error_code Failure;
        Open.Idle = true;
        co_await Open.Socket.async_wait(tcp::socket::wait_read,
                                        resumeWith(Failure));
        Open.Idle = false;
        if (Failure)
          co_return;
        Buffer.emplace();
      }
      Open.Deadline = this->deadline(this->Limits.ReceiveTimeout);
      KeepAlive = co_await this->serveOne(Open, *Buffer);
    }
  }

  asio::awaitable<bool> serveOne(Connection &Open, beast::flat_buffer &Buffer) {
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
    Parser.body_limit(this->Limits.MaxBodyBytes);
    error_code Failure;
    BodyReservation Reserved(this->ReceivingBytes);
    co_await http::async_read_header(Open.Socket, Buffer, Parser,
                                     resumeWith(Failure));
    const bool Fits = Failure || this->reserveBody(Parser, Reserved);
    if (!Failure && Fits && !Parser.is_done())
      co_await http::async_read(Open.Socket, Buffer, Parser,
                                resumeWith(Failure));
    if (Failure && !isProtocolError(Failure))
      co_return false;
    Open.Replaceable = false;
    Open.Busy = true;
    this->InFlight.fetch_add(1);
    bool KeepAlive = false;
    if (Failure)
      co_await this->write(Open, problemResponse(readError(Failure)), 11,
                           false);
    else if (!Fits)
      co_await this->write(
          Open,
          problemResponse(failure(ErrorKind::QueueFull,
                                  "no memory for the body of the request")),
          11, false);
    else
      KeepAlive = co_await this->answer(Open, Parser.release(), Reserved);
    this->InFlight.fetch_sub(1);
    co_return KeepAlive;
  }

  // A body of unknown length is counted with the largest one.
  bool reserveBody(http::request_parser<http::string_body> &Parser,
                   BodyReservation &Reserved) {
    if (Parser.is_done())
      return true;
    std::size_t Length = this->Limits.MaxBodyBytes;
    if (const auto Announced = Parser.content_length())
      Length = static_cast<std::size_t>(*Announced);
    if (Length <= OrdinaryBodyBytes ||
        Reserved.reserve(Length, this->Limits.MaxReceivingBytes))
      return true;
    this->RefusedBodies.fetch_add(1);
    return false;
  }

  asio::awaitable<bool> answer(Connection &Open,
                               http::request<http::string_body> Message,
                               BodyReservation &Reserved) {
    const unsigned Version = Message.version();
    const bool WantsKeepAlive = Message.keep_alive();
    HttpResponse Response;
    try {
      Response = co_await this->Handle(takeRequest(std::move(Message)));
    } catch (const std::exception &Failure) {
      Response = problemResponse(failure(ErrorKind::Internal, Failure.what()));
    }
    Reserved.release();
    const bool KeepAlive =
        WantsKeepAlive && !Response.Close && !this->CloseAfterResponses;
    co_return co_await this->write(Open, std::move(Response), Version,
                                   KeepAlive);
  }

  asio::awaitable<bool> write(Connection &Open, HttpResponse Response,
                              unsigned Version, bool KeepAlive) {
    auto Message = makeMessage(std::move(Response), Version, KeepAlive);
    Open.Busy = false;
    Open.Deadline = this->deadline(this->Limits.SendTimeout);
    error_code Failure;
    co_await http::async_write(Open.Socket, Message, resumeWith(Failure));
    if (!KeepAlive && !Failure)
      co_await this->finishSending(Open);
    co_return KeepAlive && !Failure;
  }

  // Reads until the peer closes, since closing a socket with unread bytes
  // resets the connection and can destroy the response on its way.
  asio::awaitable<void> finishSending(Connection &Open) {
    constexpr std::chrono::milliseconds LingerLimit{1000};
    error_code Failure;
    Open.Socket.shutdown(tcp::socket::shutdown_send, Failure);
    Open.Deadline = this->deadline(LingerLimit);
    std::array<char, 1024> Discarded{};
    while (!Failure)
      co_await Open.Socket.async_read_some(asio::buffer(Discarded),
                                           resumeWith(Failure));
  }

  static TimePoint deadline(std::chrono::milliseconds FromNow) {
    return steadyNow() + FromNow;
  }

  WorkerPool &Workers;
  HttpServerLimits Limits;
  Handler Handle;
  std::vector<std::unique_ptr<WorkerState>> States;
  std::optional<tcp::acceptor> Acceptor;
};

HttpServer::HttpServer(WorkerPool &Workers, HttpServerLimits Limits,
                       Handler Handle)
    : P(std::make_shared<Private>(Workers, Limits, std::move(Handle))) {}

HttpServer::~HttpServer() = default;

Result<Endpoint> HttpServer::listen(const Endpoint &Where) {
  return this->P->listen(Where);
}

void HttpServer::closeAfterResponses() { this->P->CloseAfterResponses = true; }

void HttpServer::closeIdle() { this->P->closeIdle(); }

bool HttpServer::isDrained() const {
  return !this->P->Listening && this->P->Open == 0;
}

std::size_t HttpServer::connections() const { return this->P->Open; }

std::size_t HttpServer::requestsInFlight() const { return this->P->InFlight; }

std::size_t HttpServer::receivingBytes() const {
  return this->P->ReceivingBytes;
}

std::uint64_t HttpServer::refusedBodies() const {
  return this->P->RefusedBodies;
}

std::uint64_t HttpServer::refusedConnections() const {
  return this->P->Refused;
}

} // namespace lavenderdale
