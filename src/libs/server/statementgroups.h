#pragma once

#include "postgres/statement.h"

#include <vector>

namespace lavenderdale {

/// Groups of statements for PostgresConnection::run(). The functions below
/// build them, since g++ 12 cannot compile nested braced lists inside
/// coroutines.
using StatementGroups = std::vector<std::vector<Statement>>;

/// A statement without parameters.
Statement makeStatement(const char *Sql);

/// One group with one statement.
StatementGroups makeGroup(Statement Only);
StatementGroups makeGroupFromSql(const char *Sql);

/// Two groups of one statement each.
StatementGroups makeTwoGroups(Statement First, Statement Second);

/// The statements of one group: \p Begin, then \p First and \p Second.
std::vector<Statement> makeTransactionGroup(const char *Begin, Statement First,
                                            Statement Second);

} // namespace lavenderdale
