#pragma once

#include "consistency/verifiedpositions.h"
#include "failover/departedreplicas.h"
#include "failover/primarytracker.h"
#include "failover/promotionvote.h"
#include "sessioncatalogue.h"
#include "upstreamaccess.h"
#include "upstreamclient.h"
#include "upstreamwork.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// This host's view of a group: connections to its members, the current
/// primary, and the log positions known of it.
class ProxyGroup : public std::enable_shared_from_this<ProxyGroup> {
public:
  /// The host that holds the primary's connections probes it when statements
  /// have not proved its leadership for this long. Well below the smallest
  /// accepted age of routes, 1.5 s.
  static constexpr std::chrono::milliseconds ProofInterval{300};
  /// Interval at which supervise() is called, and pause between probes while no
  /// member proves to be the primary.
  static constexpr std::chrono::milliseconds ProbeInterval{100};
  /// Starting a transaction uses no slot of the database, so even a busy
  /// primary answers in this time.
  static constexpr std::chrono::milliseconds ProbeTimeout{400};
  /// Timeout of a probe through another host. That host has time to find out
  /// that it cannot connect to the primary; if it does not answer, there is
  /// still time for another probe before the primary is suspected.
  static constexpr std::chrono::milliseconds RelayedProbeTimeout{200};
  /// A group that has had no statements for this long is not probed.
  static constexpr std::chrono::seconds IdleTimeout{8};
  /// The primary is suspected after this long without proof of leadership.
  static constexpr std::chrono::milliseconds SuspectAfter{800};

  /// Time for which writes wait until orders to promote are read, from the
  /// first answer of a primary. The store may not answer.
  static constexpr std::chrono::milliseconds OrderReadTime{2000};

  ProxyGroup(const boost::asio::any_io_executor &Executor,
             const UpstreamProtocol &Protocol, UpstreamAccess &Access,
             std::string Name, std::string OwnDomain);

  /// Starts a probe if one is due, and updates the suspicion of the primary. To
  /// be called every ProbeInterval.
  ///
  /// Load pattern: hundreds of hosts and dozens of groups, of which each host
  /// uses most, but seldom. If each host probed each primary, probes would far
  /// outnumber statements. Only the host over which all statements reach the
  /// primary probes it, and hosts whose own statements or probes failed. The
  /// others ask that host for its proof when a read needs one.
  void supervise(TimePoint Now);

  /// Replaces the members of the group.
  void setMembers(const std::vector<UpstreamEntry> &Entries);
  /// \param Limit connections that each member accepts from all hosts together.
  void setConnectionLimit(std::size_t Limit);
  /// \param PerSecond requests to a cold member from all hosts together; 0 for
  ///        no limit.
  void setColdRate(double PerSecond, const ColdTolerance &Tolerance);
  /// \param Count replicas that receive a commit before it is acknowledged.
  void setSynchronousReplicas(std::size_t Count) {
    this->SynchronousReplicas = Count;
  }
  std::size_t synchronousReplicas() const { return this->SynchronousReplicas; }
  /// \param Workspace connects probes before a statement has used the group.
  void setProbeWorkspace(const std::string &Workspace) {
    this->ProbeWorkspace = Workspace;
  }

  /// Records that a statement of \p Workspace uses the group.
  void recordUse(const std::string &Workspace, TimePoint Now);

  /// Whether orders to promote have to be read from the store before a primary
  /// is used: in a group with synchronous replicas, after the start of this
  /// host and when a primary answers again. Another host may have ordered to
  /// replace it meanwhile.
  bool needsOrders() const {
    return this->SynchronousReplicas > 0 && this->OrdersUnread;
  }
  /// The orders were read by a call that began at \p Began, when the primary
  /// was not in trouble.
  void ordersRead(TimePoint Began) {
    this->OrdersUnread = Began < this->OrdersRequiredAt;
  }
  /// Orders have to be read before a primary is used, see needsOrders().
  void requireOrders();

  /// Whether the group has members, and all are in evacuated failure domains.
  bool isEvacuated() const;

