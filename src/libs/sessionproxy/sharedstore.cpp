#include "sharedstore.h"

#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "placement/hostcapacity.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr int StatusOk = 200;
constexpr int StatusNotWatcher = 404;
constexpr int StatusHistoryGone = 410;
constexpr int StatusNoState = 503;

const char *nameOf(WatcherFailure Failure) {
  switch (Failure) {
  case WatcherFailure::NoAnswer:
    return "no_answer";
  case WatcherFailure::NotWatcher:
    return "not_watcher";
  case WatcherFailure::StoreLost:
    return "store_lost";
  case WatcherFailure::OldState:
    return "old_state";
  }
  return "";
}

milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::chrono::ceil<milliseconds>(Now - At);
}

HttpResponse statusOnly(int Status) {
  HttpResponse Response;
  Response.Status = Status;
  return Response;
}

} // namespace

SharedStore::SharedStore(asio::any_io_executor Executor, ObjectStore &Store,
                         const FleetView &Fleet, PlacementHost Self,
                         std::uint64_t Seed, ProxyMetrics &Metrics)
    : Executor(std::move(Executor)), Store(Store), Fleet(Fleet),
      Self(std::move(Self)), Metrics(Metrics), Choice(this->Self, Seed),
      FirstHostList(this->Executor, steadyNow() + FleetListTime) {
  this->Metrics.WatchesStore.set(1);
}

void SharedStore::hostsListed() {
  this->FirstHostList.expires_at(TimePoint::min());
}

asio::awaitable<void> SharedStore::waitForFleet() {
  boost::system::error_code Cancelled;
  co_await this->FirstHostList.async_wait(resumeWith(Cancelled));
}

asio::awaitable<void> SharedStore::spreadStart(bool &Done,
                                               milliseconds Spread) {
  if (std::exchange(Done, true))
    co_return;
  co_await this->waitForFleet();
  this->updateHosts();
  co_await sleepUntil(steadyNow() + this->Choice.startDelay(Spread));
}

void SharedStore::updateHosts() {
  const BootTime Now = BootClock::now();
  const std::uint64_t Revision = this->Fleet.presentRevision(Now);
  if (this->KnownHosts == Revision)
    return;
  this->KnownHosts = Revision;
  std::vector<PlacementHost> Hosts = {this->Self};
  for (const auto &[Name, Each] : this->Fleet.present(Now))
    Hosts.push_back({Name, Each->FailureDomain, Each->Capacity});
  fillCapacities(Hosts);
  const bool Shared = this->Choice.shares();
  this->Choice.setHosts(Hosts);
  const bool Watches = this->Choice.watches();
  if (Watches == this->Watching && Shared == this->Choice.shares())
    return;
  this->Watching = Watches;
  this->Metrics.WatchesStore.set(Watches ? 1 : 0);
  logInfo(std::string("event=store_watcher watches=") +
          (Watches ? "yes" : "no") +
          " shared=" + (this->Choice.shares() ? "yes" : "no") +
          " hosts=" + std::to_string(Hosts.size()));
}

std::size_t SharedStore::callingHosts() {
  this->updateHosts();
  const std::size_t Hosts = this->Fleet.size(BootClock::now());
  return this->Choice.shares() && this->Choice.watches()
             ? std::min(Hosts, SmallFleet)
             : Hosts;
}

bool SharedStore::shares() {
  this->updateHosts();
  return this->Choice.shares();
}

ObjectStore::Call<StoredObjects> SharedStore::list(Collection From,
                                                   ListFreshness Freshness,
                                                   TimePoint Deadline) {
  const Duration Timeout = Deadline - steadyNow();
  if (From == Collection::Promotions)
    co_await this->spreadStart(this->ClaimsListed,
                               this->Choice.limits().ClaimSpread);
  if (!isShared(From)) {
    this->Metrics.StoreCalls.add();
    co_return co_await this->Store.list(From, Freshness, steadyNow() + Timeout);
  }
  co_await this->waitForFleet();
  std::optional<Result<StoredObjects>> Received =
      co_await this->receive(From, std::nullopt);
  if (Received)
    co_return std::move(*Received);
  co_return co_await this->listStore(From, Freshness, Timeout);
}

ObjectStore::Call<StoredObjects> SharedStore::listAtStart(Collection From,
                                                          TimePoint Deadline) {
  co_return co_await this->listStore(From, ListFreshness::Current,
                                     Deadline - steadyNow());
}

ObjectStore::Call<StoredObjects> SharedStore::listStore(Collection From,
                                                        ListFreshness Freshness,
                                                        Duration Timeout) {
  this->Metrics.StoreCalls.add();
  Result<StoredObjects> Listed =
      co_await this->Store.list(From, Freshness, steadyNow() + Timeout);
  if (Listed)
    this->Collections[From].recordList(Listed.value(), steadyNow());
  else
    this->Collections[From].recordFailure(steadyNow());
  this->wakeHeld(From);
  co_return Listed;
}

