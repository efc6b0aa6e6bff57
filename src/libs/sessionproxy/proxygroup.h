#pragma once

#include "consistency/verifiedpositions.h"
#include "failover/primarytracker.h"
#include "sessioncatalogue.h"
#include "upstreamaccess.h"
#include "upstreamclient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

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
  /// The primary is probed when statements have not proved its leadership for
  /// this long. Well below the smallest accepted age of routes, 1.5 s.
  static constexpr std::chrono::milliseconds ProofInterval{300};
  /// Pause between probes while no member has proved to be the primary.
  static constexpr std::chrono::milliseconds ProbeInterval{100};
  /// Starting a transaction uses no slot of the database, so even a busy
  /// primary answers in this time.
  static constexpr std::chrono::milliseconds ProbeTimeout{400};
  /// Timeout of a probe through another host. If that host does not answer,
  /// there is still time to probe over an own connection before the primary is
  /// suspected.
  static constexpr std::chrono::milliseconds RelayedProbeTimeout{150};
  /// A group that has had no statements for this long is not probed.
  static constexpr std::chrono::seconds IdleTimeout{8};
  /// The primary is suspected after this long without proof of leadership.
  static constexpr std::chrono::milliseconds SuspectAfter{800};

  ProxyGroup(const boost::asio::any_io_executor &Executor,
             const UpstreamProtocol &Protocol, UpstreamAccess &Access,
             std::string Name, std::string OwnDomain);

  void start();

  /// Replaces the members of the group.
  void setMembers(const std::vector<UpstreamEntry> &Entries);
  /// \param Limit connections that each member accepts from all hosts together.
  void setConnectionLimit(std::size_t Limit);

  /// Records that a statement of \p Workspace uses the group.
  void recordUse(const std::string &Workspace, TimePoint Now);

  /// Returns the member to send writes to, or nullptr.
  std::shared_ptr<UpstreamClient> primary(TimePoint Now);

  /// Waits for a primary.
  /// \returns nullptr if none was found until \p Until, or if \p Wait was
  ///          cancelled.
  boost::asio::awaitable<std::shared_ptr<UpstreamClient>>
  waitForPrimary(TimePoint Until, WaitHandle &Wait);

  /// Chooses the member for a read that has to see the log up to \p After.
  /// \param Excluded members that must not be chosen.
  /// \returns nullptr if there is none.
  std::shared_ptr<UpstreamClient>
  chooseReader(const std::string &Workspace, const Position &After,
               const std::set<std::string> &Excluded, TimePoint Now);

  /// Records that \p Client was the primary when it received a command that was
  /// sent at \p Sent and answered with position \p At.
  void recordLeadershipProof(const UpstreamClient &Client, BootTime Sent,
                             const Position &At);
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

  /// Queries the status of all members that can be reached.
  /// \returns the answers received, with the ids of the members.
  boost::asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
  queryStatus(TimePoint Deadline);

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
  boost::asio::awaitable<void> probeLoop();
  boost::asio::awaitable<void> probe();
  boost::asio::awaitable<ConnectionLease>
  probeConnection(const std::shared_ptr<UpstreamClient> &Client,
                  TimePoint Limit);
  void updateSuspicion(TimePoint Now);

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  UpstreamAccess &Access;
  const std::string Name;
  const std::string OwnDomain;
  std::map<std::string, std::shared_ptr<UpstreamClient>> Clients;
  PrimaryTracker Tracker;
  VerifiedPositions Verified;
  std::string LastWorkspace;
  TimePoint LastUse{};
  std::optional<TimePoint> SuspectedSince;
  std::size_t ConnectionLimit = 1;
  bool Stopped = false;
};

} // namespace lavenderdale
