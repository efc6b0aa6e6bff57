#pragma once

#include "base/result.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

enum class UpstreamState {
  Serving,
  Leaving, ///< Gets no new work.
};

/// Wire names: "serving", "leaving".
std::string_view toString(UpstreamState State);

/// One database of a group.
struct Upstream {
  std::string Name;    ///< Unique in the whole catalogue.
  std::string Address; ///< IP address.
  std::uint16_t Port = 0;
  std::string FailureDomain;
  std::uint32_t Connections = 0; ///< The database's own connection limit.
  std::uint32_t Slots = 0;       ///< Statements that it runs at a time.
  UpstreamState State = UpstreamState::Serving;

  bool operator==(const Upstream &) const = default;
};

/// Databases with the same data: one primary and its replicas.
struct Group {
  std::string Name;
  std::string Database;
  std::string User;
  std::vector<Upstream> Upstreams;

  static Result<Group> fromJson(std::string Name, const Json::Value &Spec);
  Json::Value toJson() const;

  /// \returns the member of that name, or nullptr.
  const Upstream *upstream(std::string_view Name) const;

  bool operator==(const Group &) const = default;
};

} // namespace lavenderdale
