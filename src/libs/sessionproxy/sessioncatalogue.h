#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lavenderdale {

/// Which commits a read of a route has to see.
enum class ReadConsistency {
  Primary,        ///< Every acknowledged commit.
  Bounded,        ///< All but those of the accepted age.
  ReadYourWrites, ///< As Bounded, and every commit of the own session.
};

/// A database name that callers connect to, and the rules for its statements.
struct SessionRoute {
  std::string Name;
  std::string Database;
  std::string Group;
  ReadConsistency Consistency = ReadConsistency::Primary;
  std::chrono::milliseconds AcceptedAge{};
  std::chrono::milliseconds StatementTimeout{};
  std::chrono::milliseconds LatencyObjective{}; ///< Of a whole operation.
  unsigned Priority = 0;                        ///< 0 is the most urgent.
  bool Open = false;                            ///< Callers need no key.

  bool operator==(const SessionRoute &) const = default;
};

/// A workspace with its rate over all hosts.
struct SessionWorkspace {
  std::string Name;
  double Rate = 0;  ///< Operations per second.
  double Burst = 0; ///< Operations.

  bool operator==(const SessionWorkspace &) const = default;
};

struct SessionGroup {
  std::size_t ConnectionLimit = 1; ///< Of each upstream, over all hosts.

  bool operator==(const SessionGroup &) const = default;
};

/// What operators declared, in one version. Only ever replaced as a whole by
/// a newer one.
struct SessionCatalogue {
  std::uint64_t Version = 0;
  std::map<std::string, SessionRoute> Routes; ///< By database name.
  std::map<std::string, SessionGroup> Groups;
  std::map<std::string, SessionWorkspace> Workspaces;
  std::map<std::string, std::string> Keys; ///< Key to workspace.
  std::chrono::milliseconds TransactionIdle{};
  Json::Value Document; ///< As stored; passed on to hosts that lack it.

  const SessionRoute *findRoute(const std::string &Database) const;
  /// Returns the workspace of \p Key, or nullptr.
  const SessionWorkspace *findKey(const std::string &Key) const;
};

} // namespace lavenderdale
