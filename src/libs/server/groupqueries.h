#pragma once

#include "base/timepoint.h"
#include "catalogue/group.h"
#include "consistency/position.h"
#include "failover/replicapoll.h"
#include "postgres/statement.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Names of the members of a group.
std::vector<std::string> memberNames(const Group &Members);

/// Names of the members in state leaving.
std::set<std::string> leavingNames(const Group &Members);

/// Asks a member for its role, timeline, positions and whom it follows. Only
/// functions and views that PostgreSQL documents are used.
Statement pollStatement();

/// Reads the answer to pollStatement().
/// \param LastTimeline the timeline seen earlier, used when the member does not
/// tell it, or zero.
/// \returns nothing if the answer is an error or malformed. For a primary the
/// receive and replay positions are the current end of its log.
std::optional<ReplicaPoll> readPoll(const StatementResult &Result,
                                    const Group &Members,
                                    const std::string &Upstream,
                                    TimePoint SentAt, Term LastTimeline);

/// Asks for the current end of the log and its timeline on a primary. Sent
/// after a commit in the same round trip, so the position covers the commit.
Statement positionStatement();

/// \returns nothing if the database is not a primary.
std::optional<Position> readPosition(const StatementResult &Result);

/// Asks a replica for its replayed position and its timeline.
Statement replayStatement();
std::optional<Position> readReplay(const StatementResult &Result);

/// primary_conninfo of a member that receives from \p Primary without giving
/// permission for writes: readPoll() reports that it follows nobody.
std::string catchUpConninfoOf(const Upstream &Primary, const Group &Members);

/// primary_conninfo of a replica that follows \p Primary.
std::string conninfoOf(const Upstream &Primary, const Group &Members);

/// Sets primary_conninfo, empty for a fence. Followed by reloadStatement().
Statement conninfoStatement(const std::string &Conninfo);
Statement reloadStatement();
Statement promoteStatement();

/// Ends other control sessions; control sessions have ControlName as their
/// application name.
inline constexpr const char *ControlName = "lavenderdale-control";
Statement endSessionsStatement();

/// Counts the other control sessions.
Statement countSessionsStatement();

} // namespace lavenderdale
