#pragma once

#include "catchup.h"
#include "promotioncontext.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// The members of a group as an attempt to replace its primary sees them.
struct ReplacementMembers {
  std::vector<std::string> All;  ///< Including the primary.
  std::set<std::string> Leaving; ///< Chosen only if no other member can be.
};

/// One attempt to replace a primary: steps 2 to 6 of section 4.3 of the design
/// page. It ends with the change of term, or fails with a reason.
class PrimaryReplacement {
public:
  /// Sends the claim.
  /// \param Id identifier of the attempt.
  /// \param Owner host name of the promoter.
  /// \param Base the status to claim, in the version that the claim replaces.
  /// \param Planned whether the primary is reachable and is replaced because it
  /// is leaving. A member that stays must then have received its whole log.
  PrimaryReplacement(std::string Id, const std::string &Owner, TermStatus Base,
                     const ReplacementMembers &Members, bool Planned,
                     PromotionContext &Context);

  /// Fails the attempt if the claim's deadline has passed, and drops calls that
  /// timed out. Called before every event.
  void expire(PromotionContext &Context);

  /// Sends the calls that the current step needs. Called after every event.
  void advance(PromotionContext &Context);

  /// Handles a status that was read from the platform or seen in a watch.
  void observe(const TermStatus &Seen, PromotionContext &Context);

  /// Handle answers. Answers to calls that are not pending are ignored.
  void statusRead(const StatusRead &Answer, PromotionContext &Context);
  void updateAnswered(const UpdateAnswered &Answer, PromotionContext &Context);
  void memberAnswered(const MemberAnswered &Answer, PromotionContext &Context);
  void memberPolled(const MemberPolled &Answer, PromotionContext &Context);

  const std::string &id() const { return this->Id; }
  bool isFinished() const;

  /// The status after the change of term, if the attempt succeeded.
  const std::optional<TermStatus> &changed() const { return this->Changed; }

  /// Why the attempt failed, if it did.
  std::optional<GiveUpReason> failure() const { return this->Failure; }

  /// The status without the claim, to be stored after a failure that leaves the
  /// claim in place. Nothing if the claim is not this attempt's any more or is
  /// left to expire.
  std::optional<TermStatus> released() const;

  /// \see Promotion::describe()
  std::string describe(TimePoint Now) const;

private:
  enum class Step {
    Claiming,
    Fencing,
    Waiting,
    Checking,
    Changing,
    CatchingUp, ///< Between Waiting and Checking, in planned changes.
  };
  enum class Stage { EndSessions, Fence, Verify, Fenced, Checked };

  struct Member {
    bool Leaving = false;
    Stage Reached = Stage::EndSessions;
    std::optional<PendingCall> Pending;
    ReplicaPoll Poll; ///< The poll that showed the fence.
  };

  void fail(GiveUpReason Reason);
  void sendUpdate(PromotionContext &Context);
  void sendReadBack(PromotionContext &Context);
  void claimed(const TermStatus &Status, PromotionContext &Context);
  void sendCommand(const std::string &Name, Member &M,
                   PromotionContext &Context);
  void verifyFence(Member &M, const ReplicaPoll &Poll);
  bool isFenceComplete() const;
  void checkFence(Member &M, const ReplicaPoll &Poll);
  void startWait(PromotionContext &Context);
  void startCatchUp(PromotionContext &Context);
  void checkCatchUp();
  bool isCandidate(const Member &M) const;
  std::map<std::string, Member>::const_iterator bestCandidate() const;
  void changeTerm(PromotionContext &Context);
  void succeed(const TermStatus &Status);
  std::size_t countReached(Stage Reached) const;
  Member *findMember(CallId Call);

  std::string Id;
  Step Current = Step::Claiming;
  std::size_t MemberCount;
  bool Planned;
  std::optional<CatchUp> RunningCatchUp; ///< During Step::CatchingUp.
  TimePoint ClaimDeadline;
  TimePoint FenceDeadline;
  TimePoint WaitUntil;
  TermStatus Sent;    ///< The update that was sent last.
  TermStatus Claimed; ///< The stored status with the claim.
  std::optional<PendingCall> Update;
  std::optional<PendingCall> ReadBack;
  std::map<std::string, Member> Members; ///< By name, without the primary.
  std::optional<TermStatus> Changed;
  std::optional<GiveUpReason> Failure;
};

} // namespace lavenderdale
