#include "adminserver.h"

#include "base/strictjson.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace lavenderdale::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto Awaiting = asio::as_tuple(asio::use_awaitable);

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

AdminAnswer answer(const Request &Call, const AdminHandler &Handler) {
  Json::Value Body;
  if (!Call.body().empty()) {
    const Result<Json::Value> Parsed = parseStrictJson(Call.body());
    if (!Parsed) {
      AdminAnswer Refusal{400};
      Refusal.Body["error"] = Parsed.error().Detail;
      return Refusal;
    }
    Body = Parsed.value();
  }
  return Handler(std::string(Call.method_string()), std::string(Call.target()),
                 Body);
}

asio::awaitable<void> serve(tcp::socket Socket, AdminHandler Handler) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  while (true) {
    Request Call;
    const auto [ReadError, ReadSize] =
        co_await http::async_read(Stream, Buffer, Call, Awaiting);
    if (ReadError)
      co_return;
    const AdminAnswer Answer = answer(Call, Handler);
    Response Reply(static_cast<http::status>(Answer.Status), Call.version());
    Reply.set(http::field::content_type, "application/json");
    Reply.keep_alive(Call.keep_alive());
    Reply.body() = writeCompactJson(Answer.Body) + "\n";
    Reply.prepare_payload();
    const auto [WriteError, WriteSize] =
        co_await http::async_write(Stream, Reply, Awaiting);
    if (WriteError || !Call.keep_alive())
      co_return;
  }
}

asio::awaitable<void> acceptAll(tcp::acceptor Listener, AdminHandler Handler) {
  while (true) {
    auto [Error, Socket] = co_await Listener.async_accept(Awaiting);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (!Error)
      asio::co_spawn(Listener.get_executor(), serve(std::move(Socket), Handler),
                     asio::detached);
  }
}

} // namespace

tcp::acceptor listenOnLoopback(asio::io_context &Io, std::uint16_t Port) {
  return {Io, tcp::endpoint(asio::ip::address_v4::loopback(), Port)};
}

void startAdminServer(tcp::acceptor Listener, AdminHandler Handler) {
  const auto Executor = Listener.get_executor();
  asio::co_spawn(Executor, acceptAll(std::move(Listener), std::move(Handler)),
                 asio::detached);
}

void stopOnSignal(asio::io_context &Io) {
  const auto Signals = std::make_shared<asio::signal_set>(Io, SIGTERM, SIGINT);
  Signals->async_wait(
      [&Io, Signals](const boost::system::error_code &Error, int) {
        if (!Error)
          Io.stop();
      });
}

} // namespace lavenderdale::standins
