#pragma once

#include "fleetview.h"
#include "placement/evacuations.h"
#include "placement/holderselector.h"
#include "placement/promotionranking.h"
#include "proxymetrics.h"
#include "relayclient.h"
#include "upstreamclient.h"
#include "upstreamwork.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// The connection that a session's transaction holds: one of this host, or one
/// that another host holds for it. Released when destroyed.
class HeldConnection {
public:
  HeldConnection() = default;
  HeldConnection(HeldConnection &&Other) noexcept = default;
  HeldConnection &operator=(HeldConnection &&Other) noexcept;
  ~HeldConnection() { this->reset(); }

  explicit operator bool() const { return this->Client != nullptr; }
  const std::shared_ptr<UpstreamClient> &client() const { return this->Client; }
  /// Releases the connection. A local connection with an open transaction is
  /// closed; another host rolls the transaction back.
  void reset();

private:
  friend class UpstreamAccess;

  std::shared_ptr<UpstreamClient> Client;
  ConnectionLease Local;              ///< Empty if another host holds it.
  std::shared_ptr<RelayClient> Relay; ///< To the host that holds it, if remote.
  std::uint64_t Remote = 0;     ///< Number of the held connection at that host.
  std::uint64_t Generation = 0; ///< Of Relay when the transaction began.
};

/// Runs work at upstreams, either over connections of this host or by relaying
/// it to the host that holds the upstream's connections, called the holder.
class UpstreamAccess {
public:
  /// A holder that sent nothing for this long is pinged before a write is
  /// relayed to it, because the outcome of a write without an answer is
  /// unknown. Slightly longer than the report interval of small fleets.
  static constexpr std::chrono::milliseconds RecentContactLimit{400};
  /// Timeout of that ping; hosts answer within a few milliseconds.
  static constexpr std::chrono::milliseconds PingTimeout{100};
  /// Time before the deadline of relayed work at which its wait for a
  /// connection ends, so that the answer that it has not run arrives in time.
  /// Without that answer the other host would look as if it had failed.
  static constexpr std::chrono::milliseconds AnswerReserve{30};
  /// Interval at which a host that did not answer is pinged, until it answers
  /// or is gone. It is used again only then, so that no statement has to find
  /// out. Shorter than HolderSelector::AvoidAfterFailure.
  static constexpr std::chrono::milliseconds RecheckInterval{500};
  /// A host that received work of others for an upstream stands in for its
  /// holders for this long.
  static constexpr std::chrono::milliseconds StandInTime{1000};
  /// Timeout of a rate limit request; the owner answers from memory.
  static constexpr std::chrono::milliseconds RateCheckTimeout{80};

  /// \param Self this host, with its capacity if its settings declare one.
  /// \param EvacuationBound time from the order to evacuate a failure domain
  ///        until nothing more is sent there; 0 if there are no such orders.
  UpstreamAccess(boost::asio::any_io_executor Executor, PlacementHost Self,
                 std::chrono::milliseconds EvacuationBound,
                 ProxyMetrics &Metrics);

  /// Decides which upstreams may be used; see isEvacuated().
  Evacuations &evacuations() { return this->Evacuated; }
  /// Whether nothing new may be sent to the upstream of \p Entry.
  bool isEvacuated(const UpstreamEntry &Entry) const {
    return this->Evacuated.covers(Entry.FailureDomain);
  }

  /// Replaces the hosts that work can be relayed to by those present in
  /// \p Fleet.
  void setHosts(const FleetView &Fleet, BootTime Now);
  /// Records that a report of host \p Name arrived at \p Now.
  void recordReport(const std::string &Name, TimePoint Now);

  /// Runs \p Work on any connection for the waiter's workspace. Work for an
  /// evacuated upstream is not run, and its result is not connected.
  /// \param Wait lets the caller cancel the wait for a connection.
  /// \param [out] Hold receives the connection if a transaction is open on it
  ///        afterwards; nullptr if no connection is to be held.
  boost::asio::awaitable<WorkResult> run(std::shared_ptr<UpstreamClient> Client,
                                         PoolWaiter Waiter, UpstreamWork Work,
                                         WaitHandle &Wait,
                                         HeldConnection *Hold);

  /// Runs \p Work on a held connection, which stays held while its transaction
  /// is open.
  boost::asio::awaitable<WorkResult> runHeld(HeldConnection &Held,
                                             UpstreamWork Work);

  /// Starts to ping the host that holds the connections of \p Entry, if run()
  /// would do so before it relays a write. Does not wait for the answer.
  void prepareWrite(const UpstreamEntry &Entry);

  /// Rolls back the transaction on \p Held without waiting for the upstream.
  void rollBack(HeldConnection Held);

