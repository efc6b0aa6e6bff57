#pragma once

#include "catalogueobject.h"

#include <string>
#include <vector>

namespace lavenderdale {

enum class ChangeAction { Create, Update, Delete };

/// Wire names: "create", "update", "delete".
std::string_view toString(ChangeAction Action);

/// A member whose value differs. A null value stands for "not there".
struct MemberChange {
  std::string
      Path; ///< For example "limits.deadlineMs" or "upstreams[db-1].port".
  Json::Value Before;
  Json::Value After;
};

/// One step of a plan.
struct Change {
  ChangeAction Action = ChangeAction::Create;
  CatalogueObject Object; ///< With the version seen, to be conditional on.
  std::vector<MemberChange> Members;
};

/// What happens to stored objects that are not among the desired ones.
enum class MissingObjects {
  Keep,
  Delete, ///< Workspaces, routes and groups only.
};

/// Compares what is stored with what is desired. Only specs are compared, with
/// defaults filled in; an update keeps the stored status. Steps are ordered so
/// that a route never refers to something that is not there: creations and
/// updates of workspaces and groups, then of routes, then deletions in the
/// opposite order.
/// \returns the steps, or InvalidCatalogue when a desired object is invalid.
Result<std::vector<Change>>
planChanges(const std::vector<CatalogueObject> &Current,
            const std::vector<CatalogueObject> &Desired,
            MissingObjects Missing = MissingObjects::Keep);

/// The difference of two values, member by member. Array items with a "name"
/// are matched by it, other arrays are compared whole.
std::vector<MemberChange> compareMembers(const Json::Value &Before,
                                         const Json::Value &After);

/// Writes one line for each step and each member, for example
/// "update routes/cutting (version 12)" and "  limits.deadlineMs: 100 -> 200".
std::string describe(const std::vector<Change> &Changes);

Json::Value toJson(const std::vector<Change> &Changes);

} // namespace lavenderdale
