#include "watcherchoice.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

// Names of the hosts of \p Domain that watch the store. A watcher sends each
// change of the catalogue to half of its domain, so hosts of large capacity are
// preferred.
std::vector<std::string> watchersIn(const std::string &Domain,
                                    std::span<const PlacementHost> Hosts) {
  constexpr std::size_t WatcherCount = 2;
  std::vector<RankedHolder> Ranked;
  for (const PlacementHost &Each : Hosts)
    if (Each.FailureDomain == Domain)
      Ranked.push_back(rankHolder("store-watcher", Domain, Each));
  std::ranges::sort(Ranked, [](const RankedHolder &A, const RankedHolder &B) {
    return B < A;
  });
  Ranked.resize(std::min(WatcherCount, Ranked.size()));
  std::vector<std::string> Names;
  Names.reserve(Ranked.size());
  for (RankedHolder &Each : Ranked)
    Names.push_back(std::move(Each.Host));
  return Names;
}

} // namespace

WatcherChoice::WatcherChoice(PlacementHost Self, std::uint64_t Seed,
                             WatcherLimits Limits)
    : Self(std::move(Self)), Limits(Limits), Random(Seed) {}

void WatcherChoice::setHosts(std::span<const PlacementHost> Hosts) {
  std::vector<PlacementHost> All(Hosts.begin(), Hosts.end());
  const bool HasSelf =
      std::any_of(All.begin(), All.end(), [this](const PlacementHost &Each) {
        return Each.Name == this->Self.Name;
      });
  if (!HasSelf)
    All.push_back(this->Self);
  this->Size = All.size();
  this->Watchers.clear();
  this->IsWatcher = true;
  if (!this->shares()) {
    this->Distrusted.clear();
    return;
  }
  this->Watchers = watchersIn(this->Self.FailureDomain, All);
  this->IsWatcher = std::find(this->Watchers.begin(), this->Watchers.end(),
                              this->Self.Name) != this->Watchers.end();
  if (this->IsWatcher)
    this->Watchers.clear();
  // Half of the followers prefer each watcher.
  std::sort(this->Watchers.begin(), this->Watchers.end(),
            [this](const std::string &Left, const std::string &Right) {
              return promoterWeight(this->Self.Name, Left) >
                     promoterWeight(this->Self.Name, Right);
            });
  std::erase_if(this->Distrusted, [this](const auto &Each) {
    return std::find(this->Watchers.begin(), this->Watchers.end(),
                     Each.first) == this->Watchers.end();
  });
}

bool WatcherChoice::watches() const {
  return !this->shares() || this->IsWatcher;
}

bool WatcherChoice::trusted(const std::string &Watcher, TimePoint Now) const {
  const auto Found = this->Distrusted.find(Watcher);
  return Found == this->Distrusted.end() || Found->second.Until <= Now;
}

WatcherRequest WatcherChoice::next(TimePoint Now) {
  if (this->watches())
    return {{}, {}, Now};
  for (const std::string &Each : this->Watchers) {
    if (!this->trusted(Each, Now))
      continue;
    const bool Holds = !this->AsksAtOnce && !this->Distrusted.contains(Each);
    const std::chrono::milliseconds Wait =
        Holds ? this->Limits.Wait : std::chrono::milliseconds(0);
    return {Each, Wait, Now + Wait + this->Limits.TransitTime};
  }
  if (!this->FallbackAt) {
    const bool Starting = !this->Answered && this->Unanswered;
    const std::chrono::milliseconds Spread =
        Starting ? this->Limits.StartSpread : this->Limits.FallbackSpread;
    this->FallbackAt = Now +
                       (Starting ? 2 * this->Limits.StartPause
                                 : std::chrono::milliseconds(0)) +
                       this->randomUpTo(Spread * static_cast<int>(this->Size));
  }
  return {{}, {}, std::max(Now, *this->FallbackAt)};
}

bool WatcherChoice::usable(const WatcherAnswer &Answer) const {
  return Answer.StoreAnswers && Answer.StoreAge.count() >= 0 &&
         Answer.StoreAge <= this->Limits.MaxStoreAge;
}

void WatcherChoice::answered(const std::string &Watcher, TimePoint Now) {
  // Requests of several collections are under way at the same time. A late
  // answer to one does not end the pause that a failure of another began.
  if (!this->trusted(Watcher, Now))
    return;
  this->Distrusted.erase(Watcher);
  this->Answered = true;
  this->AsksAtOnce = false;
  this->FallbackAt.reset();
}

void WatcherChoice::failed(const std::string &Watcher, WatcherFailure Failure,
                           TimePoint Now) {
  constexpr int MaxDoublings = 3;
  // Several requests that fail for the same reason count once.
  if (!this->trusted(Watcher, Now))
    return;
  Distrust &Entry = this->Distrusted[Watcher];
  std::chrono::milliseconds Pause = std::min(
      this->Limits.MinPause * (1 << std::min(Entry.Failures, MaxDoublings)),
      this->Limits.MaxPause);
  if (Failure == WatcherFailure::OldState)
    Pause = this->Limits.MaxPause;
  else if (!this->Answered && Failure == WatcherFailure::NoAnswer &&
           Entry.Failures == 0)
    Pause = this->Limits.StartPause;
  ++Entry.Failures;
  // Followers must not return at the same moment.
  Entry.Until = Now + Pause + this->randomUpTo(Pause / 4);
  this->AsksAtOnce = true;
  this->Unanswered = Failure == WatcherFailure::NoAnswer;
}

std::chrono::milliseconds
WatcherChoice::startDelay(std::chrono::milliseconds Spread) {
  return this->shares()
             ? this->randomUpTo(Spread * static_cast<int>(this->Size))
             : std::chrono::milliseconds(0);
}

std::chrono::milliseconds
WatcherChoice::randomUpTo(std::chrono::milliseconds Max) {
  std::uniform_int_distribution<std::chrono::milliseconds::rep> Draw(
      0, Max.count());
  return std::chrono::milliseconds(Draw(this->Random));
}

} // namespace lavenderdale
