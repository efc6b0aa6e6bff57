#pragma once

#include "consistency/verifiedpositions.h"
#include "failover/primarytracker.h"
#include "sessioncatalogue.h"
#include "upstreamaccess.h"
#include "upstreamgate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// A group as this host sees it: connections to its members, who leads, and
/// how far the primary's log has come.
class ProxyGroup : public std::enable_shared_from_this<ProxyGroup> {
public:
  /// Proofs of leadership are asked for when statements brought none for this
  /// long. Well below the smallest accepted age of routes, 1.5 s.
  static constexpr std::chrono::milliseconds ProofInterval{300};
  /// Pause between probes while no member proves that it leads.
  static constexpr std::chrono::milliseconds SearchInterval{100};
  /// Starting a transaction takes no slot, so even a busy primary answers.
  static constexpr std::chrono::milliseconds ProbeLimit{400};
  /// Limit of a probe over another host. When that host is silent, the probe
  /// over an own connection still ends before the primary is suspected.
  static constexpr std::chrono::milliseconds RelayedProbeLimit{150};
  /// A group without statements for this long is not probed.
  static constexpr std::chrono::seconds IdleAfter{8};
  /// A suspicion needs this long without proof.
  static constexpr std::chrono::milliseconds SuspectAfter{800};

  ProxyGroup(const boost::asio::any_io_executor &Executor,
             const UpstreamProtocol &Protocol, UpstreamAccess &Access,
             std::string Name, std::string OwnDomain);

  void start();

  /// Replaces the members.
  void setMembers(const std::vector<UpstreamEntry> &Entries);
  /// \param Limit connections that each member allows over all hosts.
  void setConnectionLimit(std::size_t Limit);

  /// A statement of \p Workspace uses the group.
  void countUse(const std::string &Workspace, TimePoint Now);

  /// The member to send writes to, or nullptr.
  std::shared_ptr<UpstreamGate> primary(TimePoint Now);

  /// Waits for a member that leads.
  boost::asio::awaitable<std::shared_ptr<UpstreamGate>>
  waitForPrimary(TimePoint Until, WaitHandle &Wait);

  /// The member for a read that needs \p After, other than \p Excluded.
  std::shared_ptr<UpstreamGate>
  chooseReader(const std::string &Workspace, const Position &After,
               const std::set<std::string> &Excluded, TimePoint Now);

  /// \p Gate led when it got a command sent at \p Sent and answered with \p At.
  void proved(const UpstreamGate &Gate, BootTime Sent, const Position &At);
  void refusedLead(const UpstreamGate &Gate);
  void promotionOrdered(const std::string &Id);

  /// Position that includes all commits acknowledged before \p Since.
  std::optional<Position> includingAll(BootTime Since) const {
    return this->Verified.includingAll(Since);
  }

  /// Answers of all members that can be reached to a status query.
  boost::asio::awaitable<std::vector<std::pair<std::string, UpstreamStatus>>>
  askStatus(TimePoint Deadline);

  const std::string &name() const { return this->Name; }
  const std::map<std::string, std::shared_ptr<UpstreamGate>> &gates() const {
    return this->Gates;
  }
  PrimaryTracker &tracker() { return this->Tracker; }
  const VerifiedPositions &verified() const { return this->Verified; }
  bool inUse(TimePoint Now) const;
  /// Since when no member has proved to lead; nothing while one does.
  std::optional<TimePoint> suspectedSince() const {
    return this->SuspectedSince;
  }
  void stop();

private:
  bool knownBehind(const UpstreamGate &Gate, const Position &After,
                   TimePoint Now) const;
  boost::asio::awaitable<void> probeLoop();
  boost::asio::awaitable<void> probe();
  boost::asio::awaitable<ConnectionLease>
  probeConnection(const std::shared_ptr<UpstreamGate> &Gate, TimePoint Limit);
  void updateSuspicion(TimePoint Now);

  boost::asio::any_io_executor Executor;
  const UpstreamProtocol &Protocol;
  UpstreamAccess &Access;
  const std::string Name;
  const std::string OwnDomain;
  std::map<std::string, std::shared_ptr<UpstreamGate>> Gates;
  PrimaryTracker Tracker;
  VerifiedPositions Verified;
  std::string LastWorkspace;
  TimePoint LastUse{};
  std::optional<TimePoint> SuspectedSince;
  std::size_t ConnectionLimit = 1;
  bool Stopped = false;
};

} // namespace lavenderdale
