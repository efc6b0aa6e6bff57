#pragma once

#include <string>

namespace lavenderdale {

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

/// A statement of a caller's session, decoded.
struct Statement {
  std::string Id; ///< Chosen by the caller; unique for each attempt.
  StatementKind Kind = StatementKind::Malformed;
  std::string Text; ///< As received; upstreams get it unchanged.
  std::string Name; ///< Of the session value or the prepared statement.
  /// The session value, the definition of a prepared statement, or the
  /// arguments of its execution.
  std::string Argument;
  bool DefinitionWrites = false; ///< Prepare only: its executions write.
};

} // namespace lavenderdale
