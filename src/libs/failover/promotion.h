#pragma once

#include "primaryreplacement.h"
#include "promotioncontext.h"
#include "termcompletion.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Replaces the primary of one group on behalf of one watcher: claims the
/// group's status, fences the members, waits until write permissions have
/// expired and changes the term (section 4.3 of the design page). Also
/// completes changes of term, whichever watcher made them.
class Promotion {
public:
  /// \param Self host name of the watcher.
  /// \param Instance distinguishes the runs of one host; part of attempt ids.
  /// \param Times time limits; tests replace them.
  Promotion(std::string Self, std::string Instance, PromotionTimes Times = {});

  /// Sets the names of the group's members, and which of them are leaving. A
  /// leaving primary is replaced if a member that stays can take its place. Any
  /// change of the members abandons an attempt in progress.
  /// \returns the actions to carry out.
  std::vector<PromotionAction> setMembers(std::vector<std::string> Members,
                                          TimePoint Now,
                                          std::set<std::string> Leaving = {});

  /// Handles one event and returns the actions to carry out. Deadlines are
  /// checked first, so that a watcher that was paused does not act on expired
  /// state.
  std::vector<PromotionAction> handle(const PromotionEvent &Event,
                                      TimePoint Now);

  /// Whether an attempt of this watcher is in progress.
  bool isPromoting() const { return this->Attempt.has_value(); }

  /// The newest status that this watcher knows.
  const std::optional<TermStatus> &status() const { return this->Status; }

  /// One line for logs and tests: step, claim, fenced members, pending calls
  /// as "#id". Times are relative to \p Now.
  std::string describe(TimePoint Now) const;

private:
  struct Dispatcher;

  PromotionContext context(TimePoint Now,
                           std::vector<PromotionAction> &Actions);
  void expire(PromotionContext &Context);
  void updateStatus(const TermStatus &Seen, bool Own,
                    PromotionContext &Context);
  void endFinishedAttempt(PromotionContext &Context);
  void startIfNeeded(PromotionContext &Context);
  void completeIfNeeded(PromotionContext &Context);
  void release(TermStatus Unclaimed, PromotionContext &Context);
  void refresh(PromotionContext &Context);
  void storeAnswered(const UpdateAnswered &Answer, PromotionContext &Context);
  bool isSuspected(TimePoint Now) const;
  bool needsPlannedChange(TimePoint Now) const;

  std::string Self;
  std::string Instance;
  PromotionTimes Times;
  ReplacementMembers Members;
  CallId LastCall = 0;
  unsigned LastAttempt = 0;
  unsigned Failures = 0; ///< Failed attempts since the last change of term.

  std::optional<TermStatus> Status;
  TimePoint StatusSeenAt;
  TimePoint ClaimSeenAt;
  TimePoint CompleteFrom; ///< From when this watcher may complete a change.
  TimePoint AttemptFrom;  ///< End of the pause after an attempt.
  EvidenceCombined Evidence;
  TimePoint EvidenceAt;

  std::optional<PrimaryReplacement> Attempt;
  TermCompletion Completion;
  std::optional<PendingCall> Storing; ///< Of a ReleaseClaim or CompleteTerm.
  TermStatus Stored;                  ///< The status that Storing stores.
  std::optional<PendingCall> Refresh;
};

} // namespace lavenderdale
