#include "platformclient.h"

#include "platformconnection.h"

#include "base/salvagedjson.h"
#include "base/strictjson.h"
#include "telemetry/logging.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <set>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *BasePath = "/apis/lavenderdale.example/v1";

// A read is sent at most this often: on the kept connection, which the platform
// may have closed, and on two new ones.
constexpr int MaxReadAttempts = 3;

// Pause before a change is sent again after a lost answer.
constexpr std::chrono::milliseconds RetryPause{20};

std::string pathOf(std::optional<ObjectKind> Kind,
                   const std::string &Name = {}) {
  std::string Path = BasePath;
  if (Kind)
    Path.append("/").append(pluralName(*Kind));
  if (!Name.empty())
    Path.append("/").append(Name);
  return Path;
}

std::string messageOf(const PlatformResponse &Response) {
  const Result<Json::Value> Body = parseStrictJson(Response.Body);
  if (Body && Body.value().isObject() && Body.value()["message"].isString())
    return Body.value()["message"].asString();
  return "status " + std::to_string(Response.Status);
}

Error errorOf(const PlatformResponse &Response) {
  const std::string Message = messageOf(Response);
  switch (Response.Status) {
  case 404:
    return failure(ErrorKind::NotFound, Message);
  case 409:
  case 410:
    return failure(ErrorKind::VersionConflict, Message);
  case 400:
  case 413:
  case 422:
    return failure(ErrorKind::InvalidCatalogue, Message);
  default:
    return failure(ErrorKind::PlatformUnavailable, Message);
  }
}

/// Reads an object; one whose form is wrong, but that can be identified, gets a
/// spec that does not pass validation, so that its last valid version stays.
Result<CatalogueObject> readObject(const Json::Value &Value) {
  Result<CatalogueObject> Object = CatalogueObject::fromJson(Value);
  if (!Value.isObject())
    return Object;
  // A spec that could not be parsed is null.
  if (Object && Value.isMember("spec") && Value["spec"].isNull())
    Object = failure(ErrorKind::InvalidCatalogue, "the spec cannot be read");
  if (Object)
    return Object;
  Json::Value Envelope(Json::objectValue);
  Envelope["kind"] = Value["kind"];
  Envelope["metadata"] = Value["metadata"];
  Result<CatalogueObject> Identified = CatalogueObject::fromJson(Envelope);
  if (!Identified)
    return Object;
  Identified.value().Spec["malformed"] = Object.error().Detail;
  return Identified;
}

/// Parses an answer or an event. A spec that cannot be parsed is null, so that
/// its object does not hide others.
Result<Json::Value> readObjects(std::string_view Text) {
  constexpr std::array<std::string_view, 2> Containers = {"items", "object"};
  BOOST_OUTCOME_TRY(SalvagedJson Body, parseSalvagedJson(Text, Containers));
  if (Body.Unreadable > 0)
    logInfo("unreadable parts in an answer of the platform: " +
            std::to_string(Body.Unreadable));
  return std::move(Body.Value);
}

Result<Json::Value> readBody(const PlatformResponse &Response) {
  Result<Json::Value> Body = readObjects(Response.Body);
  if (!Body || !Body.value().isObject())
    return failure(ErrorKind::PlatformUnavailable,
                   "the platform's answer is not a JSON object");
  return Body;
}

Result<CatalogueObject> readAnswer(const PlatformResponse &Response) {
  if (Response.Status >= 300)
    return errorOf(Response);
  BOOST_OUTCOME_TRY(const Json::Value Body, readBody(Response));
  return readObject(Body);
}

/// The version of a list or a bookmark, which have no name.
std::uint64_t versionOf(const Json::Value &Value) {
  const Json::Value &Metadata = Value["metadata"];
  if (!Metadata.isObject() || !Metadata["resourceVersion"].isString())
    return 0;
  return std::strtoull(Metadata["resourceVersion"].asCString(), nullptr, 10);
}

