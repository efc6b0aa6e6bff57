#include "apisession.h"

#include "base/strictjson.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <map>
#include <optional>

namespace lavenderdale::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto Awaiting = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view BasePath = "/apis/lavenderdale.example/v1";
constexpr std::uint64_t MaxBodyBytes = 1048576;
constexpr std::chrono::seconds BookmarkInterval{1};

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

struct Target {
  std::string Plural; ///< Empty for all kinds.
  std::string Name;   ///< Empty for the list.
  std::map<std::string, std::string> Query;

  bool isWatch() const {
    const auto Found = this->Query.find("watch");
    return Found != this->Query.end() &&
           (Found->second == "true" || Found->second == "1");
  }
};

std::map<std::string, std::string> parseQuery(std::string_view Text) {
  std::map<std::string, std::string> Query;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('&'), Text.size());
    const std::string_view Item = Text.substr(0, End);
    const std::size_t Equals = std::min(Item.find('='), Item.size());
    const std::size_t ValueStart = std::min(Equals + 1, Item.size());
    Query[std::string(Item.substr(0, Equals))] = Item.substr(ValueStart);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Query;
}

std::optional<Target> parseTarget(std::string_view Text) {
  Target Parsed;
  const std::size_t Question = std::min(Text.find('?'), Text.size());
  if (Question < Text.size())
    Parsed.Query = parseQuery(Text.substr(Question + 1));
  std::string_view Path = Text.substr(0, Question);
  if (!Path.starts_with(BasePath))
    return std::nullopt;
  Path.remove_prefix(BasePath.size());
  if (Path.empty())
    return Parsed;
  if (Path.front() != '/')
    return std::nullopt;
  Path.remove_prefix(1);
  const std::size_t Slash = std::min(Path.find('/'), Path.size());
  Parsed.Plural = Path.substr(0, Slash);
  if (Slash < Path.size())
    Parsed.Name = Path.substr(Slash + 1);
  if (Parsed.Name.find('/') != std::string::npos)
    return std::nullopt;
  return Parsed;
}

std::string verbOf(const Request &Call, const Target &Place) {
  switch (Call.method()) {
  case http::verb::get:
    if (Place.isWatch())
      return "watch";
    return Place.Name.empty() ? "list" : "get";
  case http::verb::post:
    return Place.Name.empty() && !Place.Plural.empty() ? "create" : "";
  case http::verb::put:
    return Place.Name.empty() ? "" : "update";
  case http::verb::delete_:
    return Place.Name.empty() ? "" : "delete";
  default:
    return "";
  }
}

ApiAnswer run(ObjectStore &Store, const std::string &Verb, const Target &Place,
              const Json::Value &Body) {
  if (Verb == "list")
    return Store.list(Place.Plural);
  if (Verb == "get")
    return Store.get(Place.Plural, Place.Name);
  if (Verb == "create")
    return Store.create(Place.Plural, Body);
  if (Verb == "update")
    return Store.update(Place.Plural, Place.Name, Body);
  return Store.remove(Place.Plural, Place.Name, Body);
}

/// One connection to the object API.
class Session {
public:
  Session(tcp::socket Socket, Platform &Shared)
      : Socket(std::move(Socket)), Shared(Shared) {
    this->Place = this->Shared.Connections.insert(
        this->Shared.Connections.end(), &this->Socket);
  }

  ~Session() { this->Shared.Connections.erase(this->Place); }

  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  asio::awaitable<void> serve() {
    // Not as "while (co_await ...) {}": g++ 12 compiles an empty body of such a
    // loop to a trap.
    bool Open = true;
    while (Open)
      Open = co_await this->serveOne();
  }

private:
  /// \returns whether the connection stays open.
  asio::awaitable<bool> serveOne() {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    const auto [ReadError, Size] =
        co_await http::async_read(this->Socket, this->Buffer, Parser, Awaiting);
    if (ReadError == http::error::body_limit) {
      co_await this->reply(apiFailure(413, "RequestEntityTooLarge",
                                      "the value is larger than 1 MB"),
                           false);
      co_return false;
    }
    if (ReadError || this->Shared.Fault.Outage == OutageMode::Closed)
      co_return false;
    if (this->Shared.Fault.Outage == OutageMode::Silent)
      co_return true;
    const Request Call = Parser.release();
    co_return co_await this->handle(Call);
  }

