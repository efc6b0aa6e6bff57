#pragma once

#include "http/endpoint.h"
#include "objectstore.h"
#include "proxystate.h"
#include "recorddecoder.h"
#include "sharedstore.h"
#include "storecallintervals.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lavenderdale {

/// Keeps a ProxyState up to date with the object store, and registers this host
/// there. Calls are charged and limited, so failed ones are retried with
/// exponential backoff.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  static constexpr std::chrono::milliseconds CallTimeout{900};
  static constexpr std::chrono::milliseconds MinBackoff{100};
  static constexpr std::chrono::milliseconds MaxBackoff{1200};

  /// \param Reports, Internal where other hosts reach this one.
  StoreFollower(boost::asio::any_io_executor Executor, SharedStore &Store,
                ProxyState &State, const RecordDecoder &Decoder,
                Endpoint Reports, Endpoint Internal);

  void start();
  void stop() { this->Stopped = true; }

  /// Removes this host's registration, so that other hosts no longer count it
  /// as a member of the fleet.
  boost::asio::awaitable<void> unregister();

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  /// How one collection is followed.
  struct FollowedCollection {
    Collection From = Collection::Catalogue;
    const char *Name = "";
    std::chrono::milliseconds StoreCallIntervals::*Wait =
        nullptr; ///< Of one watch.
    bool PausesAfterChange = false;
    void (StoreFollower::*OnListed)(const StoredObjects &) = nullptr;
    void (StoreFollower::*OnChanged)(const StoredObjects &) = nullptr;
    /// Called after each successful call.
    void (StoreFollower::*OnAnswered)(const StoredObjects &) = nullptr;
    /// Called when a call failed, and when calls succeed again.
    void (StoreFollower::*OnUnavailable)() = nullptr;
  };

  Task<void> follow(FollowedCollection Followed);
  /// Follows \p Followed once the evacuated failure domains are known.
  Task<void> followAfterEvacuations(FollowedCollection Followed);
  Task<bool> watchChanges(const FollowedCollection &Followed,
                          std::uint64_t Revision);
  /// Waits for about \p Length, and doubles it up to MaxBackoff.
  Task<void> backOff(std::chrono::milliseconds &Length);
  StoreCallIntervals callIntervals();

  void applyCatalogue(const StoredObjects &Objects);
  void confirmCatalogue(const StoredObjects &Objects);
  void replaceUpstreams(const StoredObjects &Objects);
  void updateUpstreams(const StoredObjects &Objects);
  void replaceEvacuations(const StoredObjects &Objects);
  void updateEvacuations(const StoredObjects &Objects);
  void recordStoreOutage();
  void recordOutageOfWatcher(const StoredObjects &Objects);
  void doNothing() {}
  void ignoreAnswer(const StoredObjects &) {}

  Task<void> keepRegistered();
  Task<bool> registerHost();
  Task<void> listHosts(ListFreshness Freshness);
  Task<void> unregisterGoneHosts();

  boost::asio::any_io_executor Executor;
  SharedStore &Store;
  ProxyState &State;
  const RecordDecoder &Decoder;
  const Endpoint Reports;
  const Endpoint Internal;
  std::mt19937_64 Random;
  /// As read from the store, also while a later set is known from a report.
  std::set<std::string> EvacuatedDomains;
  bool Stopped = false;
};

} // namespace lavenderdale
