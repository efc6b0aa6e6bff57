#include "daemon.h"

#include "base/softassert.h"
#include "base/strictjson.h"
#include "configurationservice.h"
#include "daemoncontext.h"
#include "entry.h"
#include "executor.h"
#include "groupdirectory.h"
#include "http/httpserver.h"
#include "http/sleepuntil.h"
#include "membershipservice.h"
#include "platformaccess.h"
#include "platformstatusstore.h"
#include "rateservice.h"
#include "rpc/rpcserver.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <thread>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Each call to a peer blocks a thread; few calls are pending at a time.
constexpr std::size_t RpcThreads = 12;
constexpr milliseconds StopPollInterval{20};
// Covers the handover wait of rate owners and the time to learn the host set.
constexpr milliseconds RateReadyWait{1500};
// Peers keep connections open longer than callers do.
constexpr milliseconds PeerIdleTimeout{120000};

Endpoint endpointOf(const IpEndpoint &Where) {
  return {Where.Address, Where.Port};
}

std::vector<Endpoint> endpointsOf(const std::vector<IpEndpoint> &List) {
  std::vector<Endpoint> Endpoints;
  Endpoints.reserve(List.size());
  for (const IpEndpoint &Each : List)
    Endpoints.push_back(endpointOf(Each));
  return Endpoints;
}

// Room for at least one request of the largest size.
std::size_t receivingLimit(std::uint64_t Declared, std::uint64_t MaxBodyBytes) {
  constexpr std::uint64_t Default = std::uint64_t{256} << 20U;
  constexpr std::uint64_t LargestAtOnce = 16;
  return Declared > 0 ? std::max(Declared, MaxBodyBytes)
                      : std::max(Default, LargestAtOnce * MaxBodyBytes);
}

HttpServerLimits callerLimits(const Settings &Config) {
  HttpServerLimits Limits;
  Limits.MaxConnections = Config.Limits.MaxConnections;
  Limits.MaxBodyBytes = Config.Limits.MaxRequestBytes;
  Limits.MaxReceivingBytes =
      receivingLimit(Config.Limits.MaxReceivingBytes, Limits.MaxBodyBytes);
  Limits.IdleTimeout = Config.Limits.IdleTimeout;
  Limits.ReceiveTimeout = Config.Limits.HeaderTimeout;
  return Limits;
}

HttpServerLimits peerLimits(const Settings &Config) {
  HttpServerLimits Limits;
  // A forwarded request wraps the caller's request in additional JSON members.
  Limits.MaxBodyBytes = 2 * Config.Limits.MaxRequestBytes + 65536;
  Limits.MaxReceivingBytes =
      receivingLimit(2 * Config.Limits.MaxReceivingBytes, Limits.MaxBodyBytes);
  Limits.IdleTimeout = PeerIdleTimeout;
  return Limits;
}

// Requests of operators and monitoring have short bodies.
HttpServerLimits adminLimits() {
  HttpServerLimits Limits;
  Limits.MaxReceivingBytes = std::size_t{4} << 20;
  return Limits;
}

HttpResponse textResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.ContentType = "text/plain; charset=utf-8";
  Response.Body = std::move(Body);
  return Response;
}

void logExperiment(const ExperimentSettings &Experiment) {
  if (Experiment == ExperimentSettings())
    return;
  logWarn("policies for measurements are in use: queue " + Experiment.Queue +
          ", reads " + Experiment.Reads + ", suspect_after_ms " +
          std::to_string(Experiment.SuspectAfter.count()));
}

std::vector<CountedRate> ratesOf(const CatalogueSnapshot &Snapshot) {
  std::vector<CountedRate> Rates;
  const auto Whole = [](double Value) {
    return static_cast<std::uint32_t>(std::max(1.0, Value));
  };
  for (const auto &[Name, Each] : Snapshot.workspaces())
    Rates.push_back(
        {"workspace/" + Name, {Whole(Each->Rate), Whole(Each->Burst)}});
  for (const auto &[Name, Each] : Snapshot.routes())
    if (Each->Limits.Rate)
      Rates.push_back(
          {"route/" + Name,
           {Whole(*Each->Limits.Rate),
            Whole(Each->Limits.Burst.value_or(*Each->Limits.Rate))}});
  return Rates;
}

} // namespace

