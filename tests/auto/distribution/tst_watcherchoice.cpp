#include "distribution/watcherchoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;

std::string nameOf(std::size_t Number) {
  return "host-" + std::to_string(Number);
}

std::vector<PlacementHost> hosts(std::size_t Count) {
  std::vector<PlacementHost> All;
  for (std::size_t Each = 0; Each < Count; ++Each)
    All.push_back({nameOf(Each), "z" + std::to_string(Each % 3), 0});
  return All;
}

WatcherChoice choiceOf(const std::vector<PlacementHost> &All,
                       std::size_t Number) {
  WatcherChoice Choice(All.at(Number), Number);
  Choice.setHosts(All);
  return Choice;
}

/// A host of \p All that follows others, and has done so before.
WatcherChoice followerOf(const std::vector<PlacementHost> &All) {
  for (std::size_t Each = 0;; ++Each) {
    WatcherChoice Choice = choiceOf(All, Each);
    if (Choice.watches())
      continue;
    Choice.answered(Choice.watchers().front(), Start);
    return Choice;
  }
}

/// Asks until the store or an answering watcher is reached.
/// \param Answers whether a watcher answers; those that do not cost the time up
///        to the deadline of the request.
/// \returns the time that was lost.
Duration timeToReach(WatcherChoice &Choice, TimePoint Now,
                     const std::function<bool(const std::string &)> &Answers,
                     std::string *Reached = nullptr) {
  const TimePoint Begin = Now;
  while (true) {
    const WatcherRequest Request = Choice.next(Now);
    if (Reached)
      *Reached = Request.Watcher;
    if (Request.Watcher.empty())
      return Request.Deadline - Begin;
    if (Answers(Request.Watcher)) {
      Choice.answered(Request.Watcher, Now);
      return Now - Begin;
    }
    Now = Request.Deadline;
    Choice.failed(Request.Watcher, WatcherFailure::NoAnswer, Now);
  }
}

} // namespace

// Guards against a change for fleets that do not need it, where each host
// watches the store.
TEST_CASE("hosts of a small fleet watch the store themselves") {
  for (const std::size_t Count : {1, 6, 9, 12}) {
    WatcherChoice Choice = choiceOf(hosts(Count), 0);
    CHECK_FALSE(Choice.shares());
    CHECK(Choice.watches());
    CHECK(Choice.next(Start).Watcher.empty());
    CHECK(Choice.next(Start).Deadline == Start);
    CHECK(Choice.startDelay(Choice.limits().StartSpread) == 0ms);
  }
}

// Guards against domains that nobody watches, against more watchers than
// needed, and against followers of which all ask the same one.
TEST_CASE("two hosts of each failure domain watch the store") {
  const std::vector<PlacementHost> All = hosts(95);
  std::map<std::string, std::size_t> Watching;
  std::map<std::string, std::size_t> Preferred;
  for (std::size_t Each = 0; Each < All.size(); ++Each) {
    const WatcherChoice Choice = choiceOf(All, Each);
    if (Choice.watches())
      ++Watching[All[Each].FailureDomain];
    else
      ++Preferred[Choice.watchers().front()];
  }
  CHECK(Watching ==
        std::map<std::string, std::size_t>{{"z0", 2}, {"z1", 2}, {"z2", 2}});
  CHECK(Preferred.size() == 6);
  for (const auto &[Name, Followers] : Preferred)
    CHECK(Followers >= 5);
}

// Guards against a frozen, cut-off or killed watcher that delays a change by
// more than its bound, and against a second one that does so again.
TEST_CASE("watchers that do not answer cost one bound") {
  WatcherChoice Choice = followerOf(hosts(95));
  const WatcherLimits &Limits = Choice.limits();
  const std::string First = Choice.watchers().at(0);
  const std::string Second = Choice.watchers().at(1);
  std::string Reached;
  SECTION("the preferred one is frozen") {
    CHECK(timeToReach(
              Choice, Start,
              [&](const std::string &Name) { return Name != First; },
              &Reached) == Limits.Wait + Limits.TransitTime);
    CHECK(Reached == Second);
  }
  SECTION("both are frozen") {
    const Duration Lost = timeToReach(
        Choice, Start, [](const std::string &) { return false; }, &Reached);
    CHECK(Reached.empty());
    CHECK(Lost <=
          Limits.Wait + 2 * Limits.TransitTime + 95 * Limits.FallbackSpread);
    CHECK(Lost < 4s); // A configuration is in force within 5 s.
  }
  SECTION("both refuse connections, because they were killed") {
    Choice.failed(First, WatcherFailure::NoAnswer, Start);
    CHECK(Choice.next(Start).Watcher == Second);
    Choice.failed(Second, WatcherFailure::NoAnswer, Start);
    const WatcherRequest Request = Choice.next(Start);
    CHECK(Request.Watcher.empty());
    CHECK(Request.Deadline - Start <= 95 * Limits.FallbackSpread);
    // The spread delays the first call only.
    CHECK(Choice.next(Start + 1s).Deadline == Start + 1s);
  }
}

