#pragma once

#include "sessionstate.h"
#include "upstreamcommand.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Assigns the names of prepared statements at upstreams by definition. Thus
/// sessions share prepared statements with the same definition, and can use
/// the same name for different definitions without a conflict.
class StatementNames {
public:
  /// \returns the name that is used for \p Definition at every upstream.
  const std::string &nameOf(const std::string &Definition);

private:
  std::map<std::string, std::string> Names;
};

/// The known state of an upstream connection: its session values and prepared
/// statements.
class UpstreamConnectionState {
public:
  /// A connection with this many prepared statements is reset before its next
  /// use.
  static constexpr std::size_t MaxPrepared = 200;

  /// Determines the commands that set the values of a session on the connection
  /// and prepare a statement. The recorded state changes as if the commands
  /// had already succeeded; if one of them fails, the connection must be
  /// closed.
  /// \param Wanted values of the session.
  /// \param Definition of the prepared statement to execute, or nullptr.
  /// \param InTransaction whether a transaction is open, which rules out a
  ///        reset. Its session only adds values, so no reset is needed.
  /// \returns the commands in the order in which they must run.
  std::vector<UpstreamCommand> switchTo(const SessionValues &Wanted,
                                        const std::string *Definition,
                                        StatementNames &Names,
                                        bool InTransaction);

  /// Whether the connection must be reset before switchTo() can set \p Wanted.
  bool needsReset(const SessionValues &Wanted) const;

  /// Removes the prepared statement \p Name, which the upstream does not have.
  void forgetPrepared(const std::string &Name) { this->Prepared.erase(Name); }

private:
  SessionValues Values;
  std::set<std::string> Prepared;
};

} // namespace lavenderdale
