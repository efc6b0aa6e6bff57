#include "limits/memorybudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

using Use = MemoryBudget::Use;
using Grant = MemoryBudget::Grant;
using Role = MemoryBudget::Role;

constexpr std::size_t MegaByte = std::size_t{1} << 20;
constexpr TimePoint Start{1000s};

/// Connections that end when the budget closes them, one step later.
struct Connections {
  explicit Connections(MemoryBudget &Budget) : Budget(Budget) {}

  struct Connection {
    std::unique_ptr<MemoryBudget::Account> Account;
    bool Closed = false;
  };

  MemoryBudget::Account &open(const std::string &Owner) {
    auto &Added = this->All.emplace_back(std::make_unique<Connection>());
    Connection *Place = Added.get();
    Added->Account = std::make_unique<MemoryBudget::Account>(
        this->Budget, Role::Caller, Owner, [Place] { Place->Closed = true; });
    return *Added->Account;
  }

  void endClosed() {
    for (std::size_t Each = this->All.size(); Each-- > 0;)
      if (this->All[Each]->Closed)
        this->All.erase(this->All.begin() + static_cast<std::ptrdiff_t>(Each));
  }

  MemoryBudget &Budget;
  std::vector<std::unique_ptr<Connection>> All;
};

} // namespace

// Guards against a division that leaves a small host without room for one
// large message, or that promises more than half of the memory.
TEST_CASE("limits follow from the memory and the descriptors", "[memory]") {
  struct Row {
    std::size_t Megabytes;
    std::size_t Descriptors;
  };
  for (const Row &Each : std::vector<Row>{
           {0, 0}, {1, 1}, {64, 600}, {112, 3010}, {160, 4300}, {512, 8192}}) {
    const std::size_t Memory =
        std::max(Each.Megabytes == 0 ? MemoryBudget::DefaultMemory
                                     : Each.Megabytes * MegaByte,
                 MemoryBudget::MinMemory);
    const MemoryBudget::Limits Limits =
        MemoryBudget::limitsFor(Each.Megabytes * MegaByte, Each.Descriptors);
    std::size_t Sum = (Limits.Connections[0] + Limits.Connections[1]) *
                      MemoryBudget::ConnectionBytes;
    for (const std::size_t Part : Limits.Bytes)
      Sum += Part;
    CHECK(Sum <= Memory / 2);
    CHECK(Limits.Connections[0] >= 75);
    // A message of the largest size is held four times while it is run.
    CHECK(Limits.Bytes[static_cast<std::size_t>(Use::Receiving)] >=
          4 * MegaByte);
    if (Each.Descriptors > 300)
      CHECK(Limits.Connections[0] + Limits.Connections[1] +
                MemoryBudget::FileDescriptors <
            Each.Descriptors);
  }
}

// Load pattern: callers of a few owners reserve and give back at random, stop
// halfway, work, and open connections.
// Guards against a sum beyond the limits, against counts that drift, and
// against ordinary sessions that are refused or closed because of others.
TEST_CASE("random loads stay within the budget", "[memory]") {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    const auto Below = [&Random](std::size_t End) {
      return std::uniform_int_distribution<std::size_t>(0, End - 1)(Random);
    };
    TimePoint Now = Start;
    const auto Shared = std::make_shared<MemoryBudget>(
        MemoryBudget::Limits{{50, 1},
                             {8 * MegaByte, 4 * MegaByte, MegaByte, MegaByte}},
        Now);
    MemoryBudget &Budget = *Shared;
    Connections Crowd(Budget);
    MemoryBudget::Account Ordinary(Budget, Role::Caller, "ordinary",
                                   [] { FAIL("an ordinary one is closed"); });
    for (unsigned Step = 0; Step < 2000; ++Step) {
      Now += std::chrono::milliseconds(Below(400));
      Budget.advance(Now);
      const std::string Owner = "owner-" + std::to_string(Below(4));
      if (Below(4) == 0 &&
          Budget.admitConnection(Role::Caller, Owner) == Grant::Given)
        Crowd.open(Owner);
      if (!Crowd.All.empty()) {
        auto &Any = *Crowd.All[Below(Crowd.All.size())];
        if (!Any.Closed) {
          const auto For = static_cast<Use>(Below(MemoryBudget::UseCount));
          const std::size_t Before = Any.Account->held(For);
          const std::size_t Wanted = Below(2) ? Below(2 * MegaByte) : 0;
          const Grant Got = Any.Account->reserve(For, Wanted);
          if (Wanted <= Before || Wanted <= MemoryBudget::OrdinaryBytes)
            CHECK(Got == Grant::Given);
          if (Got != Grant::Given)
            CHECK(Any.Account->held(For) == Before);
          Any.Account->setBusy(Below(4) == 0);
          if (Below(8) == 0)
            Any.Account->setOwner("workspace-" + std::to_string(Below(3)));
          if (Below(2))
            Any.Account->touch();
        }
      }
      // An ordinary session works, and holds little.
      Ordinary.touch();
      for (const Use Each : {Use::Receiving, Use::SessionState, Use::Answers})
        REQUIRE(Ordinary.reserve(Each, Below(MemoryBudget::OrdinaryBytes)) ==
                Grant::Given);
      for (std::size_t Each = 0; Each < MemoryBudget::UseCount; ++Each) {
        std::size_t Sum = 0;
        for (const auto &One : Crowd.All)
          Sum += One->Account->held(static_cast<Use>(Each));
        REQUIRE(Sum == Budget.used(static_cast<Use>(Each)));
        REQUIRE(Sum <= Budget.limits().Bytes[Each]);
      }
      REQUIRE(Budget.connections(Role::Caller) <=
              Budget.limits().Connections[0]);
      if (Below(2))
        Crowd.endClosed();
    }
    Crowd.All.clear();
    for (std::size_t Each = 0; Each < MemoryBudget::UseCount; ++Each)
      CHECK(Budget.used(static_cast<Use>(Each)) == 0);
  }
}

