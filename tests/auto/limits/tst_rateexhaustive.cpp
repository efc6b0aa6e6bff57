#include "limits/rateclient.h"
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
  /// A TimePoint is the answer to a heartbeat and holds the end of the lease.
  std::variant<GrantRequest, GrantAnswer, LoanRequest, LoanAnswer, TimePoint>
      Body;
  auto operator<=>(const Message &) const = default;
};

/// The events that a search may choose from, and its length.
struct Scenario {
  std::string Name;
  unsigned Domains = 1; ///< Failure domains of the two owners, A and B.
  std::vector<std::string> EntryHosts;
  int Ticks = 3;
  std::size_t MaxMessages = 2;
  unsigned MaxRequests = 2;          ///< Per entry host and tick.
  bool OwnerMoves = false;           ///< From A to B, within one domain.
  bool OwnerRestarts = false;        ///< Host A may restart.
  bool EntryRestarts = false;        ///< The first entry host may restart.
  std::uint64_t NextIncarnation = 2; ///< Of a restarted host.
  Duration Lease = 2 * Tick;
  RateOwnerTimes Owner{
      .Handover = 2 * Tick, .GrantValidity = 2 * Tick, .LoanValidity = Tick};
  RateClientTimes Client{.AnswerTimeout = 2 * Tick,
                         .OwnerAvoidance = Tick,
                         .InitialBackoff = Tick,
                         .MaxBackoff = Tick,
                         .ReportInterval = 2 * Tick,
                         .ReturnMargin = {}};
  bool LeaseEnds = true;
};

/// Stores one copy of each value, so that states can share and compare
/// pointers.
template <typename T> class Interned {
public:
  const T *operator()(T Value) {
    return &*this->Values.insert(std::move(Value)).first;
  }

private:
  std::set<T> Values;
};

/// The complete state of the simulated system. Times are absolute.
struct SystemState {
  std::int64_t ReferenceTokens =
      0; ///< Level of the reference bucket, in tokens.
  std::array<const RateOwner *, 2> Owners{};
  std::vector<const RateClient *>
      Clients; ///< Same order as Scenario::EntryHosts.
  std::vector<const Message *>
      Messages;               ///< In flight; any may be delivered next. Sorted.
  bool RemovalAgreed = false; ///< Removal of owner A is decided.
  bool OwnerMoved = false;
  bool OwnerRestarted = false;
  bool EntryRestarted = false;
  bool MessageDuplicated = false;
  bool HeartbeatSent = false;         ///< Sent in this tick.
  std::vector<unsigned> RequestsSent; ///< Per entry host in this tick.
  std::uint32_t NewOwnerKnown =
      0; ///< Bit set of the entry hosts that know the new owner.
  auto operator<=>(const SystemState &) const = default;
};

/// Visits all states that a scenario can reach, with every order of events.
class Search {
public:
  explicit Search(const Scenario &Config) : Config(Config) {}

  /// Visits all states.
  /// \returns false if rate and burst were exceeded.
  bool run() {
    std::set<SystemState> Layer = {this->initialState()};
    for (int I = 0; I <= this->Config.Ticks && !this->Violated; ++I) {
      this->exploreLayer(Layer);
      this->Visited += Layer.size();
      this->Now += Tick;
      std::set<SystemState> Next;
      for (const SystemState &From : Layer)
        this->advanceTick(From, 0, Next);
      Layer = std::move(Next);
    }
    return !this->Violated;
  }

  std::size_t visited() const { return this->Visited; }
  std::size_t spent() const { return this->SpendCount; }

private:
  // Each domain accrues one token per tick and holds at most two.
  std::uint32_t rate() const { return 10 * this->Config.Domains; }
  std::int64_t burst() const { return 2 * std::int64_t(this->Config.Domains); }

  static std::size_t ownerIndex(const std::string &Name) {
    return Name == "A" ? 0 : 1;
  }

  std::size_t entryIndex(const std::string &Name) const {
    const auto &Names = this->Config.EntryHosts;
    return std::size_t(std::find(Names.begin(), Names.end(), Name) -
                       Names.begin());
  }

  void configure(RateOwner &Owner, std::uint64_t Epoch, TimePoint At) const {
    Owner.configure("w", {this->rate(), std::uint32_t(this->burst())},
                    {1, this->Config.Domains}, Epoch, At);
  }

