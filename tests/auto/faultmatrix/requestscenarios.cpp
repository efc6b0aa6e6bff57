#include "scenario.h"

#include "consistency/attemptplan.h"
#include "retry/retrybudget.h"
#include "retry/retrytable.h"
#include "scheduling/connectionpool.h"

#include <map>
#include <random>
#include <set>

namespace lavenderdale::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint() + std::chrono::hours(1);

/// A group whose primary writes one byte of log a millisecond, as it is and as
/// an entry host in domain x sees it.
class RoutedGroup {
public:
  explicit RoutedGroup(const Setting &At) : At(At), Random(At.Seed) {
    (void)this->History.append(Term{1}, {});
    this->Lags = {{"db-a", milliseconds(0)},
                  {"db-b", this->upTo(60)},
                  {"db-c", this->upTo(60)}};
    if (At.has(Fault::ReplicasBehind))
      this->Lags["db-b"] = this->Lags["db-c"] =
          milliseconds(500) + this->upTo(5000);
    if (At.has(Fault::PrimaryCutOff))
      this->Unreached.insert("db-a");
    if (At.has(Fault::DomainsCutOff))
      this->Unreached.insert({"db-b", "db-c"});
    if (At.has(Fault::DomainsCutOff) && this->Random() % 2 == 0)
      this->Unreached = {"db-a", "db-b"};
    this->ViewAt = this->Now;
    // The entry host was paused, or gets no newer view of the group.
    if (At.has(Fault::HolderPaused) || At.has(Fault::SilentConnections))
      this->ViewAt -= milliseconds(300) + this->upTo(4000);
  }

  milliseconds upTo(int Ms) {
    return milliseconds(this->Random() % static_cast<unsigned>(Ms));
  }

  LogPosition positionAt(const std::string &Name, TimePoint When) const {
    return {static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           When - Start - this->Lags.at(Name))
                                           .count())};
  }

  /// Ages and positions as they were when the view was made.
  ReadGroupView view() const {
    ReadGroupView View;
    View.History = this->History;
    for (const auto &[Name, Lag] : this->Lags)
      View.Upstreams.push_back(
          {Name, Name == "db-c" ? "x" : "y",
           Name == "db-a" ? UpstreamRole::Primary : UpstreamRole::Replica,
           UpstreamAvailability::Serving, Term{1},
           this->positionAt(Name, this->ViewAt), Lag, milliseconds(0)});
    return View;
  }

  std::vector<std::string> holders(const std::string &Name) const {
    return {Name + "-first", Name + "-second"};
  }

  bool reaches(const Attempt &Each) const {
    const bool IsFirst = Each.Host == Each.Upstream + "-first";
    return !this->Unreached.contains(Each.Upstream) &&
           !(IsFirst && this->At.has(Fault::ProxyDies));
  }

  bool mayServe(const Attempt &Each, const ReadDemand &Demand) const {
    if (Each.Role == UpstreamRole::Primary || this->At.MechanismOff)
      return true;
    const TimePoint When = Each.WaitUntil.value_or(this->Now);
    return evaluateRead(Demand,
                        {Term{1}, this->positionAt(Each.Upstream, When)},
                        this->Lags.at(Each.Upstream),
                        this->History) == ReadEligibility::MayServe;
  }

  const Setting &At;
  std::mt19937_64 Random;
  TimePoint Now = Start + seconds(60);
  TimePoint ViewAt;
  Lineage History;
  std::map<std::string, Duration> Lags;
  std::set<std::string> Unreached;
};

std::string checkServed(const RoutedGroup &Group, const Attempt &At,
                        const ReadDemand &Demand) {
  const TimePoint When = At.WaitUntil.value_or(Group.Now);
  if (Demand.Seen && Group.positionAt(At.Upstream, When) < Demand.Seen->Log)
    return "a read misses the session's own write";
  if (Demand.AcceptedAge && Group.Lags.at(At.Upstream) > *Demand.AcceptedAge)
    return "a read is older than accepted";
  return {};
}

// A session that has just written reads through the plan, from each place to
// the next, and writes again.
std::string routeOnce(RoutedGroup &Group) {
  ReadRequest Request;
  Request.Demand.Seen =
      Position{Term{1}, Group.positionAt("db-a", Group.Now - Group.upTo(400))};
  if (Group.Random() % 2 == 0)
    Request.Demand.AcceptedAge = Group.upTo(2000);
  Request.OwnFailureDomain = "x";
  Request.Deadline = Group.Now + seconds(1);
  const UpstreamLocator Places = [&](const std::string &Name) {
    return std::optional(UpstreamLocation{false, Group.holders(Name)});
  };
  const ReadGroupView View = Group.view();
  const std::string Primary = "db-a";
  const TimedGroupView Timed{View, Primary, Group.ViewAt};
  const auto Read =
      planAttempts(Timed, Request, Places, "db-c-second", Group.Now);
  const auto Write =
      planAttempts(Timed, std::nullopt, Places, "db-c-second", Group.Now);
  if (!Read || !Write)
    return "a surviving session was told that it is lost";
  const auto Reached = [&](const Attempt &Each) { return Group.reaches(Each); };
  const bool PrimaryReached = !Group.Unreached.contains("db-a");
  if (std::ranges::any_of(Write.value().Attempts, Reached) != PrimaryReached)
    return "a write is not tried at each holder of the primary";
  for (const Attempt &Each : Read.value().Attempts)
    if (Group.reaches(Each) && Group.mayServe(Each, Request.Demand))
      return checkServed(Group, Each, Request.Demand);
  return PrimaryReached ? "a read is not tried at each holder" : "";
}

