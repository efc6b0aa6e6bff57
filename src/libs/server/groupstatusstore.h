#pragma once

#include "base/timepoint.h"
#include "failover/promotionmessages.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace lavenderdale {

/// Where the status of groups is kept: the platform, or a fake in tests.
class GroupStatusStore {
public:
  virtual ~GroupStatusStore() = default;

  /// Reads the status from the platform itself, not from a cache.
  /// \returns nothing if there was no answer until \p Deadline.
  virtual boost::asio::awaitable<std::optional<TermStatus>>
  read(std::string Group, TimePoint Deadline) = 0;

  struct Update {
    UpdateOutcome Outcome = UpdateOutcome::Lost;
    std::uint64_t NewVersion = 0;
  };

  /// Stores \p Status if the object still has the version Status.Version.
  virtual boost::asio::awaitable<Update>
  replaceIf(std::string Group, TermStatus Status, TimePoint Deadline) = 0;
};

} // namespace lavenderdale
