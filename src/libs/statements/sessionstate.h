#pragma once

#include "base/result.h"
#include "consistency/position.h"
#include "statement.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace lavenderdale {

/// A prepared statement as its session defined it.
struct PreparedStatement {
  std::string Definition;
  bool Writes = false;
};

/// Session values in force, by name.
using SessionValues = std::map<std::string, std::string>;

/// Where the caller's transaction stands.
enum class TransactionPhase {
  None,
  Announced, ///< Begun by the caller, not yet at an upstream.
  Open,      ///< Pinned to an upstream connection.
  Failed,    ///< Rolled back; the caller has still to end it.
};

/// What a session keeps between statements. Nothing of it is shared with
/// other sessions.
class SessionState {
public:
  /// Bounds on what one session may keep, so that idle sessions cannot use up
  /// the memory of a host.
  static constexpr std::size_t MaxValues = 256;
  static constexpr std::size_t MaxPrepared = 256;

  /// Each changes the session. Errors: BadRequest beyond the bounds or for a
  /// name that is not prepared.
  Result<void> setValue(const std::string &Name, const std::string &Value);
  Result<void> prepare(const std::string &Name, PreparedStatement Prepared);
  Result<void> deallocate(const std::string &Name);

  /// Returns the prepared statement called \p Name, or nullptr.
  const PreparedStatement *findPrepared(const std::string &Name) const;

  /// Starts a transaction. Errors: BadRequest inside one.
  Result<void> begin(bool ReadOnly);

  /// The transaction reached an upstream.
  void opened();
  void failTransaction();
  void endTransaction();

  /// The transaction wrote something.
  void wrote() { this->Written = true; }

  /// Records a commit of this session.
  void committedAt(const Position &At);

  const SessionValues &values() const { return this->Values; }
  TransactionPhase phase() const { return this->Phase; }
  bool isReadOnly() const { return this->ReadOnly; }
  bool hasWritten() const { return this->Written; }
  bool inTransaction() const { return this->Phase != TransactionPhase::None; }
  const std::optional<Position> &lastCommit() const { return this->LastCommit; }

private:
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  TransactionPhase Phase = TransactionPhase::None;
  bool ReadOnly = false;
  bool Written = false;
  std::optional<Position> LastCommit;
};

} // namespace lavenderdale
