#pragma once

#include <chrono>
#include <cstddef>

/// All time limits of failure detection, write permission and promotion.
namespace lavenderdale::failoverlimits {

using std::chrono::milliseconds;

/// Interval of the polls of all members by a watcher or a primary's holder.
constexpr milliseconds PollInterval{100};

/// L: a replica's poll gives permission until this long after it was sent. A
/// promoter waits as long after the last member was seen to be fenced.
constexpr milliseconds PermissionDuration{400};

/// A primary is suspected after this long without an answer. A pause of one
/// second must not cause its replacement.
constexpr milliseconds SilenceLimit{1200};

/// A primary is suspected after it refused connections for this long.
constexpr milliseconds RefusalLimit{400};

/// After a change a silent primary is not suspected for this long.
constexpr milliseconds GraceAfterChange{3000};

/// A watcher that sent no poll for longer than this was paused; silence before
/// the gap is its own and proves nothing.
constexpr milliseconds MaxPollGap{300};

/// Pause before a promoter polls again a member whose fence is not in effect
/// yet: the reload of a configuration takes a few milliseconds.
constexpr milliseconds FencePollInterval{10};

/// Evidence of another watcher counts for this long after it was requested.
constexpr milliseconds EvidenceLifetime{500};

/// A claim seen unchanged for this long may be taken over; the claimant
/// abandons its attempt as long after it sent the claim.
constexpr milliseconds ClaimLifetime{1500};

/// A call to the platform or to a member without an answer counts as lost.
constexpr milliseconds CallTimeout{500};

/// Pause between two attempts of one watcher. It doubles with each failed
/// attempt, MaxRetryDoublings times at most, to spare the platform.
constexpr milliseconds RetryPause{200};
constexpr unsigned MaxRetryDoublings = 4;

/// Watchers other than the promoter wait this long before they complete a
/// change of term, so that usually only one does.
constexpr milliseconds CompletionDelay{300};

/// Age up to which a member's poll is used for completing a change of term.
constexpr milliseconds MemberPollLifetime{300};

/// Smallest majority of \p Members.
constexpr std::size_t majority(std::size_t Members) { return Members / 2 + 1; }

/// Replicas that form a majority together with the primary.
constexpr std::size_t replicasForMajority(std::size_t Members) {
  return Members == 0 ? 0 : majority(Members) - 1;
}

/// Members other than the primary that have to be fenced so that the others
/// cannot form a majority with the primary. A holder that learns late of a
/// change may count a majority of the members before one was added or removed;
/// a majority of the members now meets that one too.
constexpr std::size_t fenceQuorum(std::size_t Members) {
  return Members <= 2 ? Members - replicasForMajority(Members)
                      : majority(Members);
}

} // namespace lavenderdale::failoverlimits
