#pragma once

#include "failoverlimits.h"
#include "promotionmessages.h"

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

/// What the parts of a Promotion need while they handle one event.
struct PromotionContext {
  TimePoint Now;
  bool Suspected = false; ///< Fresh evidence against the current primary.
  const PromotionTimes &Times;
  CallId &LastCall;
  std::vector<PromotionAction> &Actions;

  CallId nextCall() { return ++this->LastCall; }
  TimePoint callDeadline() const { return this->Now + this->Times.CallTimeout; }

  void emit(PromotionAction Action) {
    this->Actions.push_back(std::move(Action));
  }
};

/// A call that is awaited.
struct PendingCall {
  CallId Call = 0;
  TimePoint Deadline;
};

} // namespace lavenderdale
