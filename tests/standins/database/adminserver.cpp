#include "adminserver.h"

#include "base/objectreader.h"
#include "base/strictjson.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <poll.h>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace lavenderdale::standin {
namespace {

constexpr int PollMilliseconds = 20;
constexpr time_t ReadTimeoutSeconds = 2;
constexpr std::uint64_t MaxMilliseconds = 3'600'000;
constexpr std::uint64_t MaxMicroseconds = MaxMilliseconds * 1000;
constexpr std::uint64_t MaxCount = 100000;
constexpr std::size_t DefaultLogLimit = 1000;

using Answer = Result<Json::Value>;

Json::Value done() {
  Json::Value Value;
  Value["done"] = true;
  return Value;
}

Answer getState(StandinDatabase &Database, const Json::Value &) {
  return Database.state();
}

Answer postSet(StandinDatabase &Database, const Json::Value &Body) {
  ObjectReader Reader(Body, "");
  DatabaseSettings Settings = Database.settings();
  const auto Milliseconds = [&](const char *Name,
                                std::chrono::milliseconds &Target) {
    Target = std::chrono::milliseconds(Reader.optionalUnsigned(
        Name, 0, MaxMilliseconds, static_cast<std::uint64_t>(Target.count())));
  };
  const auto Count = [&](const char *Name, unsigned &Target) {
    Target = static_cast<unsigned>(
        Reader.optionalUnsigned(Name, 1, MaxCount, Target));
  };
  Count("connections", Settings.Connections);
  Count("slots", Settings.Slots);
  Settings.ServiceTime = std::chrono::microseconds(Reader.optionalUnsigned(
      "serviceTimeUs", 0, MaxMicroseconds,
      static_cast<std::uint64_t>(Settings.ServiceTime.count())));
  Milliseconds("connectDelayMs", Settings.ConnectDelay);
  Milliseconds("receiveLagMs", Settings.ReceiveLag);
  Milliseconds("replayLagMs", Settings.ReplayLag);
  Milliseconds("reloadDelayMs", Settings.ReloadDelay);
  Milliseconds("receiverTimeoutMs", Settings.ReceiverTimeout);
  BOOST_OUTCOME_TRY(Reader.finish());
  Database.setSettings(Settings);
  return done();
}

Answer postFreeze(StandinDatabase &Database, const Json::Value &Body) {
  ObjectReader Reader(Body, "");
  const std::uint64_t Duration =
      Reader.requiredUnsigned("ms", 0, MaxMilliseconds);
  BOOST_OUTCOME_TRY(Reader.finish());
  Database.freeze(std::chrono::milliseconds(Duration));
  return done();
}

Answer postCut(StandinDatabase &Database, const Json::Value &Body) {
  ObjectReader Reader(Body, "");
  const std::string What = Reader.requiredString("what");
  const bool On = Reader.optionalBool("on", true);
  BOOST_OUTCOME_TRY(Reader.finish());
  if (!Database.cut(What, On))
    return failure(ErrorKind::BadRequest,
                   "what: expected new, all or replication, found " + What);
  return done();
}

Answer postPromote(StandinDatabase &Database, const Json::Value &) {
  if (!Database.promote())
    return failure(ErrorKind::VersionConflict, "recovery is not in progress");
  return Database.state();
}

Answer postRejoin(StandinDatabase &Database, const Json::Value &Body) {
  ObjectReader Reader(Body, "");
  const std::string Conninfo = Reader.requiredString("primaryConninfo");
  BOOST_OUTCOME_TRY(Reader.finish());
  if (!Database.rejoin(Conninfo))
    return failure(ErrorKind::Unavailable,
                   "the primary at \"" + Conninfo + "\" could not be copied");
  return Database.state();
}

struct Endpoint {
  http::verb Verb;
  std::string_view Path;
  Answer (*Run)(StandinDatabase &, const Json::Value &);
};

constexpr std::array Endpoints = {
    Endpoint{http::verb::get, "/state", getState},
    Endpoint{http::verb::post, "/set", postSet},
    Endpoint{http::verb::post, "/freeze", postFreeze},
    Endpoint{http::verb::post, "/cut", postCut},
    Endpoint{http::verb::post, "/promote", postPromote},
    Endpoint{http::verb::post, "/rejoin", postRejoin},
};

// Reads the number after "limit=".
std::size_t readLimit(std::string_view Query) {
  constexpr std::string_view Name = "limit=";
  std::size_t Limit = DefaultLogLimit;
  if (Query.substr(0, Name.size()) == Name)
    std::from_chars(Query.data() + Name.size(), Query.data() + Query.size(),
                    Limit);
  return Limit;
}

Answer runEndpoint(StandinDatabase &Database, http::verb Verb,
                   std::string_view Target, const std::string &Body) {
  const std::string_view Path = Target.substr(0, Target.find('?'));
  if (Verb == http::verb::get && Path == "/log")
    return Database.log(
        readLimit(Target.substr(std::min(Path.size() + 1, Target.size()))));
  const auto *Row = std::find_if(Endpoints.begin(), Endpoints.end(),
                                 [&](const Endpoint &Row) {
                                   return Row.Verb == Verb && Row.Path == Path;
                                 });
  if (Row == Endpoints.end())
    return failure(ErrorKind::NotFound, "no such endpoint");
  if (Body.empty())
    return Row->Run(Database, Json::Value(Json::objectValue));
  BOOST_OUTCOME_TRY(const Json::Value Parsed, parseStrictJson(Body));
  return Row->Run(Database, Parsed);
}

} // namespace

AdminServer::AdminServer(StandinDatabase &Database, const std::string &Address,
                         std::uint16_t Port)
    : Database(Database),
      Acceptor(this->Context, {asio::ip::make_address(Address), Port}),
      Thread([this] { this->run(); }) {}

AdminServer::~AdminServer() { this->Stopping = true; }

std::uint16_t AdminServer::port() const {
  return this->Acceptor.local_endpoint().port();
}

void AdminServer::run() {
  while (!this->Stopping) {
    pollfd Poll{this->Acceptor.native_handle(), POLLIN, 0};
    if (::poll(&Poll, 1, PollMilliseconds) <= 0)
      continue;
    boost::system::error_code Failure;
    auto Socket = this->Acceptor.accept(Failure);
    if (!Failure)
      this->serve(std::move(Socket));
  }
}

void AdminServer::serve(asio::ip::tcp::socket Socket) {
  const timeval Timeout{ReadTimeoutSeconds, 0};
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Timeout,
               sizeof Timeout);
  boost::beast::flat_buffer Buffer;
  Request Asked;
  boost::system::error_code Failure;
  http::read(Socket, Buffer, Asked, Failure);
  if (Failure)
    return;
  http::write(Socket, this->answer(Asked), Failure);
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Failure);
}

AdminServer::Response AdminServer::answer(const Request &Asked) {
  const std::string_view Target(Asked.target().data(), Asked.target().size());
  const Answer Given =
      runEndpoint(this->Database, Asked.method(), Target, Asked.body());
  Response Sent(http::status::ok, Asked.version());
  Json::Value Body;
  if (Given) {
    Body = Given.value();
  } else {
    Sent.result(static_cast<unsigned>(errorAnswer(Given.error().Kind).Status));
    Body["error"] = Given.error().Detail;
  }
  Sent.set(http::field::content_type, "application/json");
  Sent.keep_alive(false);
  Sent.body() = writeCompactJson(Body);
  Sent.prepare_payload();
  return Sent;
}

} // namespace lavenderdale::standin
