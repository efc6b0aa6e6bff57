#pragma once

#include "base/timepoint.h"
#include "failover/promotionmessages.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace lavenderdale {

/// Stores the status of groups: on the platform, or in a fake for tests.
class GroupStatusStore {
public:
  virtual ~GroupStatusStore() = default;

  /// Reads the status from the platform, never from a cache.
  /// \returns nothing if there was no valid answer until \p Deadline.
  virtual boost::asio::awaitable<std::optional<TermStatus>>
  read(std::string Group, TimePoint Deadline) = 0;

  /// The result of replaceIf().
  struct Update {
    UpdateOutcome Outcome = UpdateOutcome::Unknown;
    std::uint64_t NewVersion = 0;
  };

  /// Stores \p Status if the object still has the version Status.Version.
  virtual boost::asio::awaitable<Update>
  replaceIf(std::string Group, TermStatus Status, TimePoint Deadline) = 0;
};

} // namespace lavenderdale
