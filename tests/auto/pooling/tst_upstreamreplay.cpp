#include "pooling/concurrencylimit.h"
#include "pooling/upstreampool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr Duration Tick = 500us;
constexpr Duration Wire = 1ms; ///< One way.
constexpr std::size_t Slots = 4;
constexpr std::size_t UpstreamQueue = 32;
constexpr std::size_t Connections = 36;
const TimePoint Start{1000s};

struct Kind {
  unsigned Priority;
  Duration Work;
  Duration Objective;
  Duration Deadline;
  double PerSecond; ///< In an hour without overload: 75 % of the slots.
};

constexpr std::array<Kind, 3> Kinds = {{{0, 3ms, 100ms, 800ms, 42},
                                        {1, 9ms, 200ms, 800ms, 197},
                                        {2, 15ms, 600ms, 1500ms, 73}}};

struct Arrival {
  TimePoint At{};
  std::size_t Kind = 0;
  std::string Workspace;
};

struct Count {
  int Offered = 0;
  int Served = 0; ///< Within the objective.
  int Late = 0;   ///< Within the deadline.
  int Lost = 0;   ///< Neither, or refused.
  /// Refusals that came later than 100 ms after the attempt.
  int LateRefusals = 0;
  Duration LongestWait{};
};

/// A transaction of a caller who thinks between its statements.
struct TransactionKind {
  Duration Work = 3ms;
  Duration Pause = 30ms;
  int Statements = 4; ///< The commit included.
  Duration Objective = 250ms;
};

enum class Mode { Fifo, Unlimited, Limited };

/// One upstream with slots, work times and a FIFO queue, the callers, who try
/// up to three times within the deadline, and the pool between them.
class Replay {
public:
  explicit Replay(Mode How) : How(How), Limit(Slots) {
    this->Pool.setCapacity(Connections, Connections);
  }

  void run(const std::vector<Arrival> &Load) {
    std::size_t Next = 0;
    const TimePoint End = Load.back().At + 2s;
    for (TimePoint Now = Start; Now < End; Now += Tick) {
      for (; Next < Load.size() && Load[Next].At <= Now; ++Next)
        this->arrive(Load[Next], Now);
      while (!this->Events.empty() && this->Events.begin()->first <= Now) {
        const std::function<void(TimePoint)> Run =
            std::move(this->Events.begin()->second);
        this->Events.erase(this->Events.begin());
        Run(Now);
      }
      this->decide(Now);
    }
  }

  /// Starts a transaction of \p Workspace at \p When.
  void addTransaction(TimePoint When, const std::string &Workspace) {
    this->at(When, [this, Workspace](TimePoint Now) {
      const WaiterId Id = this->NextId++;
      this->Open[Id] = {Workspace, Now, 0, 0};
      ++this->Transactions.Offered;
      PoolWaiter Waiter;
      Waiter.Id = Id;
      Waiter.Workspace = Workspace;
      Waiter.Target = Now + Transaction.Objective;
      Waiter.GiveUpAt = Now + 560ms;
      Waiter.TakesSlot = false;
      this->Pool.enqueue(Waiter, Now);
    });
  }

  std::array<Count, Kinds.size()> ByKind;
  std::map<std::string, Count> ByWorkspace;
  Count Transactions;

private:
  struct Operation {
    Arrival From;
    TimePoint AttemptAt{};
    int Tries = 0;
    bool Ended = false;
  };
  struct OpenTransaction {
    std::string Workspace;
    TimePoint From{};
    ConnectionId Connection = 0;
    int Ended = 0; ///< Statements that ended.
  };
  struct Job {
    Duration Work{};
    std::function<void(TimePoint)> Done;
  };

  void at(TimePoint When, std::function<void(TimePoint)> Run) {
    this->Events.emplace(When, std::move(Run));
  }

