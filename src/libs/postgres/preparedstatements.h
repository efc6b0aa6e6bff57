#pragma once

#include "statement.h"

#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// A statement as it is sent: run, or prepared under its name.
struct SentStatement {
  const Statement *What = nullptr;
  bool IsPreparation = false;
};

/// Groups as they are sent. They refer to the statements they were made from.
using SentGroups = std::vector<std::vector<SentStatement>>;

/// The named statements that one session has prepared.
class PreparedStatements {
public:
  using GroupResults = std::vector<std::vector<StatementResult>>;

  /// Puts a preparation before the first use of each name that the session
  /// does not have.
  SentGroups plan(const std::vector<std::vector<Statement>> &Groups) const;

  /// Learns from the results of \p Sent which names the session has.
  /// \returns the results without those of preparations.
  GroupResults take(const SentGroups &Sent, GroupResults Results);

  /// Whether a name is taken in the session by a statement of somebody else.
  bool hasConflict() const { return this->Conflict; }

private:
  void learn(const SentStatement &Sent, const StatementResult &Result);

  std::set<std::string> Names;
  bool Conflict = false;
};

} // namespace lavenderdale
