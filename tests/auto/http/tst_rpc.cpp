#include "http/httpserver.h"
#include "rpc/rpcclient.h"
#include "rpc/rpcserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <optional>

using namespace lavenderdale;
namespace asio = boost::asio;

// Guards against a JSON-RPC call that blocks a worker, and against errors of a
// method that are taken for results.
TEST_CASE("calls reach the peer's method and errors come back as errors") {
  RpcServer Rpc;
  Rpc.add("double", [](const Json::Value &Params) -> Result<Json::Value> {
    if (!Params["n"].isInt())
      return failure(ErrorKind::BadRequest, "n: expected a whole number");
    Json::Value Answer(Json::objectValue);
    Answer["n"] = Params["n"].asInt() * 2;
    return Answer;
  });
  WorkerPool Workers(1);
  HttpServer Server(
      Workers, {},
      [&Rpc](HttpRequest Request) -> asio::awaitable<HttpResponse> {
        HttpResponse Response;
        Response.Body = Rpc.handle(Request.Body);
        co_return Response;
      });
  const Endpoint Where = Server.listen({"127.0.0.1", 0}).value();
  Workers.start();
  RpcClient Client(2);
  const auto Call = [&](const std::string &Method, const Json::Value &Params) {
    std::optional<Result<Json::Value>> Answer;
    asio::co_spawn(
        Workers.worker(0),
        [&]() -> asio::awaitable<void> {
          Answer = co_await Client.call(Where, Method, Params,
                                        std::chrono::steady_clock::now() +
                                            std::chrono::seconds(20));
        },
        asio::use_future)
        .get();
    return *Answer;
  };

  Json::Value Params(Json::objectValue);
  Params["n"] = 21;
  const auto Good = Call("double", Params);
  REQUIRE(Good.has_value());
  CHECK(Good.value()["n"].asInt() == 42);

  Params["n"] = "x";
  const auto Bad = Call("double", Params);
  REQUIRE_FALSE(Bad.has_value());
  CHECK(Bad.error().Detail.find("expected a whole number") !=
        std::string::npos);
  CHECK_FALSE(Call("unknown", Params).has_value());
  Workers.stop();
}
