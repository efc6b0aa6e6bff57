#pragma once

#include <chrono>
#include <cstddef>

/// Time limits and quorum sizes of failure detection, write permission and
/// promotion.
namespace lavenderdale::failoverlimits {

using std::chrono::milliseconds;

/// Interval at which a watcher, or the holder of the primary, polls each
/// member.
constexpr milliseconds PollInterval{100};

/// The answer of a replica to a poll permits writes until this long after the
/// poll was sent. A promoter waits as long after it saw that the last member
/// was fenced, so that all permissions have expired.
constexpr milliseconds PermissionDuration{400};

/// A primary is suspected after this long without an answer. Longer than one
/// second, so that a primary that pauses for a second is not replaced.
constexpr milliseconds SilenceLimit{1200};

/// A primary is suspected after it has refused connections for this long.
constexpr milliseconds RefusalLimit{400};

/// For this long after a change of primary, the new one is not suspected for
/// lack of an answer.
constexpr milliseconds GraceAfterChange{3000};

/// A watcher that sent no poll for longer than this was paused itself, so the
/// lack of answers before the gap is no evidence against the primary.
constexpr milliseconds MaxPollGap{300};

/// Interval at which a promoter polls a member whose fence is not in effect
/// yet. PostgreSQL takes a few milliseconds to reload its configuration.
constexpr milliseconds FencePollInterval{10};

/// Evidence of a watcher is valid for this long after it was requested.
constexpr milliseconds EvidenceLifetime{500};

/// A claim that has not changed for this long may be taken over. The claimant
/// abandons its attempt this long after it sent the claim.
constexpr milliseconds ClaimLifetime{1500};

/// Time-out of a call to the platform or to a member.
constexpr milliseconds CallTimeout{500};

/// Pause between two attempts of one watcher. It doubles with each failed
/// attempt, at most MaxRetryDoublings times, to limit the load on the platform.
constexpr milliseconds RetryPause{200};
constexpr unsigned MaxRetryDoublings = 4;

/// Watchers other than the promoter wait this long before they complete a
/// change of term, so that usually only the promoter does.
constexpr milliseconds CompletionDelay{300};

/// Maximum age of a member's poll that is used to complete a change of term.
constexpr milliseconds MemberPollLifetime{300};

/// Size of the smallest majority of \p Members.
constexpr std::size_t majority(std::size_t Members) { return Members / 2 + 1; }

/// Number of replicas that form a majority together with the primary.
constexpr std::size_t replicasForMajority(std::size_t Members) {
  return Members == 0 ? 0 : majority(Members) - 1;
}

/// Number of members other than the primary that have to be fenced, so that the
/// remaining ones cannot form a majority with the primary. A holder that has
/// not learnt yet that a member was added or removed counts a majority of the
/// earlier members; a majority of the current members intersects that one too.
constexpr std::size_t fenceQuorum(std::size_t Members) {
  return Members <= 2 ? Members - replicasForMajority(Members)
                      : majority(Members);
}

} // namespace lavenderdale::failoverlimits
