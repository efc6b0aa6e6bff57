#pragma once

#include "postgres/statement.h"

#include <vector>

namespace lavenderdale {

/// Statements by group, as PostgresConnection::run() takes them. g++ 12 cannot
/// compile nested braced lists inside coroutines, so they are put together by
/// these functions.
using StatementGroups = std::vector<std::vector<Statement>>;

/// A statement without parameters.
Statement plain(const char *Sql);

StatementGroups oneGroup(Statement Only);
StatementGroups single(const char *Sql);

/// Two groups of one statement each.
StatementGroups pairOf(Statement First, Statement Second);

/// One group: \p Begin, then the two statements.
std::vector<Statement> insideBegin(const char *Begin, Statement First,
                                   Statement Second);

} // namespace lavenderdale
