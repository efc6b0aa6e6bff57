#pragma once

#include "base/result.h"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace lavenderdale {

/// One entry of the platform's lagging list of live and leaving hosts.
struct Host {
  std::string Name;
  std::string FailureDomain;
  std::string PeerAddress; ///< IP address.
  std::uint16_t PeerPort = 0;
  std::string AdminAddress; ///< IP address; empty when there is none.
  std::uint16_t AdminPort = 0;
  bool Leaving = false;

  static Result<Host> fromJson(std::string Name, const Json::Value &Spec);
  Json::Value toJson() const;

  bool operator==(const Host &) const = default;
};

} // namespace lavenderdale
