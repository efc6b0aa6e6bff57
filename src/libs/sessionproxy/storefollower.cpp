#include "storefollower.h"

#include "http/sleepuntil.h"
#include "placement/hostcapacity.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *AddressField = "reportAddress";
constexpr const char *DomainField = "failureDomain";
constexpr const char *CapacityField = "capacity";
constexpr const char *InternalField = "internalAddress";

std::string stringField(const Json::Value &Spec, const char *Field) {
  return Spec.isObject() && Spec[Field].isString() ? Spec[Field].asString()
                                                   : std::string();
}

double capacityOf(const Json::Value &Spec) {
  return Spec.isObject() && Spec[CapacityField].isNumeric()
             ? usableCapacity(Spec[CapacityField].asDouble())
             : 0;
}

} // namespace

StoreFollower::StoreFollower(asio::any_io_executor Executor, SharedStore &Store,
                             ProxyState &State, const RecordDecoder &Decoder,
                             Endpoint Reports, Endpoint Internal)
    : Executor(std::move(Executor)), Store(Store), State(State),
      Decoder(Decoder), Reports(std::move(Reports)),
      Internal(std::move(Internal)), Random(std::random_device{}()) {}

void StoreFollower::start() {
  const FollowedCollection Catalogue{Collection::Catalogue,
                                     "catalogue",
                                     &StoreCallIntervals::CatalogueWait,
                                     false,
                                     &StoreFollower::applyCatalogue,
                                     &StoreFollower::applyCatalogue,
                                     &StoreFollower::confirmCatalogue,
                                     &StoreFollower::doNothing};
  const FollowedCollection Upstreams{Collection::Upstreams,
                                     "upstreams",
                                     &StoreCallIntervals::UpstreamWait,
                                     true,
                                     &StoreFollower::replaceUpstreams,
                                     &StoreFollower::updateUpstreams,
                                     &StoreFollower::recordOutageOfWatcher,
                                     &StoreFollower::recordStoreOutage};
  asio::co_spawn(this->Executor, this->follow(Catalogue), asio::detached);
  const FollowedCollection Evacuated{Collection::Evacuations,
                                     "evacuations",
                                     &StoreCallIntervals::EvacuationWait,
                                     false,
                                     &StoreFollower::replaceEvacuations,
                                     &StoreFollower::updateEvacuations,
                                     &StoreFollower::ignoreAnswer,
                                     &StoreFollower::doNothing};
  if (this->State.access().evacuations().enabled())
    asio::co_spawn(this->Executor, this->follow(Evacuated), asio::detached);
  asio::co_spawn(this->Executor, this->followAfterEvacuations(Upstreams),
                 asio::detached);
  asio::co_spawn(this->Executor, this->keepRegistered(), asio::detached);
}

StoreFollower::Task<void>
StoreFollower::backOff(std::chrono::milliseconds &Length) {
  std::uniform_real_distribution<double> Jitter(0.7, 1.3);
  const auto Backoff =
      std::chrono::duration_cast<Duration>(Length * Jitter(this->Random));
  Length = std::min(Length * 2, MaxBackoff);
  co_await sleepUntil(steadyNow() + Backoff);
}

// One host of each failure domain confirms the catalogue.
StoreCallIntervals StoreFollower::callIntervals() {
  constexpr const char *ConfirmationKey = "catalogue";
  StoreCallIntervals Intervals = storeCallIntervals(this->Store.callingHosts());
  if (this->State.access().promotionRank(ConfirmationKey) <
      UpstreamAccess::PromoterCount)
    Intervals.CatalogueWait = Intervals.ConfirmingWait;
  return Intervals;
}

// A host that starts after an order must not use the upstreams that the order
// concerns. If the orders cannot be read although the upstreams can, it serves
// after half of the bound, and learns of the orders from other hosts.
StoreFollower::Task<void>
StoreFollower::followAfterEvacuations(FollowedCollection Followed) {
  constexpr std::chrono::milliseconds PollInterval{10};
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  const Evacuations &Orders = this->State.access().evacuations();
  const TimePoint Until = steadyNow() + Orders.bound() / 2;
  while (Orders.enabled() && !Orders.current() && !this->Stopped &&
         steadyNow() < Until)
    co_await sleepUntil(steadyNow() + PollInterval);
  if (Orders.enabled() && !Orders.current())
    logWarn("event=evacuations_unknown next=use_all_upstreams");
  co_await this->follow(Followed);
}

