#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace lavenderdale {

/// The kinds of object that the project keeps on the platform.
enum class ObjectKind {
  Workspace,
  Route,
  Key,
  Group,
  Host,
  HostSet,
  Secret,
};

inline constexpr std::size_t ObjectKindCount = 7;

/// The value of an object's "kind" member, for example "Workspace".
std::string_view kindName(ObjectKind Kind);

/// The name in the path of the object API, for example "workspaces".
std::string_view pluralName(ObjectKind Kind);

/// Accepts the kind's name and its plural, for example "Route" and "routes".
std::optional<ObjectKind> objectKindFromName(std::string_view Name);

} // namespace lavenderdale
