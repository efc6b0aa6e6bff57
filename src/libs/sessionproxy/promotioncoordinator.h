#pragma once

#include "failover/promotionvote.h"
#include "memberrecords.h"
#include "objectstore.h"
#include "proxystate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Promotes replicas of groups whose primary has failed or is leaving. Only one
/// host acts at a time: it updates the group's claim in the object store
/// conditionally and uses the new revision as the fencing token of its request.
/// No two hosts get the same token, also when the store returns from an older
/// copy, and a request that is carried out late is rejected if a newer one came
/// first.
///
/// A primary that is to be replaced while it serves is demoted first, under the
/// claim. It would otherwise acknowledge commits until the promotion takes
/// effect, about a second after the request, and the promoted member leads with
/// what it has received by then.
///
/// In a group with synchronous replicas, the claim names the member before the
/// request is sent. Until the outcome is known, hosts use no other primary; one
/// that answers again must not acknowledge commits that the ordered member may
/// lack. If the order does not take effect in time, the holder of the claim, or
/// another host after it, settles it: it demotes the primary that is back, and
/// orders a member that has its whole log.
class PromotionCoordinator
    : public std::enable_shared_from_this<PromotionCoordinator> {
public:
  static constexpr std::chrono::milliseconds CheckInterval{100};
  /// Interval at which claims are listed, so that an old claim is not mistaken
  /// for a new one when a promotion becomes due.
  static constexpr std::chrono::milliseconds ClaimListInterval{4000};
  /// Time after a claim within which the promotion must be requested. After it,
  /// the attempt is dropped, because the process may have been suspended.
  static constexpr std::chrono::milliseconds ClaimValidity{600};
  /// Time in which a holder of the claim may start further probes of the failed
  /// primary before it orders the promotion. Leaves time for the last one
  /// within ClaimValidity.
  static constexpr std::chrono::milliseconds ConfirmationTime{250};
  /// A host that was in contact with less than this part of the fleet, at any
  /// time in the last seconds, probes the failed primary again before it orders
  /// the promotion.
  static constexpr double MajorityContact = 0.5;
  /// Minimum time between an accepted promotion and the next one of the same
  /// group. The promoted member needs up to one second to become primary.
  static constexpr std::chrono::milliseconds PromotionCooldown{2500};
  static constexpr std::chrono::milliseconds CallTimeout{700};
  /// Time in which members answer before one of them is promoted. It is part of
  /// the time without a primary.
  static constexpr std::chrono::milliseconds StatusTimeout{300};
  /// The same in a group with synchronous replicas, where a replica that is
  /// slow must not be passed over.
  static constexpr std::chrono::milliseconds CompleteStatusTimeout{2000};
  /// A member whose promotion was refused is no candidate for this long. A
  /// refusal can mean that it is not running or still restarting.
  static constexpr std::chrono::milliseconds RefusedMemberPause{1500};
  /// Pause after an attempt that did not lead to a promotion request.
  static constexpr std::chrono::milliseconds AttemptPause{300};
  /// Pause after an attempt found the claim of another host or was no longer
  /// due. Longer, because calls to the store are charged.
  static constexpr std::chrono::milliseconds ClaimPause{800};
  /// Time to wait for a member with all commits before a leaving primary is
  /// replaced by one that lacks some. The primary keeps serving for at least
  /// seven seconds.
  static constexpr std::chrono::milliseconds CompleteMemberWait{3000};
  /// Time in which a leaving primary confirms its demotion.
  static constexpr std::chrono::milliseconds DemotionTimeout{200};
  /// Time in which the others answer after the demotion; one that is cut off
  /// delays the promotion by this long.
  static constexpr std::chrono::milliseconds SuccessorStatusTimeout{150};
  /// Time from the claim in which a member may still receive the rest of the
  /// demoted primary's log. Leaves time for the order within ClaimValidity.
  static constexpr std::chrono::milliseconds SuccessorWait{400};
  static constexpr std::chrono::milliseconds SuccessorPollPause{10};
  /// Pause after a leaving primary, which may not have answered this host
  /// before either, did not confirm its demotion. Longer than
  /// ClaimTracker::LeaseDuration, so that another host tries.
  static constexpr std::chrono::milliseconds DemotionPause{4500};
  /// Interval at which hosts that see a pending order read the claim again.
  static constexpr std::chrono::milliseconds OrderReadInterval{500};
  /// A demoted primary that has no successor by then is replaced like one that
  /// has failed.
  static constexpr std::chrono::milliseconds DemotionLifetime{10000};

  PromotionCoordinator(boost::asio::any_io_executor Executor,
                       ObjectStore &Store, PromotionAuthority &Authority,
                       ProxyState &State, MemberRecords &Members);

  void start();
  void stop() { this->Stopped = true; }

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  /// A primary that this host demoted in order to replace it.
  struct Demotion {
    std::string Id;
    Position End;              ///< Of its log.
    TimePoint CompleteUntil{}; ///< Until then no member that lacks some of it
                               ///< is promoted.
    TimePoint ReplaceUntil{};  ///< See DemotionLifetime.
  };

  /// State of the promotions of one group.
  struct GroupState {
    bool Active = false; ///< An attempt is running.
    TimePoint NotBefore{};
    ClaimTracker Claim;
    std::map<std::string, TimePoint> RefusedAt; ///< By member.
    std::optional<TimePoint> LeavingSince;
    std::optional<Demotion> Demoted; ///< Until another member leads.
    Term NewestTerm;                 ///< That members answered with.
    std::uint64_t PendingToken = 0;  ///< Of the order that was seen last.
    TimePoint PendingSince{};        ///< When it was first seen.
    std::string Attempt;             ///< Identifies this host's last claim.
    /// An order before the one of the claim may still take effect.
    bool IsEarlierPending = false;
    bool ReadingClaim = false;
    TimePoint ReadClaimAt{};
    /// No member could be promoted since the suspicion began. One that lacked
    /// commits may have got them from the primary, which is back then.
    bool PutOff = false;
  };

  Task<void> run();
  bool isDue(ProxyGroup &Group, GroupState &Progress, TimePoint Now);
  bool isSuccessorDue(ProxyGroup &Group, GroupState &Progress, TimePoint Now);
  bool isReplacedWhileServing(ProxyGroup &Group,
                              const GroupState &Progress) const;
  bool isSettlementDue(ProxyGroup &Group, GroupState &Progress, TimePoint Now);
  Task<void> attemptPromotion(std::shared_ptr<ProxyGroup> Group);
  Task<Result<std::string>> replaceServing(ProxyGroup &Group,
                                           GroupState &Progress,
                                           std::string Chosen, TimePoint Until);
  Task<Result<void>> demote(ProxyGroup &Group, GroupState &Progress);
  std::vector<PromotionCandidate> candidatesFrom(
      ProxyGroup &Group, GroupState &Progress,
      const std::vector<std::pair<std::string, UpstreamStatus>> &Answers,
      const std::optional<std::string> &Replaced);
  Task<Result<std::uint64_t>> acquireClaim(const std::string &Group,
                                           GroupState &Progress,
                                           const std::string &Ordered);
  Task<void> releaseOrder(const std::string &Group, std::uint64_t Token);
  Task<void> readClaim(std::shared_ptr<ProxyGroup> Group);
  void keepPendingOrder(StoredObject &Claim);
  Term newestTerm(const std::string &Group);
  StoredObject newClaim(const std::string &Group, const std::string &Ordered);
  Task<Result<std::string>> chooseMember(std::shared_ptr<ProxyGroup> Group,
                                         GroupState &Progress);
  Result<std::string>
  chooseComplete(ProxyGroup &Group,
                 const std::vector<PromotionCandidate> &Candidates,
                 const CommitGuarantee &Before);
  Task<void> refreshClaims();
  void recordClaim(const StoredObject &Claim);

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  PromotionAuthority &Authority;
  ProxyState &State;
  MemberRecords &Members;
  std::mt19937_64 Random;
  std::map<std::string, GroupState> GroupStates;
  bool Stopped = false;
};

} // namespace lavenderdale