  // The upstream.
  bool submit(Job New, TimePoint Now, bool Handshake = false) {
    if (this->Running >= Slots && this->Queue.size() >= UpstreamQueue &&
        !Handshake)
      return false;
    this->Queue.push_back(std::move(New));
    this->startJobs(Now);
    return true;
  }
  void startJobs(TimePoint Now) {
    while (this->Running < Slots && !this->Queue.empty()) {
      ++this->Running;
      Job Each = std::move(this->Queue.front());
      this->Queue.pop_front();
      this->at(Now + Each.Work, [this, Each](TimePoint Then) {
        --this->Running;
        this->at(Then + Wire, Each.Done);
        this->startJobs(Then);
      });
    }
  }

  // The callers.
  void arrive(const Arrival &From, TimePoint Now) {
    const WaiterId Id = this->NextId++;
    this->Operations[Id].From = From;
    ++this->ByKind[From.Kind].Offered;
    ++this->ByWorkspace[From.Workspace].Offered;
    this->attempt(Id, Now);
  }
  void attempt(WaiterId Id, TimePoint Now) {
    Operation &Each = this->Operations[Id];
    ++Each.Tries;
    Each.AttemptAt = Now;
    this->enqueue(Id, Now);
  }
  TimePoint giveUpAt(const Operation &Each) const {
    return Each.AttemptAt + Kinds[Each.From.Kind].Deadline * 7 / 10;
  }
  void enqueue(WaiterId Id, TimePoint Now) {
    const Operation &Each = this->Operations[Id];
    if (this->How == Mode::Fifo) {
      this->at(Now + Wire, [this, Id](TimePoint Then) {
        this->execute(Id, 0, Then, Then);
      });
      return;
    }
    const Kind &Of = Kinds[Each.From.Kind];
    PoolWaiter Waiter;
    Waiter.Id = Id;
    Waiter.Workspace = Each.From.Workspace;
    Waiter.Priority = Of.Priority;
    Waiter.Target = Each.From.At + Of.Objective;
    Waiter.GiveUpAt = this->giveUpAt(Each);
    this->refreshLimit(Now);
    this->Pool.enqueue(Waiter, Now);
  }
  void refused(WaiterId Id, Duration RetryAfter, TimePoint Now) {
    Operation &Each = this->Operations[Id];
    const Kind &Of = Kinds[Each.From.Kind];
    if (Now - Each.AttemptAt > 100ms)
      ++this->ByKind[Each.From.Kind].LateRefusals;
    const TimePoint Again = Now + std::max<Duration>(RetryAfter, 20ms);
    if (Each.Tries < 3 && Again < Each.From.At + Of.Deadline)
      this->at(Again, [this, Id](TimePoint Then) { this->attempt(Id, Then); });
    else
      this->end(Id, Now, false);
  }
  void end(WaiterId Id, TimePoint Now, bool Answered) {
    Operation &Each = this->Operations[Id];
    if (std::exchange(Each.Ended, true))
      return;
    const Kind &Of = Kinds[Each.From.Kind];
    const Duration Took = Now - Each.From.At;
    for (Count *In : {&this->ByKind[Each.From.Kind],
                      &this->ByWorkspace[Each.From.Workspace]}) {
      if (Answered && Took <= Of.Objective)
        ++In->Served;
      else if (Answered && Took <= Of.Deadline)
        ++In->Late;
      else
        ++In->Lost;
      if (Answered)
        In->LongestWait = std::max(In->LongestWait, Took - Of.Work);
    }
  }

