#include "limits/ratedrawer.h"
#include "limits/rateowner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <optional>
#include <set>
#include <variant>

using namespace lavenderdale;
using std::chrono::milliseconds;

namespace {

constexpr Duration Tick = milliseconds(100);

struct Message {
  std::string To;
  std::string From;
  /// A TimePoint is the answer to a heartbeat: the end of the lease.
  std::variant<GrantRequest, GrantAnswer, LoanRequest, LoanAnswer, TimePoint>
      Body;
  auto operator<=>(const Message &) const = default;
};

/// What may happen in a search, and how long.
struct Scenario {
  std::string Name;
  unsigned Domains = 1; ///< Of two owners, A and B.
  std::vector<std::string> Entries;
  int Ticks = 3;
  std::size_t MostMessages = 2;
  unsigned MostDraws = 2;            ///< Of an entry host in a tick.
  bool OwnerMoves = false;           ///< From A to B, in one domain.
  bool OwnerRestarts = false;        ///< Host A.
  bool EntryRestarts = false;        ///< The first entry host.
  std::uint64_t NextIncarnation = 2; ///< Of a restarted host.
  Duration Lease = 2 * Tick;
  RateOwnerTimes Owner{
      .Handover = 2 * Tick, .GrantValidity = 2 * Tick, .LoanValidity = Tick};
  RateDrawerTimes Drawer{.AnswerTimeout = 2 * Tick,
                         .OwnerAvoidance = Tick,
                         .ShortPause = Tick,
                         .LongestPause = Tick,
                         .ReportInterval = 2 * Tick,
                         .ReturnMargin = {}};
  bool LeaseEnds = true;
};

/// Keeps one copy of each value, so that states share and compare pointers.
template <typename T> class Interned {
public:
  const T *operator()(T Value) {
    return &*this->Values.insert(std::move(Value)).first;
  }

private:
  std::set<T> Values;
};

/// Everything that decides what can follow. Times are absolute.
struct World {
  std::int64_t Level = 0; ///< Reference bucket of rate and burst, in tokens.
  std::array<const RateOwner *, 2> Owners{};
  std::vector<const RateDrawer *> Drawers; ///< In the order of Entries.
  std::vector<const Message *> Messages;   ///< Sorted: any may be the next.
  bool Agreed = false;                     ///< On the removal of owner A.
  bool Moved = false;
  bool OwnerRestarted = false;
  bool EntryRestarted = false;
  bool Repeated = false;
  bool BeatSent = false;       ///< In this tick.
  std::vector<unsigned> Draws; ///< Of each entry host in this tick.
  std::uint32_t Learned = 0;   ///< Bits of the entry hosts that know the move.
  auto operator<=>(const World &) const = default;
};

class Search {
public:
  explicit Search(const Scenario &Of) : Of(Of) {}

  /// Visits all states. \returns false if more was spent than allowed.
  bool run() {
    std::set<World> Layer = {this->first()};
    for (int I = 0; I <= this->Of.Ticks && !this->Violated; ++I) {
      this->close(Layer);
      this->Visited += Layer.size();
      this->Now += Tick;
      std::set<World> Next;
      for (const World &From : Layer)
        this->tick(From, 0, Next);
      Layer = std::move(Next);
    }
    return !this->Violated;
  }

  std::size_t visited() const { return this->Visited; }
  std::size_t spent() const { return this->Spends; }

private:
  // Each domain accrues one token in a tick and holds at most two.
  std::uint32_t rate() const { return 10 * this->Of.Domains; }
  std::int64_t burst() const { return 2 * std::int64_t(this->Of.Domains); }

  static std::size_t ownerIndex(const std::string &Name) {
    return Name == "A" ? 0 : 1;
  }

  std::size_t entryIndex(const std::string &Name) const {
    const auto &Names = this->Of.Entries;
    return std::size_t(std::find(Names.begin(), Names.end(), Name) -
                       Names.begin());
  }

  void configure(RateOwner &Owner, std::uint64_t Epoch, TimePoint At) const {
    Owner.configure("w", {this->rate(), std::uint32_t(this->burst())},
                    {1, this->Of.Domains}, Epoch, At);
  }

