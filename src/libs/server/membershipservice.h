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

/// Executes the actions of Membership: heartbeats, questions about removals,
/// and changes of the host set on the platform.
class MembershipService
    : public std::enable_shared_from_this<MembershipService> {
public:
  /// Callbacks to other services.
  struct Listeners {
    /// The live hosts or the host set have changed.
    std::function<void()> FleetChanged;
    /// This host may hold shares of rates until \p ValidUntil.
    std::function<void(TimePoint ValidUntil)> LeaseRenewed;
    /// \p Host reported its configuration version.
    std::function<void(const std::string &Host, std::uint64_t Version)>
        PeerVersionReceived;
  };

  /// \param PeerAddress the address at which other hosts reach this one.
  MembershipService(const DaemonContext &Context, PlatformGateway &Platform,
                    const Endpoint &PeerAddress, Listeners Notify);

  /// Registers the RPC methods "membership.heartbeat", "membership.removal" and
  /// "membership.hostset".
  void addMethods(RpcServer &Server);

  /// Starts heartbeats.
  void start();

  /// Ends heartbeats.
  void stop() { this->Stopped = true; }

  /// Announces to peers that this host is leaving the fleet.
  void leave();

  /// Applies the hosts and the host set of a new configuration.
  void configure(const SnapshotPointer &Snapshot, std::uint64_t Version);

  /// Whether this host owns the rate \p Name in its failure domain and may
  /// grant tokens of it now.
  bool mayGrant(const std::string &Name) const;

  /// \returns the live hosts, used for everything except rates.
  FleetPointer liveFleet() const;

  /// \returns the members of the host set, used for rates.
  FleetPointer rateFleet() const;

private:
  struct ActionVisitor;

  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> heartbeat(SendHeartbeat Action);
  boost::asio::awaitable<void> askRemoval(SendRemovalRequest Action);
  boost::asio::awaitable<void> propose(ProposeHostSet Action);
  boost::asio::awaitable<void> fetchFromPlatform();
  boost::asio::awaitable<void> fetchFromPeer(FetchHostSet Action);
  void spawn(boost::asio::awaitable<void> Work);
  void adopt(const CatalogueObject &Object);
  void adoptSet(const HostSet &Stored);
  void addHostSetMethod(RpcServer &Server);
  void refreshFleet();
  FleetPointer makeFleet(const std::vector<PlacementHost> &Hosts,
                         std::uint64_t Epoch) const;

  const DaemonContext &Context;
  PlatformGateway &Platform;
  Listeners Notify;
  boost::asio::io_context &Worker;

  mutable std::mutex Lock;
  Membership State;
  std::map<std::string, Endpoint> Addresses;
  FleetPointer LiveFleet;
  FleetPointer RateFleet;
  std::uint64_t FleetVersion = 0;
  bool Stopped = false;
};

} // namespace lavenderdale
