#include "http/httpserver.h"
#include "http/resumewith.h"
#include "sessionproxy/sharedstore.h"
#include "sessionproxy/storecallintervals.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// The state of the store that all hosts call. Used on one worker only.
struct StoreState {
  std::uint64_t Revision = 1;
  std::uint64_t KeptAfter = 0; ///< Changes after it can be watched.
  std::vector<StoredObject> Changes;
  std::set<asio::steady_timer *> Watching;
  /// Time of the last answer to any call.
  TimePoint AnsweredAt{};

  void put(const std::string &Name) {
    StoredObject Object;
    Object.Name = Name;
    Object.Revision = ++this->Revision;
    this->Changes.push_back(Object);
    for (asio::steady_timer *Each : this->Watching)
      Each->cancel();
  }
};

/// The store as one host reaches it.
class HostStore final : public ObjectStore {
public:
  HostStore(asio::any_io_executor Executor, StoreState &State)
      : Executor(std::move(Executor)), State(State) {}

  Call<StoredObjects> list(Collection, ListFreshness, TimePoint) override {
    ++this->Calls;
    if (this->Refuses)
      co_return unavailable();
    StoredObjects Listed;
    Listed.Objects = this->State.Changes;
    Listed.AtRevision = this->State.Revision;
    this->State.AnsweredAt = steadyNow();
    co_return Listed;
  }

  Call<StoredObjects> watch(Collection, std::uint64_t Revision,
                            std::chrono::milliseconds Wait) override {
    ++this->Calls;
    if (this->Refuses)
      co_return unavailable();
    if (Revision < this->State.KeptAfter)
      co_return failure(ErrorKind::VersionConflict, "status 410");
    asio::steady_timer Timer(this->Executor, steadyNow() + Wait);
    if (this->State.Revision <= Revision) {
      boost::system::error_code Cancelled;
      this->State.Watching.insert(&Timer);
      co_await Timer.async_wait(resumeWith(Cancelled));
      this->State.Watching.erase(&Timer);
    }
    if (this->Refuses)
      co_return unavailable();
    StoredObjects Found;
    for (const StoredObject &Each : this->State.Changes)
      if (Each.Revision > Revision)
        Found.Objects.push_back(Each);
    Found.AtRevision = this->State.Revision;
    this->State.AnsweredAt = steadyNow();
    co_return Found;
  }

  Call<StoredObject> get(Collection, std::string, TimePoint) override {
    co_return unavailable();
  }
  Call<StoredObject> create(Collection, StoredObject Object,
                            TimePoint) override {
    ++this->Calls;
    co_return Object;
  }
  Call<StoredObject> replaceIfUnchanged(Collection, StoredObject,
                                        TimePoint) override {
    co_return unavailable();
  }
  Call<void> remove(Collection, std::string, TimePoint) override {
    co_return unavailable();
  }

  bool Refuses = false;
  int Calls = 0;

private:
  static Error unavailable() {
    return failure(ErrorKind::PlatformUnavailable, "status 503");
  }

  asio::any_io_executor Executor;
  StoreState &State;
};

std::string nameOf(std::size_t Number) {
  return "host-" + std::to_string(Number);
}

struct Host {
  Host(WorkerPool &Workers, StoreState &State, std::size_t Number)
      : View(nameOf(Number)), Store(Workers.worker(0).get_executor(), State),
        Shared(Workers.worker(0).get_executor(), this->Store, this->View,
               {nameOf(Number), "z", 0}, Number, this->Metrics),
        Server(Workers, HttpServerLimits(), [this](HttpRequest Request) {
          return this->answer(std::move(Request));
        }) {
    this->Where = this->Server.listen({"127.0.0.1", 0}).value();
  }

  asio::awaitable<HttpResponse> answer(HttpRequest Request) {
    if (this->Replacement) {
      HttpResponse Response = *this->Replacement;
      co_return Response;
    }
    co_return co_await this->Shared.answer(std::move(Request.Target));
  }

