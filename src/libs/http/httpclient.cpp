#include "httpclient.h"

#include "resumewith.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <vector>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds CheckAfterIdle{1000};
constexpr std::chrono::milliseconds CheckLimit{300};
constexpr std::chrono::milliseconds ConnectLimit{1000};
// Shorter than the server's idle timeout, so that the client closes first.
constexpr std::chrono::seconds DropAfterIdle{20};
constexpr std::size_t MaxIdleConnections = 64;
constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;

struct Link {
  explicit Link(const asio::any_io_executor &Executor) : Stream(Executor) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  TimePoint IdleSince;
};

http::request<http::string_body> makeMessage(HttpRequest Request,
                                             const std::string &Host) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, Host);
  for (const auto &[Name, Value] : Request.Fields.all())
    Message.set(Name, Value);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

HttpResponse takeResponse(http::response<http::string_body> &&Message) {
  HttpResponse Response;
  Response.Status = static_cast<int>(Message.result_int());
  Response.ContentType = std::string(Message[http::field::content_type]);
  Response.Close = !Message.keep_alive();
  for (const auto &Field : Message)
    Response.Fields.add(std::string(Field.name_string()),
                        std::string(Field.value()));
  Response.Body = std::move(Message.body());
  return Response;
}

} // namespace

class HttpClient::Private {
public:
  Private(asio::any_io_executor Executor, Endpoint Where,
          IdleConnections IdlePolicy)
      : Executor(std::move(Executor)), Where(std::move(Where)),
        IdlePolicy(IdlePolicy) {}

  asio::awaitable<Result<HttpResponse>> send(HttpRequest Request,
                                             TimePoint Deadline) {
    Result<std::unique_ptr<Link>> Acquired = co_await this->acquire(Deadline);
    if (!Acquired)
      co_return Acquired.error();
    std::unique_ptr<Link> Open = std::move(Acquired.value());
    Result<HttpResponse> Response =
        co_await this->exchange(*Open, std::move(Request), Deadline);
    if (Response && !Response.value().Close)
      this->release(std::move(Open));
    co_return Response;
  }

  std::vector<std::unique_ptr<Link>> Idle;

private:
  asio::awaitable<Result<std::unique_ptr<Link>>> acquire(TimePoint Deadline) {
    while (!this->Idle.empty()) {
      std::unique_ptr<Link> Candidate = std::move(this->Idle.back());
      this->Idle.pop_back();
      const Duration IdleTime = steadyNow() - Candidate->IdleSince;
      if (IdleTime > DropAfterIdle)
        continue;
      if (IdleTime <= CheckAfterIdle)
        co_return Candidate;
      if (this->IdlePolicy == IdleConnections::Check &&
          co_await this->answersCheck(*Candidate, Deadline))
        co_return Candidate;
    }
    co_return co_await this->connect(Deadline);
  }

  asio::awaitable<bool> answersCheck(Link &Open, TimePoint Deadline) {
    HttpRequest Check;
    Check.Method = "GET";
    Check.Target = "/healthz";
    const TimePoint Limit = std::min(Deadline, steadyNow() + CheckLimit);
    const Result<HttpResponse> Response =
        co_await this->exchange(Open, std::move(Check), Limit);
    co_return Response && !Response.value().Close;
  }

  asio::awaitable<Result<std::unique_ptr<Link>>> connect(TimePoint Deadline) {
    error_code Failure;
    const auto Address = asio::ip::make_address(this->Where.Address, Failure);
    auto Open = std::make_unique<Link>(this->Executor);
    if (!Failure) {
      Open->Stream.expires_at(std::min(Deadline, steadyNow() + ConnectLimit));
      co_await Open->Stream.async_connect(
          tcp::endpoint(Address, this->Where.Port), resumeWith(Failure));
    }
    if (Failure)
      co_return failure(ErrorKind::Unavailable, "cannot connect to " +
                                                    toString(this->Where) +
                                                    ": " + Failure.message());
    Open->Stream.socket().set_option(tcp::no_delay(true), Failure);
    co_return Open;
  }

  asio::awaitable<Result<HttpResponse>>
  exchange(Link &Open, HttpRequest Request, TimePoint Deadline) {
    if (steadyNow() >= Deadline)
      co_return failure(ErrorKind::Unavailable, "the deadline has passed");
    const auto Message = makeMessage(std::move(Request), toString(this->Where));
    Open.Stream.expires_at(Deadline);
    error_code Failure;
    const std::size_t Sent =
        co_await http::async_write(Open.Stream, Message, resumeWith(Failure));
    if (Failure)
      co_return this->lost(Sent == 0 ? ErrorKind::Unavailable
                                     : ErrorKind::OutcomeUnknown,
                           Failure);
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxResponseBytes);
    co_await http::async_read(Open.Stream, Open.Buffer, Parser,
                              resumeWith(Failure));
    if (Failure)
      co_return this->lost(ErrorKind::OutcomeUnknown, Failure);
    Open.Stream.expires_never();
    co_return takeResponse(Parser.release());
  }

  Error lost(ErrorKind Kind, const error_code &Failure) const {
    return failure(Kind, "no answer from " + toString(this->Where) + ": " +
                             Failure.message());
  }

  void release(std::unique_ptr<Link> Open) {
    if (this->Idle.size() >= MaxIdleConnections)
      return;
    Open->IdleSince = steadyNow();
    this->Idle.push_back(std::move(Open));
  }

  asio::any_io_executor Executor;
  Endpoint Where;
  IdleConnections IdlePolicy;
};

HttpClient::HttpClient(asio::any_io_executor Executor, Endpoint Where,
                       IdleConnections Idle)
    : P(std::make_shared<Private>(std::move(Executor), std::move(Where),
                                  Idle)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<HttpResponse>> HttpClient::send(HttpRequest Request,
                                                       TimePoint Deadline) {
  const std::shared_ptr<Private> Keep = this->P;
  co_return co_await Keep->send(std::move(Request), Deadline);
}

std::size_t HttpClient::idleConnections() const { return this->P->Idle.size(); }

} // namespace lavenderdale
