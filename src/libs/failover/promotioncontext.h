#pragma once

#include "failoverlimits.h"
#include "promotionmessages.h"

#include <vector>

namespace lavenderdale {

/// Time limits of promotions. Tests replace them to show that their checks can
/// fail.
struct PromotionTimes {
  Duration FenceWait = failoverlimits::PermissionDuration;
  Duration ClaimLifetime = failoverlimits::ClaimLifetime;
  Duration CallTimeout = failoverlimits::CallTimeout;
  Duration RetryPause = failoverlimits::RetryPause;
  Duration CompletionDelay = failoverlimits::CompletionDelay;
};

/// State that the parts of a Promotion share while they handle one event.
struct PromotionContext {
  TimePoint Now;
  bool Suspected = false; ///< By valid evidence for the current term.
  const PromotionTimes &Times;
  CallId &LastCall;
  std::vector<PromotionAction> &Actions;

  CallId nextCall() { return ++this->LastCall; }
  TimePoint callDeadline() const { return this->Now + this->Times.CallTimeout; }

  void emit(PromotionAction Action) {
    this->Actions.push_back(std::move(Action));
  }
};

/// A call whose answer is awaited.
struct PendingCall {
  CallId Call = 0;
  TimePoint Deadline;
};

} // namespace lavenderdale
