#pragma once

#include "catalogue/snapshotbuilder.h"
#include "configurationsource.h"
#include "daemoncontext.h"
#include "distribution/configurationstate.h"
#include "fleetview.h"
#include "http/httpmessage.h"
#include "platformgateway.h"
#include "rpc/rpcserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace lavenderdale {

/// Keeps the configuration of this host current: from the platform if this
/// host is a relay of its failure domain, otherwise from peers.
class ConfigurationService
    : public ConfigurationSource,
      public std::enable_shared_from_this<ConfigurationService> {
public:
  using FleetSource = std::function<FleetPointer()>;
  using ChangeHandler = std::function<void(const SnapshotPointer &)>;

  ConfigurationService(const DaemonContext &Context, PlatformGateway &Platform,
                       FleetSource Fleet, ChangeHandler OnChange);

  /// Registers "configuration.version".
  void addMethods(RpcServer &Server);

  void start();
  void stop();

  /// Handles POST /v1/configuration/pull of a peer, which may wait for a
  /// change. It is HTTP and not JSON-RPC, since a JSON-RPC call would occupy a
  /// thread while it waits.
  boost::asio::awaitable<HttpResponse> handlePull(HttpRequest Request);

  /// Takes the hosts that can be asked.
  void setFleet(const FleetPointer &Fleet);

  /// Takes a version that a peer was seen with.
  void peerVersion(const std::string &Host, std::uint64_t Version);

  std::uint64_t version() const;

  /// \name ConfigurationSource
  /// @{
  SnapshotPointer snapshot() const override;
  bool mayServeKeyed(TimePoint Now) const override;
  /// @}

  /// Objects whose newest version is invalid and not in force.
  std::vector<CatalogueFault> faults() const;

private:
  struct Performer;

  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> watchLoop();
  boost::asio::awaitable<void> queryVersion(std::string Host);
  boost::asio::awaitable<void> pull(PullConfiguration Action);
  boost::asio::awaitable<void> checkPlatform();
  void spawn(boost::asio::awaitable<void> Work);
  void refresh();

  const DaemonContext &Context;
  PlatformGateway &Platform;
  FleetSource Fleet;
  ChangeHandler OnChange;
  boost::asio::io_context &Home;
  boost::asio::steady_timer Timer;

  mutable std::mutex Lock;
  ConfigurationState State;
  SnapshotBuilder Builder;
  SnapshotPointer Current;
  std::uint64_t NewestObject = 0; ///< Of the current snapshot.
  std::size_t ObjectCount = 0;
  bool Watching = false;
  bool WatchLoopRuns = false;
  std::atomic<bool> Stopped{false};
};

} // namespace lavenderdale
