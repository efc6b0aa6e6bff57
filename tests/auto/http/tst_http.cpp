#include "http/handshakefilter.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "http/runon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace lavenderdale;
namespace asio = boost::asio;

namespace {

// Generous, so that a verdict doesn't depend on the machine's speed.
constexpr std::chrono::seconds Patience{20};

TimePoint patient() { return std::chrono::steady_clock::now() + Patience; }

asio::awaitable<HttpResponse> echo(HttpRequest Request) {
  HttpResponse Response;
  Response.Body = Request.Method + " " + Request.Target + " " + Request.Body;
  co_return Response;
}

struct Fixture {
  explicit Fixture(HttpServerLimits Limits = {},
                   HttpServer::Handler Handle = echo)
      : Workers(2), Server(Workers, Limits, std::move(Handle)) {
    this->Where = this->Server.listen({"127.0.0.1", 0}).value();
    this->Workers.start();
  }

  ~Fixture() { this->Workers.stop(); }

  Result<HttpResponse> send(HttpClient &Client, HttpRequest Request,
                            TimePoint Deadline = patient()) {
    std::optional<Result<HttpResponse>> Response;
    asio::co_spawn(
        this->Workers.worker(0),
        [&]() -> asio::awaitable<void> {
          Response = co_await Client.send(std::move(Request), Deadline);
        },
        asio::use_future)
        .get();
    return *Response;
  }

  /// \returns the answer, or nothing if the connection was refused.
  std::optional<std::string> exchange(const std::string &Bytes) const {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    boost::system::error_code Failure;
    Socket.connect(
        {asio::ip::make_address(this->Where.Address), this->Where.Port},
        Failure);
    if (Failure)
      return std::nullopt;
    asio::write(Socket, asio::buffer(Bytes), Failure);
    std::string Answer;
    asio::read(Socket, asio::dynamic_buffer(Answer), Failure);
    return Answer;
  }

  std::string raw(const std::string &Bytes) const {
    return this->exchange(Bytes).value_or("refused");
  }

  void waitUntilDrained() {
    const TimePoint Limit = patient();
    while (!this->Server.isDrained() &&
           std::chrono::steady_clock::now() < Limit)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    REQUIRE(this->Server.isDrained());
  }

  WorkerPool Workers;
  HttpServer Server;
  Endpoint Where;
};

const std::string OneRequest = "POST /x HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\nContent-Length: 0\r\n"
                               "\r\n";

HttpRequest post(std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Body = std::move(Body);
  return Request;
}

} // namespace

// Guards against an answer that reaches another request on a kept connection.
TEST_CASE("requests on one connection get their own answers", "[answers]") {
  Fixture Setup;
  HttpClient Client(Setup.Workers.worker(0).get_executor(), Setup.Where);
  for (int I = 0; I < 20; ++I) {
    const auto Response = Setup.send(Client, post(std::to_string(I)));
    REQUIRE(Response.has_value());
    CHECK(Response.value().Body == "POST /x " + std::to_string(I));
  }
  CHECK(Client.idleConnections() == 1);
}

// Guards against a crash or a silent close on malformed and oversized input.
TEST_CASE("bad input is answered with a problem document") {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 10;
  Fixture Setup(Limits);
  CHECK(Setup.raw("nonsense\r\n\r\n").find("bad-request") != std::string::npos);
  CHECK(Setup.raw("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901")
            .find("payload-too-large") != std::string::npos);
}

// Guards against slow senders that hold a connection for good.
TEST_CASE("a request that stays incomplete is dropped") {
  HttpServerLimits Limits;
  Limits.ReceiveTimeout = std::chrono::milliseconds(200);
  Fixture Setup(Limits);
  CHECK(Setup.raw("POST / HTTP/1.1\r\nContent-Le").empty());
}

// Guards against unbounded connections.
TEST_CASE("connections over the limit are refused with an answer") {
  HttpServerLimits Limits;
  Limits.MaxConnections = 0;
  Fixture Setup(Limits);
  CHECK(Setup.raw("").find("too-many-connections") != std::string::npos);
  CHECK(Setup.Server.refusedConnections() == 1);
}

