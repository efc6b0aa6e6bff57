#include "sessioncatalogue.h"

namespace lavenderdale {

const SessionRoute *
SessionCatalogue::findRoute(const std::string &Database) const {
  const auto Found = this->Routes.find(Database);
  return Found == this->Routes.end() ? nullptr : &Found->second;
}

const SessionWorkspace *
SessionCatalogue::findWorkspaceByKey(const std::string &Key) const {
  const auto Owner = this->Keys.find(Key);
  if (Owner == this->Keys.end())
    return nullptr;
  const auto Found = this->Workspaces.find(Owner->second);
  return Found == this->Workspaces.end() ? nullptr : &Found->second;
}

} // namespace lavenderdale