  /// Whether the likely primary is in an evacuated failure domain.
  bool isPrimaryEvacuated() const {
    return this->isEvacuated(this->Tracker.primary(steadyNow()).value_or(""));
  }

  /// Returns the member to send writes to, or nullptr if none is known or it is
  /// evacuated.
  std::shared_ptr<UpstreamClient> primary(TimePoint Now);

  /// Whether a write may be sent to member \p Id, which was chosen earlier.
  bool mayWriteTo(const std::string &Id, TimePoint Now) const;

  /// Waits for a primary.
  /// \returns nullptr if none was found until \p Until, or if \p Wait was
  ///          cancelled; at once if all members are evacuated.
  boost::asio::awaitable<std::shared_ptr<UpstreamClient>>
  waitForPrimary(TimePoint Until, WaitHandle &Wait);

  /// Chooses the member for a read that has to see the log up to \p After.
  /// \param Priority of the read, 0 is the most urgent.
  /// \param Excluded members that must not be chosen.
  /// \returns nullptr if there is none.
  std::shared_ptr<UpstreamClient>
  chooseReader(const std::string &Workspace, unsigned Priority,
               const Position &After, const std::set<std::string> &Excluded,
               TimePoint Now);

  /// Records that \p Client was the primary when it received a command that was
  /// sent at \p Sent and answered with position \p At.
  /// \param Age time since the proof, if another host obtained it earlier.
  void recordLeadershipProof(const UpstreamClient &Client, BootTime Sent,
                             const Position &At,
                             std::chrono::milliseconds Age = {});
  /// Records that a statement did not reach the primary. It is probed until it
  /// proves its leadership.
  void recordTrouble() {
    this->TroubleAt = steadyNow();
    this->requireOrders();
  }
  /// Whether the primary failed to answer since its last proof.
  bool inTrouble() const {
    return this->TroubleAt.has_value() || this->Tracker.hasFailed();
  }
  /// Records that another host does not reach the primary. This host then
  /// probes it too, unless it has a recent proof.
  void recordTroubleOfOthers(TimePoint Now);
  /// Evaluates work that this host ran for another host at \p Client.
  void recordRelayedWork(const UpstreamClient &Client,
                         const WorkResult &Result);
  /// Records that \p Client refused a write or a read-write transaction because
  /// it is not the primary.
  void recordLeadershipRefusal(const UpstreamClient &Client);
  /// Records that the promotion of member \p Id was requested.
  void promotionOrdered(const std::string &Id);

  /// Returns a log position that includes all commits acknowledged before
  /// \p Since, or nothing if none is known.
  std::optional<Position> includingAll(BootTime Since) const {
    return this->Verified.oldestCovering(Since);
  }

  /// A proof of leadership that this host has, for another host.
  struct KnownProof {
    Position At;
    std::chrono::milliseconds Age{};
  };
  /// Returns a proof that \p Upstream is the primary, the oldest one that is at
  /// most \p MaxAge old, because more replicas have replayed its position.
  std::optional<KnownProof> knownProof(const std::string &Upstream,
                                       std::chrono::milliseconds MaxAge) const;

  /// Makes sure that includingAll(\p Since) is known, if a proof can be had
  /// until \p Deadline.
  boost::asio::awaitable<void> proveLeadership(BootTime Since,
                                               TimePoint Deadline);

  /// Starts what an operation will need that is not known yet, without waiting
  /// for it: for a read, a proof of leadership since \p Since; for a write, an
  /// answer of the host that holds the primary's connections. Called while the
  /// operation is counted against its rate, which takes a round trip as well.
  void prepareOperation(const std::string &Workspace,
                        std::optional<BootTime> Since);

  /// Probes the last primary once more, so that a host does not act on what it
  /// knew before a network partition ended, or before another host acted.
  boost::asio::awaitable<void> probeLastPrimary(TimePoint Deadline);

  /// Queries the status of all members that can be reached, at the same time. A
  /// primary that is suspected is left out: it did not answer the probes, and
  /// waiting for it would delay its replacement.
  /// \returns the answers received, with the ids of the members.
  boost::asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
  queryStatus(TimePoint Deadline);