  FleetView View;
  ProxyMetrics Metrics;
  HostStore Store;
  SharedStore Shared;
  std::optional<HttpResponse> Replacement; ///< For all its answers.
  HttpServer Server;
  Endpoint Where;
};

/// Hosts of one failure domain in one process, over loopback.
struct Domain {
  explicit Domain(std::size_t Count = SmallFleet + 1) : Workers(1) {
    for (std::size_t Each = 0; Each < Count; ++Each)
      this->Hosts.push_back(
          std::make_unique<Host>(this->Workers, this->State, Each));
    std::map<std::string, FleetView::Registration> Registered;
    for (std::size_t Each = 0; Each < Count; ++Each)
      Registered[nameOf(Each)] = {this->Hosts[Each]->Where, "z", 0,
                                  toString(this->Hosts[Each]->Where)};
    for (const auto &Each : this->Hosts) {
      Each->View.setRegistered(Registered, BootClock::now());
      Each->Shared.hostsListed();
    }
    for (const auto &Each : this->Hosts)
      (Each->Shared.callingHosts() <= SmallFleet ? this->Watchers
                                                 : this->Followers)
          .push_back(Each.get());
    this->Workers.start();
  }

  ~Domain() { this->Workers.stop(); }

  /// All hosts report to each other, so that they count as present.
  void report() {
    ++this->Reports;
    for (const auto &Receiver : this->Hosts)
      for (std::size_t Each = 0; Each < this->Hosts.size(); ++Each) {
        HostReport Report;
        Report.Host = nameOf(Each);
        Report.FailureDomain = "z";
        Report.Address = toString(this->Hosts[Each]->Where);
        Report.Internal = Report.Address;
        Report.Sequence = this->Reports;
        Receiver->View.recordReport(Report, BootClock::now());
      }
  }

  template <typename T> T run(std::function<asio::awaitable<T>()> Task) {
    return asio::co_spawn(this->Workers.worker(0), std::move(Task),
                          asio::use_future)
        .get();
  }

  void call(std::function<void()> Function) {
    this->run<bool>([&]() -> asio::awaitable<bool> {
      Function();
      co_return true;
    });
  }

  std::optional<StoredObjects> list(Host &Of) {
    return this->run<std::optional<StoredObjects>>(
        [&]() -> asio::awaitable<std::optional<StoredObjects>> {
          const Result<StoredObjects> Listed = co_await Of.Shared.list(
              Collection::Upstreams, ListFreshness::Current,
              steadyNow() + 900ms);
          if (!Listed)
            co_return std::nullopt;
          co_return Listed.value();
        });
  }

  using Watched = std::pair<std::optional<StoredObjects>, ErrorKind>;

  std::future<Watched> beginWatch(Host &Of, std::uint64_t Revision) {
    return asio::co_spawn(
        this->Workers.worker(0),
        [&Of, Revision]() -> asio::awaitable<Watched> {
          const Result<StoredObjects> Changes =
              co_await Of.Shared.watch(Collection::Upstreams, Revision, 4500ms);
          if (!Changes)
            co_return Watched{std::nullopt, Changes.error().Kind};
          co_return Watched{Changes.value(), ErrorKind::Internal};
        },
        asio::use_future);
  }

  std::uint64_t Reports = 0;
  StoreState State;
  WorkerPool Workers;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Host *> Watchers;
  std::vector<Host *> Followers;
};

} // namespace