  // A transaction waits for a slot before each statement if there is a limit.
  void nextStatement(WaiterId Id, TimePoint Now) {
    if (this->How == Mode::Limited)
      this->Pool.enqueueHeld(Id, this->Open[Id].Connection, Now + 100ms);
    else
      this->runStatement(Id, Now);
  }
  void runStatement(WaiterId Id, TimePoint Now) {
    this->Pool.started(this->Open[Id].Connection, Now);
    this->at(Now + Wire, [this, Id](TimePoint Then) {
      if (!this->submit({Transaction.Work,
                         [this, Id](TimePoint Later) {
                           this->statementEnded(Id, Later);
                         }},
                        Then))
        this->at(Then + 6ms, [this, Id](TimePoint Later) {
          this->runStatement(Id, Later);
        });
    });
  }
  void statementEnded(WaiterId Id, TimePoint Now) {
    OpenTransaction &Each = this->Open[Id];
    const std::optional<Duration> Took = this->Pool.ended(Each.Connection, Now);
    if (Took)
      this->Limit.record(ConcurrencyLimit::Outcome::Answered, *Took,
                         this->Pool.running() + 1, Now);
    if (++Each.Ended < Transaction.Statements) {
      this->at(Now + Transaction.Pause,
               [this, Id](TimePoint Then) { this->nextStatement(Id, Then); });
      return;
    }
    this->Pool.released(Each.Connection, Now);
    const Duration Length = Now - Each.From;
    ++(Length <= Transaction.Objective ? this->Transactions.Served
                                       : this->Transactions.Late);
    this->Transactions.LongestWait =
        std::max(this->Transactions.LongestWait, Length);
    this->Open.erase(Id);
  }
  /// \returns whether \p Each concerns a transaction.
  bool performForTransaction(const UpstreamPoolAction &Each, TimePoint Now) {
    const auto Found = this->Open.find(Each.Waiter);
    if (Found == this->Open.end())
      return false;
    if (Each.Type == UpstreamPoolAction::Kind::Refuse) {
      ++this->Transactions.Lost;
      this->Open.erase(Found);
    } else if (Found->second.Connection == 0) {
      Found->second.Connection = Each.Connection;
      this->Pool.pinned(Each.Connection);
      this->Pool.ended(Each.Connection, Now);
      this->at(Now + 2 * Wire, [this, Id = Each.Waiter](TimePoint Then) {
        this->nextStatement(Id, Then);
      });
    } else {
      this->runStatement(Each.Waiter, Now);
    }
    return true;
  }

  // The host between them.
  void refreshLimit(TimePoint Now) {
    if (this->How == Mode::Limited)
      this->Pool.setConcurrency(this->Limit.limit(Now),
                                this->Limit.serviceTime(Now));
  }
  void execute(WaiterId Id, ConnectionId Connection, TimePoint AssignedAt,
               TimePoint Now) {
    const Kind &Of = Kinds[this->Operations[Id].From.Kind];
    const bool Accepted = this->submit(
        {Of.Work,
         [this, Id, Connection, AssignedAt](TimePoint Then) {
           this->release(Connection, ConcurrencyLimit::Outcome::Answered,
                         AssignedAt, Then);
           this->end(Id, Then, true);
         }},
        Now);
    if (Accepted)
      return;
    this->at(Now + Wire, [this, Id, Connection, AssignedAt](TimePoint Then) {
      this->release(Connection, ConcurrencyLimit::Outcome::Busy, AssignedAt,
                    Then);
      const Duration Pause =
          this->How == Mode::Limited
              ? std::max<Duration>(this->Limit.estimate(Then).ServiceTime, 6ms)
              : Duration(6ms);
      if (Then + Pause >= this->giveUpAt(this->Operations[Id]))
        this->refused(Id, {}, Then);
      else
        this->at(Then + Pause,
                 [this, Id](TimePoint Later) { this->enqueue(Id, Later); });
    });
  }
  void release(ConnectionId Connection, ConcurrencyLimit::Outcome Ended,
               TimePoint AssignedAt, TimePoint Now) {
    if (Connection == 0)
      return;
    this->Limit.record(Ended, Now - AssignedAt,
                       this->Pool.running() + this->Pool.opening(), Now);
    this->Pool.released(Connection, Now);
  }
  void decide(TimePoint Now) {
    this->refreshLimit(Now);
    for (const UpstreamPoolAction &Each : this->Pool.decide(Now)) {
      if (this->performForTransaction(Each, Now))
        continue;
      switch (Each.Type) {
      case UpstreamPoolAction::Kind::Assign:
        this->at(Now + Wire, [this, Each, Now](TimePoint Then) {
          this->execute(Each.Waiter, Each.Connection, Now, Then);
        });
        break;
      case UpstreamPoolAction::Kind::Open:
        this->at(Now + Wire, [this, Each](TimePoint Then) {
          this->submit({12ms,
                        [this, Each](TimePoint Later) {
                          this->Pool.opened(this->NextConnection++,
                                            Each.Workspace, Later);
                        }},
                       Then, true);
        });
        break;
      case UpstreamPoolAction::Kind::Refuse:
        this->refused(Each.Waiter, Each.RetryAfter, Now);
        break;
      case UpstreamPoolAction::Kind::Close:
        break;
      }
    }
  }

