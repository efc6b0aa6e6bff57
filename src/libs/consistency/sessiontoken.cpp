#include "sessiontoken.h"

namespace lavenderdale {

std::optional<Position> SessionToken::position(const std::string &Group) const {
  const auto Found = this->Positions.find(Group);
  if (Found == this->Positions.end())
    return std::nullopt;
  return Found->second;
}

void SessionToken::advance(const std::string &Group, const Position &Seen) {
  const auto [Entry, Inserted] = this->Positions.try_emplace(Group, Seen);
  if (!Inserted && Entry->second < Seen)
    Entry->second = Seen;
}

} // namespace lavenderdale
