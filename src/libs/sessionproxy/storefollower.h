#pragma once

#include "objectstore.h"
#include "proxystate.h"
#include "recorddecoder.h"
#include "storepace.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace lavenderdale {

/// Keeps a ProxyState up to date from the object store. Calls are charged and
/// limited, so failed ones are repeated after growing pauses.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  static constexpr std::chrono::milliseconds CallLimit{900};
  static constexpr std::chrono::milliseconds FirstPause{100};
  static constexpr std::chrono::milliseconds LastPause{1200};

  StoreFollower(boost::asio::any_io_executor Executor, ObjectStore &Store,
                ProxyState &State, const RecordDecoder &Decoder,
                std::string ReportAddress);

  void start();
  void stop() { this->Stopped = true; }

  /// Removes this host's registration; other hosts stop counting on it.
  boost::asio::awaitable<void> unregister();

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  /// How one collection is taken over.
  struct Subject {
    Collection From = Collection::Catalogue;
    const char *Name = "";
    std::chrono::milliseconds StorePace::*Wait = nullptr;
    bool PausesAfterChange = false;
    void (StoreFollower::*Listed)(const StoredObjects &) = nullptr;
    void (StoreFollower::*Changed)(const StoredObjects &) = nullptr;
    void (StoreFollower::*Answered)() = nullptr;
    void (StoreFollower::*Away)() = nullptr;
  };

  Task<void> follow(Subject What);
  Task<bool> watchUntilLost(const Subject &What, std::uint64_t Revision);
  Task<void> pause(std::chrono::milliseconds &Length);
  StorePace pace() const;

  void takeCatalogue(const StoredObjects &Objects);
  void confirmCatalogue();
  void listUpstreams(const StoredObjects &Objects);
  void changeUpstreams(const StoredObjects &Objects);
  void upstreamsAway();
  void nothing() {}

  Task<void> keepRegistered();
  Task<bool> registerHost();
  Task<void> listHosts(ListFreshness Freshness);
  Task<void> removeGoneHosts();

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  ProxyState &State;
  const RecordDecoder &Decoder;
  const std::string ReportAddress;
  std::mt19937_64 Random;
  bool Stopped = false;
};

} // namespace lavenderdale
