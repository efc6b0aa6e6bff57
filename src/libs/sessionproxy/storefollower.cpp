#include "storefollower.h"

#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *AddressMember = "reportAddress";

} // namespace

StoreFollower::StoreFollower(asio::any_io_executor Executor, ObjectStore &Store,
                             ProxyState &State, const RecordDecoder &Decoder,
                             std::string ReportAddress)
    : Executor(std::move(Executor)), Store(Store), State(State),
      Decoder(Decoder), ReportAddress(std::move(ReportAddress)),
      Random(std::random_device{}()) {}

void StoreFollower::start() {
  const Subject Catalogue{Collection::Catalogue,
                          "catalogue",
                          &StorePace::CatalogueWait,
                          false,
                          &StoreFollower::takeCatalogue,
                          &StoreFollower::takeCatalogue,
                          &StoreFollower::confirmCatalogue,
                          &StoreFollower::nothing};
  const Subject Upstreams{
      Collection::Upstreams,         "upstreams",
      &StorePace::UpstreamWait,      true,
      &StoreFollower::listUpstreams, &StoreFollower::changeUpstreams,
      &StoreFollower::nothing,       &StoreFollower::upstreamsAway};
  asio::co_spawn(this->Executor, this->follow(Catalogue), asio::detached);
  asio::co_spawn(this->Executor, this->follow(Upstreams), asio::detached);
  asio::co_spawn(this->Executor, this->keepRegistered(), asio::detached);
}

StoreFollower::Task<void>
StoreFollower::pause(std::chrono::milliseconds &Length) {
  std::uniform_real_distribution<double> Jitter(0.7, 1.3);
  const auto Pause =
      std::chrono::duration_cast<Duration>(Length * Jitter(this->Random));
  Length = std::min(Length * 2, LastPause);
  co_await sleepUntil(steadyNow() + Pause);
}

StorePace StoreFollower::pace() const {
  return storePace(this->State.fleet().size(BootClock::now()));
}

StoreFollower::Task<void> StoreFollower::follow(Subject What) {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  std::chrono::milliseconds Pause = FirstPause;
  bool Lost = false;
  while (!this->Stopped) {
    const Result<StoredObjects> Listed = co_await this->Store.list(
        What.From, ListFreshness::Current, steadyNow() + CallLimit);
    if (!Listed) {
      (this->*What.Away)();
      if (!std::exchange(Lost, true))
        logWarn(std::string("event=store_lost collection=") + What.Name +
                " call=list error=\"" + Listed.error().Detail + "\"");
      co_await this->pause(Pause);
      continue;
    }
    if (std::exchange(Lost, false))
      logInfo(std::string("event=store_regained collection=") + What.Name);
    Pause = FirstPause;
    (this->*What.Answered)();
    (this->*What.Listed)(Listed.value());
    // Lists anew only when the changes since are no longer kept.
    while (!this->Stopped &&
           co_await this->watchUntilLost(What, Listed.value().AtRevision))
      ;
  }
}

/// Follows changes after \p Revision.
/// \returns false when the collection has to be listed again.
StoreFollower::Task<bool>
StoreFollower::watchUntilLost(const Subject &What, std::uint64_t Revision) {
  std::chrono::milliseconds Pause = FirstPause;
  bool Lost = false;
  while (!this->Stopped) {
    const Result<StoredObjects> Changes = co_await this->Store.watch(
        What.From, Revision, this->pace().*What.Wait);
    if (Changes) {
      if (std::exchange(Lost, false)) {
        (this->*What.Away)();
        logInfo(std::string("event=store_regained collection=") + What.Name);
      }
      Pause = FirstPause;
      Revision = std::max(Revision, Changes.value().AtRevision);
      (this->*What.Answered)();
      if (Changes.value().Objects.empty())
        continue;
      (this->*What.Changed)(Changes.value());
      if (What.PausesAfterChange)
        co_await sleepUntil(steadyNow() + this->pace().ChangePause);
      continue;
    }
    if (Changes.error().Kind == ErrorKind::VersionConflict) {
      logInfo(std::string("event=history_gone collection=") + What.Name +
              " revision=" + std::to_string(Revision));
      co_return false;
    }
    (this->*What.Away)();
    if (!std::exchange(Lost, true))
      logWarn(std::string("event=store_lost collection=") + What.Name +
              " call=watch error=\"" + Changes.error().Detail + "\"");
    co_await this->pause(Pause);
  }
  co_return false;
}

void StoreFollower::takeCatalogue(const StoredObjects &Objects) {
  for (const StoredObject &Each : Objects.Objects) {
    if (Each.Removed)
      continue;
    Result<SessionCatalogue> Decoded = this->Decoder.decodeCatalogue(Each.Spec);
    if (!Decoded) {
      logWarn("event=catalogue_unreadable name=" + Each.Name + " error=\"" +
              Decoded.error().Detail + "\"");
      continue;
    }
    this->State.offerCatalogue(
        std::make_shared<const SessionCatalogue>(std::move(Decoded.value())),
        "store");
  }
}

void StoreFollower::confirmCatalogue() {
  this->State.confirmCatalogue(steadyNow());
}

