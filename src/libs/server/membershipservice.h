#pragma once

#include "catalogue/cataloguesnapshot.h"
#include "daemoncontext.h"
#include "fleetview.h"
#include "membership/membership.h"
#include "platformgateway.h"
#include "rpc/rpcserver.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace lavenderdale {

/// Carries out what Membership decides: heartbeats, removals, changes of the
/// host set on the platform.
class MembershipService
    : public std::enable_shared_from_this<MembershipService> {
public:
  /// What other parts are told.
  struct Listeners {
    std::function<void()> FleetChanged;
    std::function<void(TimePoint ValidUntil)> LeaseRenewed;
    std::function<void(const std::string &Host, std::uint64_t Version)>
        PeerVersion;
  };

  /// \param PeerAddress where other hosts reach this one.
  MembershipService(const DaemonContext &Context, PlatformGateway &Platform,
                    const Endpoint &PeerAddress, Listeners Told);

  /// Registers "membership.heartbeat", "membership.removal" and
  /// "membership.hostset".
  void addMethods(RpcServer &Server);

  void start();
  void stop() { this->Stopped = true; }

  /// Announces that this host leaves.
  void leave();

  /// Takes hosts and host set of a new configuration.
  void configure(const SnapshotPointer &Snapshot, std::uint64_t Version);

  /// Whether this host owns the rate \p Name in its domain and may use it now.
  bool mayGrant(const std::string &Name) const;

  /// Hosts that are alive, for everything but rates.
  FleetPointer liveFleet() const;

  /// Members of the host set, for rates.
  FleetPointer rateFleet() const;

private:
  struct Performer;

  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> heartbeat(SendHeartbeat Action);
  boost::asio::awaitable<void> askRemoval(AskRemoval Action);
  boost::asio::awaitable<void> propose(ProposeHostSet Action);
  boost::asio::awaitable<void> fetch();
  boost::asio::awaitable<void> fetchFrom(FetchHostSet Action);
  void spawn(boost::asio::awaitable<void> Work);
  void adopt(const CatalogueObject &Object);
  void adoptSet(const HostSet &Stored);
  void addHostSetMethod(RpcServer &Server);
  void refreshFleet();
  FleetPointer makeFleet(const std::vector<PlacementHost> &Hosts,
                         std::uint64_t Epoch) const;

  const DaemonContext &Context;
  PlatformGateway &Platform;
  Listeners Told;
  boost::asio::io_context &Home;

  mutable std::mutex Lock;
  Membership State;
  std::map<std::string, Endpoint> Addresses;
  FleetPointer Live;
  FleetPointer ForRates;
  std::uint64_t FleetVersion = 0;
  bool Stopped = false;
};

} // namespace lavenderdale
