#pragma once

#include "executionrequest.h"

#include <vector>

namespace lavenderdale {

/// The result of an attempt for which the database returned an error.
ExecutionResult resultOfSqlError(const SqlError &Failure);

/// The result of an attempt that failed without an answer of the database.
ExecutionResult resultOfFailedRun(const Error &Failure);

/// The first failure in a list of results, or nullptr.
const SqlError *firstFailure(const std::vector<StatementResult> &Results);

/// Whether the statement left no state in the database session. Commands other
/// than queries, data changes, CREATE and DROP can leave settings, locks or
/// prepared statements.
bool leavesNoSessionState(const StatementResult &Result);

/// Whether the statement ended the transaction in which it ran.
bool endsTransaction(const StatementResult &Result);

} // namespace lavenderdale