  static constexpr TransactionKind Transaction{};
  Mode How;
  UpstreamPool Pool;
  ConcurrencyLimit Limit;
  std::multimap<TimePoint, std::function<void(TimePoint)>> Events;
  std::map<WaiterId, Operation> Operations;
  std::map<WaiterId, OpenTransaction> Open;
  std::deque<Job> Queue;
  std::size_t Running = 0;
  WaiterId NextId = 1;
  ConnectionId NextConnection = 1;
};

/// Arrivals of all kinds from 12 workspaces over 8 s.
/// \param Factor multiple of the usual load of \p Workspace at a time.
std::vector<Arrival>
load(const std::function<double(double Second, int Workspace)> &Factor) {
  constexpr int Workspaces = 12;
  constexpr double Length = 8;
  constexpr double MaxFactor = 8;
  std::mt19937_64 Random(20261206);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<Arrival> Load;
  for (std::size_t Of = 0; Of < Kinds.size(); ++Of)
    for (int Workspace = 0; Workspace < Workspaces; ++Workspace) {
      std::exponential_distribution<double> Gap(Kinds[Of].PerSecond *
                                                MaxFactor / Workspaces);
      for (double At = Gap(Random); At < Length; At += Gap(Random))
        if (Uniform(Random) < Factor(At, Workspace) / MaxFactor)
          Load.push_back({Start + std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(At)),
                          Of, "w" + std::to_string(Workspace)});
    }
  std::ranges::stable_sort(Load, {}, &Arrival::At);
  return Load;
}

int inTime(const Replay &Done, std::size_t Of) {
  return Done.ByKind[Of].Served * 1000 / Done.ByKind[Of].Offered;
}

int answered(const Replay &Done) {
  int Sum = 0;
  for (const Count &Each : Done.ByKind)
    Sum += Each.Served + Each.Late;
  return Sum;
}

void printRow(const char *Name, const std::string &Of, const Count &Each) {
  std::printf("%-10s %-4s %6d %6d %6d %6d %6d %8lld\n", Name, Of.c_str(),
              Each.Offered, Each.Served, Each.Late, Each.Lost,
              Each.LateRefusals,
              static_cast<long long>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Each.LongestWait)
                      .count()));
}

struct Results {
  Replay Fifo{Mode::Fifo};
  Replay Before{Mode::Unlimited};
  Replay Now{Mode::Limited};
};

std::unique_ptr<Results> replay(const char *Name,
                                const std::vector<Arrival> &Load,
                                double TransactionsPerSecond = 0) {
  auto Done = std::make_unique<Results>();
  for (int I = 0; I < TransactionsPerSecond * 8; ++I)
    // Without a pool, nothing holds connections.
    for (Replay *Each : {&Done->Before, &Done->Now})
      Each->addTransaction(
          Start + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(I / TransactionsPerSecond)),
          "w" + std::to_string(I % 12));
  std::printf("%s\n%-10s %-4s %6s %6s %6s %6s %6s %8s\n", Name, "order", "of",
              "ops", "intime", "late", "lost", "refl", "wait-ms");
  for (const auto &[Mode, Each] :
       {std::pair("fifo", &Done->Fifo), std::pair("unlimited", &Done->Before),
        std::pair("limited", &Done->Now)}) {
    Each->run(Load);
    for (std::size_t Of = 0; Of < Kinds.size(); ++Of)
      printRow(Mode, "k" + std::to_string(Of), Each->ByKind[Of]);
    printRow(Mode, "w0", Each->ByWorkspace["w0"]);
    printRow(Mode, "w1", Each->ByWorkspace["w1"]);
    if (Each->Transactions.Offered > 0)
      printRow(Mode, "tx", Each->Transactions);
  }
  return Done;
}

} // namespace

