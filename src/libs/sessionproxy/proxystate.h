#pragma once

#include "base/boottime.h"
#include "fleetview.h"
#include "limits/sharedrate.h"
#include "protocols.h"
#include "proxygroup.h"
#include "proxymetrics.h"
#include "sessioncatalogue.h"
#include "upstreamaccess.h"
#include "upstreamdirectory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// Who this host is.
struct ProxyIdentity {
  std::string Host;
  std::string FailureDomain;
  std::uint64_t StartedAt = 0; ///< Milliseconds of the time of day.
};

/// What a host knows and decides with: the catalogue, the groups, the rates
/// and the fleet. Changed by events only; nothing here waits.
class ProxyState {
public:
  /// Beyond this age of the last confirmation, a missing name or key may be
  /// one that was added since. Catalogues are in force within 3 s.
  static constexpr std::chrono::milliseconds CatalogueConfirmation{3500};
  /// Part of its share of the limit that a host admits while the owner of a
  /// rate does not answer. The owner may still grant the whole limit to
  /// others, of which rules allow a tenth more.
  static constexpr double PartWithoutOwner = 0.3;

  ProxyState(boost::asio::any_io_executor Executor,
             const UpstreamProtocol &Protocol, ProxyIdentity Identity);

  /// Takes a catalogue into force if it is newer than the present one.
  /// \param Source who brought it, for the log.
  void offerCatalogue(std::shared_ptr<const SessionCatalogue> Offered,
                      const std::string &Source);
  /// The catalogue in force is the current one at \p Now.
  void confirmCatalogue(TimePoint Now) { this->ConfirmedAt = Now; }

  /// The directory changed.
  void applyUpstreams();
  /// Hosts came or went.
  void applyFleet();
  void heard(const HostReport &Report);

  /// Whether this host can serve: it has a catalogue and upstreams.
  bool loaded() const;

  /// Checks database and key. \returns the workspace.
  /// Errors: UnknownRoute, MissingKey, BadKey, ConfigurationStale.
  Result<std::string> admitSession(const SessionStart &Start,
                                   TimePoint Now) const;

  /// Counts an operation against its workspace's rate. Errors: RateLimited.
  boost::asio::awaitable<Result<void>> admitOperation(std::string Workspace);

  /// Counts an operation of any host, as the owner of the workspace's rate in
  /// a large fleet. Errors: RateLimited.
  Result<void> admitAsOwner(const std::string &Workspace, BootTime Now);

  /// Returns the connections of this host to \p Upstream, or nullptr.
  std::shared_ptr<UpstreamGate> findGate(const std::string &Upstream) const;

  /// Returns the group called \p Name, or nullptr.
  std::shared_ptr<ProxyGroup> findGroup(const std::string &Name) const;

  /// The report for the other hosts.
  HostReport report(BootTime Now, bool Leaving);

  void stop();

  const std::shared_ptr<const SessionCatalogue> &catalogue() const {
    return this->Catalogue;
  }
  const std::map<std::string, std::shared_ptr<ProxyGroup>> &groups() const {
    return this->Groups;
  }
  UpstreamDirectory &directory() { return this->Directory; }
  FleetView &fleet() { return this->Fleet; }
  UpstreamAccess &access() { return this->Access; }
  ProxyMetrics &metrics() { return this->Metrics; }
  /// Sets the gauges to the present state.
  void updateGauges();
  const ProxyIdentity &identity() const { return this->Identity; }

  /// Member whose promotion this host ordered, by group.
  void setOrdered(const std::string &Group, const std::string &Member,
                  TimePoint Now);

private:
  struct Order {
    std::string Member;
    TimePoint At{};
  };

  bool confirmed(TimePoint Now) const;
  void confirmFrom(const HostReport &Report, BootTime Now);
  Result<void> admitWithShares(const std::string &Workspace, BootTime Now);
  Result<void> admitWithoutOwner(const std::string &Workspace, BootTime Now);
  static Error rateLimited(const SharedRate &Rate, std::size_t Hosts,
                           BootTime Now);
  void applyConnectionLimits();

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  const ProxyIdentity Identity;
  std::shared_ptr<const SessionCatalogue> Catalogue;
  std::optional<TimePoint> ConfirmedAt;
  UpstreamDirectory Directory;
  ProxyMetrics Metrics;
  UpstreamAccess Access;
  std::map<std::string, std::shared_ptr<ProxyGroup>> Groups;
  const BootTime StartedAt = BootClock::now();
  std::map<std::string, SharedRate> Rates;
  std::map<std::string, SharedRate> OwnedRates; ///< Of this host as the owner.
  FleetView Fleet;
  std::size_t ShareHosts = 0;
  std::map<std::string, Order> Orders;
  std::uint64_t Sequence = 0;
};

} // namespace lavenderdale