StoreFollower::Task<void> StoreFollower::follow(FollowedCollection Followed) {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  std::chrono::milliseconds Backoff = MinBackoff;
  bool Starting = true;
  bool Lost = false;
  std::optional<std::uint64_t> Era;
  while (!this->Stopped) {
    // g++ 12 frees a temporary twice when a conditional operator awaits.
    Result<StoredObjects> Listed =
        failure(ErrorKind::PlatformUnavailable, "not listed");
    if (std::exchange(Starting, false))
      Listed = co_await this->Store.listAtStart(Followed.From,
                                                steadyNow() + CallTimeout);
    else
      Listed = co_await this->Store.list(Followed.From, ListFreshness::Current,
                                         steadyNow() + CallTimeout);
    if (!Listed) {
      (this->*Followed.OnUnavailable)();
      if (!std::exchange(Lost, true))
        logWarn(std::string("event=store_lost collection=") + Followed.Name +
                " call=list error=\"" + Listed.error().Detail + "\"");
      co_await this->backOff(Backoff);
      continue;
    }
    if (std::exchange(Lost, false))
      logInfo(std::string("event=store_regained collection=") + Followed.Name);
    Backoff = MinBackoff;
    const std::uint64_t ListedEra = storeEra(Listed.value().AtRevision);
    // Objects of other writers are missing until they are written again.
    if (Era && ListedEra != *Era)
      (this->*Followed.OnUnavailable)();
    Era = ListedEra;
    (this->*Followed.OnAnswered)(Listed.value());
    (this->*Followed.OnListed)(Listed.value());
    // Lists again only when the store no longer keeps the changes since, or has
    // returned from an older copy.
    while (!this->Stopped &&
           co_await this->watchChanges(Followed, Listed.value().AtRevision))
      ;
  }
}

/// Follows changes after \p Revision.
/// \returns false when the collection has to be listed again.
StoreFollower::Task<bool>
StoreFollower::watchChanges(const FollowedCollection &Followed,
                            std::uint64_t Revision) {
  std::chrono::milliseconds Backoff = MinBackoff;
  bool Lost = false;
  while (!this->Stopped) {
    // After an outage, the first answer has to tell soon whether the store has
    // returned from an older copy.
    std::chrono::milliseconds Wait{0};
    if (!Lost)
      Wait = this->callIntervals().*Followed.Wait;
    const Result<StoredObjects> Changes =
        co_await this->Store.watch(Followed.From, Revision, Wait);
    if (Changes) {
      if (std::exchange(Lost, false)) {
        (this->*Followed.OnUnavailable)();
        logInfo(std::string("event=store_regained collection=") +
                Followed.Name);
      }
      Backoff = MinBackoff;
      Revision = std::max(Revision, Changes.value().AtRevision);
      (this->*Followed.OnAnswered)(Changes.value());
      if (Changes.value().Objects.empty())
        continue;
      (this->*Followed.OnChanged)(Changes.value());
      // The watcher has paused, so that it sends several changes at once.
      if (Followed.PausesAfterChange && !Changes.value().AnsweredAt)
        co_await sleepUntil(steadyNow() + this->callIntervals().ChangePause);
      continue;
    }
    if (Changes.error().Kind == ErrorKind::VersionConflict) {
      logInfo(std::string("event=history_gone collection=") + Followed.Name +
              " " + describeRevision(Revision) + " reason=\"" +
              Changes.error().Detail + "\"");
      co_return false;
    }
    (this->*Followed.OnUnavailable)();
    if (!std::exchange(Lost, true))
      logWarn(std::string("event=store_lost collection=") + Followed.Name +
              " call=watch error=\"" + Changes.error().Detail + "\"");
    co_await this->backOff(Backoff);
  }
  co_return false;
}

