#pragma once

#include "postgres/statement.h"

#include <string>

namespace lavenderdale {

/// Writes a statement's result as the caller's JSON text:
/// {"columns":[..],"rows":[[..]],"affected":n}. Integers, floating point
/// numbers and booleans become JSON scalars; everything else is text.
std::string resultToJson(const StatementResult &Result);

} // namespace lavenderdale
