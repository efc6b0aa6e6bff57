#pragma once

#include "readrouter.h"

#include <cstdint>

namespace lavenderdale {

/// Chooses the serving replicas in turn, regardless of their positions. A read
/// with a session token or an accepted age may wait at its replica until
/// ReadRouter::waitUntil(). Used only as a baseline for measurements.
class RoundRobin final : public ReadPolicy {
public:
  /// \param ReadIndex number of the read, counted up by the caller.
  explicit RoundRobin(std::uint64_t ReadIndex) : ReadIndex(ReadIndex) {}

  void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                   const ReadRequest &Request, TimePoint Now) const override;

private:
  std::uint64_t ReadIndex;
};

} // namespace lavenderdale
