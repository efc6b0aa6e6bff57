#include "logrecord.h"

#include "wireconnection.h"

namespace lavenderdale::standin {
namespace {

constexpr Lsn RecordOverhead = 48;
constexpr Lsn Alignment = 8; // PostgreSQL aligns records to 8 bytes.

LoggedStatement decodeStatement(MessageReader &Reader) {
  LoggedStatement Statement;
  Statement.Sql = Reader.text();
  const std::uint32_t Count = Reader.int32();
  for (std::uint32_t I = 0; I < Count && !Reader.isBad(); ++I) {
    const std::uint32_t Size = Reader.int32();
    if (Size == UINT32_MAX)
      Statement.Params.emplace_back();
    else
      Statement.Params.emplace_back(Reader.bytes(Size));
  }
  return Statement;
}

} // namespace

Lsn logBytes(const std::vector<LoggedStatement> &Statements) {
  Lsn Bytes = RecordOverhead;
  for (const LoggedStatement &Statement : Statements) {
    Bytes += Statement.Sql.size();
    for (const auto &Param : Statement.Params)
      Bytes += Param ? Param->size() : 0;
  }
  return (Bytes + Alignment - 1) / Alignment * Alignment;
}

std::string encodeRecord(const LogRecord &Record) {
  MessageWriter Writer;
  Writer.int64(Record.End).int32(Record.Statements.size());
  for (const LoggedStatement &Statement : Record.Statements) {
    Writer.text(Statement.Sql).int32(Statement.Params.size());
    for (const auto &Param : Statement.Params)
      Writer.value(Param);
  }
  return Writer.body();
}

std::optional<LogRecord> decodeRecord(const std::string &Body) {
  MessageReader Reader(Body);
  LogRecord Record;
  Record.End = Reader.int64();
  const std::uint32_t Count = Reader.int32();
  for (std::uint32_t I = 0; I < Count && !Reader.isBad(); ++I)
    Record.Statements.push_back(decodeStatement(Reader));
  if (Reader.isBad() || !Reader.isAtEnd())
    return std::nullopt;
  return Record;
}

std::string encodeHistory(const TimelineHistory &History) {
  MessageWriter Writer;
  for (const TimelineStart &Entry : History)
    Writer.int32(Entry.Timeline).int64(Entry.Start);
  return Writer.body();
}

std::optional<TimelineHistory> decodeHistory(const std::string &Body) {
  MessageReader Reader(Body);
  TimelineHistory History;
  while (!Reader.isAtEnd()) {
    const std::uint32_t Timeline = Reader.int32();
    History.push_back({Timeline, Reader.int64()});
  }
  if (Reader.isBad() || History.empty())
    return std::nullopt;
  return History;
}

} // namespace lavenderdale::standin
