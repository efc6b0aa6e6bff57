#pragma once

#include "catalogue/groupstatus.h"
#include "consistency/replicaage.h"
#include "failover/evidence.h"
#include "failover/failuredetector.h"
#include "groupviews.h"
#include "promotiondriver.h"
#include "statementrunner.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// What this host is responsible for in a group.
struct GroupDuties {
  /// Upstreams that this host holds connections to.
  std::set<std::string> Held;
  /// Whether this host is the first holder of a member.
  bool Watches = false;
  /// All watchers of the group, including this host if it is one.
  std::vector<Watcher> Watchers;

  bool any() const { return this->Watches || !this->Held.empty(); }

  /// Whether this host polls all members of the group, whose primary is
  /// \p Primary.
  bool pollsMembers(const std::string &Primary) const {
    return this->Watches || this->Held.contains(Primary);
  }
};

/// Runs the duties of this host for one group: connections and queues of the
/// upstreams it holds, polling, write permission, failure detection and
/// promotion. All members run on one worker unless stated otherwise.
class GroupService : public GroupState,
                     public std::enable_shared_from_this<GroupService> {
public:
  /// Asks the other watchers whether they suspect the primary. Each answer is
  /// passed to recordEvidence().
  using EvidenceRequester =
      std::function<void(const std::string &Group, Term Current,
                         const std::vector<Watcher> &Watchers)>;

  GroupService(const DaemonContext &Context, boost::asio::io_context &Worker,
               Group Members, GroupStatusStore &Store, GroupViews &Views,
               EvidenceRequester RequestEvidence);

  /// Starts failure detection and promotion. Called once, on the worker.
  void start();

  /// Stops all work for the group. Called on the worker.
  void stop();

  /// Applies a change of the catalogue or of the host set.
  void update(const Group &Members, const GroupDuties &Duties);

  /// Applies the group's status from a new configuration unless a newer one is
  /// known.
  void handleStatus(const TermStatus &Status);

  /// Executes \p Request at an upstream that this host holds.
  /// \returns Unavailable if the upstream is not held, NoPrimary if a request
  /// for the primary names another member.
  boost::asio::awaitable<ExecutionResult> execute(ExecutionRequest Request);

  /// Whether this host suspected the primary of term \p Current at the last
  /// tick. Safe to call from any thread.
  bool suspects(Term Current) const {
    return this->SuspectedTerm.load() == Current.Value && Current.Value != 0;
  }

  /// Records the answer of another watcher.
  void recordEvidence(const Evidence &Received);

  /// The worker that runs this service. Safe to call from any thread.
  boost::asio::io_context &worker() { return this->Worker; }

  /// Number of open transactions.
  std::size_t transactions() const { return this->Runner.transactions(); }

  /// \name GroupState
  /// @{
  bool mayWrite(TimePoint Now) const override;
  AcknowledgeDecision decide(const Position &Reached, Acknowledge Mode,
                             TimePoint SentAt, TimePoint Now) const override;
  boost::asio::awaitable<void> nextPoll(TimePoint Limit) override;
  const Lineage &history() const override { return this->Status.History; }
  std::optional<Duration> ageOf(const Position &Replayed,
                                TimePoint Now) const override;
  /// @}

private:
  boost::asio::awaitable<void> tickLoop();
  void applyStatus(const TermStatus &Seen);
  void applyDuties();
  Upstream effective(Upstream Member) const;
  void startMonitors();
  void handlePollReport(const PollReport &Report);
  void handlePrimaryPoll(const PollReport &Report);
  void publish();
  void updateSuspicion();
  void refuseStrandedWrites();
  UpstreamView viewOf(const Upstream &Member, TimePoint Now) const;

  const DaemonContext &Context;
  boost::asio::io_context &Worker;
  Group Members;
  GroupStatusStore &Store;
  GroupViews &Views;
  EvidenceRequester RequestEvidence;
  GroupDuties Duties;
  TermStatus Status;
  StatementRunner Runner;
  WritePermission Permission;
  FailureDetector Detector;
  EvidenceAggregator Aggregator;
  ReplicaAge Ages;
  std::shared_ptr<PromotionDriver> Promoter;
  std::map<std::string, std::shared_ptr<UpstreamService>> Upstreams;
  std::map<std::string, std::shared_ptr<MemberMonitor>> Monitors;
  std::map<std::string, PollReport> LastReports;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer PollSignal;
  std::atomic<std::uint64_t> SuspectedTerm{0}; ///< 0 if not suspected.
  bool Stopped = false;
  std::size_t RequestsInFlight = 0; ///< Requests being executed.
};

} // namespace lavenderdale
