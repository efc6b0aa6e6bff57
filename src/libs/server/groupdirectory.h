#pragma once

#include "catalogue/cataloguesnapshot.h"
#include "daemoncontext.h"
#include "executor.h"
#include "fleetview.h"
#include "groupservice.h"
#include "groupviews.h"
#include "rpc/rpcserver.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace lavenderdale {

/// Owns the group services of this host. Starts, updates and stops them as the
/// catalogue and the fleet change, and answers the calls of peers about groups.
/// Safe to call from any thread.
class GroupDirectory : public GroupServices {
public:
  GroupDirectory(const DaemonContext &Context, GroupStatusStore &Store,
                 GroupViews &Views);

  /// Registers the RPC methods "group.evidence" and "group.view".
  void addMethods(RpcServer &Server);

  /// Starts, updates and stops services to match \p Snapshot and \p Fleet.
  void reconcile(const SnapshotPointer &Snapshot, const FleetPointer &Fleet);

  /// \returns nullptr if this host has no service for \p Group.
  std::shared_ptr<GroupService> find(const std::string &Group) const override;

  /// Fetches and publishes a watcher's view of \p Group. Does nothing if this
  /// host polls the group itself or if a fetch for the group is in progress.
  boost::asio::awaitable<void> refreshView(std::string Group);

  /// Stops all services.
  void stop();

  /// Number of open transactions whose upstream connections are on this host.
  std::size_t transactions() const;

private:
  using ServicePointer = std::shared_ptr<GroupService>;

  ServicePointer create(const Group &Members);
  void retire(const std::string &Name); ///< Lock must be held.
  void requestEvidence(const std::string &Group, Term Current,
                       const std::vector<Watcher> &Watchers);
  boost::asio::awaitable<void>
  requestEvidenceFrom(std::string Group, Term Current, std::string Host);
  FleetPointer fleet() const;

  const DaemonContext &Context;
  GroupStatusStore &Store;
  GroupViews &Views;
  mutable std::mutex Lock;
  std::map<std::string, ServicePointer> Services;
  std::map<std::string, GroupDuties> Duties;
  std::map<std::string, std::string> Primaries;
  std::set<std::string> Refreshing;
  FleetPointer Fleet;
};

/// Converts a stored group status to the type of the failover library.
/// \param Version the version of the stored object.
/// \returns an error if a log position or the lineage is invalid.
Result<TermStatus> termStatusOf(const GroupStatus &Stored,
                                std::uint64_t Version);

/// Converts \p Status to its stored form; the inverse of termStatusOf().
GroupStatus storedStatusOf(const TermStatus &Status);

} // namespace lavenderdale