void StoreFollower::listUpstreams(const StoredObjects &Objects) {
  std::map<std::string, UpstreamEntry> Entries;
  for (const StoredObject &Each : Objects.Objects) {
    const Result<UpstreamEntry> Decoded = this->Decoder.decodeUpstream(Each);
    if (Decoded)
      Entries[Decoded.value().Id] = Decoded.value();
    else
      logInfo("event=upstream_unreadable name=" + Each.Name + " error=\"" +
              Decoded.error().Detail + "\"");
  }
  this->State.directory().replaceAll(Entries, steadyNow());
  this->State.applyUpstreams();
}

void StoreFollower::changeUpstreams(const StoredObjects &Objects) {
  UpstreamDirectory &Directory = this->State.directory();
  for (const StoredObject &Each : Objects.Objects) {
    if (Each.Removed) {
      logInfo("event=upstream_removed upstream=" + Each.Name +
              " revision=" + std::to_string(Each.Revision));
      Directory.remove(Each.Name, steadyNow());
      continue;
    }
    const Result<UpstreamEntry> Decoded = this->Decoder.decodeUpstream(Each);
    if (!Decoded) {
      logInfo("event=upstream_unreadable name=" + Each.Name + " error=\"" +
              Decoded.error().Detail + "\"");
      Directory.remove(Each.Name, steadyNow());
      continue;
    }
    const UpstreamEntry &Entry = Decoded.value();
    logInfo("event=upstream_changed upstream=" + Entry.Id +
            " group=" + Entry.Group +
            (Entry.ClaimsPrimary ? " role=primary" : " role=replica") +
            (Entry.Leaving ? " state=leaving" : " state=ready") +
            " revision=" + std::to_string(Each.Revision));
    Directory.put(Entry);
  }
  this->State.applyUpstreams();
}

void StoreFollower::upstreamsAway() {
  this->State.directory().storeWasAway(steadyNow());
}

StoreFollower::Task<void> StoreFollower::keepRegistered() {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  std::chrono::milliseconds Pause = FirstPause;
  while (!this->Stopped && !co_await this->registerHost())
    co_await this->pause(Pause);
  ListFreshness Freshness = ListFreshness::Current;
  while (!this->Stopped) {
    co_await this->listHosts(Freshness);
    Freshness = ListFreshness::MayBeStale;
    co_await this->removeGoneHosts();
    co_await sleepUntil(steadyNow() + this->pace().HostInterval);
  }
}

StoreFollower::Task<bool> StoreFollower::registerHost() {
  StoredObject Own;
  Own.Name = this->State.identity().Host;
  Own.Spec[AddressMember] = this->ReportAddress;
  const Result<StoredObject> Created = co_await this->Store.create(
      Collection::Hosts, Own, steadyNow() + CallLimit);
  if (Created)
    co_return true;
  if (Created.error().Kind != ErrorKind::VersionConflict) {
    logInfo("event=register_failed error=\"" + Created.error().Detail + "\"");
    co_return false;
  }
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Hosts, Own.Name, steadyNow() + CallLimit);
  if (!Present)
    co_return false;
  if (Present.value().Spec == Own.Spec)
    co_return true;
  Own.Revision = Present.value().Revision;
  const Result<StoredObject> Replaced = co_await this->Store.replaceIf(
      Collection::Hosts, Own, steadyNow() + CallLimit);
  co_return Replaced.has_value();
}

StoreFollower::Task<void> StoreFollower::listHosts(ListFreshness Freshness) {
  const Result<StoredObjects> Listed = co_await this->Store.list(
      Collection::Hosts, Freshness, steadyNow() + CallLimit);
  if (!Listed) {
    logInfo("event=hosts_unknown error=\"" + Listed.error().Detail + "\"");
    co_return;
  }
  std::map<std::string, Endpoint> Hosts;
  for (const StoredObject &Each : Listed.value().Objects) {
    const Json::Value &Address = Each.Spec.isObject()
                                     ? Each.Spec[AddressMember]
                                     : Json::Value::nullSingleton();
    const Result<Endpoint> Where =
        parseEndpoint(Address.isString() ? Address.asString() : std::string());
    if (Where)
      Hosts[Each.Name] = Where.value();
    else
      logInfo("event=host_unreadable name=" + Each.Name);
  }
  this->State.fleet().setRegistered(Hosts, BootClock::now());
  this->State.applyFleet();
}

StoreFollower::Task<void> StoreFollower::removeGoneHosts() {
  const BootTime Now = BootClock::now();
  // One host does it; the others would find nothing left.
  if (this->State.fleet().rank(Now) != 0)
    co_return;
  for (const std::string &Name : this->State.fleet().gone(Now)) {
    const Result<void> Removed = co_await this->Store.remove(
        Collection::Hosts, Name, steadyNow() + CallLimit);
    logInfo("event=host_removed host=" + Name +
            (Removed ? "" : " error=\"" + Removed.error().Detail + "\""));
  }
}

StoreFollower::Task<void> StoreFollower::unregister() {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  const Result<void> Removed = co_await this->Store.remove(
      Collection::Hosts, this->State.identity().Host, steadyNow() + CallLimit);
  if (!Removed)
    logInfo("event=unregister_failed error=\"" + Removed.error().Detail + "\"");
}

} // namespace lavenderdale