  World first() {
    World Start;
    Start.Level = this->burst();
    // Both buckets are full at the start.
    const TimePoint Before = this->Now - 100 * Tick;
    for (const std::string Name : {"A", "B"}) {
      RateOwner Owner(Name, 1, this->Of.Owner);
      if (Name == "A" || this->Of.Domains == 2) {
        this->configure(Owner, 1, Before);
        Owner.setLenders("w", {Name == "A" ? "B" : "A"});
        this->renew(Owner, Before, 100 * Tick + this->Of.Lease);
      }
      Start.Owners[ownerIndex(Name)] = this->OwnerPool(std::move(Owner));
    }
    for (const std::string &Name : this->Of.Entries)
      Start.Drawers.push_back(this->DrawerPool(this->drawer(Name, 1)));
    Start.Draws.resize(this->Of.Entries.size());
    return Start;
  }

  RateDrawer drawer(const std::string &Name, std::uint64_t Incarnation) const {
    RateDrawer Fresh("w", Name, Incarnation, this->Of.Drawer);
    Fresh.setOwners({Name == "C" ? "B" : "A"}, 1);
    return Fresh;
  }

  void renew(RateOwner &Owner, TimePoint At, Duration Length) const {
    Owner.renewLease(this->Of.LeaseEnds ? At + Length : TimePoint::max(), At);
  }

  /// Each message may be lost before the tick.
  void tick(World From, std::size_t FirstKept, std::set<World> &Next) {
    for (std::size_t I = FirstKept; I < From.Messages.size(); ++I) {
      World Lost = From;
      Lost.Messages.erase(Lost.Messages.begin() + std::ptrdiff_t(I));
      this->tick(std::move(Lost), I, Next);
    }
    From.Level =
        std::min(this->burst(), From.Level + std::int64_t(this->Of.Domains));
    From.BeatSent = false;
    From.Draws.assign(From.Draws.size(), 0);
    // Only the lease of A runs out: it is the one that is replaced.
    RateOwner Owner = *From.Owners[1];
    this->renew(Owner, this->Now, 100 * Tick);
    From.Owners[1] = this->OwnerPool(std::move(Owner));
    Next.insert(std::move(From));
  }

  void close(std::set<World> &Layer) {
    std::vector<World> Open(Layer.begin(), Layer.end());
    while (!Open.empty() && !this->Violated) {
      const World From = std::move(Open.back());
      Open.pop_back();
      std::vector<World> Next;
      this->spend(From, Next);
      this->checkSpendable(From);
      this->draw(From, Next);
      this->deliver(From, Next);
      this->changeOwners(From, Next);
      for (World &To : Next)
        if (Layer.insert(To).second)
          Open.push_back(std::move(To));
    }
  }

  void spend(const World &From, std::vector<World> &Next) {
    for (std::size_t I = 0; I < From.Drawers.size(); ++I) {
      RateDrawer Drawer = *From.Drawers[I];
      if (Drawer.trySpend(this->Now, this->Now, SpendAttempt::Again).Kind !=
          SpendKind::Spent)
        continue;
      ++this->Spends;
      World To = From;
      if (--To.Level < 0)
        this->Violated = true;
      To.Drawers[I] = this->DrawerPool(std::move(Drawer));
      Next.push_back(std::move(To));
    }
  }

  /// With two domains, entry hosts of both could spend all at once what is in
  /// the buckets and held.
  void checkSpendable(const World &From) {
    if (this->Of.Domains == 1)
      return;
    Microtokens Sum = 0;
    for (const RateOwner *Each : From.Owners)
      Sum += RateOwner(*Each).available("w", this->Now);
    for (const RateDrawer *Each : From.Drawers)
      Sum += Each->held(this->Now) * MicrotokensPerToken;
    if (Sum > From.Level * MicrotokensPerToken)
      this->Violated = true;
  }

  void draw(const World &From, std::vector<World> &Next) {
    if (From.Messages.size() >= this->Of.MostMessages)
      return;
    for (std::size_t I = 0; I < From.Drawers.size(); ++I) {
      if (From.Draws[I] >= this->Of.MostDraws)
        continue;
      RateDrawer Drawer = *From.Drawers[I];
      if (Drawer.held(this->Now) == 0)
        Drawer.trySpend(this->Now, TimePoint::max(), SpendAttempt::Again);
      std::optional<DrawRequest> Draw = Drawer.poll(this->Now);
      if (!Draw)
        continue;
      if (Draw->Request.Wanted > 0)
        Draw->Request.Wanted = 2;
      World To = From;
      ++To.Draws[I];
      To.Drawers[I] = this->DrawerPool(std::move(Drawer));
      this->send(To, {Draw->Owner, this->Of.Entries[I], Draw->Request});
      Next.push_back(std::move(To));
    }
  }