// Guards against a busy loop at the watcher that stands in, whose requests
// would all return at once.
TEST_CASE("the watcher that stands in may hold requests once it answered") {
  WatcherChoice Choice = followerOf(hosts(95));
  Choice.failed(Choice.watchers().at(0), WatcherFailure::NoAnswer, Start);
  WatcherRequest Request = Choice.next(Start);
  CHECK(Request.Watcher == Choice.watchers().at(1));
  CHECK(Request.Wait == 0ms);
  Choice.answered(Request.Watcher, Start);
  Request = Choice.next(Start);
  CHECK(Request.Watcher == Choice.watchers().at(1));
  CHECK(Request.Wait == Choice.limits().Wait);
}

// Guards against a follower that never shares again, and against one that asks
// a watcher that is still away more and more often.
TEST_CASE("a follower returns to its watcher after a pause") {
  WatcherChoice Choice = followerOf(hosts(95));
  const std::string First = Choice.watchers().front();
  TimePoint Now = Start;
  std::vector<Duration> Pauses;
  for (int Failure = 0; Failure < 5; ++Failure) {
    Choice.failed(First, WatcherFailure::NoAnswer, Now);
    const TimePoint FailedAt = Now;
    while (Choice.next(Now).Watcher != First)
      Now += 100ms;
    CHECK(Choice.next(Now).Wait == 0ms);
    Pauses.push_back(Now - FailedAt);
  }
  CHECK(Pauses.front() >= Choice.limits().MinPause);
  CHECK(Pauses.front() <= Choice.limits().MinPause * 2);
  CHECK(Pauses.back() >= Choice.limits().MaxPause);
  CHECK(Pauses.back() <= Choice.limits().MaxPause * 2);
  Choice.answered(First, Now);
  CHECK(Choice.next(Now).Wait == Choice.limits().Wait);
}

// Guards against two requests that are under way at the same time, of which the
// failures count twice, or a late answer ends the pause.
TEST_CASE("requests that were under way do not change a pause") {
  WatcherChoice Once = followerOf(hosts(95));
  WatcherChoice Twice = followerOf(hosts(95));
  const std::string First = Once.watchers().front();
  Once.failed(First, WatcherFailure::StoreLost, Start);
  Twice.failed(First, WatcherFailure::StoreLost, Start);
  Twice.failed(First, WatcherFailure::StoreLost, Start + 10ms);
  Twice.answered(First, Start + 20ms);
  for (Duration After = 0ms; After < 10s; After += 50ms)
    CHECK(Once.next(Start + After).Watcher ==
          Twice.next(Start + After).Watcher);
}

// Guards against following a watcher that the store does not answer, which
// would confirm what may have changed long ago.
TEST_CASE("a watcher that has lost the store is not trusted") {
  const WatcherChoice Choice = followerOf(hosts(95));
  CHECK(Choice.usable({true, 0ms}));
  CHECK(Choice.usable({true, Choice.limits().MaxStoreAge}));
  CHECK_FALSE(Choice.usable({true, Choice.limits().MaxStoreAge + 1ms}));
  CHECK_FALSE(Choice.usable({false, 0ms}));
  CHECK_FALSE(Choice.usable({true, -1ms}));
  // Noticed by the watcher after its longest watch, by the follower at once.
  CHECK(Choice.limits().MaxStoreAge < 7s);
}

// Guards against a watcher with an old state, for example one restarted with a
// stale copy, that is asked again and again.
TEST_CASE("a watcher with an older state is avoided for the longest pause") {
  WatcherChoice Choice = followerOf(hosts(95));
  const std::string First = Choice.watchers().front();
  Choice.failed(First, WatcherFailure::OldState, Start);
  const TimePoint Before = Start + Choice.limits().MaxPause - 1ms;
  CHECK(Choice.next(Before).Watcher != First);
  CHECK(Choice.next(Start + Choice.limits().MaxPause * 2).Watcher == First);
}

// Guards against two hosts that both consider themselves watchers of the same
// place, because they know different hosts: all must still find one.
TEST_CASE("hosts that know different fleets all reach the store") {
  const std::vector<PlacementHost> All = hosts(60);
  std::vector<WatcherChoice> Choices;
  std::set<std::string> Watching;
  for (std::size_t Each = 0; Each < All.size(); ++Each) {
    // Each host lacks every fifth one of the others.
    std::vector<PlacementHost> Known;
    for (std::size_t Other = 0; Other < All.size(); ++Other)
      if (Other == Each || (Other + Each) % 5 != 0)
        Known.push_back(All[Other]);
    Choices.emplace_back(All[Each], Each);
    Choices.back().setHosts(Known);
    if (Choices.back().watches())
      Watching.insert(All[Each].Name);
  }
  CHECK(Watching.size() >= 6);
  CHECK(Watching.size() <= 20);
  for (WatcherChoice &Each : Choices) {
    std::string Reached;
    timeToReach(
        Each, Start,
        [&](const std::string &Name) { return Watching.contains(Name); },
        &Reached);
    CHECK((Reached.empty() || Watching.contains(Reached)));
  }
}

