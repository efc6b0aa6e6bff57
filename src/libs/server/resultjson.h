#pragma once

#include "postgres/statement.h"

#include <string>

namespace lavenderdale {

/// Formats the result of a statement as JSON for the caller:
/// {"columns":[..],"rows":[[..]],"affected":n}. Integers, floating point
/// numbers and booleans become JSON scalars; other types become strings.
std::string resultToJson(const StatementResult &Result);

} // namespace lavenderdale
