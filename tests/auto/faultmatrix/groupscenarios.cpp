#include "groupfake.h"
#include "scenario.h"

#include "retry/retrytable.h"

namespace lavenderdale::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The control action that the request of a watcher belongs to. Waiting sends
/// nothing; it begins after the fence.
std::optional<Step> stepOf(const PromotionAction &Action) {
  if (std::holds_alternative<ClaimStatus>(Action))
    return Step::Claim;
  if (std::holds_alternative<FenceMember>(Action))
    return Step::Fence;
  if (std::holds_alternative<ChangeTerm>(Action))
    return Step::Change;
  if (std::holds_alternative<PromoteMember>(Action))
    return Step::Promote;
  if (std::holds_alternative<RepointMember>(Action))
    return Step::Point;
  return {};
}

/// Injects the setting's faults into a group, once.
class Injection {
public:
  Injection(GroupFake &Group, const Setting &At) : Group(Group), At(At) {}

  bool isDone() const { return this->Done; }

  /// \param Actor index of the watcher that acts.
  void inject(std::size_t Actor) {
    if (this->Done)
      return;
    this->Done = true;
    GroupFake::WatcherHost &W = this->Group.Watchers[Actor];
    if (this->At.has(Fault::PrimaryCutOff))
      this->flipPrimary();
    if (this->At.has(Fault::ReplicasBehind))
      this->Group.Members[1 + this->Group.Random() % 2].Stalled = true;
    if (this->At.has(Fault::ProxyDies))
      W.Agent.reset();
    if (this->At.has(Fault::PlatformDown))
      this->Group.PlatformDown = true;
    if (this->At.has(Fault::PlatformAnswersLost))
      this->Group.LosePlatformAnswers = true;
    if (this->At.has(Fault::HolderPaused))
      this->pause(W);
    if (this->At.has(Fault::OperatorsRace))
      this->edit();
    if (this->At.has(Fault::SilentConnections)) {
      const bool CallsPlatform =
          this->At.At == Step::Claim || this->At.At == Step::Change;
      this->Group.SilentSessions = true;
      this->Group.LosePlatformAnswers |= CallsPlatform;
    }
    if (this->At.has(Fault::DomainsCutOff))
      this->Group.CutDomains.insert(W.Self.FailureDomain);
  }

private:
  // During a promotion the cut ends, and the old primary is reached again.
  void flipPrimary() { this->Group.PrimaryCut = !this->Group.PrimaryCut; }

  void pause(GroupFake::WatcherHost &W) {
    const TimePoint Until =
        this->Group.Now + milliseconds(300 + this->Group.Random() % 3000);
    if (this->At.At == Step::Acknowledge || this->At.At == Step::Queue)
      this->Group.Holders.front().PausedUntil = Until;
    else
      W.PausedUntil = Until;
  }

  // A change of the spec, or of the members.
  void edit() {
    if (this->Group.Random() % 2 == 0)
      this->Group.editSpec();
    else
      this->Group.addReplica("db-d", "d1");
  }

  GroupFake &Group;
  const Setting &At;
  bool Done = false;
};

GroupFakeOptions optionsFor(const Setting &At) {
  GroupFakeOptions Options;
  Options.Seed = At.Seed;
  Options.Mode =
      At.Seed % 2 == 0 ? AcknowledgeMode::Replica : AcknowledgeMode::Primary;
  return Options;
}

/// Ends the faults and asks for a group that works again.
std::string settle(GroupFake &Group) {
  Group.heal();
  Group.run(seconds(9));
  if (!Group.violation().empty())
    return Group.violation();
  const unsigned Before = Group.acknowledged();
  Group.run(seconds(1));
  if (!Group.isWritable() || Group.acknowledged() == Before)
    return "no writable primary after the faults";
  if (!Group.allFollow())
    return "a member does not follow the primary after the faults";
  return Group.violation();
}

