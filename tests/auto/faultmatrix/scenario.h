#pragma once

#include "faults.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace lavenderdale::matrix {

/// What a scenario injects, and where.
struct Setting {
  std::vector<Fault> Faults; ///< One, or the two of a pair.
  Step At = Step::Admission;
  std::uint64_t Seed = 1;
  /// Leaves out the mechanism under test, to show that the check can fail.
  bool MechanismOff = false;

  bool has(Fault F) const {
    return std::find(this->Faults.begin(), this->Faults.end(), F) !=
           this->Faults.end();
  }
};

/// Sets up a step, injects faults at it and checks what the step must keep.
struct Scenario {
  std::string_view Name;
  std::string_view Property; ///< Of section 1.2 of the design page.
  std::string_view Meaning;
  /// \returns what was violated; empty if nothing was.
  std::string (*Run)(const Setting &);
};

extern const Scenario QueuedWrite;
extern const Scenario AcknowledgedWrite;
extern const Scenario ReplacedPrimary;
extern const Scenario RateShare;
extern const Scenario ChangedHostSet;
extern const Scenario StoppedHost;
extern const Scenario DistributedChange;
extern const Scenario WithdrawnKey;
extern const Scenario DrainedUpstream;
extern const Scenario RoutedRead;
extern const Scenario RepeatedAttempt;

} // namespace lavenderdale::matrix