void StoreFollower::applyCatalogue(const StoredObjects &Objects) {
  for (const StoredObject &Each : Objects.Objects) {
    if (Each.Removed)
      continue;
    if (!this->Decoder.isCatalogue(Each)) {
      logInfo("event=catalogue_ignored name=" + Each.Name);
      continue;
    }
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

void StoreFollower::confirmCatalogue(const StoredObjects &Objects) {
  this->State.confirmCatalogue(Objects.AnsweredAt.value_or(steadyNow()));
}

void StoreFollower::replaceUpstreams(const StoredObjects &Objects) {
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

void StoreFollower::updateUpstreams(const StoredObjects &Objects) {
  UpstreamDirectory &Directory = this->State.directory();
  for (const StoredObject &Each : Objects.Objects) {
    if (Each.Removed) {
      logInfo("event=upstream_removed upstream=" + Each.Name + " " +
              describeRevision(Each.Revision));
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
            (Entry.Leaving ? " state=leaving" : " state=ready") + " " +
            describeRevision(Each.Revision));
    Directory.put(Entry);
  }
  this->State.applyUpstreams();
}

// Only the names of the objects count: an object whose contents cannot be read
// is an order as well.
void StoreFollower::replaceEvacuations(const StoredObjects &Objects) {
  this->EvacuatedDomains.clear();
  this->updateEvacuations(Objects);
}

void StoreFollower::updateEvacuations(const StoredObjects &Objects) {
  for (const StoredObject &Each : Objects.Objects) {
    if (Each.Removed)
      this->EvacuatedDomains.erase(Each.Name);
    else
      this->EvacuatedDomains.insert(Each.Name);
  }
  this->State.offerEvacuations({Objects.AtRevision, this->EvacuatedDomains},
                               "store");
}

void StoreFollower::recordStoreOutage() {
  this->State.directory().recordStoreFailure(steadyNow());
}

// Entries that lapsed while the store was away lapse for its watchers first.
void StoreFollower::recordOutageOfWatcher(const StoredObjects &Objects) {
  if (Objects.FailedAt)
    this->State.directory().recordStoreFailure(*Objects.FailedAt);
}

StoreFollower::Task<void> StoreFollower::keepRegistered() {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  std::chrono::milliseconds Backoff = MinBackoff;
  // After a restart of all hosts, the list tells at once who else there is.
  co_await this->listHosts(ListFreshness::MayBeStale);
  this->Store.hostsListed();
  while (!this->Stopped && !co_await this->registerHost())
    co_await this->backOff(Backoff);
  ListFreshness Freshness = ListFreshness::Current;
  while (!this->Stopped) {
    co_await this->listHosts(Freshness);
    Freshness = ListFreshness::MayBeStale;
    co_await this->unregisterGoneHosts();
    co_await sleepUntil(
        steadyNow() +
        storeCallIntervals(this->State.fleet().size(BootClock::now()))
            .HostInterval);
  }
}

StoreFollower::Task<bool> StoreFollower::registerHost() {
  StoredObject Own;
  Own.Name = this->State.identity().Host;
  Own.Spec[AddressField] = toString(this->Reports);
  Own.Spec[DomainField] = this->State.identity().FailureDomain;
  if (this->State.identity().Capacity > 0)
    Own.Spec[CapacityField] = this->State.identity().Capacity;
  // Hosts that start need it before the first report arrives.
  if (this->Store.shares())
    Own.Spec[InternalField] = toString(this->Internal);
  const Result<StoredObject> Created = co_await this->Store.create(
      Collection::Hosts, Own, steadyNow() + CallTimeout);
  if (Created)
    co_return true;
  if (Created.error().Kind != ErrorKind::VersionConflict) {
    logInfo("event=register_failed error=\"" + Created.error().Detail + "\"");
    co_return false;
  }
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Hosts, Own.Name, steadyNow() + CallTimeout);
  if (!Present)
    co_return false;
  if (Present.value().Spec == Own.Spec)
    co_return true;
  Own.Revision = Present.value().Revision;
  const Result<StoredObject> Replaced = co_await this->Store.replaceIfUnchanged(
      Collection::Hosts, Own, steadyNow() + CallTimeout);
  co_return Replaced.has_value();
}

StoreFollower::Task<void> StoreFollower::listHosts(ListFreshness Freshness) {
  const Result<StoredObjects> Listed = co_await this->Store.list(
      Collection::Hosts, Freshness, steadyNow() + CallTimeout);
  if (!Listed) {
    logInfo("event=hosts_unknown error=\"" + Listed.error().Detail + "\"");
    co_return;
  }
  std::map<std::string, FleetView::Registration> Hosts;
  for (const StoredObject &Each : Listed.value().Objects) {
    const Result<Endpoint> Where =
        parseEndpoint(stringField(Each.Spec, AddressField));
    if (Where)
      Hosts[Each.Name] = {Where.value(), stringField(Each.Spec, DomainField),
                          capacityOf(Each.Spec),
                          stringField(Each.Spec, InternalField)};
    else
      logInfo("event=host_unreadable name=" + Each.Name);
  }
  this->State.fleet().setRegistered(Hosts, BootClock::now());
  this->State.applyFleet();
}

StoreFollower::Task<void> StoreFollower::unregisterGoneHosts() {
  const BootTime Now = BootClock::now();
  // One host does it; the others would find no entry left to remove.
  if (this->State.fleet().rank(Now) != 0)
    co_return;
  for (const std::string &Name : this->State.fleet().silentHosts(Now)) {
    const Result<void> Removed = co_await this->Store.remove(
        Collection::Hosts, Name, steadyNow() + CallTimeout);
    logInfo("event=host_removed host=" + Name +
            (Removed ? "" : " error=\"" + Removed.error().Detail + "\""));
  }
}

StoreFollower::Task<void> StoreFollower::unregister() {
  const std::shared_ptr<StoreFollower> Keep = this->shared_from_this();
  const Result<void> Removed = co_await this->Store.remove(
      Collection::Hosts, this->State.identity().Host,
      steadyNow() + CallTimeout);
  if (!Removed)
    logInfo("event=unregister_failed error=\"" + Removed.error().Detail + "\"");
}

} // namespace lavenderdale
