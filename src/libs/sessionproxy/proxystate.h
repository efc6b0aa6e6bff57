#pragma once

#include "base/boottime.h"
#include "failover/troublenotices.h"
#include "fleetview.h"
#include "limits/coldrate.h"
#include "limits/contactfraction.h"
#include "limits/memorybudget.h"
#include "limits/ownedrate.h"
#include "limits/sharedrate.h"
#include "protocols.h"
#include "proxygroup.h"
#include "proxymetrics.h"
#include "sessioncatalogue.h"
#include "upstreamaccess.h"
#include "upstreamdirectory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Identity of this host's process.
struct ProxyIdentity {
  std::string Host;
  std::string FailureDomain;
  std::uint64_t StartedAt = 0; ///< Unix time in milliseconds.
  double Capacity = 0; ///< Processor capacity in cores; 0 if not declared.
};

/// How far the operations of a workspace in a window may exceed its limit.
struct RateTolerance {
  double Fraction = 0;   ///< Of the limit.
  double Operations = 0; ///< In addition.
};

/// State of a session proxy: the catalogue, the groups, the rates and the
/// fleet. Only admitOperation() waits for another host.
class ProxyState {
public:
  /// Age of the last confirmation up to which the catalogue counts as current.
  /// Beyond it, an unknown database or key may have been added since: a new
  /// catalogue is in force on all hosts within 3 s.
  static constexpr std::chrono::milliseconds CatalogueConfirmationLifetime{
      3500};
  /// Fraction of its share of the limit that a host admits while no owner of a
  /// rate answers. An owner may still grant the whole limit to other hosts, and
  /// the total may exceed the limit by at most a tenth.
  static constexpr double ShareWithoutOwner = 0.1;
  /// A starting host waits this long at most to learn which commits promoted
  /// members must have. Should a primary fail before, it cannot be replaced.
  static constexpr std::chrono::milliseconds GuaranteeWait{2000};
  /// Part of the tolerance of a rate that a starting host uses when it
  /// estimates what its previous process admitted. The rest is for operations
  /// that hosts admit without an owner, and for those that reach a database
  /// later than they were counted.
  static constexpr double PriorUseToleranceShare = 0.5;

  /// In a large fleet, the owner of a rate reports the use of a workspace from
  /// this part of its limit on. If a network partition separates it from other
  /// hosts, the owner that they turn to knows what was admitted already.
  static constexpr double ReportedUseShare = 0.5;

  /// \param EvacuationBound see UpstreamAccess.
  /// \param ColdUpstreams applies only in deployments with evacuations.
  ProxyState(boost::asio::any_io_executor Executor,
             const UpstreamProtocol &Protocol, ProxyIdentity Identity,
             RateTolerance Tolerance,
             std::chrono::milliseconds EvacuationBound = {},
             ColdTolerance ColdUpstreams = {},
             MemoryBudget::Limits Allowed = MemoryBudget::limitsFor(0, 0));

  /// Applies a catalogue if it is newer than the current one.
  /// \param Source where it came from, for the log.
  void offerCatalogue(std::shared_ptr<const SessionCatalogue> Offered,
                      const std::string &Source);
  /// Records that the catalogue in force was the latest one at \p At.
  void confirmCatalogue(TimePoint At) {
    this->ConfirmedAt = std::max(this->ConfirmedAt.value_or(At), At);
  }

  /// Applies a set of evacuated failure domains if it was read after the
  /// current one.
  /// \param Source where it came from, for the log.
  void offerEvacuations(const EvacuationSet &Read, const std::string &Source);

  /// What still runs in one evacuated failure domain.
  struct EvacuationProgress {
    std::string Domain;
    std::uint64_t Revision = 0;  ///< Of the store, from which it is evacuated.
    std::size_t Upstreams = 0;   ///< Known ones in the domain.
    std::size_t Connections = 0; ///< Of this host, all of them in use.
  };
  std::vector<EvacuationProgress> evacuationProgress();

  /// Updates the groups after a change of the directory.
  void applyUpstreams();
  /// Updates connection limits and rates after a change of the fleet's hosts.
  void applyFleet();
  /// Applies the report of another host.
  void applyReport(const HostReport &Report);

