#include "configurationservice.h"

#include "base/strictjson.h"
#include "distribution/configurationcodec.h"
#include "http/httpclient.h"
#include "http/runon.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <random>
#include <variant>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TickInterval{100};
constexpr milliseconds QueryTimeout{1000};
constexpr milliseconds PlatformTimeout{2000};
constexpr seconds ListTimeout{5};
constexpr milliseconds WatchRetryDelay{500};
// Added to the wait time of a pull to get its timeout.
constexpr milliseconds PullTimeoutMargin{2000};
constexpr milliseconds PullCheckInterval{50};

ConfigurationObject toConfiguration(const CatalogueObject &Object,
                                    bool Deleted) {
  ConfigurationObject Converted;
  Converted.Name = Object.label();
  Converted.Version = Object.Version;
  Converted.Deleted = Deleted;
  if (!Deleted)
    Converted.Payload = writeCompactJson(Object.toJson());
  return Converted;
}

std::optional<CatalogueObject> toCatalogue(const ConfigurationObject &Object) {
  const Result<Json::Value> Value = parseStrictJson(Object.Payload);
  if (!Value)
    return std::nullopt;
  const Result<CatalogueObject> Read = CatalogueObject::fromJson(Value.value());
  return Read ? std::optional(Read.value()) : std::nullopt;
}

} // namespace

/// Executes an action or starts the coroutine that does.
struct ConfigurationService::ActionVisitor {
  ConfigurationService &Service;

  void operator()(const QueryVersion &Action) {
    Service.spawn(Service.queryVersion(Action.To));
  }
  void operator()(const PullConfiguration &Action) {
    Service.spawn(Service.pull(Action));
  }
  void operator()(const CheckPlatform &) {
    Service.spawn(Service.checkPlatform());
  }
  void operator()(const WatchPlatform &Action) {
    Service.Watching = Action.Watch;
    if (!Action.Watch)
      Service.Platform.stopWatch();
    else if (!Service.WatchLoopStarted)
      Service.spawn(Service.watchLoop());
    Service.WatchLoopStarted = Service.WatchLoopStarted || Action.Watch;
  }
};

ConfigurationService::ConfigurationService(const DaemonContext &Context,
                                           PlatformGateway &Platform,
                                           FleetSource Fleet,
                                           ChangeHandler OnChange)
    : Context(Context), Platform(Platform), Fleet(std::move(Fleet)),
      OnChange(std::move(OnChange)), Worker(Context.Workers.worker(0)),
      Timer(this->Worker),
      State(Context.hostName(), Context.Config.Host.FailureDomain,
            std::mt19937_64(std::random_device{}())) {}

void ConfigurationService::addMethods(RpcServer &Server) {
  Server.add("configuration.version",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               const std::lock_guard Guard(this->Lock);
               return toJson(this->State.report(
                   Params["failureDomain"].asString(), steadyNow()));
             });
}

void ConfigurationService::start() { this->spawn(this->tickLoop()); }

void ConfigurationService::stop() {
  this->Stopped = true;
  // The platform client may be used on this worker only.
  asio::post(this->Worker,
             [Self = this->shared_from_this()] { Self->Platform.stopWatch(); });
}

void ConfigurationService::spawn(asio::awaitable<void> Work) {
  asio::co_spawn(
      this->Worker,
      [](std::shared_ptr<ConfigurationService>,
         asio::awaitable<void> Inner) -> asio::awaitable<void> {
        co_await std::move(Inner);
      }(this->shared_from_this(), std::move(Work)),
      asio::detached);
}

asio::awaitable<void> ConfigurationService::tickLoop() {
  while (!this->Stopped) {
    std::vector<ConfigurationAction> Actions;
    {
      const std::lock_guard Guard(this->Lock);
      Actions = this->State.tick(steadyNow());
    }
    for (const ConfigurationAction &Action : Actions)
      std::visit(ActionVisitor{*this}, Action);
    this->refresh();
    co_await sleepUntil(steadyNow() + TickInterval);
  }
}

asio::awaitable<void> ConfigurationService::watchLoop() {
  while (!this->Stopped) {
    if (this->Watching) {
      Result<ObjectList> List =
          co_await this->Platform.listAll(steadyNow() + ListTimeout);
      if (List) {
        std::vector<ConfigurationObject> Objects;
        for (const CatalogueObject &Object : List.value().Objects)
          Objects.push_back(toConfiguration(Object, false));
        const std::uint64_t Version = List.value().Version;
        {
          const std::lock_guard Guard(this->Lock);
          this->State.onPlatformList(Version, std::move(Objects));
        }
        this->refresh();
        co_await this->Platform.watchAll(
            Version, [this](const PlatformChange &Change) {
              {
                const std::lock_guard Guard(this->Lock);
                if (Change.Bookmark)
                  this->State.onPlatformBookmark(Change.Object.Version);
                else
                  this->State.onPlatformChange(
                      toConfiguration(Change.Object, Change.Deleted));
              }
              this->refresh();
            });
      }
    }
    co_await sleepUntil(steadyNow() + WatchRetryDelay);
  }
}

asio::awaitable<void> ConfigurationService::queryVersion(std::string Host) {
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Peer = View->find(Host);
  if (!Peer)
    co_return;
  Json::Value Params(Json::objectValue);
  Params["failureDomain"] = this->Context.Config.Host.FailureDomain;
  const TimePoint SentAt = steadyNow();
  const auto Answer = co_await this->Context.Rpc.call(
      Peer->Peer, "configuration.version", Params, SentAt + QueryTimeout);
  if (!Answer)
    co_return;
  const Result<VersionReport> Report = versionReportFromJson(Answer.value());
  if (!Report)
    co_return;
  const std::lock_guard Guard(this->Lock);
  this->State.onVersionReport(Report.value(), SentAt, steadyNow());
}