// Load pattern: one address fills the memory with messages that never end.
// Guards against refusals of others while a stalled connection holds memory,
// and against the loss of work in progress.
TEST_CASE("the largest stalled connection gives way", "[memory]") {
  const auto Shared = std::make_shared<MemoryBudget>(
      MemoryBudget::Limits{{10, 1}, {4 * MegaByte, 0, 0, 0}}, Start);
  MemoryBudget &Budget = *Shared;
  Connections Crowd(Budget);
  MemoryBudget::Account &Small = Crowd.open("a");
  MemoryBudget::Account &Large = Crowd.open("a");
  MemoryBudget::Account &Working = Crowd.open("a");
  REQUIRE(Small.reserve(Use::Receiving, MegaByte / 2) == Grant::Given);
  REQUIRE(Large.reserve(Use::Receiving, MegaByte) == Grant::Given);
  REQUIRE(Working.reserve(Use::Receiving, 2 * MegaByte) == Grant::Given);
  Working.setBusy(true);
  MemoryBudget::Account &New = Crowd.open("a");
  CHECK(New.reserve(Use::Receiving, MegaByte) == Grant::Refused);
  Budget.advance(Start + 2s);
  CHECK(New.reserve(Use::Receiving, MegaByte) == Grant::AfterClosing);
  CHECK(Large.isClosing());
  CHECK_FALSE(Small.isClosing());
  CHECK_FALSE(Working.isClosing());
  Crowd.endClosed();
  CHECK(New.reserve(Use::Receiving, MegaByte) == Grant::Given);
  CHECK(Budget.takeCounts().Closed == 1);
  CHECK(Budget.takeCounts().empty());
}

// Load pattern: callers of one workspace send large messages without pause.
// Guards against their displacing the first large message of another one.
TEST_CASE("an owner that uses little displaces one that uses much",
          "[memory]") {
  const auto Shared = std::make_shared<MemoryBudget>(
      MemoryBudget::Limits{{10, 1}, {4 * MegaByte, 0, 0, 0}}, Start);
  MemoryBudget &Budget = *Shared;
  Connections Crowd(Budget);
  for (unsigned Each = 0; Each < 4; ++Each)
    REQUIRE(Crowd.open("much").reserve(Use::Receiving, MegaByte) ==
            Grant::Given);
  CHECK(Crowd.open("much").reserve(Use::Receiving, MegaByte) == Grant::Refused);
  MemoryBudget::Account &Other = Crowd.open("little");
  CHECK(Other.reserve(Use::Receiving, MegaByte) == Grant::AfterClosing);
  Crowd.endClosed();
  CHECK(Other.reserve(Use::Receiving, MegaByte) == Grant::Given);
}

// Load pattern: one workspace holds all connections, idle.
// Guards against a host that accepts nobody else, and against the close of
// another workspace's only session.
TEST_CASE("an idle connection gives way to a new one", "[memory]") {
  const auto Shared =
      std::make_shared<MemoryBudget>(MemoryBudget::Limits{{4, 1}, {}}, Start);
  MemoryBudget &Budget = *Shared;
  Connections Crowd(Budget);
  MemoryBudget::Account &Single = Crowd.open("single");
  for (unsigned Each = 0; Each < 3; ++Each)
    Crowd.open("many");
  CHECK(Budget.admitConnection(Role::Caller, "new") == Grant::Refused);
  Budget.advance(Start + 2s);
  CHECK(Budget.admitConnection(Role::Caller, "new") == Grant::AfterClosing);
  CHECK_FALSE(Single.isClosing());
  Crowd.endClosed();
  CHECK(Budget.admitConnection(Role::Caller, "new") == Grant::Given);
  const MemoryBudget::Counts Counts = Budget.takeCounts();
  CHECK(Counts.ConnectionsRefused == 1);
  CHECK(Counts.ConnectionsClosed == 1);
  REQUIRE(Counts.Largest.size() == 2);
}
