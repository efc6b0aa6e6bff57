#include "platformclient.h"

#include "base/strictjson.h"
#include "http/httpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto BasePath = "/apis/lavenderdale.example/v1";
// The platform sends a bookmark every second; a watch without any for this
// long is silent and is replaced.
constexpr std::chrono::seconds WatchSilence{5};
constexpr std::chrono::seconds ConnectLimit{2};

constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;

auto resumeWith(error_code &Failure) {
  return asio::redirect_error(asio::use_awaitable, Failure);
}

Error noAnswer(const std::string &Detail) {
  return failure(ErrorKind::PlatformUnavailable, Detail);
}

std::string pathOf(ObjectKind Kind, const std::string &Name = {}) {
  std::string Path = BasePath + ("/" + std::string(pluralName(Kind)));
  return Name.empty() ? Path : Path + "/" + Name;
}

std::optional<std::uint64_t> versionOf(const Json::Value &Value) {
  const Json::Value &Metadata = Value["metadata"];
  if (!Metadata.isObject() || !Metadata["resourceVersion"].isString())
    return std::nullopt;
  const std::string Text = Metadata["resourceVersion"].asString();
  std::uint64_t Version = 0;
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Status != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Version;
}

/// Reads the body of a successful answer.
Result<Json::Value> bodyOf(const Result<HttpResponse> &Response) {
  if (!Response)
    return noAnswer(Response.error().Detail);
  const HttpResponse &Message = Response.value();
  if (Message.Status == StatusNotFound)
    return failure(ErrorKind::NotFound, "no such object");
  if (Message.Status == StatusConflict)
    return failure(ErrorKind::VersionConflict, "another version is stored");
  if (Message.Status / 100 != 2)
    return noAnswer("status " + std::to_string(Message.Status));
  Result<Json::Value> Body = parseStrictJson(Message.Body);
  if (!Body || !Body.value().isObject())
    return noAnswer("the answer is not an object");
  return Body;
}

Result<CatalogueObject> objectOf(const Result<HttpResponse> &Response) {
  BOOST_OUTCOME_TRY(const Json::Value Body, bodyOf(Response));
  return CatalogueObject::fromJson(Body);
}

std::optional<PlatformChange> changeOf(const std::string &Line) {
  const Result<Json::Value> Event = parseStrictJson(Line);
  if (!Event || !Event.value().isObject())
    return std::nullopt;
  const std::string Type = Event.value()["type"].asString();
  const Json::Value &Object = Event.value()["object"];
  PlatformChange Change;
  Change.Bookmark = Type == "BOOKMARK";
  Change.Deleted = Type == "DELETED";
  if (Change.Bookmark) {
    const auto Version = versionOf(Object);
    if (!Version)
      return std::nullopt;
    Change.Object.Version = *Version;
    return Change;
  }
  const Result<CatalogueObject> Read = CatalogueObject::fromJson(Object);
  if (Type == "ERROR" || !Read)
    return std::nullopt;
  Change.Object = Read.value();
  return Change;
}

} // namespace

class PlatformClient::Private {
public:
  Private(asio::any_io_executor Executor, std::vector<Endpoint> Endpoints)
      : Executor(std::move(Executor)), Endpoints(std::move(Endpoints)) {
    for (const Endpoint &Each : this->Endpoints)
      this->Clients.push_back(
          std::make_unique<HttpClient>(this->Executor, Each));
  }

  asio::awaitable<Result<HttpResponse>> call(const char *Method,
                                             std::string Target,
                                             std::string Body,
                                             TimePoint Deadline) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Target = std::move(Target);
    Request.Body = std::move(Body);
    if (!Request.Body.empty())
      Request.Fields.add("Content-Type", "application/json");
    HttpClient &Client = *this->Clients[this->Turn % this->Clients.size()];
    Result<HttpResponse> Response =
        co_await Client.send(std::move(Request), Deadline);
    if (!Response)
      ++this->Turn;
    co_return Response;
  }

  asio::awaitable<Error>
  watch(std::uint64_t Version,
        std::function<void(const PlatformChange &)> OnChange) {
    const Endpoint Where = this->Endpoints[this->Turn % Endpoints.size()];
    error_code Failure;
    const auto Address = asio::ip::make_address(Where.Address, Failure);
    beast::tcp_stream Stream(this->Executor);
    this->Watch = &Stream;
    if (!Failure) {
      Stream.expires_after(ConnectLimit);
      co_await Stream.async_connect(tcp::endpoint(Address, Where.Port),
                                    resumeWith(Failure));
    }
    if (!Failure)
      Failure = co_await this->readWatch(Stream, Where, Version, OnChange);
    this->Watch = nullptr;
    ++this->Turn;
    co_return noAnswer("watch of " + toString(Where) + ": " +
                       Failure.message());
  }

  beast::tcp_stream *Watch = nullptr;

