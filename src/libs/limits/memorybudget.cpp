#include "memorybudget.h"

#include <algorithm>
#include <tuple>

namespace lavenderdale {
namespace {

/// Percentages of the shared memory, by use. Receiving has the most, since a
/// message is held several times while it is worked on.
constexpr std::array<std::size_t, MemoryBudget::UseCount> Percentages = {
    38, 18, 22, 22};

} // namespace

MemoryBudget::Limits MemoryBudget::limitsFor(std::size_t Memory,
                                             std::size_t Descriptors) {
  Memory = std::max(Memory == 0 ? DefaultMemory : Memory, MinMemory);
  Descriptors = std::max(Descriptors == 0 ? DefaultDescriptors : Descriptors,
                         MinDescriptors);
  const std::size_t ForConnections = Descriptors - FileDescriptors;
  Limits Result;
  // At most five eighths of the callers' memory go to the own parts of
  // connections.
  Result.Connections = {
      std::min(ForConnections - ForConnections / 4,
               Memory / 4 / ConnectionBytes),
      std::min(ForConnections / 8, Memory / 16 / ConnectionBytes)};
  const std::size_t Shared =
      Memory / 2 -
      (Result.Connections[0] + Result.Connections[1]) * ConnectionBytes;
  for (std::size_t Each = 0; Each < UseCount; ++Each)
    Result.Bytes[Each] = Shared / 100 * Percentages[Each];
  return Result;
}

MemoryBudget::Account::Account(MemoryBudget &Budget, Role Kind,
                               std::string Owner, std::function<void()> Close)
    : Keep(Budget.shared_from_this()), Budget(Budget), Kind(Kind),
      Owner(std::move(Owner)), Close(std::move(Close)), ProgressAt(Budget.Now),
      Place(Budget.Accounts.insert(Budget.Accounts.end(), this)) {
  ++Budget.Owners[this->Owner].Connections;
  ++Budget.Connections[static_cast<std::size_t>(Kind)];
}

MemoryBudget::Account::~Account() {
  for (std::size_t Each = 0; Each < UseCount; ++Each)
    this->Budget.set(*this, Each, 0);
  const auto RoleIndex = static_cast<std::size_t>(this->Kind);
  --this->Budget.Connections[RoleIndex];
  if (this->Closing)
    --this->Budget.ClosingConnections[RoleIndex];
  this->Budget.leave(*this);
  this->Budget.Accounts.erase(this->Place);
}

void MemoryBudget::Account::setOwner(const std::string &Name) {
  if (Name == this->Owner)
    return;
  this->Budget.leave(*this);
  this->Owner = Name;
  OwnerUse &Joined = this->Budget.Owners[Name];
  ++Joined.Connections;
  for (std::size_t Each = 0; Each < UseCount; ++Each)
    Joined.Bytes[Each] += this->Held[Each];
}

// Removes the account from the sums of its owner.
void MemoryBudget::leave(const Account &Leaving) {
  const auto Found = this->Owners.find(Leaving.Owner);
  OwnerUse &Sums = Found->second;
  for (std::size_t Each = 0; Each < UseCount; ++Each)
    Sums.Bytes[Each] -= Leaving.Held[Each];
  if (--Sums.Connections == 0)
    this->Owners.erase(Found);
}

void MemoryBudget::set(Account &For, std::size_t Kind, std::size_t Bytes) {
  const std::size_t Before = For.Held[Kind];
  if (Before == Bytes)
    return;
  For.Held[Kind] = Bytes;
  this->Used[Kind] += Bytes - Before;
  if (For.Closing)
    this->ComingFree[Kind] += Bytes - Before;
  this->Owners[For.Owner].Bytes[Kind] += Bytes - Before;
}

MemoryBudget::Grant MemoryBudget::reserve(Account &For, Use KindOfUse,
                                          std::size_t Bytes) {
  const auto Kind = static_cast<std::size_t>(KindOfUse);
  const std::size_t Wanted = Bytes <= OrdinaryBytes ? 0 : Bytes;
  const std::size_t Held = For.Held[Kind];
  if (Wanted <= Held) {
    this->set(For, Kind, Wanted);
    return Grant::Given;
  }
  if (For.Closing)
    return Grant::Refused;
  const std::size_t More = Wanted - Held;
  const std::size_t Limit = this->Allowed.Bytes[Kind];
  if (this->Used[Kind] + More <= Limit) {
    this->set(For, Kind, Wanted);
    return Grant::Given;
  }
  while (this->Used[Kind] - this->ComingFree[Kind] + More > Limit) {
    Account *Victim = this->chooseVictim(For, Kind, More);
    if (!Victim)
      return Grant::Refused;
    ++this->Events.Closed;
    this->close(*Victim);
  }
  return Grant::AfterClosing;
}

// Prefers stalled connections, then those of owners that hold more than the
// owner of For would hold with what is missing.
MemoryBudget::Account *MemoryBudget::chooseVictim(const Account &For,
                                                  std::size_t Kind,
                                                  std::size_t Missing) const {
  struct Candidate {
    bool Stalled = false;
    std::size_t OfOwner = 0;
    std::size_t Held = 0;
    Duration Idle{};

    auto key() const {
      return std::tie(this->Stalled, this->OfOwner, this->Held, this->Idle);
    }
  };
  const std::size_t Own = this->Owners.at(For.Owner).Bytes[Kind] + Missing;
  Account *Best = nullptr;
  Candidate BestCandidate;
  for (Account *Each : this->Accounts) {
    if (Each == &For || Each->Closing || Each->Busy || Each->Held[Kind] == 0)
      continue;
    Candidate Next;
    Next.Idle = this->Now - Each->ProgressAt;
    Next.Stalled = Next.Idle >= StalledAfter;
    Next.OfOwner = this->Owners.at(Each->Owner).Bytes[Kind];
    Next.Held = Each->Held[Kind];
    if (!Next.Stalled && Next.OfOwner <= Own)
      continue;
    if (!Best || BestCandidate.key() < Next.key()) {
      Best = Each;
      BestCandidate = Next;
    }
  }
  return Best;
}

void MemoryBudget::close(Account &Victim) {
  Victim.Closing = true;
  ++this->ClosingConnections[static_cast<std::size_t>(Victim.Kind)];
  for (std::size_t Each = 0; Each < UseCount; ++Each)
    this->ComingFree[Each] += Victim.Held[Each];
  this->countFor(Victim.Owner);
  Victim.Close();
}

MemoryBudget::Grant MemoryBudget::admitConnection(Role Kind,
                                                  const std::string &Owner) {
  const auto Index = static_cast<std::size_t>(Kind);
  const std::size_t Open = this->Connections[Index];
  const std::size_t Limit = this->Allowed.Connections[Index];
  if (Open < Limit)
    return Grant::Given;
  if (Open - this->ClosingConnections[Index] < Limit)
    return Grant::AfterClosing;
  Account *Best = nullptr;
  std::size_t BestOfOwner = 0;
  for (Account *Each : this->Accounts) {
    if (Each->Kind != Kind || Each->Closing || Each->Busy ||
        this->Now - Each->ProgressAt < StalledAfter)
      continue;
    const std::size_t OfOwner = this->Owners.at(Each->Owner).Connections;
    if (!Best || OfOwner > BestOfOwner ||
        (OfOwner == BestOfOwner && Each->ProgressAt < Best->ProgressAt)) {
      Best = Each;
      BestOfOwner = OfOwner;
    }
  }
  if (!Best) {
    ++this->Events.ConnectionsRefused;
    this->countFor(Owner);
    return Grant::Refused;
  }
  ++this->Events.ConnectionsClosed;
  this->close(*Best);
  return Grant::AfterClosing;
}

void MemoryBudget::countRefusal(const Account &For) {
  ++this->Events.Refused;
  this->countFor(For.Owner);
}

void MemoryBudget::countTooSlow(const Account &For) {
  ++this->Events.TooSlow;
  this->countFor(For.Owner);
}

void MemoryBudget::countFor(const std::string &Owner) {
  if (this->EventsOf.size() < CountedOwners || this->EventsOf.count(Owner))
    ++this->EventsOf[Owner];
  else
    ++this->EventsOf["others"];
}

MemoryBudget::Counts MemoryBudget::takeCounts() {
  Counts Result = std::exchange(this->Events, {});
  Result.Largest.assign(this->EventsOf.begin(), this->EventsOf.end());
  this->EventsOf.clear();
  std::sort(Result.Largest.begin(), Result.Largest.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second > Right.second;
            });
  if (Result.Largest.size() > ReportedOwners)
    Result.Largest.resize(ReportedOwners);
  return Result;
}

} // namespace lavenderdale
