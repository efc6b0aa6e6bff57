#pragma once

#include "distribution/watcherchoice.h"
#include "fleetview.h"
#include "http/httpclient.h"
#include "objectstore.h"
#include "proxymetrics.h"
#include "sharedcollection.h"
#include "sharedmessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lavenderdale {

/// The object store with calls that a large fleet shares: the catalogue and the
/// upstreams are listed and watched by two hosts of each failure domain, and
/// the others receive them from these hosts over HTTP. All other calls, and all
/// calls of a small fleet, go to the store. WatcherChoice decides.
class SharedStore final : public ObjectStore {
public:
  /// Requests of other hosts that are held at the same time; further ones are
  /// refused. Two for each follower of the largest failure domain, and reserve.
  static constexpr std::size_t MaxHeldRequests = 1000;
  /// Time at the start for which shared calls wait for the list of hosts. It
  /// arrives earlier, unless the store does not answer.
  static constexpr std::chrono::milliseconds FleetListTime{300};

  /// \param Self this host.
  /// \param Seed of the generator that spreads calls.
  SharedStore(boost::asio::any_io_executor Executor, ObjectStore &Store,
              const FleetView &Fleet, PlacementHost Self, std::uint64_t Seed,
              ProxyMetrics &Metrics);

  Call<StoredObjects> list(Collection From, ListFreshness Freshness,
                           TimePoint Deadline) override;
  Call<StoredObjects> watch(Collection From, std::uint64_t Revision,
                            std::chrono::milliseconds Wait) override;
  Call<StoredObject> get(Collection From, std::string Name,
                         TimePoint Deadline) override;
  Call<StoredObject> create(Collection In, StoredObject Object,
                            TimePoint Deadline) override;
  Call<StoredObject> replaceIfUnchanged(Collection In, StoredObject Object,
                                        TimePoint Deadline) override;
  Call<void> remove(Collection From, std::string Name,
                    TimePoint Deadline) override;

  /// The first attempt to list the hosts has ended. To be called after their
  /// registrations were applied to the FleetView.
  void hostsListed();

  /// Number of hosts among which this host's calls are divided: in a fleet that
  /// shares calls, a watcher calls as a host of a small fleet does.
  std::size_t callingHosts();

  /// Whether the fleet is so large that calls are shared.
  bool shares();

  /// Answers a request of another host whose target begins with
  /// SharedStorePath. Status 404: this host does not watch the store; 410: the
  /// changes are no longer kept; 503: no state yet, or too many requests.
  boost::asio::awaitable<HttpResponse> answer(std::string Target);

  /// Follows and answers no more. Requests that are held are ended.
  void stop();

  /// Lists \p From at the store itself, also in a large fleet. Callers wait for
  /// the first lists of a starting host, and its watchers may start at the same
  /// moment: followers that waited for them served 2.5 s after a restart of all
  /// hosts, and 0.3 s with this call.
  Call<StoredObjects> listAtStart(Collection From, TimePoint Deadline);

private:
  /// The result of a request to a watcher.
  struct Reply {
    std::optional<WatcherFailure> Failure;
    bool HistoryGone = false;
    StoredObjects Objects;
  };

  void updateHosts();
  boost::asio::awaitable<void> waitForFleet();
  /// Waits once, in a large fleet, before a call that each host makes at its
  /// start.
  /// \param [in,out] Done whether that call was made.
  /// \param Spread for each host of the fleet.
  boost::asio::awaitable<void> spreadStart(bool &Done,
                                           std::chrono::milliseconds Spread);
  /// Lists the store itself.
  ObjectStore::Call<StoredObjects>
  listStore(Collection From, ListFreshness Freshness, Duration Timeout);
  /// Gets objects, or changes after \p After, from a watcher.
  /// \returns nothing if the store is to be called.
  boost::asio::awaitable<std::optional<Result<StoredObjects>>>
  receive(Collection From, std::optional<std::uint64_t> After);
  boost::asio::awaitable<Reply> ask(WatcherRequest Request, Collection From,
                                    std::optional<std::uint64_t> After);
  Result<StoredObjects> accept(Collection From,
                               std::optional<std::uint64_t> After,
                               StoredObjects Objects);
  /// \returns nullptr if the address of \p Watcher is not known.
  std::shared_ptr<HttpClient> clientOf(const std::string &Watcher);
  /// Waits until the state of \p From changes, at most until \p Deadline.
  boost::asio::awaitable<void> hold(Collection From, TimePoint Deadline);
  void wakeHeld(Collection From);
  /// Counts a request beyond MaxHeldRequests; logs at most one a second.
  void recordRefusal(TimePoint Now);

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  const FleetView &Fleet;
  const PlacementHost Self;
  ProxyMetrics &Metrics;
  WatcherChoice Choice;
  std::optional<std::uint64_t> KnownHosts; ///< FleetView::presentRevision().
  std::map<Collection, SharedCollection> Collections;
  std::map<std::string, std::shared_ptr<HttpClient>> Clients; ///< By address.
  std::map<Collection, std::set<boost::asio::steady_timer *>> Held;
  std::size_t HeldRequests = 0;
  TimePoint RefusalLoggedAt{};
  boost::asio::steady_timer FirstHostList;
  bool ClaimsListed = false;
  bool Registered = false;
  bool Watching = true;
  bool Stopped = false;
};

} // namespace lavenderdale
