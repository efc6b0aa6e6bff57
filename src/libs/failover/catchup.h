#pragma once

#include "promotioncontext.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderdale {

/// Lets one fenced member receive what a reachable primary still has, without
/// giving it permission for writes. Used after all permissions have expired, so
/// that the primary's position includes everything that was acknowledged.
class CatchUp {
public:
  /// \param Claimed the claimed status; its primary is the source.
  /// \param Member the fenced member, whose log ends at \p Has.
  CatchUp(const TermStatus &Claimed, std::string Member, LogPosition Has,
          TimePoint Deadline);

  /// Counts calls without an answer as failed. Called before every event.
  void expire(const PromotionContext &Context);

  /// Sends the next call, if none is awaited. Called after every event.
  void advance(PromotionContext &Context);

  /// Answers. Those that are not awaited are ignored.
  void statusRead(const StatusRead &Answer);
  void memberAnswered(const MemberAnswered &Answer);
  void memberPolled(const MemberPolled &Answer,
                    const PromotionContext &Context);

  const std::string &member() const { return this->Member; }
  /// Whether the member has received the primary's position.
  bool isDone() const { return this->Current == Step::Done; }
  bool isFailed() const { return this->Current == Step::Failed; }

  /// \see Promotion::describe()
  std::string describe(TimePoint Now) const;

private:
  enum class Step { Measure, Open, Read, Point, Receive, Done, Failed };

  bool isAwaited(CallId Call) const {
    return this->Pending && Call != 0 && this->Pending->Call == Call;
  }

  Step Current = Step::Measure;
  std::string Primary;
  Term Timeline;
  std::uint64_t Version;
  std::string Member;
  LogPosition Has;
  LogPosition Needed;
  TimePoint Deadline;
  CallId Session = 0;
  std::optional<PendingCall> Pending;
};

} // namespace lavenderdale