  SystemState initialState() {
    SystemState Start;
    Start.ReferenceTokens = this->burst();
    // Configured early enough that both buckets are full at the start.
    const TimePoint Before = this->Now - 100 * Tick;
    for (const std::string Name : {"A", "B"}) {
      RateOwner Owner(Name, 1, this->Config.Owner);
      if (Name == "A" || this->Config.Domains == 2) {
        this->configure(Owner, 1, Before);
        Owner.setLenders("w", {Name == "A" ? "B" : "A"});
        this->renew(Owner, Before, 100 * Tick + this->Config.Lease);
      }
      Start.Owners[ownerIndex(Name)] = this->OwnerPool(std::move(Owner));
    }
    for (const std::string &Name : this->Config.EntryHosts)
      Start.Clients.push_back(this->ClientPool(this->makeClient(Name, 1)));
    Start.RequestsSent.resize(this->Config.EntryHosts.size());
    return Start;
  }

  RateClient makeClient(const std::string &Name,
                        std::uint64_t Incarnation) const {
    RateClient Fresh("w", Name, Incarnation, this->Config.Client);
    Fresh.setOwners({Name == "C" ? "B" : "A"}, 1);
    return Fresh;
  }

  void renew(RateOwner &Owner, TimePoint At, Duration Length) const {
    Owner.renewLease(this->Config.LeaseEnds ? At + Length : TimePoint::max(),
                     At);
  }

  /// Advances the time by one tick. Any subset of the messages may be lost
  /// before it.
  void advanceTick(SystemState From, std::size_t FirstKept,
                   std::set<SystemState> &Next) {
    for (std::size_t I = FirstKept; I < From.Messages.size(); ++I) {
      SystemState Lost = From;
      Lost.Messages.erase(Lost.Messages.begin() + std::ptrdiff_t(I));
      this->advanceTick(std::move(Lost), I, Next);
    }
    From.ReferenceTokens =
        std::min(this->burst(),
                 From.ReferenceTokens + std::int64_t(this->Config.Domains));
    From.HeartbeatSent = false;
    From.RequestsSent.assign(From.RequestsSent.size(), 0);
    // Only the lease of A may expire, because only A is replaced.
    RateOwner Owner = *From.Owners[1];
    this->renew(Owner, this->Now, 100 * Tick);
    From.Owners[1] = this->OwnerPool(std::move(Owner));
    Next.insert(std::move(From));
  }

  /// Adds all states to \p Layer that are reachable within the current tick.
  void exploreLayer(std::set<SystemState> &Layer) {
    std::vector<SystemState> Open(Layer.begin(), Layer.end());
    while (!Open.empty() && !this->Violated) {
      const SystemState From = std::move(Open.back());
      Open.pop_back();
      std::vector<SystemState> Next;
      this->spend(From, Next);
      this->checkSpendable(From);
      this->requestTokens(From, Next);
      this->deliver(From, Next);
      this->changeOwners(From, Next);
      for (SystemState &To : Next)
        if (Layer.insert(To).second)
          Open.push_back(std::move(To));
    }
  }

  void spend(const SystemState &From, std::vector<SystemState> &Next) {
    for (std::size_t I = 0; I < From.Clients.size(); ++I) {
      RateClient Client = *From.Clients[I];
      if (Client.trySpend(this->Now, this->Now, SpendAttempt::Retry).Kind !=
          SpendKind::Spent)
        continue;
      ++this->SpendCount;
      SystemState To = From;
      if (--To.ReferenceTokens < 0)
        this->Violated = true;
      To.Clients[I] = this->ClientPool(std::move(Client));
      Next.push_back(std::move(To));
    }
  }

  /// With two domains, checks that the tokens in all buckets and at all entry
  /// hosts, which could be spent at the same time, do not exceed the reference
  /// bucket.
  void checkSpendable(const SystemState &From) {
    if (this->Config.Domains == 1)
      return;
    Microtokens Sum = 0;
    for (const RateOwner *Each : From.Owners)
      Sum += RateOwner(*Each).available("w", this->Now);
    for (const RateClient *Each : From.Clients)
      Sum += Each->held(this->Now) * MicrotokensPerToken;
    if (Sum > From.ReferenceTokens * MicrotokensPerToken)
      this->Violated = true;
  }

  void requestTokens(const SystemState &From, std::vector<SystemState> &Next) {
    if (From.Messages.size() >= this->Config.MaxMessages)
      return;
    for (std::size_t I = 0; I < From.Clients.size(); ++I) {
      if (From.RequestsSent[I] >= this->Config.MaxRequests)
        continue;
      RateClient Client = *From.Clients[I];
      if (Client.held(this->Now) == 0)
        Client.trySpend(this->Now, TimePoint::max(), SpendAttempt::Retry);
      std::optional<AddressedGrantRequest> Sent = Client.poll(this->Now);
      if (!Sent)
        continue;
      if (Sent->Request.Wanted > 0)
        Sent->Request.Wanted = 2;
      SystemState To = From;
      ++To.RequestsSent[I];
      To.Clients[I] = this->ClientPool(std::move(Client));
      this->send(To, {Sent->Owner, this->Config.EntryHosts[I], Sent->Request});
      Next.push_back(std::move(To));
    }
  }