  /// Does what is due at \p Now: removes upstreams that did not register again,
  /// and supervises the primaries. To be called every
  /// ProxyGroup::ProbeInterval.
  void supervise(TimePoint Now);

  /// The lowest part of the fleet with which this host was in contact during
  /// the last ContactFraction::Window; 1 for all.
  double lowestContact() const {
    return this->Contact.lowest(BootClock::now());
  }

  /// Returns whether this host has a catalogue and upstreams, so that it can
  /// serve.
  bool canServe() const;

  /// Checks database and key.
  /// \returns the workspace, or an empty name if the route needs no key and the
  ///          caller sent no valid one.
  /// Errors: UnknownRoute, MissingKey, BadKey, ConfigurationStale.
  Result<std::string> admitSession(const SessionStart &Start,
                                   TimePoint Now) const;

  /// Counts an operation against its workspace's rate. Errors: RateLimited.
  boost::asio::awaitable<Result<void>> admitOperation(std::string Workspace);

  /// Counts an operation of any host, as the owner of the workspace's rate in
  /// a large fleet. Errors: RateLimited.
  Result<void> admitAsOwner(const std::string &Workspace, BootTime Now);

  /// Returns the group that \p Upstream is a member of, or nullptr.
  std::shared_ptr<ProxyGroup> findGroupOf(const std::string &Upstream) const;

  /// Returns the group called \p Name, or nullptr.
  std::shared_ptr<ProxyGroup> findGroup(const std::string &Name) const;

  /// Hosts that must hear at \p Now which primaries this host does not reach,
  /// because they replace them. Counts the notices to them as sent.
  std::set<std::string> promotersToTell(TimePoint Now);

  /// Builds the next report to the other hosts.
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
  MemoryBudget &memory() { return *this->Memory; }
  /// Sets the gauges to the current state.
  void updateGauges();
  const ProxyIdentity &identity() const { return this->Identity; }

  /// Records that this host requested the promotion of \p Member, for its
  /// reports.
  void recordPromotionOrder(const std::string &Group, const std::string &Member,
                            TimePoint Now);

private:
  struct PromotionOrder {
    std::string Member;
    TimePoint At{};
  };

  /// The use of a workspace that its owner reported.
  struct ReportedUse {
    double Operations = 0; ///< In the window before the report.
    BootTime At{};
  };

  bool confirmed(TimePoint Now) const;
  void confirmFrom(const HostReport &Report, BootTime Now);
  boost::asio::awaitable<Result<void>> admitByOwner(std::string Workspace);
  void applyDemands(const HostReport &Report, BootTime Now);
  std::optional<double> reportedUse(const std::string &Workspace,
                                    BootTime Now) const;
  double contactFraction(BootTime Now);
  Result<void> admitWithShares(const std::string &Workspace, BootTime Now);
  Result<void> admitWithoutOwner(const std::string &Workspace, BootTime Now);
  void setLimits(SharedRate &Rate, const SessionWorkspace &Workspace) const;
  static Error rateLimited(const SharedRate &Rate, std::size_t Hosts,
                           BootTime Now);
  void applyGroupSettings();

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  const ProxyIdentity Identity;
  const RateTolerance Tolerance;
  const ColdTolerance ColdUpstreams;
  std::shared_ptr<const SessionCatalogue> Catalogue;
  std::optional<TimePoint> ConfirmedAt;
  UpstreamDirectory Directory;
  ProxyMetrics Metrics;
  const std::shared_ptr<MemoryBudget> Memory;
  UpstreamAccess Access;
  std::map<std::string, std::shared_ptr<ProxyGroup>> Groups;
  std::map<std::string, std::shared_ptr<ProxyGroup>> GroupsByUpstream;
  const BootTime StartedAt = BootClock::now();
  std::map<std::string, SharedRate> Rates;
  std::map<std::string, OwnedRate> OwnedRates;
  std::map<std::string, ReportedUse> ReportedUses; ///< By workspace.
  ContactFraction Contact;
  FleetView Fleet;
  std::size_t AppliedHosts = 0;
  std::map<std::string, PromotionOrder> PromotionOrders;
  TroubleNotices Notices;
  std::uint64_t Sequence = 0;
};

} // namespace lavenderdale
