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

/// Keeps the configuration of this host up to date: from the platform if this
/// host is a relay of its failure domain, otherwise from peers.
class ConfigurationService
    : public ConfigurationSource,
      public std::enable_shared_from_this<ConfigurationService> {
public:
  using FleetSource = std::function<FleetPointer()>;
  using ChangeHandler = std::function<void(const SnapshotPointer &)>;

  ConfigurationService(const DaemonContext &Context, PlatformGateway &Platform,
                       FleetSource Fleet, ChangeHandler OnChange);

  /// Registers the RPC method "configuration.version".
  void addMethods(RpcServer &Server);

  /// Starts querying peers and the platform.
  void start();

  /// Ends all queries and the watch of the platform.
  void stop();

  /// Handles POST /v1/configuration/pull from a peer, which may wait for a
  /// change. The endpoint uses plain HTTP because a waiting JSON-RPC call would
  /// occupy a thread.
  boost::asio::awaitable<HttpResponse> handlePull(HttpRequest Request);

  /// Sets the hosts that can be queried.
  void setFleet(const FleetPointer &Fleet);

  /// Records the configuration version that a peer reported.
  void recordPeerVersion(const std::string &Host, std::uint64_t Version);

  /// \returns the configuration version of this host.
  std::uint64_t version() const;

  /// \name ConfigurationSource
  /// @{
  SnapshotPointer snapshot() const override;
  bool mayAcceptKeys(TimePoint Now) const override;
  /// @}

  /// \returns the objects whose newest version is invalid and therefore not in
  /// force.
  std::vector<CatalogueFault> faults() const;

private:
  struct ActionVisitor;

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
  boost::asio::io_context &Worker;
  boost::asio::steady_timer Timer;

  mutable std::mutex Lock;
  ConfigurationState State;
  SnapshotBuilder Builder;
  SnapshotPointer Current;
  std::uint64_t NewestObjectVersion = 0; ///< In Current.
  std::size_t ObjectCount = 0;
  bool Watching = false;
  bool WatchLoopStarted = false;
  std::atomic<bool> Stopped{false};
};

} // namespace lavenderdale
