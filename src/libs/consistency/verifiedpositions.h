#pragma once

#include "base/boottime.h"
#include "position.h"

#include <chrono>
#include <deque>
#include <optional>

namespace lavenderdale {

/// Log positions at which a member proved that it is the primary, each with the
/// time before which all acknowledged commits are included.
///
/// A member that completes a write, a commit with writes or the start of a
/// writing transaction is the primary at that moment. The position in its
/// answer includes every commit that was acknowledged before the command was
/// sent.
class VerifiedPositions {
public:
  /// How long entries are kept. Far longer than the longest accepted age of a
  /// route, so no read needs older ones.
  static constexpr std::chrono::seconds Retention{30};
  /// Entries closer together than this are merged, which bounds their number.
  static constexpr std::chrono::milliseconds Spacing{40};

  /// Adds a proof.
  /// \param Sent when the command was sent that the primary completed.
  /// \param At the position in the answer.
  void add(BootTime Sent, const Position &At);

  /// \returns the oldest known position that includes every commit acknowledged
  /// before \p Since, or nothing if no entry is recent enough. The older the
  /// position, the more replicas have replayed it.
  std::optional<Position> oldestCovering(BootTime Since) const;

  /// A proof of leadership.
  struct Proof {
    BootTime Sent; ///< When the command was sent that the primary completed.
    Position At;
  };
  /// \returns the proof that oldestCovering() uses.
  std::optional<Proof> oldestProofSince(BootTime Since) const;
  /// \returns the newest proof.
  std::optional<Proof> newestProof() const;

  /// \returns the send time of the newest proof, or the epoch of the clock if
  /// there is none.
  BootTime newestProofTime() const;
  std::optional<Position> newestPosition() const;

private:
  std::deque<Proof> Entries; ///< Ascending by Sent and by At.
};

} // namespace lavenderdale