Result<ObjectList> readList(const PlatformResponse &Response) {
  if (Response.Status >= 300)
    return errorOf(Response);
  BOOST_OUTCOME_TRY(const Json::Value Body, readBody(Response));
  ObjectList List;
  List.Version = versionOf(Body);
  if (List.Version == 0 || !Body["items"].isArray())
    return failure(ErrorKind::PlatformUnavailable,
                   "the platform's answer is not a list");
  for (const Json::Value &Item : Body["items"]) {
    // Objects of kinds that this version does not know are not its concern.
    Result<CatalogueObject> Object = readObject(Item);
    if (Object)
      List.Objects.push_back(std::move(Object.value()));
  }
  return List;
}

/// \returns the message, nothing for an object of an unknown kind, or the
/// failure that the platform reported.
Result<std::optional<WatchMessage>> readWatchLine(const std::string &Line) {
  const Result<Json::Value> Event = readObjects(Line);
  if (!Event || !Event.value().isObject() || !Event.value()["type"].isString())
    return failure(ErrorKind::PlatformUnavailable,
                   "the watch sent a line that is not an event");
  const std::string Type = Event.value()["type"].asString();
  const Json::Value &Body = Event.value()["object"];
  if (!Body.isObject() || Type == "ERROR")
    return failure(Body.isObject() && Body["code"] == Json::Value(410)
                       ? ErrorKind::VersionConflict
                       : ErrorKind::PlatformUnavailable,
                   "the platform ended the watch with an error");
  WatchMessage Message;
  if (Type == "BOOKMARK") {
    Message.Object.Version = versionOf(Body);
    return std::optional(Message);
  }
  Result<CatalogueObject> Object = readObject(Body);
  if (!Object)
    return std::optional<WatchMessage>();
  Message.Kind = Type == "ADDED"      ? WatchMessage::Type::Added
                 : Type == "MODIFIED" ? WatchMessage::Type::Modified
                                      : WatchMessage::Type::Deleted;
  Message.Object = std::move(Object.value());
  return std::optional(Message);
}

/// Half of the time that is left, so that an answer can be read back.
TimePoint halfWay(TimePoint Deadline) {
  const TimePoint Now = steadyNow();
  return Now + (Deadline - Now) / 2;
}

bool isOver(TimePoint Deadline) { return steadyNow() + RetryPause >= Deadline; }

bool isLost(const Error &Failure) {
  return Failure.Kind == ErrorKind::PlatformUnavailable;
}

} // namespace

bool sameContent(const CatalogueObject &Left, const CatalogueObject &Right) {
  // By text, because jsoncpp tells signed from unsigned numbers.
  return writeCompactJson(Left.Spec) == writeCompactJson(Right.Spec) &&
         writeCompactJson(Left.Status) == writeCompactJson(Right.Status);
}

class PlatformClient::Implementation {
public:
  Implementation(asio::any_io_executor Executor,
                 asio::ip::tcp::endpoint Endpoint)
      : Executor(std::move(Executor)), Endpoint(std::move(Endpoint)) {}

  /// Runs one call on the kept connection or on a new one. A read without an
  /// answer is sent again on a new connection while there is time.
  Call<PlatformResponse> call(PlatformRequest Request, TimePoint Deadline) {
    const bool IsRead = Request.Method == HttpMethod::Get;
    for (int Attempt = 1;; ++Attempt) {
      Result<PlatformResponse> Answer =
          co_await this->callOnce(Request, Deadline);
      if (Answer || !IsRead || Attempt == MaxReadAttempts || isOver(Deadline))
        co_return Answer;
    }
  }

  Call<PlatformResponse> callOnce(PlatformRequest Request, TimePoint Deadline) {
    std::unique_ptr<PlatformConnection> Kept = std::move(this->Idle);
    if (Kept)
      co_return co_await this->exchange(std::move(Kept), std::move(Request),
                                        Deadline);
    auto Fresh = std::make_unique<PlatformConnection>(this->Executor);
    this->Open.insert(Fresh.get());
    const Result<void> Connected =
        co_await Fresh->connect(this->Endpoint, Deadline);
    this->Open.erase(Fresh.get());
    if (!Connected)
      co_return Connected.error();
    co_return co_await this->exchange(std::move(Fresh), std::move(Request),
                                      Deadline);
  }

