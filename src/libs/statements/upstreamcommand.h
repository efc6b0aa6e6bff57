#pragma once

#include "consistency/position.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// A command that is sent over an upstream connection.
struct UpstreamCommand {
  enum class Kind {
    Forward, ///< Forwards a caller's statement with its id and text.
    Execute, ///< Executes a prepared statement for a caller, under the name
             ///< that the proxy has assigned.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    Reset,  ///< Removes session values and prepared statements.
    Status, ///< Queries role, term and received position; see UpstreamStatus.
    Demote, ///< Turns a primary of a lower term into a replica. Argument is the
            ///< number of the term. Not relayed for other hosts.
  };

  Kind Type = Kind::Forward;
  std::string Id;   ///< The caller's id; empty for commands of the proxy.
  std::string Text; ///< Forward only.
  std::string Name;
  std::string Argument;
  /// The command may run only if the upstream's log includes this position.
  std::optional<Position> After;
};

} // namespace lavenderdale
