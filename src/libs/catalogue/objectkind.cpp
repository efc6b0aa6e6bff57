#include "objectkind.h"

#include <array>
#include <cstddef>

namespace lavenderdale {
namespace {

struct KindNames {
  std::string_view Kind;
  std::string_view Plural;
};

// In the order of ObjectKind.
constexpr std::array<KindNames, ObjectKindCount> Names = {{
    {"Workspace", "workspaces"},
    {"Route", "routes"},
    {"Key", "keys"},
    {"Group", "groups"},
    {"Host", "hosts"},
    {"HostSet", "hostsets"},
    {"Secret", "secrets"},
}};

} // namespace

std::string_view kindName(ObjectKind Kind) {
  return Names[static_cast<std::size_t>(Kind)].Kind;
}

std::string_view pluralName(ObjectKind Kind) {
  return Names[static_cast<std::size_t>(Kind)].Plural;
}

std::optional<ObjectKind> objectKindFromName(std::string_view Name) {
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (Names[I].Kind == Name || Names[I].Plural == Name)
      return static_cast<ObjectKind>(I);
  return std::nullopt;
}

} // namespace lavenderdale
