#include "workqueue.h"

#include "base/softassert.h"

#include <algorithm>

namespace lavenderdale {

std::optional<WorkQueue::Item> WorkQueue::enqueue(Item New) {
  if (!softAssert(!this->Places.contains(New.Id), "a queued id is unique"))
    return New;
  std::optional<Item> Refused;
  if (this->size() >= MaxLength) {
    // A level without items is removed, so the last one has some.
    auto &[Priority, Lowest] = *this->Levels.rbegin();
    if (New.Priority >= Priority)
      return New;
    Band &From = Lowest.Late.Size > 0 ? Lowest.Late : Lowest.InTime;
    const auto Longest = std::max_element(
        From.Flows.begin(), From.Flows.end(), [](const auto &A, const auto &B) {
          return A.second.Items.size() < B.second.Items.size();
        });
    const std::string Workspace = Longest->first;
    Refused = this->remove(From, Workspace, Longest->second.Items.size() - 1);
    if (Lowest.size() == 0)
      this->Levels.erase(Priority);
  }
  this->insert(std::move(New), false);
  return Refused;
}

std::optional<WorkQueue::Item>
WorkQueue::take(TimePoint Now, Duration ServiceTime,
                const std::function<bool(Item &)> &Accepts) {
  std::vector<unsigned> Order;
  for (auto &[Priority, Each] : this->Levels) {
    this->separateLate(Each, Now + ServiceTime);
    Order.push_back(Priority);
  }
  // Levels to which a turn is due go first, the others follow by priority.
  std::stable_sort(Order.begin(), Order.end(), [this](unsigned A, unsigned B) {
    const auto Due = [this](unsigned Priority) {
      const double Credit = this->Levels[Priority].Credit;
      return Credit >= 1 ? Credit : 0;
    };
    return Due(A) > Due(B);
  });
  for (const unsigned Priority : Order) {
    std::optional<Item> Taken = this->takeFrom(this->Levels[Priority], Accepts);
    if (!Taken)
      continue;
    this->recordTurn(Priority, Now);
    return Taken;
  }
  return std::nullopt;
}

bool WorkQueue::cancel(ItemId Id) {
  const auto Found = this->Places.find(Id);
  if (Found == this->Places.end())
    return false;
  const Place At = Found->second;
  Level &Of = this->Levels[At.Priority];
  Band &From = At.Late ? Of.Late : Of.InTime;
  const std::deque<Item> &Items = From.Flows[At.Workspace].Items;
  const auto Position = std::ranges::find(Items, Id, &Item::Id);
  if (softAssert(Position != Items.end(), "a queued item is in its flow"))
    this->remove(From, At.Workspace,
                 static_cast<std::size_t>(Position - Items.begin()));
  if (Of.size() == 0)
    this->Levels.erase(At.Priority);
  return true;
}

std::vector<WorkQueue::Item> WorkQueue::takeExpired(TimePoint Now) {
  std::vector<Item> Expired;
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    const ItemId Id = this->Deadlines.begin()->second;
    Item Each;
    Each.Id = Id;
    const Place &At = this->Places[Id];
    Each.Workspace = At.Workspace;
    Each.Priority = At.Priority;
    Each.GiveUpAt = At.GiveUpAt;
    Expired.push_back(std::move(Each));
    this->cancel(Id);
  }
  return Expired;
}

std::size_t WorkQueue::ahead(const std::string &Workspace, unsigned Priority,
                             double Rate, bool Late) const {
  std::size_t Ahead = 0;
  for (const auto &[Other, Each] : this->Levels)
    if (Other < Priority)
      Ahead += Each.size();
  return Ahead + this->aheadWithin(Workspace, Priority, Rate, Late);
}

std::size_t WorkQueue::aheadWithin(const std::string &Workspace,
                                   unsigned Priority, double Rate,
                                   bool Late) const {
  const auto Found = this->Levels.find(Priority);
  if (Found == this->Levels.end())
    return 0;
  const Level &Same = Found->second;
  return Late ? Same.InTime.Size + aheadIn(Same.Late, Workspace, Rate)
              : aheadIn(Same.InTime, Workspace, Rate);
}

std::optional<TimePoint> WorkQueue::nextGiveUp() const {
  if (this->Deadlines.empty())
    return std::nullopt;
  return this->Deadlines.begin()->first;
}

void WorkQueue::forEach(const std::function<void(const Item &)> &Visit) const {
  for (const auto &[Priority, Each] : this->Levels)
    for (const Band *Waiting : {&Each.InTime, &Each.Late})
      for (const auto &[Workspace, Items] : Waiting->Flows)
        for (const Item &One : Items.Items)
          Visit(One);
}

std::size_t WorkQueue::turnsOf(double Rate) {
  return static_cast<std::size_t>(
      std::clamp(Rate / RatePerTurn, 1.0, static_cast<double>(MaxTurns)));
}

// Items of the same workspace go first, and of each other one as many as get
// their turn in as many rounds.
std::size_t WorkQueue::aheadIn(const Band &Waiting,
                               const std::string &Workspace, double Rate) {
  const auto Own = Waiting.Flows.find(Workspace);
  const std::size_t OwnItems =
      Own == Waiting.Flows.end() ? 0 : Own->second.Items.size();
  const std::size_t Rounds = OwnItems / turnsOf(Rate) + 1;
  std::size_t Ahead = OwnItems;
  for (const auto &[Other, Each] : Waiting.Flows)
    if (Other != Workspace)
      Ahead += std::min(Each.Items.size(),
                        Rounds * turnsOf(Each.Items.front().Rate));
  return Ahead;
}

