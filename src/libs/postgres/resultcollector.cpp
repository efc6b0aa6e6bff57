#include "resultcollector.h"

#include <libpq-fe.h>

#include <charconv>
#include <memory>

namespace lavenderdale {
namespace {

// Size of a protocol row message: header and count, and a length per value.
constexpr std::size_t BytesPerRow = 7;
constexpr std::size_t BytesPerValue = 4;

struct ClearResult {
  void operator()(PGresult *Cleared) const { PQclear(Cleared); }
};

std::size_t rowBytes(const PGresult *Rows, int Row, int Columns) {
  std::size_t Bytes = BytesPerRow;
  for (int I = 0; I < Columns; ++I)
    Bytes +=
        BytesPerValue + static_cast<std::size_t>(PQgetlength(Rows, Row, I));
  return Bytes;
}

std::vector<std::optional<std::string>> readRow(const PGresult *Rows, int Row,
                                                int Columns) {
  std::vector<std::optional<std::string>> Values(
      static_cast<std::size_t>(Columns));
  for (int I = 0; I < Columns; ++I)
    if (PQgetisnull(Rows, Row, I) == 0)
      Values[static_cast<std::size_t>(I)].emplace(
          PQgetvalue(Rows, Row, I),
          static_cast<std::size_t>(PQgetlength(Rows, Row, I)));
  return Values;
}

std::vector<Column> readColumns(const PGresult *Rows) {
  std::vector<Column> Columns;
  Columns.reserve(static_cast<std::size_t>(PQnfields(Rows)));
  for (int I = 0; I < PQnfields(Rows); ++I)
    Columns.push_back({PQfname(Rows, I), PQftype(Rows, I)});
  return Columns;
}

void readTag(PGresult *Taken, StatementResult &Target) {
  Target.CommandTag = PQcmdStatus(Taken);
  const std::string_view Count = PQcmdTuples(Taken);
  std::from_chars(Count.data(), Count.data() + Count.size(), Target.Affected);
}

Result<void> readFailure(const PGresult *Taken, StatementResult &Target) {
  const char *SqlState = PQresultErrorField(Taken, PG_DIAG_SQLSTATE);
  const char *Message = PQresultErrorField(Taken, PG_DIAG_MESSAGE_PRIMARY);
  // Errors without a SQLSTATE come from libpq: the connection was lost.
  if (SqlState == nullptr)
    return failure(ErrorKind::OutcomeUnknown, PQresultErrorMessage(Taken));
  Target = StatementResult();
  Target.Failure = SqlError{SqlState, Message == nullptr ? "" : Message};
  return success();
}

} // namespace

ResultCollector::ResultCollector(const SentGroups &Groups, std::size_t MaxBytes)
    : BytesLeft(MaxBytes) {
  this->Results.reserve(Groups.size());
  for (const auto &Statements : Groups)
    this->Results.emplace_back(Statements.size());
}

Result<void> ResultCollector::take(pg_result *Taken) {
  const std::unique_ptr<PGresult, ClearResult> Owner(Taken);
  if (Taken == nullptr) {
    ++this->Index;
    return success();
  }
  if (PQresultStatus(Taken) == PGRES_PIPELINE_SYNC) {
    ++this->Group;
    this->Index = 0;
    return success();
  }
  if (this->Index >= this->Results[this->Group].size())
    return failure(ErrorKind::OutcomeUnknown,
                   "the database sent a result without a statement");
  return this->takeStatement(Taken, this->Results[this->Group][this->Index]);
}

std::vector<std::vector<StatementResult>> ResultCollector::release() {
  return std::move(this->Results);
}

Result<void> ResultCollector::takeStatement(pg_result *Taken,
                                            StatementResult &Target) {
  switch (PQresultStatus(Taken)) {
  case PGRES_SINGLE_TUPLE:
    return this->takeRows(Taken, Target);
  case PGRES_TUPLES_OK:
  case PGRES_COMMAND_OK:
    readTag(Taken, Target);
    return this->takeRows(Taken, Target);
  case PGRES_EMPTY_QUERY:
    return success();
  case PGRES_FATAL_ERROR:
    return readFailure(Taken, Target);
  case PGRES_PIPELINE_ABORTED:
    Target.Failure = SqlError{std::string(AbortedSqlState),
                              "an earlier statement of the group failed"};
    return success();
  case PGRES_COPY_IN:
  case PGRES_COPY_OUT:
  case PGRES_COPY_BOTH:
    return failure(ErrorKind::StatementNotAllowed, "COPY is not supported");
  default:
    return failure(ErrorKind::OutcomeUnknown,
                   "the database sent an unexpected message");
  }
}

Result<void> ResultCollector::takeRows(const pg_result *Rows,
                                       StatementResult &Target) {
  if (Target.Columns.empty())
    Target.Columns = readColumns(Rows);
  const int Columns = PQnfields(Rows);
  for (int Row = 0; Row < PQntuples(Rows); ++Row) {
    const std::size_t Bytes = rowBytes(Rows, Row, Columns);
    if (Bytes > this->BytesLeft)
      return failure(ErrorKind::ResultTooLarge,
                     "the rows exceed the limit of a result");
    this->BytesLeft -= Bytes;
    Target.Rows.push_back(readRow(Rows, Row, Columns));
  }
  return success();
}

} // namespace lavenderdale