// Guards against followers that call the store, that learn of a change after a
// polling interval only, or that take it for confirmed later than the store
// answered.
TEST_CASE("followers get lists and changes from a watcher") {
  Domain All;
  REQUIRE(All.Watchers.size() == 2);
  All.call([&] { All.State.put("a"); });
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  const TimePoint Listed = All.State.AnsweredAt;
  Host &Follower = *All.Followers.front();
  const std::optional<StoredObjects> First = All.list(Follower);
  REQUIRE(First);
  CHECK(First->Objects.size() == 1);
  REQUIRE(First->AnsweredAt);
  CHECK(*First->AnsweredAt <= Listed);
  CHECK(*First->AnsweredAt > Listed - 1s);

  std::vector<std::future<Domain::Watched>> OfWatchers;
  OfWatchers.reserve(All.Watchers.size());
  for (Host *Each : All.Watchers)
    OfWatchers.push_back(All.beginWatch(*Each, First->AtRevision));
  std::future<Domain::Watched> Changes =
      All.beginWatch(Follower, First->AtRevision);
  const TimePoint Changed = steadyNow();
  All.call([&] { All.State.put("b"); });
  const Domain::Watched Received = Changes.get();
  CHECK(steadyNow() - Changed < 1500ms); // A held request ends after 2 s.
  REQUIRE(Received.first);
  REQUIRE(Received.first->Objects.size() == 1);
  CHECK(Received.first->Objects[0].Name == "b");
  for (std::future<Domain::Watched> &Each : OfWatchers)
    Each.get();
  CHECK(*Received.first->AnsweredAt <= All.State.AnsweredAt);
  for (const Host *Each : All.Followers)
    CHECK(Each->Store.Calls == 0);
  for (const Host *Each : All.Watchers)
    CHECK(Each->Store.Calls == 2);
}

// Guards against a follower without a current state while the store answers it,
// because its watchers are refused by the store, run the version before, send
// what cannot be read, or are gone.
TEST_CASE("followers turn to the store when no watcher helps") {
  Domain All;
  All.call([&] { All.State.put("a"); });
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  Host &Follower = *All.Followers.front();
  REQUIRE(All.list(Follower));
  const int Fault = GENERATE(0, 1, 2, 3);
  CAPTURE(Fault);
  for (Host *Each : All.Watchers)
    if (Fault == 0) {
      All.call([&] { Each->Store.Refuses = true; });
      All.beginWatch(*Each, All.State.Revision).get();
    } else {
      All.call([&] {
        Each->Replacement = HttpResponse();
        Each->Replacement->Status = Fault == 1 ? 404 : Fault == 2 ? 200 : 500;
        Each->Replacement->Body = "{\"revision\":1}";
      });
    }
  const std::uint64_t Before = All.State.Revision;
  All.call([&] { All.State.put("b"); });
  const TimePoint Begin = steadyNow();
  const Domain::Watched Received = All.beginWatch(Follower, Before).get();
  CHECK(steadyNow() - Begin < 1500ms);
  REQUIRE(Received.first);
  CHECK_FALSE(Received.first->AnsweredAt);
  REQUIRE(Received.first->Objects.size() == 1);
  CHECK(Received.first->Objects[0].Name == "b");
  CHECK(Follower.Store.Calls == 1);
}

// Guards against a stale watcher whose list brings back an older state.
TEST_CASE("an older list of a watcher is not used") {
  Domain All;
  All.call([&] { All.State.put("a"); });
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  Host &Follower = *All.Followers.front();
  REQUIRE(All.list(Follower));
  // The store changed, and this follower got it from the store itself.
  for (Host *Each : All.Watchers)
    All.call([&] {
      SharedAnswer Old;
      Old.StoreAnswers = true;
      Old.Objects.AtRevision = 1;
      Each->Replacement = HttpResponse();
      Each->Replacement->Body = encodeSharedAnswer(Old, "");
    });
  const std::optional<StoredObjects> Listed = All.list(Follower);
  REQUIRE(Listed);
  CHECK(Listed->Objects.size() == 1);
  CHECK(Follower.Store.Calls == 1);
}

