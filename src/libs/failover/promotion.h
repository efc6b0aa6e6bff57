#pragma once

#include "primaryreplacement.h"
#include "promotioncontext.h"
#include "termcompletion.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// One watcher's part in replacing the primary of one group. It claims the
/// group's status, fences, waits, changes the term (section 4.3 of the design
/// page), and completes changes of term, its own and those of others.
class Promotion {
public:
  /// \param Self host name of the watcher.
  /// \param Instance distinguishes runs of one host; part of attempt ids.
  Promotion(std::string Self, std::string Instance, PromotionTimes Times = {});

  /// Sets the names of the group's members, and which of them are leaving. A
  /// leaving primary is replaced, if a member that stays can take its place. A
  /// change abandons the attempt.
  std::vector<PromotionAction> setMembers(std::vector<std::string> Members,
                                          TimePoint Now,
                                          std::set<std::string> Leaving = {});

  /// Takes one event and returns what to do. Deadlines are checked first, so
  /// that a watcher that was paused acts on nothing that has expired.
  std::vector<PromotionAction> handle(const PromotionEvent &Event,
                                      TimePoint Now);

  /// Whether an attempt of this watcher is in progress.
  bool isPromoting() const { return this->Attempt.has_value(); }

  /// The newest status that this watcher knows.
  const std::optional<TermStatus> &status() const { return this->Status; }

  /// One line for logs and tests: step, claim, fenced members, awaited calls
  /// as "#id". Times are relative to \p Now.
  std::string describe(TimePoint Now) const;

private:
  struct Dispatcher;

  PromotionContext context(TimePoint Now,
                           std::vector<PromotionAction> &Actions);
  void expire(PromotionContext &Context);
  void noteStatus(const TermStatus &Seen, bool Own, PromotionContext &Context);
  void settleAttempt(PromotionContext &Context);
  void startIfNeeded(PromotionContext &Context);
  void completeIfNeeded(PromotionContext &Context);
  void release(TermStatus Unclaimed, PromotionContext &Context);
  void refresh(PromotionContext &Context);
  void storeAnswered(const UpdateAnswered &Answer, PromotionContext &Context);
  bool isSuspected(TimePoint Now) const;
  bool canBePlanned(TimePoint Now) const;

  std::string Self;
  std::string Instance;
  PromotionTimes Times;
  ReplacementMembers Members;
  CallId LastCall = 0;
  unsigned LastAttempt = 0;
  unsigned Failures = 0; ///< Attempts since the last change of term.

  std::optional<TermStatus> Status;
  TimePoint StatusSeenAt;
  TimePoint ClaimSeenAt;
  TimePoint CompleteFrom; ///< When this watcher may complete the status.
  TimePoint AttemptFrom;  ///< End of the pause after an attempt.
  EvidenceCombined Evidence;
  TimePoint EvidenceAt;

  std::optional<PrimaryReplacement> Attempt;
  TermCompletion Completion;
  std::optional<PendingCall> Storing; ///< Release of a claim, or completion.
  TermStatus Stored;                  ///< What Storing stores.
  std::optional<PendingCall> Refresh;
};

} // namespace lavenderdale