// Guards against a rolling restart in which hosts of the previous version,
// which answer 404, keep followers from the store or are asked all the time.
TEST_CASE("half of the fleet runs the version before") {
  const std::vector<PlacementHost> All = hosts(95);
  const auto IsNew = [](const std::string &Name) {
    return (Name.back() - '0') % 2 == 0;
  };
  for (std::size_t Host = 0; Host < All.size(); ++Host) {
    WatcherChoice Choice = choiceOf(All, Host);
    if (Choice.watches())
      continue;
    int Refused = 0;
    for (TimePoint Now = Start; Now < Start + 60s; Now += 1s) {
      WatcherRequest Request = Choice.next(Now);
      while (!Request.Watcher.empty() && !IsNew(Request.Watcher)) {
        ++Refused;
        Choice.failed(Request.Watcher, WatcherFailure::NotWatcher, Now);
        Request = Choice.next(Now);
      }
      if (!Request.Watcher.empty())
        Choice.answered(Request.Watcher, Now);
    }
    CHECK(Refused <= 2 * 5); // Two watchers, and pauses of 4, 8, 16 and 30 s.
  }
}

// Guards against watchers that change with each host that comes or goes, which
// would make all followers of the domain begin anew.
TEST_CASE("a lost host moves only the followers of a lost watcher") {
  std::vector<PlacementHost> All = hosts(95);
  std::set<std::string> Before;
  for (std::size_t Each = 0; Each < All.size(); ++Each)
    if (choiceOf(All, Each).watches())
      Before.insert(All[Each].Name);
  const std::string Lost = *Before.begin();
  std::erase_if(
      All, [&Lost](const PlacementHost &Each) { return Each.Name == Lost; });
  std::size_t Same = 0;
  std::size_t Watching = 0;
  for (std::size_t Each = 0; Each < All.size(); ++Each)
    if (choiceOf(All, Each).watches()) {
      ++Watching;
      Same += Before.count(All[Each].Name);
    }
  CHECK(Watching == 6);
  CHECK(Same == 5);
}

// Guards against 300 hosts that call the store at the same moment, when they
// start or lose their watchers. They may use a tenth of its limits: 120 writes
// and 600 reads a second.
TEST_CASE("300 hosts that start together stay under a tenth of the limits") {
  constexpr std::size_t Count = 300;
  const std::vector<PlacementHost> All = hosts(Count);
  std::size_t AtStore = 0;
  // Without, all followers turn to the store, as when the hosts of the version
  // before are the watchers.
  const bool WatchersListen = GENERATE(true, false);
  std::vector<std::chrono::milliseconds> Reads;
  std::vector<std::chrono::milliseconds> Writes;
  for (std::size_t Host = 0; Host < Count; ++Host) {
    WatcherChoice Choice = choiceOf(All, Host);
    const std::chrono::milliseconds At(Host); // Within 0.3 s.
    const TimePoint Now = Start + At;
    Reads.push_back(At); // The list of hosts, which tells the others.
    Reads.push_back(At + Choice.startDelay(Choice.limits().ClaimSpread));
    // Registration: it exists already, so it is read, and then all are listed.
    const std::chrono::milliseconds Registers =
        At + Choice.startDelay(Choice.limits().StartSpread);
    Writes.push_back(Registers);
    Reads.insert(Reads.end(), 2, Registers);
    // Catalogue and upstreams are listed, and then watched.
    TimePoint Asks = Now;
    WatcherRequest Request = Choice.next(Asks);
    while (!Request.Watcher.empty()) {
      // Hosts refuse connections until they have started.
      const bool Listens =
          WatchersListen &&
          Asks - Start >=
              std::chrono::milliseconds(std::stoul(Request.Watcher.substr(5)));
      if (Listens)
        break;
      Choice.failed(Request.Watcher, WatcherFailure::NoAnswer, Asks);
      Request = Choice.next(Asks);
      if (Request.Watcher.empty() && Request.Deadline > Asks) {
        Asks = Request.Deadline;
        Request = Choice.next(Asks);
      }
    }
    if (Request.Watcher.empty()) {
      ++AtStore;
      Reads.insert(Reads.end(), 4,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Request.Deadline - Start));
    }
  }
  const auto MostInOneSecond =
      [](std::vector<std::chrono::milliseconds> Calls) {
        std::sort(Calls.begin(), Calls.end());
        std::size_t Most = 0;
        for (auto From = Calls.begin(); From != Calls.end(); ++From) {
          const auto To = std::lower_bound(From, Calls.end(), *From + 1000ms);
          Most = std::max<std::size_t>(Most, To - From);
        }
        return Most;
      };
  CAPTURE(WatchersListen, AtStore, MostInOneSecond(Reads),
          MostInOneSecond(Writes));
  CHECK(MostInOneSecond(Writes) < 120);
  CHECK(MostInOneSecond(Reads) < 600);
  CHECK(AtStore == (WatchersListen ? 6 : Count));
}