  Call<void> watch(std::optional<ObjectKind> Kind, std::uint64_t Version,
                   std::function<void(const WatchMessage &)> Handler) {
    PlatformConnection Connection(this->Executor);
    this->Open.insert(&Connection);
    const Result<void> Ended =
        co_await watchOn(Connection, Kind, Version, std::move(Handler));
    this->Open.erase(&Connection);
    co_return Ended;
  }

  void close() {
    this->Idle.reset();
    for (PlatformConnection *Connection : this->Open)
      Connection->close();
  }

private:
  Call<PlatformResponse>
  exchange(std::unique_ptr<PlatformConnection> Connection,
           PlatformRequest Request, TimePoint Deadline) {
    this->Open.insert(Connection.get());
    Result<PlatformResponse> Answer =
        co_await Connection->exchange(std::move(Request), Deadline);
    this->Open.erase(Connection.get());
    if (Answer && Connection->isReusable() && !this->Idle)
      this->Idle = std::move(Connection);
    co_return Answer;
  }

  Call<void> watchOn(PlatformConnection &Connection,
                     std::optional<ObjectKind> Kind, std::uint64_t Version,
                     std::function<void(const WatchMessage &)> Handler) {
    const Result<void> Connected = co_await Connection.connect(
        this->Endpoint, steadyNow() + WatchSilenceLimit);
    if (!Connected)
      co_return Connected.error();
    PlatformRequest Request;
    Request.Target = pathOf(Kind) + "?watch=true&allowWatchBookmarks=true" +
                     "&resourceVersion=" + std::to_string(Version);
    std::function<Result<void>(const std::string &)> Read =
        [&Handler](const std::string &Line) -> Result<void> {
      BOOST_OUTCOME_TRY(const std::optional<WatchMessage> Message,
                        readWatchLine(Line));
      if (Message)
        Handler(*Message);
      return success();
    };
    const Result<PlatformResponse> Ended = co_await Connection.streamLines(
        std::move(Request), WatchSilenceLimit, std::move(Read));
    if (!Ended)
      co_return Ended.error();
    co_return errorOf(Ended.value());
  }

  asio::any_io_executor Executor;
  asio::ip::tcp::endpoint Endpoint;
  std::unique_ptr<PlatformConnection> Idle;
  std::set<PlatformConnection *> Open;
};

PlatformClient::PlatformClient(asio::any_io_executor Executor,
                               asio::ip::tcp::endpoint Endpoint)
    : Impl(std::make_unique<Implementation>(std::move(Executor),
                                            std::move(Endpoint))) {}

PlatformClient::~PlatformClient() = default;

PlatformClient::Call<ObjectList>
PlatformClient::list(std::optional<ObjectKind> Kind, TimePoint Deadline) {
  PlatformRequest Request;
  Request.Target = pathOf(Kind);
  const Result<PlatformResponse> Answer =
      co_await this->Impl->call(std::move(Request), Deadline);
  if (!Answer)
    co_return Answer.error();
  co_return readList(Answer.value());
}

PlatformClient::Call<CatalogueObject>
PlatformClient::callForObject(PlatformRequest Request, TimePoint Deadline) {
  const Result<PlatformResponse> Answer =
      co_await this->Impl->call(std::move(Request), Deadline);
  if (!Answer)
    co_return Answer.error();
  co_return readAnswer(Answer.value());
}

PlatformClient::Call<CatalogueObject>
PlatformClient::get(ObjectKind Kind, const std::string &Name,
                    TimePoint Deadline) {
  PlatformRequest Request;
  Request.Target = pathOf(Kind, Name);
  return this->callForObject(std::move(Request), Deadline);
}

PlatformClient::Call<CatalogueObject>
PlatformClient::create(CatalogueObject Object, TimePoint Deadline) {
  Object.Version = 0;
  PlatformRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Target = pathOf(Object.Kind);
  Request.Body = writeCompactJson(Object.toJson());
  return this->callForObject(std::move(Request), Deadline);
}