std::string route(const Setting &At) {
  constexpr int Reads = 100;
  RoutedGroup Group(At);
  for (int I = 0; I < Reads; ++I) {
    std::string Violation = routeOnce(Group);
    if (!Violation.empty())
      return Violation;
  }
  return {};
}

/// What a fault makes of one attempt.
struct AttemptFate {
  AttemptOutcome Outcome = AttemptOutcome::AnswerLost;
  bool Runs = false; ///< Also if it runs after the caller was answered.
  bool RolledBack = false;
};

AttemptFate fateOf(Fault F, Step At, RetryClass Mark, std::mt19937_64 &Random) {
  const bool MayRun = Random() % 2 == 0;
  // A write in mode "replica" waits for the replicas and is not acknowledged.
  if (F == Fault::ReplicasBehind)
    return {Mark == RetryClass::Read ? AttemptOutcome::ReplicaBehind
                                     : AttemptOutcome::PermissionLost,
            true, false};
  if (At == Step::Queue)
    return F == Fault::ProxyDies
               ? AttemptFate{AttemptOutcome::AnswerLost, false, false}
               : AttemptFate{AttemptOutcome::RefusedBeforeRun, false, false};
  if (At == Step::Run)
    return {AttemptOutcome::AnswerLost, MayRun,
            F == Fault::ProxyDies && Mark == RetryClass::InTransaction};
  if (F == Fault::HolderPaused || F == Fault::PrimaryCutOff)
    return {MayRun ? AttemptOutcome::PermissionLost
                   : AttemptOutcome::AnswerLost,
            true, false};
  return {AttemptOutcome::AnswerLost, true, false};
}

/// A pool whose openings succeed at once.
class AttemptPool {
public:
  std::optional<ConnectionId> acquire(TimePoint Now, TimePoint Deadline) {
    this->step(Now);
    this->step(Now);
    return this->Pool.acquire(Deadline);
  }
  /// Gives a connection back whose answer came after the deadline.
  /// \returns whether another request could still be given it.
  bool isReusableLate(ConnectionId Id, TimePoint Now) {
    const bool Kept = this->Pool.release(Id, ConnectionUse::Clean, Now);
    this->step(Now);
    return Kept || this->Pool.state(Id).has_value();
  }

private:
  void step(TimePoint Now) {
    for (const PoolAction &Each : this->Pool.poll(Now, this->Random))
      if (Each.Kind == PoolActionKind::Open)
        this->Pool.opened(Each.Id, Now);
      else if (Each.Kind != PoolActionKind::Close)
        this->Pool.checked(Each.Id, true, Now);
  }

  ConnectionPool Pool{PoolLimits{}};
  ConnectionPool::Generator Random{1};
};

bool isRepeatable(RetryClass Mark) {
  return Mark == RetryClass::Read || Mark == RetryClass::KeyedWrite;
}

// One request, whose attempts are hit by the faults in turn; the attempt after
// them succeeds.
std::string repeatOnce(const Setting &At, RetryClass Mark,
                       std::mt19937_64 &Random, AttemptPool &Pool,
                       TimePoint &Now) {
  RetryBudget Budget;
  Budget.countRequest(Now);
  int Runs = 0;
  for (std::size_t I = 0;; ++I) {
    if (I == At.Faults.size())
      return ++Runs > 1 && !isRepeatable(Mark) ? "a request ran twice" : "";
    const AttemptFate Fate = fateOf(At.Faults[I], At.At, Mark, Random);
    const bool Sent = At.At != Step::Queue;
    const auto Id = Pool.acquire(Now, Now + milliseconds(100));
    if (Sent && !Id)
      return "no connection after lost answers";
    Now += milliseconds(150);
    if (Id && Pool.isReusableLate(*Id, Now))
      return "a connection with a late answer may be used again";
    Runs += Fate.Runs && !Fate.RolledBack ? 1 : 0;
    NextStep Next = At.MechanismOff ? NextStep::RetryElsewhere
                                    : nextStep(Fate.Outcome, Mark);
    if (isRetry(Next) && !notSent(Fate.Outcome) && !At.MechanismOff &&
        !Budget.tryRetry(Now))
      Next = stepWithoutRetry(Fate.Outcome, Mark);
    if (isRetry(Next))
      continue;
    if (Next == NextStep::AnswerNotRun && (Sent || Runs > 0))
      return "not-run was told of a request that was sent";
    if (Next == NextStep::AnswerFailed)
      return "a lost answer was told as an error of the statement";
    return Runs > 1 && !isRepeatable(Mark) ? "a request ran twice" : "";
  }
}

std::string repeat(const Setting &At) {
  constexpr int Rounds = 20;
  std::mt19937_64 Random(At.Seed);
  AttemptPool Pool;
  TimePoint Now = Start;
  for (int I = 0; I < Rounds; ++I)
    for (std::size_t Mark = 0; Mark < RetryClassCount; ++Mark) {
      std::string Violation =
          repeatOnce(At, static_cast<RetryClass>(Mark), Random, Pool, Now);
      if (!Violation.empty())
        return Violation;
    }
  return {};
}

} // namespace

const Scenario RoutedRead{
    "routed-request", "read-your-writes",
    "a read is served through any holder left, never older than the token or "
    "the accepted age; a write is tried at each holder",
    &route};
const Scenario RepeatedAttempt{
    "repeated-attempt", "answers, not-run, at-most-once",
    "a request runs at most once unless it may be repeated; not-run only if "
    "nothing was sent; a connection with a late answer is not reused",
    &repeat};

} // namespace lavenderdale::matrix