  asio::awaitable<bool> handle(const Request &Call) {
    const std::optional<Target> Where =
        parseTarget({Call.target().data(), Call.target().size()});
    const std::string Verb = Where ? verbOf(Call, *Where) : std::string();
    if (Verb.empty())
      co_return co_await this->reply(
          apiFailure(404, "NotFound", "no such path or method"),
          Call.keep_alive());
    if (!this->Shared.Counter.admit(Verb, std::chrono::steady_clock::now()))
      co_return co_await this->reply(
          apiFailure(429, "TooManyRequests", "the rate of calls is exceeded"),
          Call.keep_alive());
    if (Verb == "watch") {
      co_await this->watch(*Where);
      co_return false;
    }
    co_return co_await this->change(Call, *Where, Verb);
  }

  asio::awaitable<bool> change(const Request &Call, const Target &Where,
                               const std::string &Verb) {
    Json::Value Body;
    if (!Call.body().empty()) {
      const Result<Json::Value> Parsed = parseStrictJson(Call.body());
      if (!Parsed)
        co_return co_await this->reply(
            apiFailure(400, "BadRequest", Parsed.error().Detail),
            Call.keep_alive());
      Body = Parsed.value();
    }
    const std::uint64_t Before = this->Shared.Store.version();
    const ApiAnswer Answer = run(this->Shared.Store, Verb, Where, Body);
    if (this->Shared.Store.version() != Before)
      this->Shared.wakeWatches();
    co_await this->delay();
    if (this->Shared.Fault.takeLostAnswer(Verb)) {
      this->Shared.Counter.note("lost");
      co_return false;
    }
    co_return co_await this->reply(Answer, Call.keep_alive());
  }

  asio::awaitable<bool> reply(const ApiAnswer &Answer, bool KeepAlive) {
    if (this->Shared.Fault.Outage != OutageMode::Off)
      co_return this->Shared.Fault.Outage == OutageMode::Silent;
    constexpr unsigned Http11 = 11;
    Response Reply(static_cast<http::status>(Answer.Status), Http11);
    Reply.set(http::field::content_type, "application/json");
    Reply.keep_alive(KeepAlive);
    Reply.body() = writeCompactJson(Answer.Body);
    Reply.prepare_payload();
    const auto [Error, Size] =
        co_await http::async_write(this->Socket, Reply, Awaiting);
    co_return !Error && KeepAlive;
  }

  asio::awaitable<void> delay() {
    if (this->Shared.Fault.Delay.count() == 0)
      co_return;
    asio::steady_timer Timer(this->Socket.get_executor(),
                             this->Shared.Fault.Delay);
    co_await Timer.async_wait(Awaiting);
  }

  asio::awaitable<void> watch(const Target &Where) {
    const ObjectStore &Store = this->Shared.Store;
    std::uint64_t Since = 0;
    const auto Given = Where.Query.find("resourceVersion");
    if (Given != Where.Query.end())
      std::from_chars(Given->second.data(),
                      Given->second.data() + Given->second.size(), Since);
    std::vector<std::string> Lines;
    if (Since == 0) {
      Lines = Store.eventsOfState(Where.Plural);
      Since = Store.version();
    } else if (!Store.hasHistorySince(Since)) {
      co_await this->reply(
          apiFailure(410, "Expired", "the resource version is too old"), false);
      co_return;
    }
    if (!co_await this->writeWatchHeader())
      co_return;
    co_await this->streamEvents(Where.Plural, Since, std::move(Lines));
  }

