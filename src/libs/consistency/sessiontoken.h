#pragma once

#include "position.h"

#include <map>
#include <optional>
#include <string>

namespace lavenderdale {

/// The state that a session has seen: for each database group, the newest
/// position that it wrote or read.
class SessionToken {
public:
  explicit SessionToken(std::string Workspace)
      : Workspace(std::move(Workspace)) {}

  const std::string &workspace() const { return this->Workspace; }

  /// \returns the position that a read of \p Group has to include, if any.
  std::optional<Position> position(const std::string &Group) const;

  /// Raises the position of \p Group to \p Seen. A lower position is ignored.
  void advance(const std::string &Group, const Position &Seen);

  const std::map<std::string, Position> &positions() const {
    return this->Positions;
  }

  bool operator==(const SessionToken &) const = default;

private:
  std::string Workspace;
  std::map<std::string, Position> Positions;
};

} // namespace lavenderdale