asio::awaitable<void> ConfigurationService::pull(PullConfiguration Action) {
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Peer = View->find(Action.To);
  std::optional<PullAnswer> Answer;
  if (Peer) {
    Json::Value Body(Json::objectValue);
    Body["pull"] = toJson(Action.Message);
    Body["waitMs"] = Json::Value::Int64(Action.Wait.count());
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/v1/configuration/pull";
    Request.Body = writeCompactJson(Body);
    HttpClient Client(this->Worker.get_executor(), Peer->Peer);
    const Result<HttpResponse> Response = co_await Client.send(
        std::move(Request), steadyNow() + Action.Wait + PullTimeoutMargin);
    if (Response && Response.value().Status == 200) {
      const auto Value = parseStrictJson(Response.value().Body);
      const auto Read = Value ? pullAnswerFromJson(Value.value())
                              : Result<PullAnswer>(Value.error());
      if (Read)
        Answer = Read.value();
    }
  }
  {
    const std::lock_guard Guard(this->Lock);
    if (Answer)
      this->State.onPullAnswer(Action.To, *Answer, steadyNow());
    else
      this->State.onPullFailed(Action.To, steadyNow());
  }
  this->refresh();
}

asio::awaitable<HttpResponse>
ConfigurationService::handlePull(HttpRequest Request) {
  const Result<Json::Value> Body = parseStrictJson(Request.Body);
  if (!Body)
    co_return problemResponse(Body.error());
  const Result<PullRequest> Read = pullRequestFromJson(Body.value()["pull"]);
  if (!Read)
    co_return problemResponse(Read.error());
  const Json::Value &Wait = Body.value()["waitMs"];
  const milliseconds WaitLimit = std::min(
      milliseconds(Wait.isUInt64() ? Wait.asInt64() : 0),
      std::chrono::duration_cast<milliseconds>(ConfigurationState::PullWait));
  const TimePoint Until = steadyNow() + WaitLimit;
  while (true) {
    std::optional<PullAnswer> Answer;
    {
      const std::lock_guard Guard(this->Lock);
      Answer = this->State.answerPull(Read.value());
    }
    if (Answer) {
      HttpResponse Response;
      Response.Body = writeCompactJson(toJson(*Answer));
      co_return Response;
    }
    if (steadyNow() >= Until || this->Stopped)
      co_return problemResponse(
          failure(ErrorKind::NotFound, "no change to pull"));
    co_await sleepUntil(steadyNow() + PullCheckInterval);
  }
}

asio::awaitable<void> ConfigurationService::checkPlatform() {
  const TimePoint SentAt = steadyNow();
  const auto Version =
      co_await this->Platform.version(SentAt + PlatformTimeout);
  if (!Version)
    co_return;
  const std::lock_guard Guard(this->Lock);
  this->State.onPlatformVersion(Version.value(), SentAt, steadyNow());
}

// Builds a new snapshot only if an object has changed: bookmarks increase the
// version every second without any change.
void ConfigurationService::refresh() {
  SnapshotPointer Changed;
  {
    const std::lock_guard Guard(this->Lock);
    if (!this->State.isUsable())
      return;
    std::uint64_t Newest = 0;
    const auto &Objects = this->State.store().objects();
    for (const auto &[Name, Object] : Objects)
      Newest = std::max(Newest, Object.Version);
    if (this->Current && Newest == this->NewestObjectVersion &&
        Objects.size() == this->ObjectCount)
      return;
    this->NewestObjectVersion = Newest;
    this->ObjectCount = Objects.size();
    ObjectList List;
    List.Version = this->State.version();
    for (const auto &[Name, Object] : Objects)
      if (auto Read = toCatalogue(Object))
        List.Objects.push_back(std::move(*Read));
    this->Builder.replaceAll(List);
    this->Current = this->Builder.build();
    for (const CatalogueFault &Fault : this->Builder.faults())
      logWarn("configuration: " + std::string(pluralName(Fault.Kind)) + "/" +
              Fault.Name + " version " + std::to_string(Fault.Version) +
              " is not in force: " + Fault.Detail);
    Changed = this->Current;
  }
  logInfo("configuration version " + std::to_string(Changed->version()) +
          " is in force");
  this->OnChange(Changed);
}

void ConfigurationService::setFleet(const FleetPointer &View) {
  std::set<std::string> Domains(View->domains().begin(), View->domains().end());
  const std::lock_guard Guard(this->Lock);
  if (this->Current) {
    for (const auto &[Name, Each] : this->Current->hosts())
      Domains.insert(Each->FailureDomain);
    if (const HostSet *Set = this->Current->hostSet())
      for (const HostSetMember &Each : Set->Members)
        Domains.insert(Each.FailureDomain);
  }
  this->State.setHosts(View->hosts(), std::move(Domains));
}

void ConfigurationService::recordPeerVersion(const std::string &Host,
                                             std::uint64_t Version) {
  const std::lock_guard Guard(this->Lock);
  this->State.onPeerVersion(Host, Version);
}

std::uint64_t ConfigurationService::version() const {
  const std::lock_guard Guard(this->Lock);
  return this->State.version();
}

SnapshotPointer ConfigurationService::snapshot() const {
  const std::lock_guard Guard(this->Lock);
  return this->Current;
}

bool ConfigurationService::mayAcceptKeys(TimePoint Now) const {
  const std::lock_guard Guard(this->Lock);
  return this->State.mayAcceptKeys(Now);
}

std::vector<CatalogueFault> ConfigurationService::faults() const {
  const std::lock_guard Guard(this->Lock);
  return this->Builder.faults();
}

} // namespace lavenderdale