  void deliver(const World &From, std::vector<World> &Next) {
    for (std::size_t I = 0; I < From.Messages.size(); ++I) {
      const Message &Each = *From.Messages[I];
      World To = From;
      To.Messages.erase(To.Messages.begin() + std::ptrdiff_t(I));
      this->handle(To, Each);
      Next.push_back(std::move(To));
      if (From.Repeated || std::holds_alternative<TimePoint>(Each.Body))
        continue;
      World Twice = From;
      Twice.Repeated = true;
      this->handle(Twice, Each);
      Next.push_back(std::move(Twice));
    }
  }

  void handle(World &To, const Message &Each) {
    if (const auto *Grant = std::get_if<GrantAnswer>(&Each.Body)) {
      const std::size_t Entry = this->entryIndex(Each.To);
      RateDrawer Drawer = *To.Drawers[Entry];
      Drawer.receive(Each.From, *Grant, this->Now);
      To.Drawers[Entry] = this->DrawerPool(std::move(Drawer));
      return;
    }
    RateOwner Owner = *To.Owners[ownerIndex(Each.To)];
    if (const auto *Until = std::get_if<TimePoint>(&Each.Body))
      Owner.renewLease(*Until, this->Now);
    if (const auto *Loan = std::get_if<LoanAnswer>(&Each.Body))
      Owner.receiveLoan(Each.From, *Loan, this->Now);
    if (const auto *Grant = std::get_if<GrantRequest>(&Each.Body))
      this->send(To, {Each.From, Each.To, Owner.grant(*Grant, this->Now)});
    if (const auto *Loan = std::get_if<LoanRequest>(&Each.Body))
      this->send(To, {Each.From, Each.To, Owner.lend(*Loan, this->Now)});
    if (this->Of.Domains > 1)
      for (const LoanDraw &Loan : Owner.loansWanted("w", this->Now))
        this->send(To, {Loan.Lender, Each.To, Loan.Request});
    To.Owners[ownerIndex(Each.To)] = this->OwnerPool(std::move(Owner));
  }

  void send(World &To, Message Sent) {
    const Message *Kept = this->MessagePool(std::move(Sent));
    const auto Place = std::upper_bound(To.Messages.begin(), To.Messages.end(),
                                        Kept, std::less<const Message *>());
    To.Messages.insert(Place, Kept);
  }

  /// Heartbeats of A, its removal, restarts, and hosts that learn of the move.
  void changeOwners(const World &From, std::vector<World> &Next) {
    const auto Step = [&](bool Allowed, auto Change) {
      if (!Allowed)
        return;
      Next.push_back(From);
      Change(Next.back());
    };
    Step(!From.Agreed && !From.BeatSent && this->Of.LeaseEnds &&
             From.Messages.size() < this->Of.MostMessages,
         [&](World &To) {
           To.BeatSent = true;
           this->send(To, {"A", "B", this->Now + this->Of.Lease});
         });
    Step(this->Of.OwnerMoves && !From.Agreed,
         [](World &To) { To.Agreed = true; });
    Step(From.Agreed && !From.Moved, [&](World &To) {
      To.Moved = true;
      RateOwner Owner = *To.Owners[1];
      this->configure(Owner, 2, this->Now);
      To.Owners[1] = this->OwnerPool(std::move(Owner));
    });
    Step(this->Of.OwnerRestarts && !From.OwnerRestarted, [&](World &To) {
      To.OwnerRestarted = true;
      RateOwner Owner("A", this->Of.NextIncarnation, this->Of.Owner);
      this->configure(Owner, 1, this->Now);
      this->renew(Owner, this->Now, this->Of.Lease);
      To.Owners[0] = this->OwnerPool(std::move(Owner));
    });
    Step(this->Of.EntryRestarts && !From.EntryRestarted, [&](World &To) {
      To.EntryRestarted = true;
      To.Drawers[0] = this->DrawerPool(
          this->drawer(this->Of.Entries.front(), this->Of.NextIncarnation));
    });
    for (std::size_t I = 0; I < From.Drawers.size(); ++I)
      Step(From.Moved && (From.Learned >> I & 1) == 0, [&](World &To) {
        To.Learned |= 1U << I;
        RateDrawer Drawer = *To.Drawers[I];
        Drawer.setOwners({"B"}, 2);
        To.Drawers[I] = this->DrawerPool(std::move(Drawer));
      });
  }

