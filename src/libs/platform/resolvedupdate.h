#pragma once

#include "platformgateway.h"

namespace lavenderdale {

/// Stores \p Object as PlatformGateway::replaceIf() does. After a lost answer
/// the object is read back until \p Deadline: it was stored if spec and status
/// are as sent.
/// \returns the stored object; VersionConflict; PlatformUnavailable if it is
/// still unknown.
boost::asio::awaitable<Result<CatalogueObject>>
replaceIfResolved(PlatformGateway &Platform, CatalogueObject Object,
                  TimePoint Deadline);

} // namespace lavenderdale
