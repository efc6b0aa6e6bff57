#include "platformconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto Awaiting = asio::as_tuple(asio::use_awaitable);
constexpr unsigned Http11 = 11;

// A list of all objects at full size is a few megabytes.
constexpr std::uint64_t MaxAnswerBytes = 67108864;
// An object is up to 1 MB, and JSON escapes may double it.
constexpr std::size_t MaxLineBytes = 4194304;
constexpr std::size_t ReadBytes = 16384;

using HttpRequest = http::request<http::string_body>;

http::verb verbOf(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return http::verb::get;
  case HttpMethod::Post:
    return http::verb::post;
  case HttpMethod::Put:
    return http::verb::put;
  case HttpMethod::Delete:
    return http::verb::delete_;
  }
  return http::verb::get;
}

HttpRequest makeRequest(PlatformRequest &Request) {
  HttpRequest Message(verbOf(Request.Method), Request.Target, Http11);
  Message.set(http::field::host, "platform");
  Message.set(http::field::accept, "application/json");
  if (!Request.Body.empty())
    Message.set(http::field::content_type, "application/json");
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

Error unavailable(const std::string &What, const beast::error_code &Cause) {
  return failure(ErrorKind::PlatformUnavailable, What + ": " + Cause.message());
}

} // namespace

struct PlatformConnection::State {
  explicit State(const asio::any_io_executor &Executor) : Stream(Executor) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool Reusable = false;
};

PlatformConnection::PlatformConnection(const asio::any_io_executor &Executor)
    : Data(std::make_unique<State>(Executor)) {}

PlatformConnection::~PlatformConnection() = default;

asio::awaitable<Result<void>>
PlatformConnection::connect(asio::ip::tcp::endpoint Endpoint,
                            TimePoint Deadline) {
  this->Data->Stream.expires_at(Deadline);
  const auto [Failed] =
      co_await this->Data->Stream.async_connect(Endpoint, Awaiting);
  if (Failed)
    co_return unavailable("cannot connect to the platform", Failed);
  beast::error_code Ignored;
  this->Data->Stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                         Ignored);
  this->Data->Reusable = true;
  co_return success();
}

asio::awaitable<Result<PlatformResponse>>
PlatformConnection::exchange(PlatformRequest Request, TimePoint Deadline) {
  State &Use = *this->Data;
  Use.Reusable = false;
  Use.Stream.expires_at(Deadline);
  const HttpRequest Message = makeRequest(Request);
  const auto [WriteFailed, Written] =
      co_await http::async_write(Use.Stream, Message, Awaiting);
  if (WriteFailed)
    co_return unavailable("cannot send to the platform", WriteFailed);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxAnswerBytes);
  const auto [ReadFailed, Size] =
      co_await http::async_read(Use.Stream, Use.Buffer, Parser, Awaiting);
  if (ReadFailed)
    co_return unavailable("no answer from the platform", ReadFailed);
  Use.Reusable = Parser.keep_alive();
  auto Answer = Parser.release();
  co_return PlatformResponse{static_cast<int>(Answer.result_int()),
                             std::move(Answer.body())};
}

bool PlatformConnection::isReusable() const { return this->Data->Reusable; }

asio::awaitable<Result<PlatformResponse>> PlatformConnection::streamLines(
    PlatformRequest Request, Duration SilenceLimit,
    std::function<Result<void>(const std::string &Line)> Handler) {
  State &Use = *this->Data;
  Use.Reusable = false;
  Use.Stream.expires_after(SilenceLimit);
  const HttpRequest Message = makeRequest(Request);
  const auto [WriteFailed, Written] =
      co_await http::async_write(Use.Stream, Message, Awaiting);
  if (WriteFailed)
    co_return unavailable("cannot send to the platform", WriteFailed);
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  const auto [HeaderFailed, HeaderSize] = co_await http::async_read_header(
      Use.Stream, Use.Buffer, Parser, Awaiting);
  if (HeaderFailed)
    co_return unavailable("no answer from the platform", HeaderFailed);
  const int Status = static_cast<int>(Parser.get().result_int());
  if (Status != 200)
    co_return PlatformResponse{Status, {}};

  std::array<char, ReadBytes> Chunk{};
  std::string Pending;
  while (!Parser.is_done()) {
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    Use.Stream.expires_after(SilenceLimit);
    const auto [Failed, Size] = co_await http::async_read_some(
        Use.Stream, Use.Buffer, Parser, Awaiting);
    if (Failed && Failed != http::error::need_buffer)
      co_return unavailable("the watch ended", Failed);
    Pending.append(Chunk.data(), Chunk.size() - Parser.get().body().size);
    std::size_t End = 0;
    while ((End = Pending.find('\n')) != std::string::npos) {
      const Result<void> Handled = Handler(Pending.substr(0, End));
      if (!Handled)
        co_return Handled.error();
      Pending.erase(0, End + 1);
    }
    if (Pending.size() > MaxLineBytes)
      co_return failure(ErrorKind::PlatformUnavailable,
                        "the watch sent a line that is too long");
  }
  co_return failure(ErrorKind::PlatformUnavailable,
                    "the platform ended the watch");
}

void PlatformConnection::close() {
  this->Data->Reusable = false;
  this->Data->Stream.close();
}

} // namespace lavenderdale