class Daemon::Private {
public:
  explicit Private(Settings Wanted)
      : Config(std::move(Wanted)), Workers(Config.Threads.Workers),
        Rpc(RpcThreads), Context{Config, Workers, Metrics, Rpc, nullptr},
        Platform(Workers.worker(0), endpointsOf(Config.Platform.Endpoints)),
        Statuses(Workers.worker(0), Platform), Groups(Context, Statuses, Views),
        Rates(std::make_shared<RateService>(
            Context, [this] { return this->Members->rateFleet(); },
            [this](const std::string &Name) {
              return this->Members->mayGrant(Name);
            })),
        Members(std::make_shared<MembershipService>(
            Context, Platform,
            endpointOf(
                Config.Listen.AdvertisedPeers.value_or(Config.Listen.Peers)),
            MembershipService::Listeners{
                [this] { this->fleetChanged(); },
                [this](TimePoint Until) { this->Rates->renewLease(Until); },
                [this](const std::string &Host, std::uint64_t Version) {
                  this->Configuration->recordPeerVersion(Host, Version);
                }})),
        Configuration(std::make_shared<ConfigurationService>(
            Context, Platform, [this] { return this->Members->liveFleet(); },
            [this](const SnapshotPointer &Snapshot) {
              this->configurationChanged(Snapshot);
            })),
        RequestExecutor(Context, Groups,
                        [this] { return this->Members->liveFleet(); }),
        CallerEntry(
            Context, *Configuration, *Rates, Views, RequestExecutor,
            [this] { return this->Members->liveFleet(); },
            [this](std::string Group) -> asio::awaitable<void> {
              return this->Groups.refreshView(std::move(Group));
            }),
        CallerServer(Workers, callerLimits(Config),
                     [this](HttpRequest Request) {
                       return this->CallerEntry.handle(std::move(Request));
                     }),
        PeerServer(Workers, peerLimits(Config),
                   [this](HttpRequest Request) {
                     return this->handlePeer(std::move(Request));
                   }),
        AdminServer(Workers, adminLimits(), [this](HttpRequest Request) {
          return this->handleAdmin(std::move(Request));
        }) {}

  Result<void> start() {
    if (!this->Config.Traces.File.empty()) {
      BOOST_OUTCOME_TRY(this->Spans, SpanWriter::open(this->Config.Traces.File,
                                                      this->Config.Host.Name));
      this->Context.Spans = this->Spans.get();
    }
    this->Members->addMethods(this->Methods);
    this->Configuration->addMethods(this->Methods);
    this->Groups.addMethods(this->Methods);
    this->Rates->addMethods(this->Methods);
    BOOST_OUTCOME_TRYV(
        this->PeerServer.listen(endpointOf(this->Config.Listen.Peers)));
    BOOST_OUTCOME_TRYV(
        this->AdminServer.listen(endpointOf(this->Config.Listen.Admin)));
    BOOST_OUTCOME_TRYV(
        this->CallerServer.listen(endpointOf(this->Config.Listen.Clients)));
    this->Configuration->setFleet(this->Members->liveFleet());
    this->Members->start();
    this->Configuration->start();
    asio::co_spawn(this->Workers.worker(0), this->reportRefusedBodies(),
                   asio::detached);
    this->Workers.start();
    logInfo("started in failure domain " + this->Config.Host.FailureDomain);
    logExperiment(this->Config.Experiment);
    return success();
  }

  bool stop() {
    logInfo("stopping: waiting for requests in flight and open transactions");
    this->Stopping = true;
    const TimePoint Limit = steadyNow() + this->Config.Timeouts.StopLimit;
    this->Members->leave();
    this->CallerServer.closeAfterResponses();
    std::this_thread::sleep_for(std::min(this->Config.Timeouts.StopGrace,
                                         this->Config.Timeouts.StopLimit));
    this->CallerServer.closeIdle();
    bool Ended = false;
    while (!Ended && steadyNow() < Limit) {
      Ended = this->CallerServer.isDrained() &&
              this->PeerServer.requestsInFlight() == 0 &&
              this->Groups.transactions() == 0;
      if (!Ended)
        std::this_thread::sleep_for(StopPollInterval);
    }
    const std::string Remaining =
        std::to_string(this->CallerServer.connections()) +
        " caller connections, " +
        std::to_string(this->PeerServer.requestsInFlight()) +
        " requests from peers, " + std::to_string(this->Groups.transactions()) +
        " transactions";
    this->shutDown();
    logInfo(Ended ? "stopped"
                  : "stop limit reached; work left unfinished: " + Remaining);
    return Ended;
  }

  void shutDown() {
    this->Members->stop();
    this->Configuration->stop();
    this->Groups.stop();
    this->Workers.stop();
    this->Rpc.stop();
  }

private:
  asio::awaitable<HttpResponse> handlePeer(HttpRequest Request) {
    if (Request.Target == "/healthz")
      co_return textResponse(200, "ok\n");
    if (Request.Target == "/v1/forward")
      co_return co_await this->RequestExecutor.handleForwarded(
          std::move(Request));
    if (Request.Target == "/v1/configuration/pull")
      co_return co_await this->Configuration->handlePull(std::move(Request));
    if (Request.Target == "/rpc") {
      HttpResponse Response;
      Response.Body = this->Methods.handle(Request.Body);
      co_return Response;
    }
    co_return problemResponse(failure(ErrorKind::NotFound, Request.Target));
  }

  asio::awaitable<HttpResponse> handleAdmin(HttpRequest Request) {
    if (Request.Target == "/healthz")
      co_return textResponse(200, "ok\n");
    if (Request.Target == "/readyz")
      co_return this->isReady() ? textResponse(200, "ready\n")
                                : textResponse(503, "not ready\n");
    if (Request.Target == "/metrics")
      co_return textResponse(200, this->exposition());
    if (Request.Target == "/status")
      co_return this->statusResponse();
    co_return problemResponse(failure(ErrorKind::NotFound, Request.Target));
  }

