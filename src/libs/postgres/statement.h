#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// One SQL statement. Parameters are sent as text, and their types are left
/// for the database to infer; a missing value is NULL.
struct Statement {
  std::string Sql;
  std::vector<std::optional<std::string>> Params;
  /// If set, the connection prepares the statement under this name at its first
  /// use and sends only the name later. One name always has the same text.
  std::string Name = {};
};

/// An error reported by the database.
struct SqlError {
  std::string SqlState; ///< Five characters, or AbortedSqlState.
  std::string Message;
};

/// SqlError::SqlState of a statement that the database skipped because an
/// earlier statement of the same group failed. It is not a SQLSTATE.
inline constexpr std::string_view AbortedSqlState = "aborted";

struct Column {
  std::string Name;
  std::uint32_t TypeOid = 0;
};

/// The database's answer to one statement. With a Failure all other members
/// are empty.
struct StatementResult {
  std::vector<Column> Columns;
  std::vector<std::vector<std::optional<std::string>>> Rows;
  std::string CommandTag; ///< For example "INSERT 0 1"; empty for no statement.
  std::uint64_t Affected = 0; ///< Number of rows named in the command tag.
  std::optional<SqlError> Failure;
};

} // namespace lavenderdale
