#include "sessionproxy/relayclient.h"

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A host that answers pings only, or nothing at all.
class BusyHost {
public:
  BusyHost(asio::io_context &Context, bool AnswersPings)
      : Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        AnswersPings(AnswersPings) {
    asio::co_spawn(Context, this->serve(), asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

private:
  asio::awaitable<void> serve() {
    tcp::socket Socket =
        co_await this->Acceptor.async_accept(asio::use_awaitable);
    std::string Bytes;
    while (true) {
      const Result<void> Read = co_await readRelay(Socket, Bytes);
      if (!Read)
        co_return;
      const Result<RelayRequest> Request = decodeRelayRequest(Bytes);
      if (!Request || !this->AnswersPings ||
          Request.value().Type != RelayRequest::Kind::Ping)
        continue;
      RelayAnswer Alive;
      Alive.Id = Request.value().Id;
      const std::string Out = encodeRelay(Alive);
      co_await asio::async_write(Socket, asio::buffer(Out),
                                 asio::use_awaitable);
    }
  }

  tcp::acceptor Acceptor;
  const bool AnswersPings;
};

/// Sends a statement, and a ping that follows it, to \p Host.
RelayOutcome askBusyHost(bool AnswersPings) {
  asio::io_context Context;
  BusyHost Host(Context, AnswersPings);
  const auto Client =
      std::make_shared<RelayClient>(Context.get_executor(), Host.endpoint());
  std::optional<RelayOutcome> Statement;
  std::uint64_t StatementId = 0;
  std::uint64_t PingId = 0;
  const auto Send = [&](RelayRequest::Kind Type, std::uint64_t &Id,
                        std::optional<RelayOutcome> *Into,
                        TimePoint Deadline) -> asio::awaitable<void> {
    RelayRequest Request;
    Request.Type = Type;
    Request.Work.Commands.resize(1);
    RelayOutcome Outcome =
        co_await Client->run(std::move(Request), Id, Deadline);
    if (!Into)
      co_return;
    *Into = std::move(Outcome);
    Context.stop();
  };
  asio::co_spawn(Context,
                 Send(RelayRequest::Kind::Run, StatementId, &Statement,
                      steadyNow() + 300ms),
                 asio::detached);
  asio::co_spawn(
      Context,
      Send(RelayRequest::Kind::Ping, PingId, nullptr, steadyNow() + 10s),
      asio::detached);
  Context.run_for(30s);
  REQUIRE(Statement);
  return *Statement;
}

} // namespace

// Guards against a host that is only busy, and is taken for failed: its running
// work would be repeated elsewhere, and its connections opened anew.
TEST_CASE("a host that answers others is not silent", "[at-most-once]") {
  const RelayOutcome Outcome = askBusyHost(true);
  CHECK(Outcome.Sent);
  CHECK_FALSE(Outcome.Answer);
  CHECK_FALSE(Outcome.HostSilent);
}

TEST_CASE("a host that sends nothing is silent", "[answers]") {
  const RelayOutcome Outcome = askBusyHost(false);
  CHECK(Outcome.Sent);
  CHECK_FALSE(Outcome.Answer);
  CHECK(Outcome.HostSilent);
}