PlatformClient::Call<CatalogueObject>
PlatformClient::replaceIf(CatalogueObject Object, TimePoint Deadline) {
  PlatformRequest Request;
  Request.Method = HttpMethod::Put;
  Request.Target = pathOf(Object.Kind, Object.Name);
  Request.Body = writeCompactJson(Object.toJson());
  return this->callForObject(std::move(Request), Deadline);
}

PlatformClient::Call<void> PlatformClient::remove(ObjectKind Kind,
                                                  std::string Name,
                                                  std::uint64_t Version,
                                                  TimePoint Deadline) {
  PlatformRequest Request;
  Request.Method = HttpMethod::Delete;
  Request.Target = pathOf(Kind, Name);
  Json::Value Options(Json::objectValue);
  Options["preconditions"]["resourceVersion"] = std::to_string(Version);
  Request.Body = writeCompactJson(Options);
  const Result<PlatformResponse> Answer =
      co_await this->Impl->call(std::move(Request), Deadline);
  if (!Answer)
    co_return Answer.error();
  if (Answer.value().Status >= 300)
    co_return errorOf(Answer.value());
  co_return success();
}

namespace {

asio::awaitable<void> pause() {
  asio::steady_timer Timer(co_await asio::this_coro::executor, RetryPause);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

PlatformClient::Call<CatalogueObject>
PlatformClient::createResolved(CatalogueObject Object, TimePoint Deadline) {
  Object.Version = 0;
  return this->storeResolved(&PlatformClient::create, std::move(Object),
                             Deadline);
}

PlatformClient::Call<CatalogueObject>
PlatformClient::replaceIfResolved(CatalogueObject Object, TimePoint Deadline) {
  return this->storeResolved(&PlatformClient::replaceIf, std::move(Object),
                             Deadline);
}

PlatformClient::Call<CatalogueObject>
PlatformClient::storeResolved(StoreMethod Store, CatalogueObject Object,
                              TimePoint Deadline) {
  const bool Creates = Object.Version == 0;
  bool AnswerLost = false;
  while (true) {
    Result<CatalogueObject> Answer =
        co_await (this->*Store)(Object, halfWay(Deadline));
    const bool MayBeOwn = !Answer && AnswerLost &&
                          Answer.error().Kind == ErrorKind::VersionConflict;
    if (Answer || !(isLost(Answer.error()) || MayBeOwn) || isOver(Deadline))
      co_return Answer;
    AnswerLost = true;
    Result<CatalogueObject> Stored =
        co_await this->get(Object.Kind, Object.Name, halfWay(Deadline));
    if (Stored && sameContent(Stored.value(), Object))
      co_return Stored;
    if (Stored && Stored.value().Version != Object.Version)
      co_return failure(ErrorKind::VersionConflict,
                        Object.label() +
                            (Creates ? " was created" : " was changed") +
                            " by somebody else");
    if (!Stored && !Creates && !isLost(Stored.error()))
      co_return Stored;
    co_await pause();
  }
}

PlatformClient::Call<void> PlatformClient::removeResolved(ObjectKind Kind,
                                                          std::string Name,
                                                          std::uint64_t Version,
                                                          TimePoint Deadline) {
  bool AnswerLost = false;
  while (true) {
    const Result<void> Answer =
        co_await this->remove(Kind, Name, Version, halfWay(Deadline));
    if (!Answer && AnswerLost && Answer.error().Kind == ErrorKind::NotFound)
      co_return success();
    if (Answer || !isLost(Answer.error()) || isOver(Deadline))
      co_return Answer;
    AnswerLost = true;
    co_await pause();
  }
}

PlatformClient::Call<void>
PlatformClient::watch(std::optional<ObjectKind> Kind, std::uint64_t Version,
                      std::function<void(const WatchMessage &)> Handler) {
  co_return co_await this->Impl->watch(Kind, Version, std::move(Handler));
}

void PlatformClient::close() { this->Impl->close(); }

} // namespace lavenderdale