  /// Turns member \p Id into a replica. It acknowledges no commit after that.
  /// \returns its status as a replica. Errors: Unavailable if it did not
  ///          confirm that, which it may have done nevertheless.
  boost::asio::awaitable<Result<UpstreamStatus>>
  demotePrimary(std::string Id, TimePoint Deadline);

  /// Returns what a member must have received to be promoted.
  CommitGuarantee commitGuarantee();

  /// Adds what the store keeps about the members of the group.
  void restoreMembers(const MemberRecord &Stored);
  /// Returns what the store has to keep about them.
  MemberRecord memberRecord() const { return this->Departed.record(); }
  /// Whether it is known which commits a promoted member must have, so that a
  /// primary that fails now can be replaced.
  bool knowsGuarantee() const {
    return this->SynchronousReplicas == 0 ||
           (this->MembersRestored && this->Departed.unaccounted() == 0);
  }

  const std::string &name() const { return this->Name; }
  const std::map<std::string, std::shared_ptr<UpstreamClient>> &gates() const {
    return this->Clients;
  }
  PrimaryTracker &tracker() { return this->Tracker; }
  const VerifiedPositions &verified() const { return this->Verified; }
  bool inUse(TimePoint Now) const;
  /// Returns since when the group is suspected to have no primary, or nothing
  /// if it is not.
  std::optional<TimePoint> suspectedSince() const {
    return this->SuspectedSince;
  }
  void stop();

private:
  bool knownBehind(const UpstreamClient &Client, const Position &After,
                   TimePoint Now) const;
  bool isEvacuated(const std::string &Id) const;
  bool waitsForOrders(TimePoint Now) const;
  const std::string &probeWorkspace() const {
    return this->LastWorkspace.empty() ? this->ProbeWorkspace
                                       : this->LastWorkspace;
  }
  std::optional<std::string> probeTarget(TimePoint Now);
  bool isProbeDue(TimePoint Now);
  boost::asio::awaitable<void> probe(std::chrono::milliseconds MaxProofAge);
  boost::asio::awaitable<void> runProbe(std::shared_ptr<UpstreamClient> Client,
                                        std::chrono::milliseconds MaxProofAge);
  void recordProbeResult(UpstreamClient &Client, const WorkResult &Result,
                         bool Remote);
  boost::asio::awaitable<std::optional<UpstreamStatus>>
  queryMember(std::shared_ptr<UpstreamClient> Client, UpstreamCommand Command,
              TimePoint Deadline);
  boost::asio::awaitable<ConnectionLease>
  probeConnection(const std::shared_ptr<UpstreamClient> &Client,
                  TimePoint Limit);
  void updateSuspicion(TimePoint Now);
  void recordUnreachable(const std::string &Id, TimePoint Now);

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  UpstreamAccess &Access;
  const std::string Name;
  const std::string OwnDomain;
  std::map<std::string, std::shared_ptr<UpstreamClient>> Clients;
  PrimaryTracker Tracker;
  VerifiedPositions Verified;
  DepartedReplicas Departed;
  bool MembersRestored = false;
  bool OrdersUnread = true;
  TimePoint OrdersRequiredAt{}; ///< Last call of requireOrders().
  TimePoint OrdersNeededAt{};   ///< When a primary first answered without them.
  std::string LastWorkspace;
  std::string ProbeWorkspace;
  TimePoint LastUse{};
  std::optional<TimePoint> SuspectedSince;
  /// When a statement last failed to reach the primary; unset once it proved
  /// its leadership since.
  std::optional<TimePoint> TroubleAt;
  bool Probing = false;
  TimePoint LastProbeAt{};
  std::size_t ProbeTurn = 0; ///< While the likely primary is evacuated.
  boost::asio::steady_timer ProbeEnded; ///< Cancelled when a probe ends.
  std::size_t ConnectionLimit = 1;
  std::size_t SynchronousReplicas = 0;
  bool Stopped = false;
};

} // namespace lavenderdale
