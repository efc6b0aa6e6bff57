#pragma once

#include "base/result.h"
#include "consistency/position.h"
#include "statement.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace lavenderdale {

/// A prepared statement of a session.
struct PreparedStatement {
  std::string Definition;
  bool Writes = false; ///< Whether its execution writes.
};

/// The current values of a session, by name.
using SessionValues = std::map<std::string, std::string>;

/// The state of the caller's transaction.
enum class TransactionPhase {
  None,
  Pending, ///< Begun by the caller, but not yet at an upstream.
  Open,    ///< Pinned to an upstream connection.
  Failed,  ///< Rolled back, but not yet ended by the caller.
};

/// The state that a session keeps between statements. It is not shared with
/// other sessions.
class SessionState {
public:
  /// Limits of the state of one session, so that idle sessions cannot exhaust
  /// the memory of a host.
  static constexpr std::size_t MaxValues = 256;
  static constexpr std::size_t MaxPrepared = 256;

  /// Memory of an entry besides its name and contents, in bytes.
  static constexpr std::size_t EntryBytes = 128;

  /// Sets a session value. Errors: BadRequest if there are too many values.
  Result<void> setValue(const std::string &Name, const std::string &Value);
  /// Adds or replaces a prepared statement. Errors: BadRequest if there are too
  /// many.
  Result<void> prepare(const std::string &Name, PreparedStatement Prepared);
  /// Removes a prepared statement. Errors: UnknownStatement.
  Result<void> deallocate(const std::string &Name);

  /// \returns the prepared statement \p Name, or nullptr if there is none.
  const PreparedStatement *findPrepared(const std::string &Name) const;

  /// Begins a transaction. Errors: BadRequest if there is one already.
  Result<void> begin(bool ReadOnly);

  /// Records that the transaction was begun at an upstream.
  void markTransactionOpen();
  /// Records that the transaction was rolled back because of a failure.
  void failTransaction();
  /// Ends the transaction.
  void endTransaction();

  /// Records that the transaction has written.
  void markWritten() { this->Written = true; }

  /// Records a commit of this session. Earlier positions than that of the last
  /// commit are ignored.
  void recordCommit(const Position &At);

  /// Returns the memory of values and prepared statements, in bytes.
  std::size_t bytes() const { return this->Bytes; }

  const SessionValues &values() const { return this->Values; }
  TransactionPhase phase() const { return this->Phase; }
  bool isReadOnly() const { return this->ReadOnly; }
  bool hasWritten() const { return this->Written; }
  bool inTransaction() const { return this->Phase != TransactionPhase::None; }
  const std::optional<Position> &lastCommit() const { return this->LastCommit; }

private:
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  std::size_t Bytes = 0;
  TransactionPhase Phase = TransactionPhase::None;
  bool ReadOnly = false;
  bool Written = false;
  std::optional<Position> LastCommit;
};

} // namespace lavenderdale