  void deliver(const SystemState &From, std::vector<SystemState> &Next) {
    for (std::size_t I = 0; I < From.Messages.size(); ++I) {
      const Message &Each = *From.Messages[I];
      SystemState To = From;
      To.Messages.erase(To.Messages.begin() + std::ptrdiff_t(I));
      this->handle(To, Each);
      Next.push_back(std::move(To));
      if (From.MessageDuplicated ||
          std::holds_alternative<TimePoint>(Each.Body))
        continue;
      SystemState Duplicated = From;
      Duplicated.MessageDuplicated = true;
      this->handle(Duplicated, Each);
      Next.push_back(std::move(Duplicated));
    }
  }

  void handle(SystemState &To, const Message &Each) {
    if (const auto *Grant = std::get_if<GrantAnswer>(&Each.Body)) {
      const std::size_t Entry = this->entryIndex(Each.To);
      RateClient Client = *To.Clients[Entry];
      Client.receive(Each.From, *Grant, this->Now);
      To.Clients[Entry] = this->ClientPool(std::move(Client));
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
    if (this->Config.Domains > 1)
      for (const AddressedLoanRequest &Loan : Owner.pollLoans("w", this->Now))
        this->send(To, {Loan.Lender, Each.To, Loan.Request});
    To.Owners[ownerIndex(Each.To)] = this->OwnerPool(std::move(Owner));
  }

  void send(SystemState &To, Message Sent) {
    const Message *Kept = this->MessagePool(std::move(Sent));
    const auto Place = std::upper_bound(To.Messages.begin(), To.Messages.end(),
                                        Kept, std::less<const Message *>());
    To.Messages.insert(Place, Kept);
  }

  /// Applies heartbeats of A, its removal, restarts, and entry hosts that learn
  /// of the new owner.
  void changeOwners(const SystemState &From, std::vector<SystemState> &Next) {
    const auto Step = [&](bool Allowed, auto Change) {
      if (!Allowed)
        return;
      Next.push_back(From);
      Change(Next.back());
    };
    Step(!From.RemovalAgreed && !From.HeartbeatSent && this->Config.LeaseEnds &&
             From.Messages.size() < this->Config.MaxMessages,
         [&](SystemState &To) {
           To.HeartbeatSent = true;
           this->send(To, {"A", "B", this->Now + this->Config.Lease});
         });
    Step(this->Config.OwnerMoves && !From.RemovalAgreed,
         [](SystemState &To) { To.RemovalAgreed = true; });
    Step(From.RemovalAgreed && !From.OwnerMoved, [&](SystemState &To) {
      To.OwnerMoved = true;
      RateOwner Owner = *To.Owners[1];
      this->configure(Owner, 2, this->Now);
      To.Owners[1] = this->OwnerPool(std::move(Owner));
    });
    Step(this->Config.OwnerRestarts && !From.OwnerRestarted,
         [&](SystemState &To) {
           To.OwnerRestarted = true;
           RateOwner Owner("A", this->Config.NextIncarnation,
                           this->Config.Owner);
           this->configure(Owner, 1, this->Now);
           this->renew(Owner, this->Now, this->Config.Lease);
           To.Owners[0] = this->OwnerPool(std::move(Owner));
         });
    Step(this->Config.EntryRestarts && !From.EntryRestarted,
         [&](SystemState &To) {
           To.EntryRestarted = true;
           To.Clients[0] = this->ClientPool(this->makeClient(
               this->Config.EntryHosts.front(), this->Config.NextIncarnation));
         });
    for (std::size_t I = 0; I < From.Clients.size(); ++I)
      Step(From.OwnerMoved && (From.NewOwnerKnown >> I & 1) == 0,
           [&](SystemState &To) {
             To.NewOwnerKnown |= 1U << I;
             RateClient Client = *To.Clients[I];
             Client.setOwners({"B"}, 2);
             To.Clients[I] = this->ClientPool(std::move(Client));
           });
  }

  const Scenario &Config;
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  Interned<RateOwner> OwnerPool;
  Interned<RateClient> ClientPool;
  Interned<Message> MessagePool;
  std::size_t Visited = 0;
  std::size_t SpendCount = 0;
  bool Violated = false;
};

bool staysWithinLimit(const Scenario &Config) {
  Search All(Config);
  const bool WithinLimit = All.run();
  std::cout << Config.Name << ": " << All.visited() << " states, "
            << All.spent() << " spends, "
            << (WithinLimit ? "within" : "exceeds") << " rate and burst\n";
  return WithinLimit;
}

Scenario movingOwner() {
  Scenario Config;
  Config.Name = "2 hosts, owner moves";
  Config.EntryHosts = {"B"};
  Config.OwnerMoves = true;
  return Config;
}

Scenario ownerRestart() {
  Scenario Config;
  Config.Name = "2 hosts, owner restarts";
  Config.EntryHosts = {"B"};
  Config.OwnerRestarts = true;
  return Config;
}

Scenario entryRestart() {
  Scenario Config;
  Config.Name = "2 hosts, entry host restarts";
  Config.EntryHosts = {"B"};
  Config.EntryRestarts = true;
  Config.LeaseEnds =
      false; // The owner does not change; limits the state space.
  return Config;
}

/// Tokens are returned one tick before they expire.
Scenario returnedTokens() {
  Scenario Config = entryRestart();
  Config.Name = "2 hosts, tokens returned";
  Config.Owner.GrantValidity = 4 * Tick;
  Config.Client.ReturnMargin = Tick;
  return Config;
}

/// A loan can be in flight for two ticks, during which the lender could accrue
/// the lent tokens a second time.
Scenario loans() {
  Scenario Config;
  Config.Name = "3 hosts, 2 domains with loans";
  Config.Domains = 2;
  Config.EntryHosts = {"C"};
  Config.Client.InitialBackoff = Config.Client.MaxBackoff = {};
  Config.LeaseEnds = false; // Limits the state space.
  Config.Owner.Handover = 4 * Tick;
  Config.Owner.LoanValidity = 3 * Tick;
  return Config;
}

Scenario lenderRestart() {
  Scenario Config = loans();
  Config.Name += ", lender restarts";
  Config.OwnerRestarts = true;
  Config.Ticks = 2;
  return Config;
}

Scenario named(Scenario Config, const std::string &Change) {
  Config.Name += ", " + Change;
  return Config;
}

} // namespace

