#pragma once

#include "executionrequest.h"

#include <vector>

namespace lavenderdale {

/// The result of an attempt that the database answered with an error.
ExecutionResult sqlFailure(const SqlError &Failure);

/// The result of an attempt that ended without the database's answer.
ExecutionResult runFailure(const Error &Failure);

/// The first failure in a list of results, or nullptr.
const SqlError *firstFailure(const std::vector<StatementResult> &Results);

/// Whether the statement left no state in the session: other commands can leave
/// settings, locks or prepared statements behind.
bool isPlain(const StatementResult &Result);

/// Whether the statement itself ended the transaction it ran in.
bool endsTransaction(const StatementResult &Result);

} // namespace lavenderdale