  /// Failure domains of which a host did not answer since the last call. The
  /// others may be cut off together with it.
  std::set<std::string> takeDomainsToCheck() {
    return std::exchange(this->DomainsToCheck, {});
  }
  /// Names of the hosts of \p FailureDomain from which nothing arrived since
  /// \p Since.
  std::vector<std::string> silentHosts(const std::string &FailureDomain,
                                       TimePoint Since) const;
  /// Whether no host of another failure domain answers.
  bool otherDomainsSilent(TimePoint Now) const {
    return this->Holders.otherDomainsSkipped(Now);
  }
  /// Records that \p Name does not answer. It is skipped until it does.
  void hostFailed(const std::string &Name);

  /// Whether statements for the upstream are currently relayed to another host.
  bool isRemote(const UpstreamEntry &Entry, TimePoint Now);

  /// Rank of this host among the hosts that can hold the upstream's
  /// connections; 0 is the first choice. A host that currently stands in for
  /// the holders has the rank of the second one.
  std::size_t rank(const UpstreamEntry &Entry, TimePoint Now);
  /// Records that another host sent work for \p Upstream over this one.
  void recordRelayedWork(const std::string &Upstream, TimePoint Now) {
    this->RelayedWorkAt[Upstream] = Now;
  }

  /// Hosts of promotionOrder() that are told at once about a primary that
  /// cannot be reached: more than the failure domains that can be cut off
  /// together.
  static constexpr std::size_t PromoterCount = 5;

  /// The first PromoterCount hosts, this one included, by who replaces the
  /// failed primary of \p Group first.
  std::vector<std::string> promoters(const std::string &Group);
  /// Position of this host in the promotionOrder() of \p Group.
  std::size_t promotionRank(const std::string &Group);

  /// Name of the host that counts the operations of \p Workspace against its
  /// rate limit in a large fleet.
  std::string rateOwner(const std::string &Workspace, TimePoint Now);

  /// Asks \p Owner to count an operation of \p Workspace against its rate
  /// limit.
  /// \returns the reason for a refusal, or an empty string if the operation is
  ///          admitted; nothing if the owner did not answer.
  boost::asio::awaitable<std::optional<std::string>>
  requestAdmission(const std::string &Owner, const std::string &Workspace);

  StatementNames &names() { return this->Names; }

  /// Sets the rate limits of the workspaces, a second, in proportion to which
  /// their statements take turns at a busy upstream.
  void setRates(std::map<std::string, double> ByWorkspace) {
    this->Rates = std::move(ByWorkspace);
  }
  /// Rate limit of \p Workspace, a second; 0 if it is unknown.
  double rateOf(const std::string &Workspace) const;

private:
  struct Host {
    std::shared_ptr<RelayClient> Relay;
    TimePoint HeardAt{};
  };
  /// A ping that is under way; all who need its answer wait for the same one.
  struct PendingPing {
    explicit PendingPing(const boost::asio::any_io_executor &Executor)
        : Ended(Executor) {}

    boost::asio::steady_timer Ended; ///< Cancelled when the ping has ended.
    std::optional<bool> Answered;
  };

  std::string chooseHolder(const UpstreamEntry &Entry, TimePoint Now);
  bool heardRecently(const std::string &Name, TimePoint Now) const;
  std::shared_ptr<PendingPing> startPing(const std::string &Name);
  boost::asio::awaitable<void> runPing(std::string Name,
                                       std::shared_ptr<PendingPing> Ping);
  boost::asio::awaitable<bool> isAlive(std::string Name);
  static boost::asio::awaitable<bool> ping(RelayClient &Relay);
  boost::asio::awaitable<void> recheck(std::string Name);
  void recordPathResult(const std::string &Host, const std::string &Upstream,
                        const WorkResult &Result, bool Statement);
  /// Whether an open transaction at the upstream may go on.
  bool maySend(const UpstreamEntry &Entry) const;
  WorkResult refuseEvacuated();
  boost::asio::awaitable<WorkResult>
  runLocally(std::shared_ptr<UpstreamClient> Client, PoolWaiter Waiter,
             UpstreamWork Work, WaitHandle &Wait, HeldConnection *Hold);
  boost::asio::awaitable<WorkResult>
  runRemotely(const std::string &Name, std::shared_ptr<UpstreamClient> Client,
              const PoolWaiter &Waiter, UpstreamWork Work, WaitHandle &Wait,
              HeldConnection *Hold);

  boost::asio::any_io_executor Executor;
  const PlacementHost Self;
  Evacuations Evacuated;
  ProxyMetrics &Metrics;
  HolderSelector Holders;
  std::map<std::string, Host> Hosts;
  std::vector<PlacementHost> Live;   ///< Hosts and this one.
  std::uint64_t AppliedRevision = 0; ///< FleetView::presentRevision() of Live.
  PromotionRanking Promoters;
  std::map<std::string, std::shared_ptr<PendingPing>> Pings; ///< By host.
  std::set<std::string> DomainsToCheck;
  std::map<std::string, TimePoint> RelayedWorkAt; ///< By upstream.
  std::set<std::string> Rechecked; ///< Hosts that are being pinged.
  StatementNames Names;
  std::map<std::string, double> Rates; ///< By workspace.
};

} // namespace lavenderdale
