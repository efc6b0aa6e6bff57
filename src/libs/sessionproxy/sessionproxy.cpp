#include "sessionproxy.h"

#include "base/strictjson.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

Json::Value describeEvacuation(ProxyState &State) {
  Json::Value Description;
  const std::optional<EvacuationSet> &Set =
      State.access().evacuations().current();
  Description["enabled"] = State.access().evacuations().enabled();
  if (Set)
    Description["revision"] = Json::UInt64(Set->Revision);
  Description["domains"] = Json::Value(Json::arrayValue);
  for (const ProxyState::EvacuationProgress &Each :
       State.evacuationProgress()) {
    Json::Value Domain;
    Domain["name"] = Each.Domain;
    Domain["since-revision"] = Json::UInt64(Each.Revision);
    Domain["upstreams"] = Json::UInt64(Each.Upstreams);
    Domain["connections"] = Json::UInt64(Each.Connections);
    Description["domains"].append(std::move(Domain));
  }
  return Description;
}

// For listeners whose requests have no body and are answered at once. A faulty
// peer that fills them with idle connections keeps nobody out.
HttpServerLimits shortRequestLimits() {
  HttpServerLimits Limits;
  Limits.MaxConnections = 64;
  Limits.MaxHeaderBytes = 8192;
  Limits.MaxBodyBytes = 4096;
  Limits.ReceiveTimeout = std::chrono::milliseconds(3000);
  Limits.ReplaceOldest = true;
  return Limits;
}

// Other hosts fetch catalogues here, all of a large fleet at the same time.
HttpServerLimits internalLimits() {
  HttpServerLimits Limits = shortRequestLimits();
  Limits.MaxConnections = 512;
  return Limits;
}

} // namespace

SessionProxy::SessionProxy(WorkerPool &Workers, SessionProxySettings Settings,
                           SessionProxyDependencies Dependencies)
    : Executor(Workers.worker(0).get_executor()), Settings(std::move(Settings)),
      State(this->Executor, Dependencies.Upstreams, this->Settings.Identity,
            this->Settings.Tolerance, this->Settings.EvacuationBound,
            this->Settings.ColdUpstreams,
            MemoryBudget::limitsFor(this->Settings.MemoryBytes,
                                    this->Settings.Descriptors)),
      Statements(this->State.access(), this->State.metrics()),
      Server(std::make_shared<SessionServer>(
          this->Executor, this->State, this->Statements, Dependencies.Callers)),
      Store(this->Executor, Dependencies.Store, this->State.fleet(),
            {this->Settings.Identity.Host,
             this->Settings.Identity.FailureDomain,
             this->Settings.Identity.Capacity},
            std::random_device{}(), this->State.metrics()),
      Follower(std::make_shared<StoreFollower>(
          this->Executor, this->Store, this->State, Dependencies.Records,
          this->Settings.Reports, this->Settings.Internal)),
      Fleet(std::make_shared<ReportExchange>(
          this->Executor, this->State, Dependencies.Records,
          this->Settings.Reports, this->Settings.Internal, CataloguePath)),
      Relays(std::make_shared<RelayServer>(this->Executor, this->State)),
      Members(std::make_shared<MemberRecords>(this->Executor, this->Store,
                                              this->State)),
      Promotions(std::make_shared<PromotionCoordinator>(
          this->Executor, this->Store, Dependencies.Authority, this->State,
          *this->Members)),
      ReadinessServer(Workers, shortRequestLimits(),
                      [this](HttpRequest Request) {
                        return this->answerReadiness(std::move(Request));
                      }),
      InternalServer(Workers, internalLimits(), [this](HttpRequest Request) {
        return this->answerInternal(std::move(Request));
      }) {}

Result<void> SessionProxy::start() {
  BOOST_OUTCOME_TRY(this->ReadinessServer.listen(this->Settings.Readiness));
  BOOST_OUTCOME_TRY(this->InternalServer.listen(this->Settings.Internal));
  BOOST_OUTCOME_TRY(this->Relays->listen(this->Settings.Reports));
  BOOST_OUTCOME_TRY(this->Fleet->start());
  BOOST_OUTCOME_TRY(this->Server->listen(this->Settings.Callers));
  this->Follower->start();
  this->Members->start();
  this->Promotions->start();
  asio::co_spawn(this->Executor, this->supervise(), asio::detached);
  logInfo("event=started callers=" + toString(this->Settings.Callers) +
          " domain=" + this->Settings.Identity.FailureDomain);
  return success();
}