// Guards against a follower that misses changes, or watches for ever, when the
// store or its watcher no longer has the changes that it needs.
TEST_CASE("a follower lists again when history was dropped") {
  Domain All;
  All.call([&] { All.State.put("a"); });
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  Host &Follower = *All.Followers.front();
  const std::uint64_t Old = All.list(Follower)->AtRevision;
  All.call([&] {
    All.State.put("b");
    All.State.KeptAfter = All.State.Revision;
  });
  for (Host *Each : All.Watchers) {
    CHECK(All.beginWatch(*Each, Old).get().second ==
          ErrorKind::VersionConflict);
    REQUIRE(All.list(*Each));
  }
  CHECK(All.beginWatch(Follower, Old).get().second ==
        ErrorKind::VersionConflict);
  const std::optional<StoredObjects> Listed = All.list(Follower);
  REQUIRE(Listed);
  CHECK(Listed->Objects.size() == 2);
  CHECK(Follower.Store.Calls == 0);
}

// Guards against more calls of a store that answers nobody than each host made
// before, and against followers that call it for ever after it has returned.
TEST_CASE("an outage of the store multiplies no calls") {
  Domain All;
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  Host &Follower = *All.Followers.front();
  const std::uint64_t Revision = All.list(Follower)->AtRevision;
  All.call([&] {
    for (const auto &Each : All.Hosts)
      Each->Store.Refuses = true;
  });
  for (Host *Each : All.Watchers)
    CHECK_FALSE(All.beginWatch(*Each, Revision).get().first);
  for (int Tries = 1; Tries <= 5; ++Tries) {
    CHECK(All.beginWatch(Follower, Revision).get().second ==
          ErrorKind::PlatformUnavailable);
    CHECK(Follower.Store.Calls == Tries);
  }
  // The store lost what had lapsed; it tells so when it returns.
  All.call([&] {
    for (const auto &Each : All.Hosts)
      Each->Store.Refuses = false;
    All.State.put("a");
  });
  for (Host *Each : All.Watchers)
    REQUIRE(All.beginWatch(*Each, Revision).get().first);
  // The pause of a watcher is at most a quarter longer than MaxPause. It is
  // that long only if the tries above took longer than MinPause on a busy
  // machine, so that watchers failed again.
  const TimePoint End = steadyNow() + WatcherLimits().MaxPause * 5 / 4;
  std::this_thread::sleep_for(WatcherLimits().MinPause * 5 / 4);
  int Before = Follower.Store.Calls;
  All.call([&] { All.report(); });
  Domain::Watched Received = All.beginWatch(Follower, Revision).get();
  while (Received.first && !Received.first->AnsweredAt && steadyNow() < End) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    Before = Follower.Store.Calls;
    All.call([&] { All.report(); });
    Received = All.beginWatch(Follower, Revision).get();
  }
  REQUIRE(Received.first);
  CHECK(Received.first->AnsweredAt);
  CHECK(Received.first->FailedAt);
  CHECK(Received.first->Objects.size() == 1);
  CHECK(Follower.Store.Calls == Before);
}

// Guards against followers that wait for a watcher which stops as planned.
TEST_CASE("a stopping watcher ends the requests that it holds") {
  Domain All;
  for (Host *Each : All.Watchers)
    REQUIRE(All.list(*Each));
  Host &Follower = *All.Followers.front();
  const std::uint64_t Revision = All.list(Follower)->AtRevision;
  std::future<Domain::Watched> Changes = All.beginWatch(Follower, Revision);
  const auto Holding = [&] {
    return All.run<bool>([&]() -> asio::awaitable<bool> {
      std::size_t InFlight = 0;
      for (const Host *Each : All.Watchers)
        InFlight += Each->Server.requestsInFlight();
      co_return InFlight > 0;
    });
  };
  while (!Holding())
    std::this_thread::sleep_for(1ms);
  const TimePoint Stopped = steadyNow();
  All.call([&] {
    for (Host *Each : All.Watchers)
      Each->Shared.stop();
  });
  // The follower now watches the store, which sends the change.
  while (All.run<bool>(
      [&]() -> asio::awaitable<bool> { co_return Follower.Store.Calls == 0; }))
    std::this_thread::sleep_for(1ms);
  CHECK(steadyNow() - Stopped < 1500ms);
  All.call([&] { All.State.put("a"); });
  CHECK(Changes.get().first->Objects.size() == 1);
}