void WorkQueue::insert(Item New, bool Late) {
  Level &Of = this->Levels[New.Priority];
  Band &Into = Late ? Of.Late : Of.InTime;
  this->Places[New.Id] = {New.Priority, Late, New.Workspace, New.GiveUpAt};
  this->Deadlines.emplace(New.GiveUpAt, New.Id);
  Flow &Same = Into.Flows[New.Workspace];
  if (Same.Items.empty())
    Into.Order.push_back(New.Workspace);
  const auto Behind = std::upper_bound(
      Same.Items.begin(), Same.Items.end(), New.Target,
      [](TimePoint Target, const Item &Each) { return Target < Each.Target; });
  Same.Items.insert(Behind, std::move(New));
  ++Into.Size;
}

WorkQueue::Item WorkQueue::remove(Band &From, const std::string &Workspace,
                                  std::size_t Index) {
  const auto Found = From.Flows.find(Workspace);
  std::deque<Item> &Items = Found->second.Items;
  const auto At = Items.begin() + static_cast<std::ptrdiff_t>(Index);
  Item Removed = std::move(*At);
  Items.erase(At);
  --From.Size;
  if (Items.empty()) {
    std::erase(From.Order, Removed.Workspace);
    From.Flows.erase(Found);
  }
  this->Places.erase(Removed.Id);
  this->Deadlines.erase({Removed.GiveUpAt, Removed.Id});
  return Removed;
}

// Flows are sorted by Target, so the late items of each are at its front.
void WorkQueue::separateLate(Level &Of, TimePoint Latest) {
  std::vector<std::string> Workspaces;
  for (const auto &[Workspace, Each] : Of.InTime.Flows)
    if (Each.Items.front().Target < Latest)
      Workspaces.push_back(Workspace);
  for (const std::string &Each : Workspaces)
    while (true) {
      const auto Found = Of.InTime.Flows.find(Each);
      if (Found == Of.InTime.Flows.end() ||
          Found->second.Items.front().Target >= Latest)
        break;
      this->insert(this->remove(Of.InTime, Each, 0), true);
    }
}

std::optional<WorkQueue::Item>
WorkQueue::takeFrom(Band &From, const std::function<bool(Item &)> &Accepts) {
  for (std::size_t Index = 0; Index < From.Order.size(); ++Index) {
    const std::string Workspace = From.Order[Index];
    Flow &Offered = From.Flows[Workspace];
    if (!Accepts(Offered.Items.front()))
      continue;
    if (Offered.TurnsLeft == 0)
      Offered.TurnsLeft = turnsOf(Offered.Items.front().Rate);
    if (--Offered.TurnsLeft == 0) {
      From.Order.erase(From.Order.begin() + static_cast<std::ptrdiff_t>(Index));
      From.Order.push_back(Workspace);
    }
    return this->remove(From, Workspace, 0);
  }
  return std::nullopt;
}

std::optional<WorkQueue::Item>
WorkQueue::takeFrom(Level &From, const std::function<bool(Item &)> &Accepts) {
  const bool LateFirst = From.LateCredit >= 1 && From.Late.Size > 0;
  for (const bool Late : {LateFirst, !LateFirst}) {
    std::optional<Item> Taken =
        this->takeFrom(Late ? From.Late : From.InTime, Accepts);
    if (!Taken)
      continue;
    if (Late)
      From.LateCredit = std::max(0.0, From.LateCredit - 1);
    else if (From.Late.Size > 0)
      // The share of all turns: one late turn follows (1 - s) / s others.
      From.LateCredit += MinLateShare / (1 - MinLateShare);
    else
      From.LateCredit = 0;
    return Taken;
  }
  return std::nullopt;
}

std::optional<Duration> WorkQueue::timePerTurn(unsigned Priority,
                                               TimePoint Now) const {
  const auto Found = this->Levels.find(Priority);
  if (Found == this->Levels.end() || Found->second.Turns < MinTurns ||
      Now - *Found->second.LastTurnAt >= PaceLifetime)
    return std::nullopt;
  return Found->second.TimePerTurn;
}

void WorkQueue::measureTurn(Level &Of, TimePoint Now) {
  if (Of.LastTurnAt) {
    ++Of.Turns;
    // The first turns count equally, so that none of them dominates.
    const double Weight =
        std::max(TurnWeight, 1.0 / static_cast<double>(Of.Turns));
    const std::chrono::duration<double> Newest = Now - *Of.LastTurnAt;
    const std::chrono::duration<double> Old = Of.TimePerTurn;
    Of.TimePerTurn =
        std::chrono::duration_cast<Duration>(Old + (Newest - Old) * Weight);
  }
  Of.LastTurnAt = Now;
}

void WorkQueue::recordTurn(unsigned Served, TimePoint Now) {
  Level &Own = this->Levels[Served];
  measureTurn(Own, Now);
  Own.Credit = std::max(0.0, Own.Credit - 1);
  if (Own.size() == 0)
    this->Levels.erase(Served);
  for (auto &[Priority, Each] : this->Levels)
    if (Priority != Served)
      Each.Credit += MinPriorityShare / (1 - MinPriorityShare);
}

} // namespace lavenderdale