asio::awaitable<void> SessionProxy::waitForSessions(TimePoint Until) {
  constexpr std::chrono::milliseconds PollInterval{50};
  while (this->Server->sessions() + this->Relays->active() > 0 &&
         steadyNow() < Until)
    co_await sleepUntil(steadyNow() + PollInterval);
}

asio::awaitable<void> SessionProxy::stop() {
  const TimePoint Start = steadyNow();
  const TimePoint End = Start + this->Settings.StopGrace - ExitReserve;
  this->Stopping = true;
  logInfo("event=stopping sessions=" +
          std::to_string(this->Server->sessions()));
  this->Promotions->stop();
  this->Members->stop();
  this->Follower->stop();
  this->Store.stop();
  this->Fleet->leave();
  asio::co_spawn(this->Executor, this->Follower->unregister(), asio::detached);
  co_await sleepUntil(Start + ReadinessDrainTime);
  this->Server->closeIdle();
  co_await this->waitForSessions(Start + this->Settings.StopGrace / 2);
  if (this->Server->sessions() > 0)
    logInfo("event=stop_ends_transactions sessions=" +
            std::to_string(this->Server->sessions()));
  this->Server->endTransactions();
  co_await this->waitForSessions(End - RunningStatementsReserve);
  this->Server->stopWaiting();
  co_await this->waitForSessions(End);
  this->Stopped = true;
  this->Relays->stop();
  this->Fleet->stop();
  this->State.stop();
  logInfo("event=stopped sessions=" + std::to_string(this->Server->sessions()));
}

asio::awaitable<void> SessionProxy::supervise() {
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + ProxyGroup::ProbeInterval);
    this->State.supervise(steadyNow());
    this->Fleet->checkSuspectDomains();
    this->checkIsolation(steadyNow());
  }
}

void SessionProxy::checkIsolation(TimePoint Now) {
  this->Isolation.update(this->State.access().otherDomainsSilent(Now), Now);
  const bool NowIsolated = this->Isolation.isIsolated(Now);
  if (NowIsolated != this->Isolated)
    logWarn(std::string("event=") +
            (NowIsolated ? "domain_isolated" : "domain_reconnected") +
            " domain=" + this->State.identity().FailureDomain +
            " sessions=" + std::to_string(this->Server->sessions()));
  this->Isolated = NowIsolated;
  this->State.metrics().Isolated.set(NowIsolated ? 1 : 0);
  if (!this->Stopping && this->Isolation.takeMoveSessions(Now))
    this->Server->moveSessions();
}

asio::awaitable<HttpResponse>
SessionProxy::answerReadiness(HttpRequest Request) {
  HttpResponse Response;
  const bool Ready =
      this->State.canServe() && !this->Stopping && !this->Isolated;
  Response.Status = Ready ? 200 : 503;
  if (Request.Target != this->Settings.ReadinessPath)
    Response.Status = 404;
  co_return Response;
}

asio::awaitable<HttpResponse>
SessionProxy::answerInternal(HttpRequest Request) {
  HttpResponse Response;
  if (Request.Target == MetricsPath) {
    Response.ContentType = "text/plain; version=0.0.4";
    this->State.updateGauges();
    this->State.metrics().OpenSessions.set(
        static_cast<std::int64_t>(this->Server->sessions()));
    Response.Body = this->State.metrics().exposition();
    co_return Response;
  }
  if (Request.Target == EvacuationPath) {
    Response.Body = writeCompactJson(describeEvacuation(this->State));
    co_return Response;
  }
  if (Request.Target == CataloguePath && this->State.catalogue()) {
    Response.Body = writeCompactJson(this->State.catalogue()->Document);
    co_return Response;
  }
  if (Request.Target.starts_with(SharedStorePath))
    co_return co_await this->Store.answer(std::move(Request.Target));
  Response.Status = 404;
  co_return Response;
}

} // namespace lavenderdale
