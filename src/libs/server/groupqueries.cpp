#include "groupqueries.h"

#include <charconv>
#include <sstream>

namespace lavenderdale {
namespace {

// A WAL file name begins with the timeline as 8 hexadecimal digits.
constexpr std::size_t TimelineDigits = 8;

std::optional<std::string> cell(const StatementResult &Result,
                                std::size_t Column) {
  if (Result.Failure || Result.Rows.size() != 1 ||
      Column >= Result.Rows[0].size())
    return std::nullopt;
  return Result.Rows[0][Column];
}

std::optional<std::uint64_t> parseNumber(const std::optional<std::string> &Text,
                                         int Base) {
  std::uint64_t Value = 0;
  if (!Text || Text->empty())
    return std::nullopt;
  const auto [End, Status] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Value, Base);
  if (Status != std::errc() || End != Text->data() + Text->size())
    return std::nullopt;
  return Value;
}

LogPosition parseLog(const std::optional<std::string> &Text) {
  if (!Text)
    return {};
  const Result<LogPosition> Parsed = LogPosition::parse(*Text);
  return Parsed ? Parsed.value() : LogPosition{};
}

Term timelineOfFile(const std::optional<std::string> &FileName) {
  if (!FileName || FileName->size() < TimelineDigits)
    return {};
  return Term{parseNumber(FileName->substr(0, TimelineDigits), 16).value_or(0)};
}

// PostgreSQL returns true as "t", SQLite as "1".
bool isTrue(const std::optional<std::string> &Text) {
  return Text && (*Text == "t" || *Text == "1");
}

// Marks the primary_conninfo of a member that is catching up and does not count
// for write permission. PostgreSQL reports the name to the primary.
constexpr std::string_view CatchUpName =
    "application_name=lavenderdale-catch-up";

// Returns the name of the member that \p Conninfo points to, or an empty string
// for catch-up connections and unknown addresses.
std::string memberInConninfo(const std::string &Conninfo,
                             const Group &Members) {
  std::istringstream Words(Conninfo);
  std::string Host;
  std::string Port;
  for (std::string Word; Words >> Word;) {
    if (Word == CatchUpName)
      return {};
    if (Word.starts_with("host="))
      Host = Word.substr(5);
    if (Word.starts_with("port="))
      Port = Word.substr(5);
  }
  for (const Upstream &Member : Members.Upstreams)
    if (Member.Address == Host && std::to_string(Member.Port) == Port)
      return Member.Name;
  return {};
}

} // namespace

std::vector<std::string> memberNames(const Group &Members) {
  std::vector<std::string> Names;
  Names.reserve(Members.Upstreams.size());
  for (const Upstream &Member : Members.Upstreams)
    Names.push_back(Member.Name);
  return Names;
}

std::set<std::string> leavingNames(const Group &Members) {
  std::set<std::string> Names;
  for (const Upstream &Member : Members.Upstreams)
    if (Member.State == UpstreamState::Leaving)
      Names.insert(Member.Name);
  return Names;
}

Statement pollStatement() {
  return {"SELECT pg_is_in_recovery(),"
          " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
          " ELSE pg_current_wal_lsn() END,"
          " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
          " ELSE pg_current_wal_lsn() END,"
          " CASE WHEN pg_is_in_recovery() THEN NULL"
          " ELSE pg_walfile_name(pg_current_wal_lsn()) END,"
          " (SELECT received_tli FROM pg_stat_wal_receiver),"
          " (SELECT timeline_id FROM pg_control_checkpoint()),"
          " current_setting('primary_conninfo')",
          {},
          "ld_poll"};
}

std::optional<ReplicaPoll> readPoll(const StatementResult &Result,
                                    const Group &Members,
                                    const std::string &Upstream,
                                    TimePoint SentAt, Term LastTimeline) {
  constexpr std::size_t ColumnCount = 7;
  if (Result.Failure || Result.Rows.size() != 1 ||
      Result.Rows[0].size() != ColumnCount)
    return std::nullopt;
  ReplicaPoll Poll;
  Poll.Upstream = Upstream;
  Poll.SentAt = SentAt;
  Poll.InRecovery = isTrue(cell(Result, 0));
  Poll.ReceivePosition = parseLog(cell(Result, 1));
  Poll.ReplayPosition = parseLog(cell(Result, 2));
  const auto ReceiverTimeline = parseNumber(cell(Result, 4), 10);
  const Term Stored{parseNumber(cell(Result, 5), 10).value_or(0)};
  Poll.ReceiverRunning = ReceiverTimeline.has_value();
  if (!Poll.InRecovery)
    Poll.Timeline = timelineOfFile(cell(Result, 3));
  else if (Poll.ReceiverRunning)
    Poll.Timeline = Term{*ReceiverTimeline};
  else
    Poll.Timeline = std::max(LastTimeline, Stored);
  const std::string Conninfo = cell(Result, 6).value_or("");
  Poll.PrimaryConninfoSet = !Conninfo.empty();
  Poll.Follows = memberInConninfo(Conninfo, Members);
  return Poll;
}

Statement positionStatement() {
  return {"SELECT pg_current_wal_lsn(), pg_walfile_name(pg_current_wal_lsn())",
          {}};
}

std::optional<Position> readPosition(const StatementResult &Result) {
  const Position Read{timelineOfFile(cell(Result, 1)),
                      parseLog(cell(Result, 0))};
  if (Read.InTerm.Value == 0)
    return std::nullopt;
  return Read;
}

Statement replayStatement() {
  return {"SELECT pg_last_wal_replay_lsn(),"
          " COALESCE((SELECT received_tli FROM pg_stat_wal_receiver),"
          " (SELECT timeline_id FROM pg_control_checkpoint()))"
          " WHERE pg_is_in_recovery()",
          {},
          "ld_replay"};
}

std::optional<Position> readReplay(const StatementResult &Result) {
  const auto Timeline = parseNumber(cell(Result, 1), 10);
  if (!Timeline)
    return std::nullopt;
  return Position{Term{*Timeline}, parseLog(cell(Result, 0))};
}

std::string conninfoOf(const Upstream &Primary, const Group &Members) {
  return "host=" + Primary.Address + " port=" + std::to_string(Primary.Port) +
         " user=" + Members.User;
}

std::string catchUpConninfoOf(const Upstream &Primary, const Group &Members) {
  return conninfoOf(Primary, Members) + " " + std::string(CatchUpName);
}

Statement conninfoStatement(const std::string &Conninfo) {
  // ALTER SYSTEM takes no parameters, so the value is part of the text. It
  // needs no escaping: addresses, ports and names in the catalogue contain no
  // quotes.
  return {"ALTER SYSTEM SET primary_conninfo = '" + Conninfo + "'", {}};
}

Statement reloadStatement() { return {"SELECT pg_reload_conf()", {}}; }

Statement promoteStatement() { return {"SELECT pg_promote()", {}}; }

Statement endSessionsStatement() {
  return {"SELECT pg_terminate_backend(pid) FROM pg_stat_activity"
          " WHERE application_name = '" +
              std::string(ControlName) + "' AND pid <> pg_backend_pid()",
          {}};
}

Statement countSessionsStatement() {
  return {"SELECT count(*) FROM pg_stat_activity"
          " WHERE application_name = '" +
              std::string(ControlName) + "' AND pid <> pg_backend_pid()",
          {}};
}

} // namespace lavenderdale
