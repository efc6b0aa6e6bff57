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

/// \returns the names of all members of a group.
std::vector<std::string> memberNames(const Group &Members);

/// \returns the names of the members in state leaving.
std::set<std::string> leavingNames(const Group &Members);

/// Queries a member's role, timeline, log positions and the primary that it
/// replicates from. Uses only documented functions and views of PostgreSQL.
Statement pollStatement();

/// Parses the result of pollStatement().
/// \param LastTimeline the timeline seen earlier, or zero; used when a replica
/// without a running receiver reports an older one.
/// \returns nothing if the result is an error or malformed. For a primary, the
/// receive and replay positions are the current end of its log.
std::optional<ReplicaPoll> readPoll(const StatementResult &Result,
                                    const Group &Members,
                                    const std::string &Upstream,
                                    TimePoint SentAt, Term LastTimeline);

/// Queries the current end of the log and its timeline on a primary. Sent after
/// a commit in the same round trip, so that the position covers the commit.
Statement positionStatement();

/// Parses the result of positionStatement().
/// \returns nothing if the database is not a primary.
std::optional<Position> readPosition(const StatementResult &Result);

/// Queries a replica's replay position and timeline.
Statement replayStatement();

/// Parses the result of replayStatement().
/// \returns nothing if the database is not a replica or its timeline is
/// unknown.
std::optional<Position> readReplay(const StatementResult &Result);

/// \returns the primary_conninfo of a member that catches up from \p Primary.
/// It does not count for write permission: readPoll() reports an empty Follows.
std::string catchUpConninfoOf(const Upstream &Primary, const Group &Members);

/// \returns the primary_conninfo of a replica that follows \p Primary.
std::string conninfoOf(const Upstream &Primary, const Group &Members);

/// Sets primary_conninfo; an empty \p Conninfo fences the member. Takes effect
/// after reloadStatement().
Statement conninfoStatement(const std::string &Conninfo);

/// Makes PostgreSQL reload its configuration.
Statement reloadStatement();

/// Promotes a replica to primary.
Statement promoteStatement();

/// The application name of control sessions.
inline constexpr const char *ControlName = "lavenderdale-control";

/// Terminates all control sessions except the one that runs the statement.
Statement endSessionsStatement();

/// Counts the control sessions except the one that runs the statement.
Statement countSessionsStatement();

} // namespace lavenderdale
