#pragma once

#include "executionrequest.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// Creates the table of idempotency records in the user's database.
extern const char *const CreateRequestsTable;

/// Inserts the record of a request; fails with a unique violation if the key
/// was used before.
Statement recordStatement(const ExecutionRequest &Request,
                          std::string Fingerprint, std::string Created);

/// Stores the answer in the record.
Statement storeStatement(const ExecutionRequest &Request,
                         std::optional<std::string> Body);

/// Reads fingerprint and answer of the record.
Statement findStatement(const ExecutionRequest &Request);

/// SHA-256 of statement and parameters in hex digits.
std::string fingerprintOf(const Statement &Sql);

/// The present time in seconds of the Unix epoch, as text.
std::string unixSeconds();

} // namespace lavenderdale