  const Scenario &Of;
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  Interned<RateOwner> OwnerPool;
  Interned<RateDrawer> DrawerPool;
  Interned<Message> MessagePool;
  std::size_t Visited = 0;
  std::size_t Spends = 0;
  bool Violated = false;
};

bool holds(const Scenario &Of) {
  Search All(Of);
  const bool Holds = All.run();
  std::cout << Of.Name << ": " << All.visited() << " states, " << All.spent()
            << " spends, " << (Holds ? "within" : "above")
            << " rate and burst\n";
  return Holds;
}

Scenario movingOwner() {
  Scenario Of;
  Of.Name = "2 hosts, owner moves";
  Of.Entries = {"B"};
  Of.OwnerMoves = true;
  return Of;
}

Scenario ownerRestart() {
  Scenario Of;
  Of.Name = "2 hosts, owner restarts";
  Of.Entries = {"B"};
  Of.OwnerRestarts = true;
  return Of;
}

Scenario entryRestart() {
  Scenario Of;
  Of.Name = "2 hosts, entry host restarts";
  Of.Entries = {"B"};
  Of.EntryRestarts = true;
  Of.LeaseEnds = false; // The owner stays; keeps the number of states low.
  return Of;
}

/// Tokens are given back a tick before they expire.
Scenario returns() {
  Scenario Of = entryRestart();
  Of.Name = "2 hosts, tokens given back";
  Of.Owner.GrantValidity = 4 * Tick;
  Of.Drawer.ReturnMargin = Tick;
  return Of;
}

/// A loan can be under way for two ticks, in which the lender could accrue
/// what it lent a second time.
Scenario loans() {
  Scenario Of;
  Of.Name = "3 hosts, 2 domains with loans";
  Of.Domains = 2;
  Of.Entries = {"C"};
  Of.Drawer.ShortPause = Of.Drawer.LongestPause = {};
  Of.LeaseEnds = false; // Keeps the number of states low.
  Of.Owner.Handover = 4 * Tick;
  Of.Owner.LoanValidity = 3 * Tick;
  return Of;
}

Scenario lenderRestart() {
  Scenario Of = loans();
  Of.Name += ", lender restarts";
  Of.OwnerRestarts = true;
  Of.Ticks = 2;
  return Of;
}

Scenario named(Scenario Of, const std::string &Change) {
  Of.Name += ", " + Change;
  return Of;
}

} // namespace

// Guards against more than rate x window + burst in any order of messages,
// losses, repeats and pauses.
TEST_CASE("no order spends above rate and burst: owner moves", "[rate]") {
  CHECK(holds(movingOwner()));
}

TEST_CASE("no order spends above rate and burst: owner restarts", "[rate]") {
  CHECK(holds(ownerRestart()));
}

TEST_CASE("no order spends above rate and burst: entry host", "[rate]") {
  CHECK(holds(entryRestart()));
  CHECK(holds(returns()));
}

TEST_CASE("no order spends above rate and burst: loans", "[rate]") {
  CHECK(holds(loans()));
  CHECK(holds(lenderRestart()));
}

// Guards against a search that cannot find a violation: each rule that the
// bound rests on is switched off in turn.
TEST_CASE("the search finds the fault when a rule is left out", "[rate]") {
  Scenario NoWait = named(movingOwner(), "no handover wait");
  NoWait.Owner.Handover = {};
  CHECK_FALSE(holds(NoWait));

  Scenario NoLease = named(movingOwner(), "lease never ends");
  NoLease.LeaseEnds = false;
  CHECK_FALSE(holds(NoLease));

  Scenario NoRestartWait = named(ownerRestart(), "no wait after it");
  NoRestartWait.Owner.Handover = {};
  CHECK_FALSE(holds(NoRestartWait));

  Scenario SameProcess = named(entryRestart(), "incarnation not changed");
  SameProcess.NextIncarnation = 1;
  CHECK_FALSE(holds(SameProcess));

  Scenario NoExpiry = named(entryRestart(), "expiry not checked");
  NoExpiry.Drawer.ExpiryChecked = false;
  CHECK_FALSE(holds(NoExpiry));

  Scenario NotCounted = named(entryRestart(), "outstanding not counted");
  NotCounted.Owner.GrantCounting = 0;
  CHECK_FALSE(holds(NotCounted));

  Scenario LoanNotCounted = named(loans(), "loans not counted");
  LoanNotCounted.Owner.LoanCounting = 0;
  CHECK_FALSE(holds(LoanNotCounted));

  Scenario NoLenderWait = named(lenderRestart(), "no wait after it");
  NoLenderWait.Owner.Handover = {};
  CHECK_FALSE(holds(NoLenderWait));
}