  // Until ReadyFrom, the rate owners of a new fleet may still be in their
  // handover wait, in which they grant no tokens.
  bool isReady() const {
    return !this->Stopping && this->Configuration->snapshot() != nullptr &&
           steadyNow() >= this->ReadyFrom.load();
  }

  // Instead of one line for each refusal.
  asio::awaitable<void> reportRefusedBodies() {
    constexpr std::chrono::milliseconds Interval{1000};
    std::uint64_t Reported = 0;
    while (!this->Stopping) {
      co_await sleepUntil(steadyNow() + Interval);
      const std::uint64_t Refused = this->CallerServer.refusedBodies();
      if (Refused != Reported)
        logWarn("refused " + std::to_string(Refused - Reported) +
                " requests of callers: bodies being received take " +
                std::to_string(this->CallerServer.receivingBytes()) +
                " bytes, see limits.max_receiving_bytes");
      Reported = Refused;
    }
  }

  std::string exposition() {
    this->Metrics
        .gauge("lavenderdale_caller_connections", "Open caller connections")
        .set(static_cast<std::int64_t>(this->CallerServer.connections()));
    this->Metrics
        .gauge("lavenderdale_receiving_bytes",
               "Counted bodies of callers that are received or worked on")
        .set(static_cast<std::int64_t>(this->CallerServer.receivingBytes()));
    this->Metrics
        .gauge("lavenderdale_refused_bodies",
               "Requests of callers refused for limits.max_receiving_bytes")
        .set(static_cast<std::int64_t>(this->CallerServer.refusedBodies()));
    this->Metrics
        .gauge("lavenderdale_configuration_version",
               "Version of the configuration in force")
        .set(static_cast<std::int64_t>(this->Configuration->version()));
    this->Metrics
        .gauge("lavenderdale_configuration_usable_keys",
               "1 if keys are accepted on all routes")
        .set(this->Configuration->mayAcceptKeys(steadyNow()) ? 1 : 0);
    this->Metrics
        .gauge("lavenderdale_soft_assert_failures",
               "Internal checks that failed")
        .set(static_cast<std::int64_t>(softAssertFailures()));
    return this->Metrics.exposition();
  }

  HttpResponse statusResponse() const {
    Json::Value Status(Json::objectValue);
    Status["host"] = this->Config.Host.Name;
    Status["failureDomain"] = this->Config.Host.FailureDomain;
    Status["configurationVersion"] =
        Json::Value::UInt64(this->Configuration->version());
    Status["acceptsKeys"] = this->Configuration->mayAcceptKeys(steadyNow());
    Status["stopping"] = this->Stopping.load();
    const FleetPointer Fleet = this->Members->liveFleet();
    Status["hostSetEpoch"] = Json::Value::UInt64(Fleet->epoch());
    Status["liveHosts"] = Json::Value(Json::arrayValue);
    for (const PlacementHost &Host : Fleet->hosts())
      Status["liveHosts"].append(Host.Name);
    Status["faults"] = Json::Value(Json::arrayValue);
    for (const CatalogueFault &Fault : this->Configuration->faults())
      Status["faults"].append(std::string(pluralName(Fault.Kind)) + "/" +
                              Fault.Name + ": " + Fault.Detail);
    HttpResponse Response;
    Response.Body = writeCompactJson(Status);
    return Response;
  }

  void configurationChanged(const SnapshotPointer &Snapshot) {
    this->Members->configure(Snapshot, Snapshot->version());
    this->fleetChanged();
  }

  void fleetChanged() {
    const FleetPointer Fleet = this->Members->liveFleet();
    this->Configuration->setFleet(Fleet);
    const SnapshotPointer Snapshot = this->Configuration->snapshot();
    if (!Snapshot)
      return;
    if (this->Members->rateFleet()->epoch() > 0 &&
        this->ReadyFrom.load() == TimePoint::max())
      this->ReadyFrom = steadyNow() + RateReadyWait;
    this->Groups.reconcile(Snapshot, Fleet);
    this->Rates->configure(ratesOf(*Snapshot));
  }

  Settings Config;
  MetricsRegistry Metrics;
  WorkerPool Workers;
  RpcClient Rpc;
  std::unique_ptr<SpanWriter> Spans;
  DaemonContext Context;
  PlatformAccess Platform;
  PlatformStatusStore Statuses;
  GroupViews Views;
  GroupDirectory Groups;
  std::shared_ptr<RateService> Rates;
  std::shared_ptr<MembershipService> Members;
  std::shared_ptr<ConfigurationService> Configuration;
  Executor RequestExecutor;
  Entry CallerEntry;
  RpcServer Methods;
  HttpServer CallerServer;
  HttpServer PeerServer;
  HttpServer AdminServer;
  std::atomic<bool> Stopping{false};
  std::atomic<TimePoint> ReadyFrom{TimePoint::max()};
};

Daemon::Daemon(Settings Config)
    : P(std::make_unique<Private>(std::move(Config))) {}

Daemon::~Daemon() { this->P->shutDown(); }

Result<void> Daemon::start() { return this->P->start(); }

bool Daemon::stop() { return this->P->stop(); }

} // namespace lavenderdale