ObjectStore::Call<StoredObjects>
SharedStore::watch(Collection From, std::uint64_t Revision, milliseconds Wait) {
  if (isShared(From)) {
    std::optional<Result<StoredObjects>> Received =
        co_await this->receive(From, Revision);
    if (Received)
      co_return std::move(*Received);
  }
  this->Metrics.StoreCalls.add();
  Result<StoredObjects> Changes =
      co_await this->Store.watch(From, Revision, Wait);
  if (!isShared(From))
    co_return Changes;
  if (Changes)
    this->Collections[From].recordChanges(Revision, Changes.value(),
                                          steadyNow());
  else if (Changes.error().Kind != ErrorKind::VersionConflict)
    this->Collections[From].recordFailure(steadyNow());
  this->wakeHeld(From);
  co_return Changes;
}

ObjectStore::Call<StoredObject>
SharedStore::get(Collection From, std::string Name, TimePoint Deadline) {
  this->Metrics.StoreCalls.add();
  co_return co_await this->Store.get(From, std::move(Name), Deadline);
}

ObjectStore::Call<StoredObject>
SharedStore::create(Collection In, StoredObject Object, TimePoint Deadline) {
  const Duration Timeout = Deadline - steadyNow();
  if (In == Collection::Hosts)
    co_await this->spreadStart(this->Registered,
                               this->Choice.limits().StartSpread);
  this->Metrics.StoreCalls.add();
  co_return co_await this->Store.create(In, std::move(Object),
                                        steadyNow() + Timeout);
}

ObjectStore::Call<StoredObject>
SharedStore::replaceIfUnchanged(Collection In, StoredObject Object,
                                TimePoint Deadline) {
  this->Metrics.StoreCalls.add();
  co_return co_await this->Store.replaceIfUnchanged(In, std::move(Object),
                                                    Deadline);
}

ObjectStore::Call<void> SharedStore::remove(Collection From, std::string Name,
                                            TimePoint Deadline) {
  this->Metrics.StoreCalls.add();
  co_return co_await this->Store.remove(From, std::move(Name), Deadline);
}

asio::awaitable<std::optional<Result<StoredObjects>>>
SharedStore::receive(Collection From, std::optional<std::uint64_t> After) {
  while (!this->Stopped) {
    this->updateHosts();
    const TimePoint Now = steadyNow();
    const WatcherRequest Request = this->Choice.next(Now);
    if (Request.Watcher.empty()) {
      if (Request.Deadline <= Now)
        break;
      // Meanwhile a watcher may be trusted again.
      co_await sleepUntil(Request.Deadline);
      continue;
    }
    Reply Received = co_await this->ask(Request, From, After);
    std::optional<Result<StoredObjects>> Accepted;
    if (Received.HistoryGone)
      Accepted = failure(ErrorKind::VersionConflict,
                         "the watcher no longer keeps these changes");
    else if (!Received.Failure)
      Accepted = this->accept(From, After, std::move(Received.Objects));
    // A list that is refused as old; changes that are old are left out.
    if (Accepted && !*Accepted && !After)
      Received.Failure = WatcherFailure::OldState;
    if (!Received.Failure) {
      this->Choice.answered(Request.Watcher, steadyNow());
      this->Metrics.SharedReceived.add();
      this->wakeHeld(From);
      co_return Accepted;
    }
    this->Choice.failed(Request.Watcher, *Received.Failure, steadyNow());
    this->Metrics.countWatcherFailure(nameOf(*Received.Failure));
    // At most one for each pause of the watcher and each collection.
    logInfo("event=watcher_failed watcher=" + Request.Watcher + " collection=" +
            sharedName(From) + " reason=" + nameOf(*Received.Failure));
  }
  co_return std::nullopt;
}

Result<StoredObjects> SharedStore::accept(Collection From,
                                          std::optional<std::uint64_t> After,
                                          StoredObjects Objects) {
  SharedCollection &Known = this->Collections[From];
  return After ? Known.acceptChanges(*After, std::move(Objects))
               : Known.acceptList(std::move(Objects));
}

std::shared_ptr<HttpClient> SharedStore::clientOf(const std::string &Watcher) {
  const auto Host = this->Fleet.hosts().find(Watcher);
  if (Host == this->Fleet.hosts().end())
    return nullptr;
  const std::string &Address =
      Host->second.Last ? Host->second.Last->Internal : Host->second.Internal;
  const Result<Endpoint> Where = parseEndpoint(Address);
  if (!Where)
    return nullptr;
  std::shared_ptr<HttpClient> &Client = this->Clients[Address];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Executor, Where.value(),
                                          IdleConnections::Reconnect);
  return Client;
}

