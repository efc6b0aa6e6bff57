#pragma once

#include "sessionstate.h"
#include "upstreamcommand.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Names prepared statements at upstreams by their definition, so that
/// sessions with the same definition share one, and names that collide
/// between sessions never meet.
class StatementNames {
public:
  /// Returns the name used at every upstream for \p Definition.
  const std::string &nameOf(const std::string &Definition);

private:
  std::map<std::string, std::string> Names;
};

/// What an upstream connection is known to hold: session values and prepared
/// statements.
class ConnectionImage {
public:
  /// A connection with more prepared statements than this is reset.
  static constexpr std::size_t MaxPrepared = 200;

  /// The commands that bring the connection to the given session's values,
  /// and prepare a statement. The image already includes their effect; a
  /// connection on which one of them fails has to be closed.
  /// \param Definition of the statement to run, or nullptr.
  /// \param InTransaction a transaction is open, which forbids a reset. Its
  ///        session only adds values, so that none is needed.
  std::vector<UpstreamCommand> adopt(const SessionValues &Wanted,
                                     const std::string *Definition,
                                     StatementNames &Names, bool InTransaction);

  /// Whether adopt() needs a reset first.
  bool needsReset(const SessionValues &Wanted) const;

  /// Forgets \p Name, which the upstream does not know.
  void forgetPrepared(const std::string &Name) { this->Prepared.erase(Name); }

private:
  SessionValues Values;
  std::set<std::string> Prepared;
};

} // namespace lavenderdale
