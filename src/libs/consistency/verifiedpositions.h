#pragma once

#include "base/boottime.h"
#include "position.h"

#include <chrono>
#include <deque>
#include <optional>

namespace lavenderdale {

/// Log positions at which a primary proved that it leads, with the time before
/// which all commits are included.
///
/// A primary that completes a write, a commit with writes or the start of a
/// writing transaction leads at that moment. The position in its answer then
/// includes every commit that was acknowledged before the command was sent.
class VerifiedPositions {
public:
  /// Older entries serve no route; the longest accepted age is far below.
  static constexpr std::chrono::seconds Retention{30};
  /// Entries that lie closer together are merged, which bounds their number.
  static constexpr std::chrono::milliseconds Spacing{40};

  /// \param Sent when the proving command was sent.
  /// \param At the position in its answer.
  void add(BootTime Sent, const Position &At);

  /// The oldest position that still includes every commit acknowledged before
  /// \p Since; the older it is, the more replicas can serve it.
  /// \returns nothing if no entry is recent enough.
  std::optional<Position> includingAll(BootTime Since) const;

  /// Send time of the newest proof; the epoch of the clock without one.
  BootTime newest() const;
  std::optional<Position> newestPosition() const;

private:
  struct Entry {
    BootTime Sent;
    Position At;
  };
  std::deque<Entry> Entries; ///< By Sent, and by At.
};

} // namespace lavenderdale