// The first primary is cut off from all but its holder; the faults come when
// the promotion is at the step.
std::string replacePrimary(const Setting &At) {
  GroupFakeOptions Options = optionsFor(At);
  if (At.MechanismOff)
    Options.Times.FenceWait = Duration::zero();
  GroupFake Group(Options);
  Injection Faults(Group, At);
  std::optional<std::pair<TimePoint, std::size_t>> WaitFrom;
  Group.OnRequest = [&](std::size_t Actor, const PromotionAction &Action) {
    const std::optional<Step> Reached = stepOf(Action);
    if (Reached == At.At)
      Faults.inject(Actor);
    if (Reached == Step::Fence && At.At == Step::Wait)
      WaitFrom = {Group.Now + milliseconds(150 + Group.Random() % 250), Actor};
  };
  Group.run(milliseconds(700));
  // A replica is behind before the promotion compares positions.
  if (At.has(Fault::ReplicasBehind))
    Group.Members[1 + Group.Random() % 2].Stalled = true;
  Group.run(milliseconds(300));
  Group.PrimaryCut = true;
  for (int I = 0; I < 400 && !Faults.isDone(); ++I) {
    Group.run(milliseconds(10));
    if (WaitFrom && Group.Now >= WaitFrom->first)
      Faults.inject(WaitFrom->second);
  }
  if (!Group.violation().empty())
    return Group.violation();
  if (!Faults.isDone())
    return "the step was not reached";
  Group.run(seconds(1) + milliseconds(Group.Random() % 5000));
  return settle(Group);
}

// A write is at the step at its holder when the faults begin; the primary is
// then replaced where the faults allow it.
std::string writeUnder(const Setting &At, Duration QueueWait,
                       GroupFake::Write::State Reached) {
  GroupFakeOptions Options = optionsFor(At);
  Options.PermissionIgnored = At.MechanismOff;
  Options.QueueWait = QueueWait;
  GroupFake Group(Options);
  Group.run(seconds(1));
  Injection Faults(Group, At);
  // The watcher beside the primary fails with its domain or as its own host.
  Group.OnWrite = [&](const GroupFake::Write &W) {
    if (W.By == 0 && W.Now == Reached)
      Faults.inject(0);
  };
  const bool Held = At.has(Fault::HolderPaused);
  for (int I = 0; I < 100 && !Faults.isDone(); ++I)
    Group.run(milliseconds(10));
  if (!Faults.isDone())
    return "the step was not reached";
  Group.PrimaryCut |= Held && Group.Random() % 2 == 0;
  Group.run(seconds(1) + milliseconds(Group.Random() % 3000));
  return settle(Group);
}

std::string acknowledgeWrite(const Setting &At) {
  return writeUnder(At, Duration::zero(), GroupFake::Write::State::Sent);
}

// What the holder refuses after the queue was not sent: every mark may go
// elsewhere, or is answered as not-run.
std::string queueWrite(const Setting &At) {
  for (const RetryClass Mark : {RetryClass::Write, RetryClass::NeverRepeat})
    if (nextStep(AttemptOutcome::NotSent, Mark) != NextStep::RetryElsewhere ||
        stepWithoutRetry(AttemptOutcome::NotSent, Mark) !=
            NextStep::AnswerNotRun)
      return "a write that was not sent is not retried or told as not-run";
  return writeUnder(At, milliseconds(100 + At.Seed % 7 * 250),
                    GroupFake::Write::State::Queued);
}

} // namespace

const Scenario QueuedWrite{
    "queued-write", "fencing, not-run",
    "a write that waits at its holder is started only under permission, "
    "otherwise it is not sent; the group is writable afterwards",
    &queueWrite};
const Scenario AcknowledgedWrite{
    "acknowledged-write", "fencing",
    "no write of a replaced primary is acknowledged; the group is writable "
    "afterwards",
    &acknowledgeWrite};
const Scenario ReplacedPrimary{
    "replaced-primary", "fencing",
    "while the promotion is at the step: no write of a replaced primary is "
    "acknowledged, a term has one primary, no replica-acknowledged write is "
    "lost; afterwards the group is writable and all members follow",
    &replacePrimary};

} // namespace lavenderdale::matrix
