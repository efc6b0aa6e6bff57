#pragma once

#include "consistency/position.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// One command for an upstream connection.
struct UpstreamCommand {
  enum class Kind {
    Forward, ///< A caller's statement with its id and text.
    Execute, ///< A caller's execution under the proxy's statement name.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    Reset,  ///< Drops session values and prepared statements.
    Status, ///< Asks for role, term and received position.
  };

  Kind Type = Kind::Forward;
  std::string Id;   ///< The caller's; empty for the proxy's own commands.
  std::string Text; ///< Forward only.
  std::string Name;
  std::string Argument;
  std::optional<Position> After; ///< The upstream's log must include it.
};

} // namespace lavenderdale