// Guards against urgent short statements that wait in the FIFO queue of the
// upstream during a burst, and against losing more than the burst exceeds.
TEST_CASE("replay: a burst of 1.7 times for 3 s", "[replay]") {
  const auto Done = replay("burst", load([](double Second, int /*Workspace*/) {
                             return Second >= 2 && Second < 5 ? 1.7 : 1.0;
                           }));
  CHECK(inTime(Done->Now, 0) >= 990);
  CHECK(answered(Done->Now) * 100 >= answered(Done->Before) * 98);
  CHECK(Done->Now.ByKind[0].LongestWait <= Done->Before.ByKind[0].LongestWait);
}

// Guards against a workspace whose load degrades the service of all others.
TEST_CASE("replay: one workspace at 7.5 times its load for 6.5 s", "[replay]") {
  const auto Done =
      replay("one workspace", load([](double Second, int W) {
               return Second >= 1 && Second < 7.5 && W == 0 ? 7.5 : 1.0;
             }));
  // The upstream is at 115 % of its slots. What the two urgent kinds leave is
  // just the usual load of the least urgent one, without the loud workspace.
  const Count &Quiet = Done->Now.ByWorkspace["w1"];
  const Count &QuietBefore = Done->Before.ByWorkspace["w1"];
  CHECK(Quiet.Served * 100 >= Quiet.Offered * 90);
  CHECK(Quiet.Served > QuietBefore.Served);
  CHECK(inTime(Done->Now, 0) >= 990);
}

// Guards against long reads that displace statements of forty times the value
// per millisecond, and against any kind that starves.
TEST_CASE("replay: three kinds at 1.6 times the load throughout", "[replay]") {
  const auto Done =
      replay("three kinds",
             load([](double /*Second*/, int /*Workspace*/) { return 1.6; }));
  CHECK(inTime(Done->Now, 0) >= 990);
  CHECK(inTime(Done->Now, 1) >= inTime(Done->Before, 1));
  const Count &Reads = Done->Now.ByKind[2];
  CHECK((Reads.Served + Reads.Late) * 100 >= Reads.Offered * 15);
}

// Guards against callers that all return at once, are refused late and come
// back too early.
TEST_CASE("replay: all callers return at once after a restart", "[replay]") {
  std::vector<Arrival> Load =
      load([](double /*Second*/, int /*Workspace*/) { return 1.0; });
  std::vector<Arrival> Returning;
  for (std::size_t I = 0; I < 600; ++I)
    Returning.push_back({Start + 1s, I % 3, "w" + std::to_string(I / 3 % 12)});
  Load.insert(Load.end(), Returning.begin(), Returning.end());
  std::ranges::stable_sort(Load, {}, &Arrival::At);
  const auto Done = replay("restart", Load);
  CHECK(inTime(Done->Now, 0) >= inTime(Done->Before, 0));
  CHECK(answered(Done->Now) * 100 >= answered(Done->Before) * 95);
}

// Guards against an upstream that takes over the load of a lost one and serves
// urgent statements late.
TEST_CASE("replay: a third of the upstreams is gone", "[replay]") {
  const auto Done =
      replay("third gone", load([](double Second, int /*Workspace*/) {
               return Second >= 2 && Second < 6 ? 1.5 : 1.0;
             }));
  CHECK(inTime(Done->Now, 0) >= 990);
  CHECK(answered(Done->Now) * 100 >= answered(Done->Before) * 98);
}

// Guards against transactions that use up slots while their callers think, and
// against statements of transactions that wait behind new work or starve it.
TEST_CASE("replay: many transactions with pauses", "[replay]") {
  const auto Done = replay(
      "transactions",
      load([](double /*Second*/, int /*Workspace*/) { return 1.1; }), 60);
  const Count &Now = Done->Now.Transactions;
  const Count &Before = Done->Before.Transactions;
  CHECK(Now.Served * 100 >= Now.Offered * 95);
  CHECK(Now.Served >= Before.Served);
  CHECK(Now.LongestWait <= Before.LongestWait);
  CHECK(inTime(Done->Now, 0) >= 980);
  CHECK(answered(Done->Now) * 100 >= answered(Done->Before) * 95);
}
