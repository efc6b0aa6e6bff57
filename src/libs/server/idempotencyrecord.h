#pragma once

#include "executionrequest.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// SQL that creates the table of idempotency records in the user's database.
extern const char *const CreateRequestsTableSql;

/// Inserts the record of a request; fails with a unique violation if the key
/// was used before.
Statement insertRecordStatement(const ExecutionRequest &Request,
                                std::string Fingerprint, std::string Created);

/// Stores the answer in the record; nullopt if the answer is too large.
Statement storeAnswerStatement(const ExecutionRequest &Request,
                               std::optional<std::string> Body);

/// Reads the fingerprint and the answer of the record.
Statement selectRecordStatement(const ExecutionRequest &Request);

/// SHA-256 of the statement and its parameters, in hexadecimal digits.
std::string fingerprintOf(const Statement &Sql);

/// The current time in seconds since the Unix epoch, as text.
std::string unixSecondsNow();

} // namespace lavenderdale
