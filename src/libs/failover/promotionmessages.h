#pragma once

#include "groupstatus.h"
#include "replicapoll.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lavenderdale {

/// Identifies a call among those of one Promotion. Answers carry the id of
/// their call; answers to calls that are no longer pending are ignored.
using CallId = std::uint64_t;

/// \name Actions: what the caller of Promotion has to carry out.
/// @{

/// Read the group's status from the platform, not from a cache: the read must
/// see every update that was answered before the read was sent. Answer:
/// StatusRead.
struct ReadStatus {
  CallId Call;
};

/// Conditional updates: store Status if the stored object still has the version
/// Status.Version. Answer: UpdateAnswered.
struct ClaimStatus {
  CallId Call;
  TermStatus Status;
};
struct ReleaseClaim {
  CallId Call;
  TermStatus Status;
};
struct ChangeTerm {
  CallId Call;
  TermStatus Status;
};
/// Store the timeline of the promoted primary, or that former primaries may
/// follow it. A conditional update too.
struct CompleteTerm {
  CallId Call;
  TermStatus Status;
};

/// End all control sessions on the member, including those of this host but not
/// the one that runs this command, and verify that they have ended. Answer:
/// MemberAnswered.
struct EndControlSessions {
  CallId Call;
  std::string Member;
};

/// Set primary_conninfo to '' and reload the configuration. Answer:
/// MemberAnswered.
struct FenceMember {
  CallId Call;
  std::string Member;
};

/// Poll the member now. Answer: MemberPolled, or MemberAnswered if it failed.
struct PollMember {
  CallId Call;
  std::string Member;
};

/// Open a control session. Commands that name this call as their session are
/// never sent over another connection. Answer: MemberAnswered.
struct OpenControlSession {
  CallId Call;
  std::string Member;
};

/// Call pg_promote() over the session that call Session opened, or fail if
/// that session has ended. Answer: MemberAnswered. The session is closed after
/// this.
struct PromoteMember {
  CallId Call;
  CallId Session;
  std::string Member;
  Term NewTerm;
};

/// Set primary_conninfo to that of Primary, over the session that call Session
/// opened, or fail if that session has ended. Answer: MemberAnswered. The
/// session is closed after this.
struct RepointMember {
  CallId Call;
  CallId Session;
  std::string Member;
  std::string Primary;
  Term InTerm;
};

/// Like RepointMember, but with a primary_conninfo that gives no permission for
/// writes.
struct CatchUpMember {
  CallId Call;
  CallId Session;
  std::string Member;
  std::string Primary;
};

/// Close a control session that is not needed any more.
struct CloseControlSession {
  CallId Session;
};

/// Reports of the end of an attempt; they have no answer.
struct Finished {
  std::string AttemptId;
  Term NewTerm;
  std::string Primary;
};

enum class GiveUpReason {
  ClaimConflict,     ///< Another watcher updated the status first.
  ClaimExpired,      ///< The deadline of this attempt's claim passed.
  PlatformFailed,    ///< The platform did not answer.
  NoQuorum,          ///< Too few members could be fenced.
  FenceChanged,      ///< The state of a fenced member changed during the wait.
  ChangeConflict,    ///< The claim was taken over.
  BadLineage,        ///< The stored lineage has a term above the current one.
  MembersChanged,    ///< The group's members changed.
  EvidenceWithdrawn, ///< The primary is no longer suspected.
  NotCaughtUp,       ///< Planned change: no replica received the whole log.
};

/// Name of the reason in logs, for example "no-quorum".
std::string_view toString(GiveUpReason Reason);

struct GiveUp {
  std::string AttemptId;
  GiveUpReason Reason;
};
/// @}

using PromotionAction =
    std::variant<ReadStatus, ClaimStatus, ReleaseClaim, ChangeTerm,
                 CompleteTerm, EndControlSessions, FenceMember, PollMember,
                 OpenControlSession, PromoteMember, RepointMember,
                 CatchUpMember, CloseControlSession, Finished, GiveUp>;

/// \name Events: what the caller of Promotion reports.
/// @{

/// Time has passed. Sent at least every PollInterval.
struct Tick {};

/// Whether the watchers agree that the primary of Current has failed.
struct EvidenceCombined {
  Term Current;
  bool Agreed = false;
};

/// The status as seen by a watch or another reader. May be out of date.
struct StatusSeen {
  TermStatus Status;
};

/// A member's answer to a regular poll of the watcher.
struct MemberSeen {
  ReplicaPoll Poll;
};

/// Answer to ReadStatus; without a status if the read failed.
struct StatusRead {
  CallId Call;
  std::optional<TermStatus> Status;
};

enum class UpdateOutcome {
  Done,     ///< Stored.
  Conflict, ///< The object had another version; nothing was stored.
  Unknown,  ///< No conclusive answer; the update may still be stored.
};

/// Answer to a conditional update.
struct UpdateAnswered {
  CallId Call;
  UpdateOutcome Outcome;
  std::uint64_t NewVersion = 0; ///< Set if the outcome is Done.
};

/// Answer of a member to a command.
struct MemberAnswered {
  CallId Call;
  bool Done = false;
};

/// Answer to PollMember.
struct MemberPolled {
  CallId Call;
  ReplicaPoll Poll;
};
/// @}

using PromotionEvent =
    std::variant<Tick, EvidenceCombined, StatusSeen, MemberSeen, StatusRead,
                 UpdateAnswered, MemberAnswered, MemberPolled>;

} // namespace lavenderdale
