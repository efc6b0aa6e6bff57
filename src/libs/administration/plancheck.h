#pragma once

#include "catalogue/changeplan.h"
#include "platform/platformclient.h"

#include <json/value.h>

#include <vector>

namespace lavenderdale {

/// The object as operators may see it, without the text of a secret.
Json::Value shownObject(CatalogueObject Object);

/// \returns InvalidCatalogue for a kind that operators do not write.
Result<void> checkKinds(const std::vector<CatalogueObject> &Desired);

/// \returns VersionConflict when a desired object names a version that is not
/// the stored one.
Result<void> checkVersions(const ObjectList &Stored,
                           const std::vector<CatalogueObject> &Desired);

/// \returns InvalidCatalogue for a burst of which a failure domain's share is
/// below one token.
Result<void> checkBursts(const ObjectList &Stored,
                         const std::vector<CatalogueObject> &Desired);

/// \returns InvalidCatalogue if more than one member of a group with a primary
/// is added or removed. Hosts learn of a change at different times, and
/// majorities of the members before and after meet only for one at a time.
Result<void> checkMembers(const ObjectList &Stored,
                          const std::vector<CatalogueObject> &Desired);

/// \returns InvalidCatalogue for a plan after which an object that is in force
/// now would not be.
Result<void> checkTogether(const ObjectList &Stored,
                           const std::vector<Change> &Steps);

} // namespace lavenderdale