// Guards against spending more than rate x window + burst in any order of
// messages, losses, duplicates and pauses.
TEST_CASE("every event order stays within rate and burst: owner moves",
          "[rate]") {
  CHECK(staysWithinLimit(movingOwner()));
}

TEST_CASE("every event order stays within rate and burst: owner restarts",
          "[rate]") {
  CHECK(staysWithinLimit(ownerRestart()));
}

TEST_CASE("every event order stays within rate and burst: entry host",
          "[rate]") {
  CHECK(staysWithinLimit(entryRestart()));
  CHECK(staysWithinLimit(returnedTokens()));
}

TEST_CASE("every event order stays within rate and burst: loans", "[rate]") {
  CHECK(staysWithinLimit(loans()));
  CHECK(staysWithinLimit(lenderRestart()));
}

// Guards against a search that cannot detect violations: each rule on which the
// bound depends is disabled in turn.
TEST_CASE("the search finds the fault when a rule is left out", "[rate]") {
  Scenario NoWait = named(movingOwner(), "no handover wait");
  NoWait.Owner.Handover = {};
  CHECK_FALSE(staysWithinLimit(NoWait));

  Scenario NoLease = named(movingOwner(), "lease never ends");
  NoLease.LeaseEnds = false;
  CHECK_FALSE(staysWithinLimit(NoLease));

  Scenario NoRestartWait = named(ownerRestart(), "no wait after the restart");
  NoRestartWait.Owner.Handover = {};
  CHECK_FALSE(staysWithinLimit(NoRestartWait));

  Scenario SameProcess = named(entryRestart(), "incarnation not changed");
  SameProcess.NextIncarnation = 1;
  CHECK_FALSE(staysWithinLimit(SameProcess));

  Scenario NoExpiry = named(entryRestart(), "expiry not checked");
  NoExpiry.Client.ExpiryChecked = false;
  CHECK_FALSE(staysWithinLimit(NoExpiry));

  Scenario NotCounted = named(entryRestart(), "outstanding not counted");
  NotCounted.Owner.GrantCounting = 0;
  CHECK_FALSE(staysWithinLimit(NotCounted));

  Scenario LoanNotCounted = named(loans(), "loans not counted");
  LoanNotCounted.Owner.LoanCounting = 0;
  CHECK_FALSE(staysWithinLimit(LoanNotCounted));

  Scenario NoLenderWait = named(lenderRestart(), "no wait after the restart");
  NoLenderWait.Owner.Handover = {};
  CHECK_FALSE(staysWithinLimit(NoLenderWait));
}
