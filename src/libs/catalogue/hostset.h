#pragma once

#include "base/result.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderdale {

struct HostSetMember {
  std::string Name;
  std::string FailureDomain;
  std::string PeerAddress; ///< IP address.
  std::uint16_t PeerPort = 0;
  std::uint64_t Generation = 0; ///< Start of the process, Unix milliseconds.
  std::uint64_t Joined = 0;     ///< Epoch that added the process.

  bool operator==(const HostSetMember &) const = default;
};

/// The hosts that take part in placement. There is one such object, named
/// HostSet::ObjectName.
struct HostSet {
  static constexpr const char *ObjectName = "fleet";

  std::uint64_t Epoch = 0; ///< Raised by every change of the members.
  std::vector<HostSetMember> Members;

  static Result<HostSet> fromJson(const Json::Value &Spec);
  Json::Value toJson() const;

  bool operator==(const HostSet &) const = default;
};

} // namespace lavenderdale
