#pragma once

#include <string>

namespace lavenderdale {

/// What a statement does.
enum class StatementKind {
  Begin,         ///< Starts a transaction that may write.
  BeginReadOnly, ///< Starts a transaction that only reads.
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

/// A decoded statement of a caller's session.
struct Statement {
  std::string Id; ///< Assigned by the caller; unique for each attempt.
  StatementKind Kind = StatementKind::Malformed;
  std::string Text; ///< As received; sent to upstreams unchanged.
  std::string Name; ///< Name of the session value or prepared statement.
  /// Depending on Kind, the session value, the definition of a prepared
  /// statement, or the arguments of its execution.
  std::string Argument;
  /// For Prepare: whether executions of the prepared statement write.
  bool DefinitionWrites = false;
};

} // namespace lavenderdale
