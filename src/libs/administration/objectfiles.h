#pragma once

#include "catalogue/catalogueobject.h"

#include <string>
#include <vector>

namespace lavenderdale {

/// Reads desired objects from a file, or from the .json and .toml files of a
/// directory in the order of their names. A file holds one object, or a list
/// under "objects" or "items" (in JSON also a plain array). An object is
/// {"kind","metadata":{"name"},"spec"}; "name" may stand beside "kind".
/// \returns the objects, or InvalidCatalogue with the file's name.
Result<std::vector<CatalogueObject>> readObjectFiles(const std::string &Path);

/// As readObjectFiles() for one text. \p IsToml tells TOML from JSON.
Result<std::vector<CatalogueObject>> readObjectText(const std::string &Text,
                                                    bool IsToml);

} // namespace lavenderdale