asio::awaitable<SharedStore::Reply>
SharedStore::ask(WatcherRequest Request, Collection From,
                 std::optional<std::uint64_t> After) {
  const std::shared_ptr<HttpClient> Client = this->clientOf(Request.Watcher);
  if (!Client)
    co_return Reply{WatcherFailure::NoAnswer, false, {}};
  HttpRequest Message;
  Message.Method = "GET";
  Message.Target = encodeSharedTarget({From, After, Request.Wait});
  const TimePoint SentAt = steadyNow();
  const Result<HttpResponse> Response =
      co_await Client->send(std::move(Message), Request.Deadline);
  if (!Response || Response.value().Status == StatusNoState)
    co_return Reply{WatcherFailure::NoAnswer, false, {}};
  if (Response.value().Status == StatusHistoryGone && After)
    co_return Reply{std::nullopt, true, {}};
  if (Response.value().Status != StatusOk)
    co_return Reply{WatcherFailure::NotWatcher, false, {}};
  Result<SharedAnswer> Decoded = decodeSharedAnswer(Response.value().Body);
  if (!Decoded) {
    logWarn("event=watcher_unreadable watcher=" + Request.Watcher +
            " error=\"" + Decoded.error().Detail + "\"");
    co_return Reply{WatcherFailure::NoAnswer, false, {}};
  }
  SharedAnswer &Answer = Decoded.value();
  if (!this->Choice.usable({Answer.StoreAnswers, Answer.StoreAge}))
    co_return Reply{WatcherFailure::StoreLost, false, {}};
  // The watcher answered at this time or later; the answer may have been under
  // way for long.
  const TimePoint SentBack = SentAt + Answer.Held;
  Answer.Objects.AnsweredAt = SentBack - Answer.StoreAge;
  if (Answer.FailureAge)
    Answer.Objects.FailedAt = SentBack - *Answer.FailureAge;
  co_return Reply{std::nullopt, false, std::move(Answer.Objects)};
}

asio::awaitable<void> SharedStore::hold(Collection From, TimePoint Deadline) {
  asio::steady_timer Timer(this->Executor, Deadline);
  boost::system::error_code Cancelled;
  this->Held[From].insert(&Timer);
  co_await Timer.async_wait(resumeWith(Cancelled));
  this->Held[From].erase(&Timer);
}

void SharedStore::wakeHeld(Collection From) {
  for (asio::steady_timer *Each : this->Held[From])
    Each->cancel();
}

void SharedStore::recordRefusal(TimePoint Now) {
  constexpr std::chrono::seconds LogInterval{1};
  this->Metrics.SharedRefused.add();
  if (Now - this->RefusalLoggedAt < LogInterval)
    return;
  this->RefusalLoggedAt = Now;
  logWarn("event=shared_requests_refused held=" +
          std::to_string(this->HeldRequests));
}

void SharedStore::stop() {
  this->Stopped = true;
  for (const auto &[From, Timers] : this->Held)
    this->wakeHeld(From);
}

asio::awaitable<HttpResponse> SharedStore::answer(std::string Target) {
  const Result<SharedRequest> Decoded = decodeSharedTarget(Target);
  if (!Decoded)
    co_return problemResponse(Decoded.error());
  const SharedRequest Request = Decoded.value();
  const TimePoint Arrived = steadyNow();
  this->updateHosts();
  const auto Watches = [this] {
    return !this->Stopped && this->Choice.shares() && this->Choice.watches();
  };
  if (!Watches())
    co_return statusOnly(StatusNotWatcher);
  SharedCollection &Known = this->Collections[Request.From];
  const auto NothingToTell = [&Known, &Request] {
    if (!Known.isKnown())
      return true;
    return Request.After && Known.storeAnswers() &&
           Known.changesAfter(*Request.After) == std::string();
  };
  if (this->HeldRequests >= MaxHeldRequests) {
    this->recordRefusal(Arrived);
    co_return statusOnly(StatusNoState);
  }
  // An answer of the store without changes ends the request too, because it
  // confirms the state.
  if (Request.Wait.count() > 0 && NothingToTell()) {
    ++this->HeldRequests;
    co_await this->hold(Request.From, Arrived + Request.Wait);
    --this->HeldRequests;
  }
  if (!Watches())
    co_return statusOnly(StatusNotWatcher);
  if (!Known.isKnown() || !Known.answeredAt())
    co_return statusOnly(StatusNoState);
  std::optional<std::string> Members =
      Request.After ? Known.changesAfter(*Request.After) : Known.allObjects();
  if (!Members)
    co_return statusOnly(StatusHistoryGone);
  const TimePoint Now = steadyNow();
  SharedAnswer Answer;
  Answer.Objects.AtRevision = Known.revision();
  Answer.StoreAnswers = Known.storeAnswers();
  Answer.StoreAge = ageOf(*Known.answeredAt(), Now);
  if (Known.failedAt())
    Answer.FailureAge = ageOf(*Known.failedAt(), Now);
  Answer.Held = std::chrono::floor<milliseconds>(Now - Arrived);
  this->Metrics.SharedAnswered.add();
  HttpResponse Response;
  Response.Body = encodeSharedAnswer(Answer, *Members);
  co_return Response;
}

} // namespace lavenderdale
