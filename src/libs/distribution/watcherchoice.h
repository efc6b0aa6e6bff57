#pragma once

#include "base/timepoint.h"
#include "placement/placement.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace lavenderdale {

/// Limits of WatcherChoice.
struct WatcherLimits {
  /// Fleets up to this size do not share calls of the store.
  std::size_t UnsharedHosts = 12;
  /// Duration of a request to a watcher when nothing changes. A frozen watcher
  /// is noticed after Wait + TransitTime, and one more TransitTime is needed if
  /// the other one is frozen too. Together they are well below the 5 s within
  /// which a change is in force.
  std::chrono::milliseconds Wait{2000};
  /// Time for an answer of a watcher to arrive.
  std::chrono::milliseconds TransitTime{500};
  /// Time since the store answered the watcher, beyond which its answers are
  /// not used: the duration of a watcher's longest watch, and its timeout.
  std::chrono::milliseconds MaxStoreAge{5500};
  /// Pause before a watcher that failed is asked again; doubles with each
  /// failure in a row.
  std::chrono::milliseconds MinPause{4000};
  std::chrono::milliseconds MaxPause{30000};
  /// The same after its first failure, while no watcher has answered yet: hosts
  /// that start together find that their watchers do not listen yet.
  std::chrono::milliseconds StartPause{400};
  /// When all followers turn to the store at the same moment, their calls are
  /// spread over this time for each host of the fleet.
  std::chrono::milliseconds FallbackSpread{4};
  /// The same for the registration of a host at its start, and the list of all
  /// hosts after it. It keeps 300 hosts under 120 writes and 600 reads a
  /// second. Also used for lists of the followed collections after a failed
  /// first one, if no watcher answers.
  std::chrono::milliseconds StartSpread{20};
  /// The same for the first list of claims. Shorter, because a claim is
  /// respected from the time at which it was first read.
  std::chrono::milliseconds ClaimSpread{8};
};

/// Why a watcher's answer is not used.
enum class WatcherFailure {
  NoAnswer,   ///< Within the deadline: frozen, cut off, killed or overloaded.
  NotWatcher, ///< It does not consider itself a watcher, or is of a version
              ///< that does not know the request.
  StoreLost,  ///< The store does not answer it.
  OldState,   ///< It sent a state older than one that is already known.
};

/// What a watcher told about its state.
struct WatcherAnswer {
  bool StoreAnswers = false; ///< The last call of the store was answered.
  /// Time since the store answered it, when it sent its answer.
  std::chrono::milliseconds StoreAge{};
};

/// The next request of a follower.
struct WatcherRequest {
  std::string Watcher; ///< Name of the host to ask; empty for the store.
  /// How long the watcher may hold the request until something changes.
  std::chrono::milliseconds Wait{};
  /// When the request counts as failed. For the store: when to call it, unless
  /// next() selects a watcher again by then.
  TimePoint Deadline{};
};

/// Decides which hosts of a large fleet watch the store, and whom the others
/// follow.
///
/// Load pattern: the watches of a hundred hosts on a calm day, which are the
/// largest part of all store calls although nothing changes; and hundreds of
/// hosts that start, or lose their watchers, at the same moment.
class WatcherChoice {
public:
  /// \param Self this host.
  /// \param Seed of the random generator that spreads calls.
  WatcherChoice(PlacementHost Self, std::uint64_t Seed,
                WatcherLimits Limits = {});

  /// Replaces the hosts of the fleet.
  /// \param Hosts all hosts that may be serving, with or without this one.
  void setHosts(std::span<const PlacementHost> Hosts);

  /// \returns whether the fleet is so large that calls of the store are shared.
  bool shares() const { return this->Size > this->Limits.UnsharedHosts; }

  /// \returns whether this host calls the store itself, for others if shares().
  bool watches() const;

  /// Hosts that this host can follow, the preferred one first. Empty if it
  /// watches the store itself.
  const std::vector<std::string> &watchers() const { return this->Watchers; }

  /// Selects whom to ask at \p Now: the preferred watcher, the other one while
  /// that one is not trusted, or the store.
  WatcherRequest next(TimePoint Now);

  /// \returns whether an answer can be used: the store answers the watcher, or
  ///          did so within MaxStoreAge.
  bool usable(const WatcherAnswer &Answer) const;

  /// A usable answer of \p Watcher arrived at \p Now.
  void answered(const std::string &Watcher, TimePoint Now);

  /// \p Watcher failed at \p Now. It is not asked until a pause is over.
  void failed(const std::string &Watcher, WatcherFailure Failure,
              TimePoint Now);

  /// \param Spread for each host of the fleet.
  /// \returns a random delay of a call that each host makes once at its start;
  ///          0 in fleets that do not share.
  std::chrono::milliseconds startDelay(std::chrono::milliseconds Spread);

  const WatcherLimits &limits() const { return this->Limits; }

private:
  struct Distrust {
    TimePoint Until{};
    int Failures = 0; ///< In a row.
  };

  bool trusted(const std::string &Watcher, TimePoint Now) const;
  std::chrono::milliseconds randomUpTo(std::chrono::milliseconds Max);

  const PlacementHost Self;
  const WatcherLimits Limits;
  std::mt19937_64 Random;
  std::size_t Size = 1;
  bool IsWatcher = true;
  bool Answered = false;   ///< Any watcher, since the start.
  bool Unanswered = false; ///< The last failure was a missing answer.
  /// A watcher failed and none has answered since: time was lost already, so
  /// the next one is asked for what it has, and must not hold the request.
  bool AsksAtOnce = false;
  std::optional<TimePoint> FallbackAt; ///< First call of the store instead.
  std::vector<std::string> Watchers;
  std::map<std::string, Distrust> Distrusted; ///< By watcher.
};

} // namespace lavenderdale
