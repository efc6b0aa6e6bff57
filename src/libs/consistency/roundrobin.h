#pragma once

#include "readrouter.h"

#include <cstdint>

namespace lavenderdale {

/// Takes the serving replicas in turn, without looking at their positions. A
/// read of a session, or with an accepted age, waits at its replica as long as
/// it may. For measurements only.
class RoundRobin final : public ReadPolicy {
public:
  /// \param Turn number of the read.
  explicit RoundRobin(std::uint64_t Turn) : Turn(Turn) {}

  void addReplicas(ReadPlan &Plan, const ReadGroupView &Group,
                   const ReadRequest &Request, TimePoint Now) const override;

private:
  std::uint64_t Turn;
};

} // namespace lavenderdale
