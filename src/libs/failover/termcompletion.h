#pragma once

#include "promotioncontext.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Brings the members of a group in line with its status: step 7 of section
/// 4.3 of the design page, and pointing members at the primary that an
/// abandoned attempt left fenced.
///
/// Each command goes over a control session that was opened before a read of
/// the status that shows the term and no claim. A later promoter ends that
/// session before it fences, so a late command cannot lift its fence.
class TermCompletion {
public:
  /// Takes a member's answer to a poll.
  void memberSeen(const ReplicaPoll &Poll);

  /// Counts calls without an answer as failed. Called before every event.
  void expire(PromotionContext &Context);

  /// Starts what \p Status needs. Called after every event while there is no
  /// claim.
  void update(const TermStatus &Status, const std::vector<std::string> &Members,
              PromotionContext &Context);

  /// Drops everything that was started.
  void cancel(PromotionContext &Context);

  /// Answers. Those that are not awaited are ignored.
  void statusRead(const StatusRead &Answer, PromotionContext &Context);
  void memberAnswered(const MemberAnswered &Answer, PromotionContext &Context);
  void memberPolled(const MemberPolled &Answer, PromotionContext &Context);

  /// \returns the timeline that the primary of \p Status was promoted to, if
  /// that is not stored and a poll sent after \p Since shows it.
  std::optional<Term> reachedTimeline(const TermStatus &Status, TimePoint Since,
                                      TimePoint Now) const;

  /// How many of \p Members other than \p Primary answered lately and are in
  /// recovery.
  std::size_t reachableReplicas(const std::vector<std::string> &Members,
                                const std::string &Primary,
                                TimePoint Now) const;

  /// Whether a poll of \p Member sent after \p Since shows it in recovery.
  bool isReplica(const std::string &Member, TimePoint Since,
                 TimePoint Now) const;

  /// Whether the primary of \p Status answered lately, and \p Member did and
  /// follows it on its timeline.
  bool followsPrimary(const std::string &Member, const TermStatus &Status,
                      TimePoint Now) const;

  /// \see Promotion::describe()
  std::string describe(TimePoint Now) const;

private:
  enum class Stage { Opening, Reading, Acting, Polling };

  struct Job {
    bool Promotes = false; ///< Else it points the member at the primary.
    Term InTerm;
    std::string Primary;
    Stage Reached = Stage::Opening;
    PendingCall Pending;
    CallId Session = 0;
  };
  using Jobs = std::map<std::string, Job>;

  const ReplicaPoll *lately(const std::string &Member, TimePoint Now) const;
  void start(const std::string &Member, bool Promotes, const TermStatus &Status,
             PromotionContext &Context);
  Jobs::iterator drop(Jobs::iterator Entry, bool CloseSession,
                      PromotionContext &Context);
  Jobs::iterator find(CallId Call);
  void act(const std::string &Member, Job &J, PromotionContext &Context);

  std::map<std::string, ReplicaPoll> Seen;
  std::map<std::string, TimePoint> NotBefore;
  Jobs Running;
};

} // namespace lavenderdale