// Guards against callers that fill the memory with bodies that never end, and
// against the refusal of small requests and of a single large one.
TEST_CASE("the bodies of all connections are limited together") {
  HttpServerLimits Limits;
  Limits.MaxReceivingBytes = 150000;
  Fixture Setup(Limits);
  const std::string Large =
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n";
  CHECK(Setup.raw(Large + std::string(100000, 'x')).find("200 OK") !=
        std::string::npos);
  CHECK(Setup.Server.receivingBytes() == 0);
  asio::io_context Context;
  asio::ip::tcp::socket Unfinished(Context);
  Unfinished.connect(
      {asio::ip::make_address(Setup.Where.Address), Setup.Where.Port});
  asio::write(Unfinished, asio::buffer(Large));
  const TimePoint Limit = patient();
  while (Setup.Server.receivingBytes() < 100000 &&
         std::chrono::steady_clock::now() < Limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(Setup.raw(Large).find("queue-full") != std::string::npos);
  CHECK(Setup
            .raw("POST / HTTP/1.1\r\nConnection: close\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n")
            .find("queue-full") != std::string::npos);
  CHECK(Setup.Server.refusedBodies() == 2);
  CHECK(Setup.raw(OneRequest).find("200 OK") != std::string::npos);
  Unfinished.close();
  while (Setup.Server.receivingBytes() > 0 &&
         std::chrono::steady_clock::now() < Limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(Setup.raw(Large + std::string(100000, 'x')).find("200 OK") !=
        std::string::npos);
}

// Guards against idle connections that keep a balancer or another host out.
TEST_CASE("the oldest idle connection gives way to a new one") {
  HttpServerLimits Limits;
  Limits.MaxConnections = 1;
  Limits.ReplaceOldest = true;
  asio::io_context Context;
  WorkerPool Workers(1);
  HttpServer Server(Workers, Limits, echo);
  const Endpoint Where = Server.listen({"127.0.0.1", 0}).value();
  Workers.start();
  const asio::ip::tcp::endpoint Address(asio::ip::make_address(Where.Address),
                                        Where.Port);
  asio::ip::tcp::socket Idle(Context);
  Idle.connect(Address);
  const TimePoint Limit = patient();
  while (Server.connections() < 1 && std::chrono::steady_clock::now() < Limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  asio::ip::tcp::socket Next(Context);
  Next.connect(Address);
  asio::write(Next, asio::buffer(OneRequest));
  std::string Answer;
  boost::system::error_code Failure;
  asio::read(Next, asio::dynamic_buffer(Answer), Failure);
  CHECK(Answer.find("200 OK") != std::string::npos);
  Answer.clear();
  asio::read(Idle, asio::dynamic_buffer(Answer), Failure);
  CHECK(Answer.empty());
  CHECK(Server.refusedConnections() == 0);
  Workers.stop();
}

// Guards against a true "not run" being lost or a false one being told.
TEST_CASE("the client tells unsent requests from lost answers", "[not-run]") {
  const auto Silent = [](HttpRequest) -> asio::awaitable<HttpResponse> {
    asio::steady_timer Timer(co_await asio::this_coro::executor);
    Timer.expires_after(Patience);
    co_await Timer.async_wait(asio::use_awaitable);
    co_return HttpResponse{};
  };
  Fixture Setup({}, Silent);
  HttpClient Client(Setup.Workers.worker(0).get_executor(), Setup.Where);
  const auto Lost = Setup.send(Client, post("a"),
                               std::chrono::steady_clock::now() +
                                   std::chrono::milliseconds(200));
  REQUIRE_FALSE(Lost.has_value());
  CHECK(Lost.error().Kind == ErrorKind::OutcomeUnknown);

  HttpClient Nobody(Setup.Workers.worker(0).get_executor(), {"127.0.0.1", 1});
  const auto Unsent = Setup.send(Nobody, post("a"));
  REQUIRE_FALSE(Unsent.has_value());
  CHECK(Unsent.error().Kind == ErrorKind::Unavailable);
}

// Guards against a stop that cuts a response or keeps connections open.
TEST_CASE("a stopping server closes each connection after its response",
          "[planned-stop]") {
  Fixture Setup;
  HttpClient Client(Setup.Workers.worker(0).get_executor(), Setup.Where);
  REQUIRE(Setup.send(Client, post("a")).has_value());
  Setup.Server.closeAfterResponses();
  const auto Last = Setup.send(Client, post("b"));
  REQUIRE(Last.has_value());
  CHECK(Last.value().Close);
  Setup.Server.closeIdle();
  Setup.waitUntilDrained();
}

// Guards against a stop that ends while accepted callers still wait for the
// worker: CI saw their connections reset.
TEST_CASE("a server is not drained before its workers have seen the stop",
          "[planned-stop]") {
  Fixture Setup;
  std::promise<void> Release;
  std::shared_future<void> Released = Release.get_future().share();
  for (std::size_t I = 0; I < 2; ++I)
    asio::post(Setup.Workers.worker(I), [Released] { Released.wait(); });
  auto Answer = std::async(std::launch::async,
                           [&] { return Setup.exchange(OneRequest); });
  Setup.Server.closeIdle();
  CHECK_FALSE(Setup.Server.isDrained());
  Release.set_value();
  const auto Received = Answer.get();
  CHECK((!Received || Received->find("200 OK") != std::string::npos));
  Setup.waitUntilDrained();
}

// Guards against a listener that closes while the kernel holds callers which
// it has told that they are connected.
TEST_CASE("a caller that connects while a listener closes is refused",
          "[planned-stop]") {
  asio::io_context Context;
  asio::ip::tcp::acceptor Listener(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const auto Where = Listener.local_endpoint();
  asio::ip::tcp::socket Early(Context);
  Early.connect(Where);
  REQUIRE(dropNewHandshakes(Listener.native_handle()).has_value());
  asio::ip::tcp::socket Late(Context);
  std::optional<boost::system::error_code> Outcome;
  Late.async_connect(
      Where, [&](boost::system::error_code Failure) { Outcome = Failure; });
  CHECK(Listener.accept().remote_endpoint() == Early.local_endpoint());
  Context.poll();
  CHECK_FALSE(Outcome.has_value());
  Listener.close();
  Context.restart();
  Context.run_for(Patience);
  CHECK(Outcome == asio::error::connection_refused);
}
