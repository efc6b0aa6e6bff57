#pragma once

#include "failoverlimits.h"
#include "groupview.h"
#include "promotionmessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Time limits that tests replace to show that a check can fail.
struct PromotionTimes {
  Duration FenceWait = failoverlimits::PermissionDuration;
  Duration ClaimLifetime = failoverlimits::ClaimLifetime;
  Duration CallTimeout = failoverlimits::CallTimeout;
  Duration RetryPause = failoverlimits::RetryPause;
  Duration CompletionDelay = failoverlimits::CompletionDelay;
};

/// One watcher's part in replacing the primary of one group. It claims the
/// group's status, fences, waits, changes the term (section 4.3 of the design
/// page), and completes changes of term, its own and those of others.
class Promotion {
public:
  /// \param Self host name of the watcher.
  /// \param Instance distinguishes runs of one host; part of attempt ids.
  Promotion(std::string Self, std::string Instance, PromotionTimes Times = {});

  /// Sets the names of the group's members. A change abandons the attempt.
  std::vector<PromotionAction> setMembers(std::vector<std::string> Members,
                                          TimePoint Now);

  /// Takes one event and returns what to do. Deadlines are checked first, so
  /// that a watcher that was paused acts on nothing that has expired.
  std::vector<PromotionAction> handle(const PromotionEvent &Event,
                                      TimePoint Now);

  /// Whether an attempt of this watcher is in progress.
  bool isPromoting() const;

  /// One line for logs and tests: step, claim, fenced members, awaited calls.
  /// Times are relative to \p Now.
  std::string describe(TimePoint Now) const;

private:
  PromotionTimes Times;
};

} // namespace lavenderdale
