#include "httpsender.h"

#include "base/strictjson.h"
#include "http/httpmessage.h"
#include "http/resumewith.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds ConnectLimit{1000};
constexpr int Ok = 200;

http::request<http::string_body> makeRequest(const LoadOptions &Load,
                                             const LoadStatement &Statement,
                                             const std::string &Session) {
  http::request<http::string_body> Request(
      http::verb::post, "/v1/routes/" + Load.Route + "/statements", 11);
  Request.set(http::field::host, "lavenderdale");
  if (!Load.Key.empty())
    Request.set(http::field::authorization, "Bearer " + Load.Key);
  if (!Session.empty())
    Request.set("Lavenderdale-Session", Session);
  Json::Value Body;
  Body["sql"] = Statement.Sql;
  Body["params"] = Json::Value(Json::arrayValue);
  Body["readOnly"] = Statement.ReadOnly;
  Request.body() = writeCompactJson(Body);
  Request.prepare_payload();
  return Request;
}

std::string problemKind(const std::string &Body) {
  const Result<Json::Value> Problem = parseStrictJson(Body);
  if (!Problem || !Problem.value().isObject())
    return "not-a-problem";
  return Problem.value().get("kind", "not-a-problem").asString();
}

} // namespace

HttpSender::HttpSender(asio::any_io_executor Executor, const LoadOptions &Load,
                       std::size_t First)
    : Executor(std::move(Executor)), Load(Load),
      Target(First % Load.Targets.size()) {}

asio::awaitable<bool> HttpSender::open(TimePoint Deadline) {
  for (std::size_t Tries = 0;
       this->Stream == nullptr && Tries < this->Load.Targets.size(); ++Tries) {
    const Endpoint &Where = this->Load.Targets[this->Target];
    auto Candidate = std::make_unique<boost::beast::tcp_stream>(this->Executor);
    error_code Failure;
    Candidate->expires_at(std::min(Deadline, steadyNow() + ConnectLimit));
    co_await Candidate->async_connect(
        tcp::endpoint(asio::ip::make_address(Where.Address), Where.Port),
        resumeWith(Failure));
    if (Failure) {
      this->Target = (this->Target + 1) % this->Load.Targets.size();
      continue;
    }
    Candidate->socket().set_option(tcp::no_delay(true), Failure);
    Candidate->expires_never();
    this->Buffer.clear();
    this->Stream = std::move(Candidate);
  }
  co_return this->Stream != nullptr;
}

asio::awaitable<LoadAnswer> HttpSender::send(LoadStatement Statement,
                                             TimePoint Deadline) {
  const LoadAnswer Lost{0, "no-answer", ""};
  if (!co_await this->open(Deadline))
    co_return Lost;
  const auto Request = makeRequest(this->Load, Statement, this->Session);
  http::response<http::string_body> Response;
  error_code Failure;
  this->Stream->expires_at(Deadline);
  co_await http::async_write(*this->Stream, Request, resumeWith(Failure));
  if (!Failure)
    co_await http::async_read(*this->Stream, this->Buffer, Response,
                              resumeWith(Failure));
  if (Failure) {
    this->Stream.reset();
    co_return Lost;
  }
  this->Stream->expires_never();
  if (!Response.keep_alive())
    this->Stream.reset();
  LoadAnswer Answer;
  Answer.Status = static_cast<int>(Response.result_int());
  Answer.ServedBy = std::string(Response["Lavenderdale-Served-By"]);
  if (Answer.Status != Ok)
    Answer.Kind = problemKind(Response.body());
  else if (this->Load.Sessions)
    this->Session = std::string(Response["Lavenderdale-Session"]);
  co_return Answer;
}

} // namespace lavenderdale
