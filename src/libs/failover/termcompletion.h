#pragma once

#include "promotioncontext.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Makes the members of a group match its status: promotes the chosen primary
/// and points the replicas at it (step 7 of section 4.3 of the design page),
/// including those that an abandoned attempt left fenced.
///
/// Each command is sent over a control session that is opened first; then the
/// status is read and must show the same term and no claim. A later promoter
/// ends that session before it fences the member, so a late command cannot lift
/// its fence.
class TermCompletion {
public:
  /// Stores a member's answer to a poll.
  void memberSeen(const ReplicaPoll &Poll);

  /// Drops jobs whose call timed out. Called before every event.
  void expire(PromotionContext &Context);

  /// Starts the jobs that \p Status requires. Called after every event while
  /// there is no claim.
  void update(const TermStatus &Status, const std::vector<std::string> &Members,
              PromotionContext &Context);

  /// Drops all running jobs.
  void cancel(PromotionContext &Context);

  /// Handle answers. Answers to calls that are not pending are ignored.
  void statusRead(const StatusRead &Answer, PromotionContext &Context);
  void memberAnswered(const MemberAnswered &Answer, PromotionContext &Context);
  void memberPolled(const MemberPolled &Answer, PromotionContext &Context);

  /// \returns the timeline that the primary was promoted to, if it is not yet
  /// in \p Status and a poll sent after \p Since shows it.
  std::optional<Term> reachedTimeline(const TermStatus &Status, TimePoint Since,
                                      TimePoint Now) const;

  /// Number of \p Members other than \p Primary that answered recently and are
  /// in recovery.
  std::size_t reachableReplicas(const std::vector<std::string> &Members,
                                const std::string &Primary,
                                TimePoint Now) const;

  /// Whether a poll of \p Member sent after \p Since shows it in recovery.
  bool isReplica(const std::string &Member, TimePoint Since,
                 TimePoint Now) const;

  /// Whether the primary of \p Status and \p Member answered recently, and
  /// \p Member follows the primary on its timeline.
  bool followsPrimary(const std::string &Member, const TermStatus &Status,
                      TimePoint Now) const;

  /// \see Promotion::describe()
  std::string describe(TimePoint Now) const;

private:
  enum class Stage { Opening, ReadingStatus, SendingCommand, Polling };

  struct Job {
    bool Promotes = false; ///< Otherwise it points the member at the primary.
    Term InTerm;
    std::string Primary;
    Stage Reached = Stage::Opening;
    PendingCall Pending;
    CallId Session = 0;
  };
  using Jobs = std::map<std::string, Job>;

  const ReplicaPoll *recentPoll(const std::string &Member, TimePoint Now) const;
  void start(const std::string &Member, bool Promotes, const TermStatus &Status,
             PromotionContext &Context);
  Jobs::iterator drop(Jobs::iterator Entry, bool CloseSession,
                      PromotionContext &Context);
  Jobs::iterator find(CallId Call);
  void sendCommand(const std::string &Member, Job &J,
                   PromotionContext &Context);

  std::map<std::string, ReplicaPoll> Polls;   ///< Newest poll of each member.
  std::map<std::string, TimePoint> NotBefore; ///< Ends of pauses after jobs.
  Jobs Running;
};

} // namespace lavenderdale
