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

/// What this host does for a group.
struct GroupDuties {
  std::set<std::string> Held;    ///< Upstreams that the host holds.
  bool Watches = false;          ///< First holder of a member.
  std::vector<Watcher> Watchers; ///< All watchers, this host included.

  bool any() const { return this->Watches || !this->Held.empty(); }

  /// Whether the host polls all members.
  bool polls(const std::string &Primary) const {
    return this->Watches || this->Held.contains(Primary);
  }
};

/// All that this host does for one group: connections and queues of the
/// upstreams it holds, polls, write permission, failure detection, promotion.
/// Runs on one worker.
class GroupService : public GroupState,
                     public std::enable_shared_from_this<GroupService> {
public:
  /// Asks the other watchers for their opinion; each answer comes to
  /// recordEvidence().
  using EvidenceAsker =
      std::function<void(const std::string &Group, Term Current,
                         const std::vector<Watcher> &Watchers)>;

  GroupService(const DaemonContext &Context, boost::asio::io_context &Home,
               Group Members, GroupStatusStore &Store, GroupViews &Views,
               EvidenceAsker AskEvidence);

  void start();
  void stop();

  /// Applies a change of the catalogue or of the hosts.
  void update(const Group &Members, const GroupDuties &Duties);

  /// Takes a status that was seen in the configuration.
  void statusSeen(const TermStatus &Status);

  boost::asio::awaitable<ExecutionResult> execute(ExecutionRequest Request);

  /// This host's opinion about the primary of \p Current, as of the last tick.
  /// Safe to call from any thread.
  bool suspects(Term Current) const {
    return this->SuspectedTerm.load() == Current.Value && Current.Value != 0;
  }
  void recordEvidence(const Evidence &Opinion);

  boost::asio::io_context &home() { return this->Home; }
  std::size_t transactions() const { return this->Runner.transactions(); }

  /// \name GroupState
  /// @{
  bool mayWrite(TimePoint Now) const override;
  AckDecision decide(const Position &Reached, Acknowledge Mode,
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
  void polled(const PollReport &Report);
  void primaryPolled(const PollReport &Report);
  void publish();
  void askForEvidence();
  void refuseStrandedWrites();
  UpstreamView viewOf(const Upstream &Member, TimePoint Now) const;

  const DaemonContext &Context;
  boost::asio::io_context &Home;
  Group Members;
  GroupStatusStore &Store;
  GroupViews &Views;
  EvidenceAsker AskEvidence;
  GroupDuties Duties;
  TermStatus Status;
  StatementRunner Runner;
  WritePermission Permission;
  FailureDetector Detector;
  EvidenceBoard Opinions;
  ReplicaAge Ages;
  std::shared_ptr<PromotionDriver> Promoter;
  std::map<std::string, std::shared_ptr<UpstreamService>> Upstreams;
  std::map<std::string, std::shared_ptr<MemberMonitor>> Monitors;
  std::map<std::string, PollReport> LastReports;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer PollSignal;
  std::atomic<std::uint64_t> SuspectedTerm{0}; ///< 0: no suspicion.
  bool Stopped = false;
  std::size_t Executing = 0; ///< Requests under way on this host.
};

} // namespace lavenderdale
