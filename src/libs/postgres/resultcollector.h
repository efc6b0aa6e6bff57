#pragma once

#include "base/result.h"
#include "preparedstatements.h"

#include <cstddef>
#include <vector>

struct pg_result;

namespace lavenderdale {

/// Sorts the results of one exchange into groups and statements.
class ResultCollector {
public:
  /// \param Groups what was sent; each entry has a result.
  /// \param MaxBytes limit of all rows together, see PostgresConnection::run().
  ResultCollector(const SentGroups &Groups, std::size_t MaxBytes);

  /// Takes the next value of PQgetResult() and frees it; null ends a statement.
  /// \returns an error if the exchange cannot go on.
  Result<void> take(pg_result *Taken);

  /// Whether the sync of the last group was taken.
  bool isComplete() const { return this->Group == this->Results.size(); }

  /// Moves the results out.
  std::vector<std::vector<StatementResult>> release();

private:
  Result<void> takeRows(const pg_result *Rows, StatementResult &Target);
  Result<void> takeStatement(pg_result *Taken, StatementResult &Target);

  std::vector<std::vector<StatementResult>> Results;
  std::size_t Group = 0;
  std::size_t Index = 0;
  std::size_t BytesLeft;
};

} // namespace lavenderdale
