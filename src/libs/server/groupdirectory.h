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

/// The group services of this host. Starts, updates and stops them as the
/// catalogue and the fleet change, and answers peers about groups.
class GroupDirectory : public GroupServices {
public:
  GroupDirectory(const DaemonContext &Context, GroupStatusStore &Store,
                 GroupViews &Views);

  /// Registers "group.evidence" and "group.view".
  void addMethods(RpcServer &Server);

  /// Brings the services in line with \p Snapshot and \p Fleet.
  void reconcile(const SnapshotPointer &Snapshot, const FleetPointer &Fleet);

  std::shared_ptr<GroupService> find(const std::string &Group) const override;

  /// Asks a watcher of \p Group for its view, unless this host polls the group
  /// itself. Calls for the same group at the same time share one query.
  boost::asio::awaitable<void> refreshView(std::string Group);

  void stop();

  /// Number of open transactions; their connections are on this host.
  std::size_t transactions() const;

private:
  using ServicePointer = std::shared_ptr<GroupService>;

  ServicePointer create(const Group &Members);
  void retire(const std::string &Name); ///< Called under the lock.
  void askEvidence(const std::string &Group, Term Current,
                   const std::vector<Watcher> &Watchers);
  boost::asio::awaitable<void> askOne(std::string Group, Term Current,
                                      std::string Host);
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

/// The status of a group in the terms of the failover library.
Result<TermStatus> termStatusOf(const GroupStatus &Stored,
                                std::uint64_t Version);

/// The inverse of termStatusOf().
GroupStatus storedStatusOf(const TermStatus &Status);

} // namespace lavenderdale