  asio::awaitable<bool> writeWatchHeader() {
    constexpr unsigned Http11 = 11;
    http::response<http::empty_body> Header(http::status::ok, Http11);
    Header.set(http::field::content_type, "application/json");
    Header.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Header);
    const auto [Error, Size] =
        co_await http::async_write_header(this->Socket, Serializer, Awaiting);
    co_return !Error;
  }

  /// Sends changes as they come and a bookmark when a second passed without.
  asio::awaitable<void> streamEvents(std::string Plural, std::uint64_t Since,
                                     std::vector<std::string> Lines) {
    const ObjectStore &Store = this->Shared.Store;
    while (true) {
      for (std::string &Line : Lines)
        if (!co_await this->writeLine(Line))
          co_return;
      if (Since == Store.version())
        co_await this->waitForChange();
      co_await this->delay();
      if (!Store.hasHistorySince(Since)) {
        std::string Line = this->expiredLine();
        co_await this->writeLine(Line);
        co_return;
      }
      Lines = Store.eventsSince(Plural, Since);
      Since = Store.version();
      if (Lines.empty())
        Lines.push_back(this->bookmarkLine(Since));
    }
  }

  asio::awaitable<void> waitForChange() {
    asio::steady_timer Timer(this->Socket.get_executor(), BookmarkInterval);
    const auto Registered =
        this->Shared.Watches.insert(this->Shared.Watches.end(), &Timer);
    co_await Timer.async_wait(Awaiting);
    this->Shared.Watches.erase(Registered);
  }

  asio::awaitable<bool> writeLine(std::string &Line) {
    while (this->Shared.Fault.Outage == OutageMode::Silent)
      co_await this->waitForChange();
    if (this->Shared.Fault.Outage == OutageMode::Closed)
      co_return false;
    Line += '\n';
    const auto [Error, Size] = co_await asio::async_write(
        this->Socket, http::make_chunk(asio::buffer(Line)), Awaiting);
    co_return !Error;
  }

  static std::string bookmarkLine(std::uint64_t Version) {
    Json::Value Event(Json::objectValue);
    Event["type"] = "BOOKMARK";
    Event["object"]["kind"] = "Bookmark";
    Event["object"]["metadata"]["resourceVersion"] = std::to_string(Version);
    return writeCompactJson(Event);
  }

  static std::string expiredLine() {
    Json::Value Event(Json::objectValue);
    Event["type"] = "ERROR";
    Event["object"] =
        apiFailure(410, "Expired", "the resource version is too old").Body;
    return writeCompactJson(Event);
  }

  tcp::socket Socket;
  Platform &Shared;
  std::list<tcp::socket *>::iterator Place;
  boost::beast::flat_buffer Buffer;
};

asio::awaitable<void> serve(tcp::socket Socket, Platform &Shared) {
  Session Connection(std::move(Socket), Shared);
  co_await Connection.serve();
}

asio::awaitable<void> acceptAll(tcp::acceptor Listener, Platform &Shared) {
  while (true) {
    auto [Error, Socket] = co_await Listener.async_accept(Awaiting);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error || Shared.Fault.Outage == OutageMode::Closed)
      continue;
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    asio::co_spawn(Listener.get_executor(), serve(std::move(Socket), Shared),
                   asio::detached);
  }
}

} // namespace

void Platform::wakeWatches() {
  for (asio::steady_timer *Timer : this->Watches)
    Timer->cancel();
}

void Platform::closeConnections() {
  boost::system::error_code Ignored;
  for (tcp::socket *Socket : this->Connections)
    Socket->shutdown(tcp::socket::shutdown_both, Ignored);
}

void startApi(tcp::acceptor Listener, Platform &Shared) {
  const auto Executor = Listener.get_executor();
  asio::co_spawn(Executor, acceptAll(std::move(Listener), Shared),
                 asio::detached);
}

} // namespace lavenderdale::standins
