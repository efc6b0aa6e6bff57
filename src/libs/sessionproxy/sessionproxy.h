#pragma once

#include "fleetlink.h"
#include "http/httpserver.h"
#include "objectstore.h"
#include "promotionduty.h"
#include "proxystate.h"
#include "recorddecoder.h"
#include "relayserver.h"
#include "sessionserver.h"
#include "storefollower.h"

#include <chrono>
#include <memory>
#include <string>

namespace lavenderdale {

/// Where a session proxy listens, and who it is.
struct SessionProxySettings {
  ProxyIdentity Identity;
  Endpoint Callers;
  Endpoint Readiness;
  std::string ReadinessPath;
  Endpoint Reports;  ///< Between hosts: reports (UDP), relayed work (TCP).
  Endpoint Internal; ///< HTTP: catalogue for other hosts, metrics.
  std::chrono::milliseconds StopGrace{}; ///< From SIGTERM to the end.
};

/// The outside systems of a session proxy.
struct SessionProxyParts {
  ObjectStore &Store;
  PromotionAuthority &Authority;
  const CallerProtocol &Callers;
  const UpstreamProtocol &Upstreams;
  const RecordDecoder &Records;
};

/// All parts of one host's session proxy. Everything runs on the first worker.
class SessionProxy {
public:
  /// The balancer takes a host out after two missed answers, one a second.
  static constexpr std::chrono::milliseconds LeaveRotation{2300};
  /// Time left at the end of the grace to exit.
  static constexpr std::chrono::milliseconds ExitReserve{600};
  /// Statements that have not reached an upstream by then are refused; those
  /// that have may take until the exit.
  static constexpr std::chrono::milliseconds WaitingReserve{800};
  static constexpr const char *CataloguePath = "/catalogue";
  static constexpr const char *MetricsPath = "/metrics";

  SessionProxy(WorkerPool &Workers, SessionProxySettings Settings,
               SessionProxyParts Parts);

  /// Errors: Unavailable if a port cannot be bound.
  Result<void> start();

  /// Stops as planned: leaves the rotation, lets statements and transactions
  /// end, closes idle sessions.
  boost::asio::awaitable<void> stop();

private:
  boost::asio::awaitable<HttpResponse> answerReadiness(HttpRequest Request);
  boost::asio::awaitable<HttpResponse> answerInternal(HttpRequest Request);
  boost::asio::awaitable<void> watchDirectory();
  boost::asio::awaitable<void> waitForSessions(TimePoint Until);

  boost::asio::any_io_executor Executor;
  const SessionProxySettings Settings;
  ProxyState State;
  StatementExecutor Statements;
  std::shared_ptr<SessionServer> Server;
  std::shared_ptr<StoreFollower> Follower;
  std::shared_ptr<FleetLink> Fleet;
  std::shared_ptr<RelayServer> Relays;
  std::shared_ptr<PromotionDuty> Duty;
  HttpServer ReadinessServer;
  HttpServer InternalServer;
  bool Stopping = false;
};

} // namespace lavenderdale
