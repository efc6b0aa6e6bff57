#pragma once

#include "catchup.h"
#include "promotioncontext.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// The members of a group as an attempt takes them.
struct ReplacementMembers {
  std::vector<std::string> All;  ///< The primary included.
  std::set<std::string> Leaving; ///< Replace the primary only if they must.
};

/// One attempt to replace a primary: steps 2 to 6 of section 4.3 of the design
/// page. It ends with the change of term, or with a reason why not.
class PrimaryReplacement {
public:
  /// Sends the claim.
  /// \param Base the status to claim; the version that the claim replaces.
  /// \param Planned whether the primary is reachable and is replaced since it
  /// is leaving: a member that stays must have received all of its log.
  PrimaryReplacement(std::string Id, const std::string &Owner, TermStatus Base,
                     const ReplacementMembers &Members, bool Planned,
                     PromotionContext &Context);

  /// Abandons the attempt if the claim's deadline has passed, and counts calls
  /// without an answer as failed. Called before every event.
  void expire(PromotionContext &Context);

  /// Goes on after a pause or a failed call. Called after every event.
  void advance(PromotionContext &Context);

  /// Takes a status that was read or seen.
  void observe(const TermStatus &Seen, PromotionContext &Context);

  /// Answers. Those that are not awaited are ignored.
  void statusRead(const StatusRead &Answer, PromotionContext &Context);
  void updateAnswered(const UpdateAnswered &Answer, PromotionContext &Context);
  void memberAnswered(const MemberAnswered &Answer, PromotionContext &Context);
  void memberPolled(const MemberPolled &Answer, PromotionContext &Context);

  const std::string &id() const { return this->Id; }
  bool isOver() const;

  /// The status after the change of term, if the attempt succeeded.
  const std::optional<TermStatus> &changed() const { return this->Changed; }

  /// Why the attempt failed, if it did.
  std::optional<GiveUpReason> failure() const { return this->Failure; }

  /// The status without the claim, to be stored after a failure, if the claim
  /// may still be there and is not left to expire.
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
    CatchingUp, ///< Between Waiting and Checking, only if planned.
  };
  enum class Stage { EndSessions, Fence, Verify, Fenced, Checked };

  struct Member {
    bool Leaving = false;
    Stage Reached = Stage::EndSessions;
    std::optional<PendingCall> Pending;
    ReplicaPoll Poll; ///< Once fenced.
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
  void followCatchUp();
  bool mayBeChosen(const Member &M) const;
  std::map<std::string, Member>::const_iterator chosen() const;
  void changeTerm(PromotionContext &Context);
  void succeed(const TermStatus &Status);
  std::size_t countReached(Stage Reached) const;
  Member *findMember(CallId Call);

  std::string Id;
  Step Current = Step::Claiming;
  std::size_t MemberCount;
  bool Planned;
  std::optional<CatchUp> Receiving; ///< While CatchingUp.
  TimePoint ClaimDeadline;
  TimePoint FenceDeadline;
  TimePoint WaitUntil;
  TermStatus Sent;    ///< The claim or change being stored.
  TermStatus Claimed; ///< As stored, once claimed.
  std::optional<PendingCall> Update;
  std::optional<PendingCall> ReadBack;
  std::map<std::string, Member> Members; ///< Without the primary.
  std::optional<TermStatus> Changed;
  std::optional<GiveUpReason> Failure;
};

} // namespace lavenderdale
