#pragma once

#include "promotioncontext.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderdale {

/// Lets one fenced member receive the rest of a reachable primary's log in a
/// planned change, without giving the primary permission for writes. Runs after
/// all write permissions have expired, so that the primary's position includes
/// every acknowledged write.
class CatchUp {
public:
  /// \param Claimed the claimed status; names the primary to receive from.
  /// \param Member the fenced member.
  /// \param Has position of the end of the member's log.
  /// \param Deadline when the catch-up fails if it is not done.
  CatchUp(const TermStatus &Claimed, std::string Member, LogPosition Has,
          TimePoint Deadline);

  /// Fails the catch-up after its deadline. Drops a call that timed out, so
  /// that advance() retries it. Called before every event.
  void expire(const PromotionContext &Context);

  /// Sends the next call if none is pending. Called after every event.
  void advance(PromotionContext &Context);

  /// Handle answers. Answers to calls that are not pending are ignored.
  void statusRead(const StatusRead &Answer);
  void memberAnswered(const MemberAnswered &Answer);
  void memberPolled(const MemberPolled &Answer,
                    const PromotionContext &Context);

  const std::string &member() const { return this->Member; }
  /// Whether the member has received the log up to the primary's position.
  bool isDone() const { return this->Current == Step::Done; }
  bool isFailed() const { return this->Current == Step::Failed; }

  /// \see Promotion::describe()
  std::string describe(TimePoint Now) const;

private:
  enum class Step {
    PollPrimary,
    OpenSession,
    CheckStatus, ///< Verify that the claim is still in place.
    SetSource,   ///< Point the member at the primary.
    AwaitLog,    ///< Poll the member until it has received the log.
    Done,
    Failed
  };

  bool isAwaited(CallId Call) const {
    return this->Pending && Call != 0 && this->Pending->Call == Call;
  }

  Step Current = Step::PollPrimary;
  std::string Primary;
  Term Timeline;
  std::uint64_t Version; ///< Of the claimed status.
  std::string Member;
  LogPosition Has;
  LogPosition Needed; ///< The primary's position.
  TimePoint Deadline;
  CallId Session = 0; ///< The call that opened the control session.
  std::optional<PendingCall> Pending;
};

} // namespace lavenderdale
