#pragma once

#include "objectkind.h"

#include "base/result.h"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace lavenderdale {

/// An object as the platform stores it: the envelope is checked, "spec" and
/// "status" are not.
struct CatalogueObject {
  ObjectKind Kind = ObjectKind::Workspace;
  std::string Name;
  std::uint64_t Version = 0; ///< resourceVersion; 0 when not yet stored.
  Json::Value Spec = Json::Value(Json::objectValue);
  Json::Value Status = Json::Value(Json::objectValue);

  /// Reads {"kind","metadata":{"name","resourceVersion"},"spec","status"}.
  /// \returns the object, or InvalidCatalogue.
  static Result<CatalogueObject> fromJson(const Json::Value &Value);

  Json::Value toJson() const;

  /// The object's place in errors and diffs, for example "routes/cutting".
  std::string label() const;
};

/// Checks the name of an object: 1 to 63 of a-z, 0-9, '-' and '.', with a
/// letter or digit at both ends, because names are parts of URLs.
bool isObjectName(std::string_view Name);

/// Checks spec and status against the object's kind.
/// \returns success, or InvalidCatalogue with the object's label, the path of
/// the member, what was found and what was expected.
Result<void> validate(const CatalogueObject &Object);

/// Returns the spec with every default filled in and members in the order of
/// the type; two specs that mean the same are equal afterwards.
/// \returns the spec, or InvalidCatalogue as validate() does.
Result<Json::Value> normalizedSpec(const CatalogueObject &Object);

} // namespace lavenderdale
