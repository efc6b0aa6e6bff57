#include "sessionproxy.h"

#include "base/strictjson.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

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
            this->Settings.Tolerance,
            MemoryBudget::limitsFor(this->Settings.MemoryBytes,
                                    this->Settings.Descriptors)),
      Statements(this->State.access(), this->State.metrics()),
      Server(std::make_shared<SessionServer>(
          this->Executor, this->State, this->Statements, Dependencies.Callers)),
      Follower(std::make_shared<StoreFollower>(
          this->Executor, Dependencies.Store, this->State, Dependencies.Records,
          toString(this->Settings.Reports))),
      Fleet(std::make_shared<ReportExchange>(
          this->Executor, this->State, Dependencies.Records,
          this->Settings.Reports, this->Settings.Internal, CataloguePath)),
      Relays(std::make_shared<RelayServer>(this->Executor, this->State)),
      Promotions(std::make_shared<PromotionCoordinator>(
          this->Executor, Dependencies.Store, Dependencies.Authority,
          this->State)),
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
  this->Follower->stop();
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
  }
}

asio::awaitable<HttpResponse>
SessionProxy::answerReadiness(HttpRequest Request) {
  HttpResponse Response;
  const bool Ready = this->State.canServe() && !this->Stopping;
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
  if (Request.Target == CataloguePath && this->State.catalogue()) {
    Response.Body = writeCompactJson(this->State.catalogue()->Document);
    co_return Response;
  }
  Response.Status = 404;
  co_return Response;
}

} // namespace lavenderdale