private:
  asio::awaitable<error_code>
  readWatch(beast::tcp_stream &Stream, const Endpoint &Where,
            std::uint64_t Version,
            const std::function<void(const PlatformChange &)> &OnChange) {
    http::request<http::empty_body> Request(
        http::verb::get,
        std::string(BasePath) +
            "?watch=true&resourceVersion=" + std::to_string(Version),
        11);
    Request.set(http::field::host, toString(Where));
    error_code Failure;
    co_await http::async_write(Stream, Request, resumeWith(Failure));
    beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    while (!Failure && !Parser.is_done()) {
      Stream.expires_after(WatchSilence);
      co_await http::async_read_some(Stream, Buffer, Parser,
                                     resumeWith(Failure));
      if (Parser.is_header_done() && Parser.get().result_int() != 200)
        co_return asio::error::make_error_code(asio::error::eof);
      if (!takeLines(Parser.get().body(), OnChange))
        co_return asio::error::make_error_code(asio::error::eof);
    }
    co_return Failure;
  }

  /// \returns false when the watch has to be started again.
  static bool
  takeLines(std::string &Text,
            const std::function<void(const PlatformChange &)> &OnChange) {
    std::size_t Start = 0;
    for (std::size_t End = Text.find('\n'); End != std::string::npos;
         End = Text.find('\n', Start)) {
      const std::string Line = Text.substr(Start, End - Start);
      Start = End + 1;
      if (Line.empty())
        continue;
      const std::optional<PlatformChange> Change = changeOf(Line);
      if (!Change)
        return false;
      OnChange(*Change);
    }
    Text.erase(0, Start);
    return true;
  }

  asio::any_io_executor Executor;
  std::vector<Endpoint> Endpoints;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::size_t Turn = 0;
};

PlatformClient::PlatformClient(asio::any_io_executor Executor,
                               std::vector<Endpoint> Endpoints)
    : P(std::make_shared<Private>(std::move(Executor), std::move(Endpoints))) {}

PlatformClient::~PlatformClient() = default;

asio::awaitable<Result<ObjectList>>
PlatformClient::listAll(TimePoint Deadline) {
  const auto Keep = this->P;
  const auto Body = bodyOf(co_await Keep->call("GET", BasePath, {}, Deadline));
  if (!Body)
    co_return Body.error();
  ObjectList List;
  const auto Version = versionOf(Body.value());
  const Json::Value &Items = Body.value()["items"];
  if (!Version || !Items.isArray())
    co_return noAnswer("the answer is not a list");
  List.Version = *Version;
  for (const Json::Value &Item : Items) {
    Result<CatalogueObject> Object = CatalogueObject::fromJson(Item);
    if (Object)
      List.Objects.push_back(std::move(Object.value()));
  }
  co_return List;
}

asio::awaitable<Result<std::uint64_t>>
PlatformClient::version(TimePoint Deadline) {
  const auto Keep = this->P;
  const auto Body = bodyOf(
      co_await Keep->call("GET", pathOf(ObjectKind::HostSet), {}, Deadline));
  if (!Body)
    co_return Body.error();
  const auto Version = versionOf(Body.value());
  if (!Version)
    co_return noAnswer("the answer has no resourceVersion");
  co_return *Version;
}

asio::awaitable<Result<CatalogueObject>>
PlatformClient::get(ObjectKind Kind, std::string Name, TimePoint Deadline) {
  const auto Keep = this->P;
  co_return objectOf(
      co_await Keep->call("GET", pathOf(Kind, Name), {}, Deadline));
}

asio::awaitable<Result<CatalogueObject>>
PlatformClient::replaceIf(CatalogueObject Object, TimePoint Deadline) {
  const auto Keep = this->P;
  const bool Creates = Object.Version == 0;
  std::string Path = pathOf(Object.Kind, Creates ? "" : Object.Name);
  co_return objectOf(
      co_await Keep->call(Creates ? "POST" : "PUT", std::move(Path),
                          writeCompactJson(Object.toJson()), Deadline));
}

asio::awaitable<Result<void>> PlatformClient::remove(CatalogueObject Object,
                                                     TimePoint Deadline) {
  const auto Keep = this->P;
  Json::Value Options(Json::objectValue);
  Options["preconditions"]["resourceVersion"] = std::to_string(Object.Version);
  const auto Body =
      bodyOf(co_await Keep->call("DELETE", pathOf(Object.Kind, Object.Name),
                                 writeCompactJson(Options), Deadline));
  if (!Body)
    co_return Body.error();
  co_return success();
}

asio::awaitable<Error>
PlatformClient::watchAll(std::uint64_t Version,
                         std::function<void(const PlatformChange &)> OnChange) {
  const auto Keep = this->P;
  co_return co_await Keep->watch(Version, std::move(OnChange));
}

void PlatformClient::stopWatch() {
  if (this->P->Watch)
    this->P->Watch->close();
}

} // namespace lavenderdale
