#pragma once

#include "failover/domainisolation.h"
#include "http/httpserver.h"
#include "memberrecords.h"
#include "objectstore.h"
#include "promotioncoordinator.h"
#include "proxystate.h"
#include "recorddecoder.h"
#include "relayserver.h"
#include "reportexchange.h"
#include "sessionserver.h"
#include "sharedstore.h"
#include "storefollower.h"

#include <chrono>
#include <memory>
#include <string>

namespace lavenderdale {

/// Identity and addresses of a session proxy.
struct SessionProxySettings {
  ProxyIdentity Identity;
  Endpoint Callers;
  Endpoint Readiness;
  std::string ReadinessPath;
  Endpoint Reports;  ///< For other hosts: reports (UDP), relayed work (TCP).
  Endpoint Internal; ///< HTTP: metrics, catalogue for other hosts.
  std::chrono::milliseconds StopGrace{}; ///< From SIGTERM to the exit.
  RateTolerance Tolerance;
  /// Time from the order to evacuate a failure domain until nothing more is
  /// sent to its upstreams; 0 if the deployment has no such orders.
  std::chrono::milliseconds EvacuationBound{};
  std::size_t MemoryBytes = 0; ///< Of the host; 0 if not declared.
  std::size_t Descriptors = 0; ///< Of the host; 0 if not declared.
  ColdTolerance ColdUpstreams;
};

/// External systems and codecs that a session proxy uses.
struct SessionProxyDependencies {
  ObjectStore &Store;
  PromotionAuthority &Authority;
  const CallerProtocol &Callers;
  const UpstreamProtocol &Upstreams;
  const RecordDecoder &Records;
};

/// The session proxy of one host. All of it runs on the first worker.
class SessionProxy {
public:
  /// Time between failing the readiness check and closing sessions. The load
  /// balancer removes a host after two failed checks, one second apart.
  static constexpr std::chrono::milliseconds ReadinessDrainTime{2300};
  /// Part of the grace period that is kept for the exit.
  static constexpr std::chrono::milliseconds ExitReserve{600};
  /// Time before the exit at which statements that still wait for an upstream
  /// are refused. Those that have reached one may run until the exit.
  static constexpr std::chrono::milliseconds RunningStatementsReserve{800};
  static constexpr const char *CataloguePath = "/catalogue";
  static constexpr const char *MetricsPath = "/metrics";
  static constexpr const char *EvacuationPath = "/evacuated-domains";

  SessionProxy(WorkerPool &Workers, SessionProxySettings Settings,
               SessionProxyDependencies Dependencies);

  /// Listens on all endpoints and starts the background tasks.
  /// Errors: Unavailable if a port cannot be bound.
  Result<void> start();

  /// Shuts down gracefully: fails the readiness check, closes idle sessions,
  /// then lets statements and transactions finish within the grace period.
  boost::asio::awaitable<void> stop();

private:
  boost::asio::awaitable<HttpResponse> answerReadiness(HttpRequest Request);
  boost::asio::awaitable<HttpResponse> answerInternal(HttpRequest Request);
  boost::asio::awaitable<void> supervise();
  void checkIsolation(TimePoint Now);
  boost::asio::awaitable<void> waitForSessions(TimePoint Until);

  boost::asio::any_io_executor Executor;
  const SessionProxySettings Settings;
  ProxyState State;
  StatementExecutor Statements;
  std::shared_ptr<SessionServer> Server;
  SharedStore Store;
  std::shared_ptr<StoreFollower> Follower;
  std::shared_ptr<ReportExchange> Fleet;
  std::shared_ptr<RelayServer> Relays;
  std::shared_ptr<MemberRecords> Members;
  std::shared_ptr<PromotionCoordinator> Promotions;
  HttpServer ReadinessServer;
  HttpServer InternalServer;
  DomainIsolation Isolation;
  bool Isolated = false; ///< As last logged.
  bool Stopping = false;
  bool Stopped = false; ///< Nothing is served any more.
};

} // namespace lavenderdale
