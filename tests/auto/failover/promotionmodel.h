#pragma once

#include "failover/promotion.h"
#include "failover/writepermission.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale::model {

/// Defects that are injected into the model to show that its checks can fail.
struct Defects {
  bool NoFenceWait = false;
  bool SessionsSurvive = false; ///< EndControlSessions does nothing.
  bool FollowsIgnored = false;  ///< Any primary_conninfo gives permission.
  bool NoCatchUp = false;       ///< The primary reports position 0.
  bool PositionsHidden = false; ///< Fenced members report position 0.
  bool VersionsIgnored = false; ///< The platform stores every update.
};

/// Size of the model, and how often each kind of step may happen.
struct Bounds {
  static constexpr unsigned Unlimited = ~0U;
  unsigned Members = 3;
  unsigned Watchers = 2;
  unsigned TimeSteps = 4; ///< Each of TimeStep.
  unsigned Writes = 1;
  unsigned Replications = 1;   ///< Of a member's log from the one it follows.
  unsigned Delays = 1;         ///< Requests or answers out of order, or lost.
  unsigned Rebuilds = 0;       ///< Of former primaries as replicas.
  unsigned MemberFailures = 0; ///< Of chosen members before their promotion is
                               ///< stored.
  unsigned MaxTerm = 2;        ///< Primaries of lower terms are suspected.
  unsigned Ticks = Unlimited;  ///< Of watchers that suspect the primary.
  unsigned UnsuspectingTicks =
      0; ///< Of watchers that suspect only a failed primary.
  bool PrimaryLeaving = false; ///< db-a is leaving, and not suspected.
  bool ReplicaAhead = false;   ///< db-c has a write that db-b lacks.
  bool ReplicaFenced = false;  ///< An abandoned attempt left db-b fenced.
};

constexpr std::chrono::milliseconds TimeStep{400};

/// One step of the model.
struct Step {
  enum class Kind {
    Execute,      ///< Execute the oldest request of a watcher and answer it.
    DelayRequest, ///< Delay the oldest request of a watcher.
    DelayAnswer,  ///< Execute the oldest request, but delay its answer.
    RunDelayedRequest, ///< Execute a delayed request and answer it.
    DeliverDelayedAnswer,
    Tick,
    UnsuspectingTick,
    Time,
    Write,
    Replicate,
    Rebuild,
    MemberFailure,
  };
  Kind What;
  std::size_t Index = 0;
};

/// Model of a group with its platform, members, watchers and clients. Steps may
/// happen in any order. A watcher that gets no event while time passes models a
/// paused one, and a delayed message that never arrives models a lost one.
class GroupModel {
public:
  GroupModel(const Bounds &Limits, const Defects &Faults);

  std::vector<Step> steps() const;
  void apply(const Step &S);

  /// Executes the first \p Requests requests of \p Watcher's attempt without
  /// faults, and delays the next one.
  void runPrefix(std::size_t Watcher, unsigned Requests);

  /// Runs without further faults: all messages are delivered, only a failed
  /// primary is suspected, and the platform rebuilds the members that cannot
  /// follow. Failed members stay down unless the others cannot replace the
  /// primary.
  void recover(unsigned TimeSteps);

  /// Identifies the state: equal for models that behave alike.
  std::string key() const;

  /// The first violated rule, or empty if there was none.
  const std::string &violation() const { return this->Violation; }

  Term term() const { return this->Status.Current; }
  /// Whether the current term's primary may acknowledge writes.
  bool isWritable() const;

private:
  struct Member {
    std::string Name;
    bool InRecovery = true;
    bool Failed = false;
    Term Timeline{1};
    std::vector<unsigned> Log; ///< Numbers of writes; the size is the position.
    std::string Follows;
    bool CatchesUp = false; ///< Receives log without giving permission.
    std::set<std::pair<std::size_t, CallId>> Sessions;
  };
  struct Request {
    std::size_t Watcher;
    PromotionAction Action;
  };
  struct Reply {
    std::size_t Watcher;
    PromotionEvent Event;
  };
  struct Executor;

  void complete(const TermStatus &Stored);
  bool canBeReplaced() const;
  Member &member(const std::string &Name);
  const Member &member(const std::string &Name) const;
  ReplicaPoll poll(const Member &M) const;
  void deliver(std::size_t Watcher, const PromotionEvent &Event);
  void tick(std::size_t Watcher, bool Suspected);
  void execute(const Request &R, bool AnswerNow);
  Request takeOldest(std::size_t Watcher);
  bool hasRequests(std::size_t Watcher) const;
  void dropIneffective();
  void replicate(Member &M);
  bool canReplicate(const Member &M) const;
  bool needsRebuild(const Member &M) const;
  void rebuild(Member &M);
  void observe();
  void observe(WritePermission &Holder);
  void recordPrimary(Term InTerm, const std::string &Name);
  void checkReplicas();
  void reportViolation(const std::string &What);

  Bounds Remaining;
  Defects Faults;
  TimePoint Now;
  TermStatus Status;
  std::vector<Member> Members;
  std::vector<Promotion> Watchers;
  std::vector<std::string> Descriptions; ///< From describe(), by watcher.
  std::vector<Request> Requests;
  std::vector<Request> DelayedRequests;
  std::vector<Reply> Replies;
  std::vector<WritePermission> Holders; ///< One for each term. None learns
                                        ///< that its term has ended.
  std::map<Term, TimePoint> Answered;   ///< Newest answer of a term's primary.
  std::map<Term, std::string> Primaries;
  std::set<unsigned> Acknowledged; ///< Writes confirmed by a replica.
  unsigned LastWrite = 0;
  std::string Violation;
};

} // namespace lavenderdale::model
