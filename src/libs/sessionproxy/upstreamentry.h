#pragma once

#include "http/endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lavenderdale {

/// An upstream as it registers itself in the object store.
struct UpstreamEntry {
  std::string Id;
  std::string Group;
  Endpoint Address;
  std::string FailureDomain;
  bool Leaving = false; ///< Is being drained.
  bool ClaimsPrimary = false;
  std::uint64_t StartedAt = 0; ///< Distinguishes restarts under the same id.
  /// Time for which the upstream is cold after it wrote the entry; 0 if it is
  /// not.
  std::chrono::milliseconds ColdRemaining{};
  /// Statements that it runs at the same time; nothing if it declares none.
  std::optional<std::size_t> Slots;
  bool SlotsInvalid = false; ///< Declares slots that cannot be used.

  bool operator==(const UpstreamEntry &) const = default;
};

} // namespace lavenderdale
