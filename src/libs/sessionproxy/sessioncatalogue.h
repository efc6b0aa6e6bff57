#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lavenderdale {

/// The commits that a read of a route must see.
enum class ReadConsistency {
  Primary,        ///< All acknowledged commits.
  Bounded,        ///< All commits older than the accepted age.
  ReadYourWrites, ///< As Bounded, and all commits of the own session.
};

/// A database name that callers connect to, and the rules for its statements.
struct SessionRoute {
  std::string Name;
  std::string Database;
  std::string Group;
  ReadConsistency Consistency = ReadConsistency::Primary;
  std::chrono::milliseconds AcceptedAge{}; ///< Maximum staleness of reads.
  std::chrono::milliseconds StatementTimeout{};
  std::chrono::milliseconds LatencyObjective{}; ///< For a whole operation.
  unsigned Priority = 0;                        ///< 0 is the most urgent.
  bool AllowsAnonymous = false;                 ///< Callers need no key.

  bool operator==(const SessionRoute &) const = default;
};

/// A workspace with its rate limit, which holds for all hosts together.
struct SessionWorkspace {
  std::string Name;
  double Rate = 0;  ///< Operations per second.
  double Burst = 0; ///< Operations.

  bool operator==(const SessionWorkspace &) const = default;
};

/// Settings of a group of upstreams.
struct SessionGroup {
  std::size_t ConnectionLimit = 1; ///< Per upstream, for all hosts together.
  /// Replicas that have received a commit before it is acknowledged.
  std::size_t SynchronousReplicas = 0;
  /// Requests per second to an upstream that is cold, from all hosts together;
  /// 0 for no limit.
  double ColdPerSecond = 0;

  bool operator==(const SessionGroup &) const = default;
};

/// One version of the configuration that operators declare. Only ever replaced
/// as a whole by a newer version.
struct SessionCatalogue {
  std::uint64_t Version = 0;
  std::map<std::string, SessionRoute> Routes; ///< By database name.
  std::map<std::string, SessionGroup> Groups;
  std::map<std::string, SessionWorkspace> Workspaces;
  std::map<std::string, std::string> Keys; ///< Key to workspace.
  /// Time after which a transaction without statements is ended.
  std::chrono::milliseconds TransactionIdleTimeout{};
  Json::Value Document; ///< As stored; served to hosts that lack it.

  /// Returns the route of \p Database, or nullptr.
  const SessionRoute *findRoute(const std::string &Database) const;
  /// Returns the workspace that \p Key belongs to, or nullptr.
  const SessionWorkspace *findWorkspaceByKey(const std::string &Key) const;
};

} // namespace lavenderdale