// Guards against a change for small fleets, of which each host calls the store.
TEST_CASE("hosts of a small fleet call the store themselves") {
  Domain All(6);
  CHECK(All.Followers.empty());
  for (Host *Each : All.Watchers) {
    CHECK(Each->Shared.callingHosts() == 6);
    const std::optional<StoredObjects> Listed = All.list(*Each);
    REQUIRE(Listed);
    CHECK_FALSE(Listed->AnsweredAt);
    CHECK(Each->Store.Calls == 1);
  }
}

namespace {

/// Calls of a day, of which those that may be stale cost a tenth.
struct DayCalls {
  double Starts = 0;
  double Watches = 0;
  double StaleLists = 0;

  double running() const { return this->Watches + this->StaleLists; }
  double all() const { return this->Starts + this->running(); }
};

/// Counts the calls of \p Hosts hosts in \p Length, in which the upstreams
/// change at a few times and the catalogue once.
DayCalls callsOfDay(std::size_t Hosts, std::chrono::milliseconds Length,
                    bool Shared) {
  constexpr double StalePrice = 0.1;
  constexpr std::chrono::milliseconds ClaimListInterval{4000};
  const std::vector<std::chrono::milliseconds> UpstreamChanges = {9s, 17s, 23s,
                                                                  31s, 38s};
  const std::vector<std::chrono::milliseconds> CatalogueChanges = {20s};
  const std::size_t Confirming = Shared ? 0 : 5;
  std::vector<PlacementHost> All;
  for (std::size_t Each = 0; Each < Hosts; ++Each)
    All.push_back({nameOf(Each), "z" + std::to_string(Each % 3), 0});
  DayCalls Sum;
  const auto CountWatches = [&](std::chrono::milliseconds Wait,
                                std::chrono::milliseconds Pause,
                                const auto &Changes) {
    for (std::chrono::milliseconds Now{0}; Now < Length;) {
      ++Sum.Watches;
      const auto Next = std::upper_bound(Changes.begin(), Changes.end(), Now);
      Now = Next != Changes.end() && *Next < Now + Wait ? *Next + Pause
                                                        : Now + Wait;
    }
  };
  for (std::size_t Each = 0; Each < Hosts; ++Each) {
    WatcherChoice Choice(All[Each], Each);
    Choice.setHosts(All);
    const StoreCallIntervals Fleet = storeCallIntervals(Hosts);
    // Registration, and the hosts in full once.
    Sum.Starts += 2;
    const auto StaleLists =
        2 + Length / Fleet.HostInterval + Length / ClaimListInterval;
    Sum.StaleLists += StalePrice * static_cast<double>(StaleLists);
    if (Shared && !Choice.watches())
      continue;
    const StoreCallIntervals Own =
        Shared ? storeCallIntervals(SmallFleet) : Fleet;
    Sum.Starts += 2;
    CountWatches(Each < Confirming ? Own.ConfirmingWait : Own.CatalogueWait,
                 0ms, CatalogueChanges);
    CountWatches(Own.UpstreamWait, Own.ChangePause, UpstreamChanges);
  }
  return Sum;
}

} // namespace

// Guards against store calls that grow with the fleet. The target is a third of
// the calls of a fleet in which each host watches; what each host calls at its
// start is not shared.
TEST_CASE("a running fleet of 95 hosts makes a third of the store calls") {
  const DayCalls Before = callsOfDay(95, 45s, false);
  const DayCalls After = callsOfDay(95, 45s, true);
  std::printf("95 hosts, 45 s, calls in prices: watches %.0f, then %.0f; "
              "running %.0f, then %.0f; with the start %.0f, then %.0f\n",
              Before.Watches, After.Watches, Before.running(), After.running(),
              Before.all(), After.all());
  CHECK(After.Watches * 5 < Before.Watches);
  CHECK(After.running() * 3 < Before.running());
  CHECK(After.all() < Before.all() * 0.4);
}
