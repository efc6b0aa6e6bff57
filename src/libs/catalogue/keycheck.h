#pragma once

#include "cataloguesnapshot.h"

#include "base/result.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// Decides for which workspace a request on a route runs. It is asked for each
/// request, so a connection has no rights of its own.
/// \param Presented the key as the caller sent it, if any.
/// \returns the route's owner, or why the request is refused.
Result<const Workspace *> checkKey(const CatalogueSnapshot &Snapshot,
                                   const Route &Target,
                                   const std::optional<std::string> &Presented);

} // namespace lavenderdale
