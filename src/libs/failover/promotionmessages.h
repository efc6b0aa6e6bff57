#pragma once

#include "groupstatus.h"
#include "replicapoll.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lavenderdale {

/// Identifies one call of one Promotion. Answers carry it; answers to calls
/// that are no longer awaited are ignored.
using CallId = std::uint64_t;

/// \name Actions: what the shell has to do.
/// @{

/// Read the group's status from the platform itself: the read must see every
/// update that was answered before it was sent. Answer: StatusRead.
struct ReadStatus {
  CallId Call;
};

/// Conditional updates: store Status if the object still has the version
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
/// Records the timeline of the promoted primary, or that replaced ones may
/// follow it.
struct CompleteTerm {
  CallId Call;
  TermStatus Status;
};

/// End all control sessions on the member, this host's included, except the
/// one that runs this command, and see that they are gone. Answer:
/// MemberAnswered.
struct EndControlSessions {
  CallId Call;
  std::string Member;
};

/// Set primary_conninfo to '' and reload. Answer: MemberAnswered.
struct FenceMember {
  CallId Call;
  std::string Member;
};

/// Poll the member now. Answer: MemberPolled, or MemberAnswered if it failed.
struct PollMember {
  CallId Call;
  std::string Member;
};

/// Open a control session. The session is kept for this call; its commands
/// are never sent over another connection. Answer: MemberAnswered.
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
struct PointMember {
  CallId Call;
  CallId Session;
  std::string Member;
  std::string Primary;
  Term InTerm;
};

/// Like PointMember, but with a primary_conninfo that gives no permission for
/// writes.
struct CatchUpMember {
  CallId Call;
  CallId Session;
  std::string Member;
  std::string Primary;
};

/// Close a session that is not used.
struct CloseControlSession {
  CallId Session;
};

/// Reports; they have no answer.
struct Finished {
  std::string AttemptId;
  Term NewTerm;
  std::string Primary;
};

enum class GiveUpReason {
  ClaimConflict,     ///< Another watcher was faster.
  ClaimExpired,      ///< The own claim's deadline passed.
  PlatformFailed,    ///< The platform did not answer.
  NoQuorum,          ///< Too few members could be fenced.
  FenceChanged,      ///< A member was not as it was before the wait.
  ChangeConflict,    ///< The claim was taken over.
  BadLineage,        ///< The stored lineage has a term above the current one.
  MembersChanged,    ///< The group's members changed.
  EvidenceWithdrawn, ///< The primary is no longer suspected.
  NotCaughtUp,       ///< Planned change: no replica received all in time.
};

/// Name in logs, for example "no-quorum".
std::string_view toString(GiveUpReason Reason);

struct GiveUp {
  std::string AttemptId;
  GiveUpReason Reason;
};
/// @}

using PromotionAction =
    std::variant<ReadStatus, ClaimStatus, ReleaseClaim, ChangeTerm,
                 CompleteTerm, EndControlSessions, FenceMember, PollMember,
                 OpenControlSession, PromoteMember, PointMember, CatchUpMember,
                 CloseControlSession, Finished, GiveUp>;

/// \name Events: what the shell reports.
/// @{

/// Time has passed. Sent at least every PollInterval.
struct Tick {};

/// The combined evidence of the watchers about the primary of Current.
struct EvidenceCombined {
  Term Current;
  bool Agreed = false;
};

/// The status as a watch or another reader saw it. May be old.
struct StatusSeen {
  TermStatus Status;
};

/// A member's answer to a regular poll of the watcher.
struct MemberSeen {
  ReplicaPoll Poll;
};

/// Answer to ReadStatus; nothing if it failed.
struct StatusRead {
  CallId Call;
  std::optional<TermStatus> Status;
};

enum class UpdateOutcome {
  Done,     ///< Stored.
  Conflict, ///< The object had another version; nothing was stored.
  Lost,     ///< No answer, or one that does not tell; it may be stored yet.
};

/// Answer to a conditional update.
struct UpdateAnswered {
  CallId Call;
  UpdateOutcome Outcome;
  std::uint64_t NewVersion = 0; ///< If Done.
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
