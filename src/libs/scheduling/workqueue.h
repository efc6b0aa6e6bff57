#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Statements that wait for a slot of one upstream. Performs no I/O.
///
/// They are ordered by priority, then by whether they can still meet their
/// objective, then by deficit round robin between workspaces, then by their
/// objective. Each priority, and the late statements within it, is served at
/// least once in a number of turns, so that nothing starves.
///
/// Load pattern: long reads of low priority and a workspace at several times
/// its usual load fill the upstream, while statements of 3 ms with an objective
/// of 100 ms arrive.
class WorkQueue {
public:
  using ItemId = std::uint64_t;

  /// A waiting statement.
  struct Item {
    ItemId Id = 0; ///< Unique while queued.
    std::string Workspace;
    unsigned Priority = 0; ///< 0 is the most urgent.
    double Rate = 0;       ///< Rate limit of the workspace, a second.
    TimePoint Target{};    ///< When it has to end to meet its objective.
    TimePoint GiveUpAt{};  ///< Latest time at which it may start.
    TimePoint QueuedAt{};
    /// When it was first passed over for the lack of a connection. Kept for the
    /// owner of the queue.
    std::optional<TimePoint> PassedOverAt;
  };

  /// Maximum number of waiting statements: several seconds of work of an
  /// upstream of 4 slots, more than any deadline allows.
  static constexpr std::size_t MaxLength = 2000;
  /// A priority with waiting statements gets this part of all turns at least.
  /// A tenth for each of two kinds of 9 ms and 15 ms is half of the slot time,
  /// if the urgent statements take 3 ms.
  static constexpr double MinPriorityShare = 0.05;
  /// Late statements get this part of the turns of their priority at least.
  /// A quarter took so many turns from quiet workspaces, when one of twelve had
  /// 7.5 times its load, that these became late as well.
  static constexpr double MinLateShare = 0.1;
  /// Weight of the newest turn in the time between two turns of a priority.
  static constexpr double TurnWeight = 0.1;
  /// Turns of a priority with a backlog without which their pace is unknown.
  static constexpr std::size_t MinTurns = 10;
  /// The pace of a priority is used for this long after its last turn.
  static constexpr std::chrono::seconds PaceLifetime{1};
  /// A workspace gets one turn in a round for each of these operations a second
  /// of its rate limit, between 1 and MaxTurns.
  static constexpr double RatePerTurn = 20;
  static constexpr std::size_t MaxTurns = 16;

  /// Adds a statement.
  /// \returns the statement that has no place and is to be refused: nothing if
  ///          the queue is not full, else the last one of the lowest priority,
  ///          which can be \p New itself.
  std::optional<Item> enqueue(Item New);

  /// Removes the statement to run next.
  /// \param ServiceTime time that it will take, to tell which ones are late.
  /// \param Accepts is called with the first statement of each workspace in
  ///        their order until it returns true for the one that can be run.
  /// \returns nothing if no statement was accepted.
  std::optional<Item> take(TimePoint Now, Duration ServiceTime,
                           const std::function<bool(Item &)> &Accepts);

  /// Removes a statement. \returns whether it was waiting.
  bool cancel(ItemId Id);
  /// Removes all statements that may no longer start at \p Now.
  std::vector<Item> takeExpired(TimePoint Now);

  /// Number of waiting statements that go before a new one of \p Workspace.
  /// \param Late whether the new one can no longer meet its objective.
  std::size_t ahead(const std::string &Workspace, unsigned Priority,
                    double Rate, bool Late) const;

  /// Number of those of them that have the same priority.
  std::size_t aheadWithin(const std::string &Workspace, unsigned Priority,
                          double Rate, bool Late) const;

  /// Time between two turns of \p Priority, measured while statements of it
  /// were waiting. It includes the turns that more urgent ones took, so the
  /// wait of less urgent work is not underestimated.
  /// \returns nothing without enough recent turns.
  std::optional<Duration> timePerTurn(unsigned Priority, TimePoint Now) const;

  std::size_t size() const { return this->Places.size(); }
  /// Earliest GiveUpAt; nothing if the queue is empty.
  std::optional<TimePoint> nextGiveUp() const;
  /// Calls \p Visit with each waiting statement, in no particular order.
  void forEach(const std::function<void(const Item &)> &Visit) const;

private:
  struct Flow {
    std::deque<Item> Items; ///< By Target.
    std::size_t TurnsLeft = 0;
  };
  struct Band {
    std::map<std::string, Flow> Flows;
    std::deque<std::string> Order; ///< Workspaces with items; next one first.
    std::size_t Size = 0;
  };
  struct Level {
    Band InTime;
    Band Late;
    double Credit = 0;     ///< Turns that are due to the level.
    double LateCredit = 0; ///< Turns that are due to its late statements.
    std::optional<TimePoint> LastTurnAt;
    Duration TimePerTurn{}; ///< Smoothed.
    std::size_t Turns = 0;  ///< Measured since it last had no statements.

    std::size_t size() const { return this->InTime.Size + this->Late.Size; }
  };
  struct Place {
    unsigned Priority = 0;
    bool Late = false;
    std::string Workspace;
    TimePoint GiveUpAt{};
  };

  static std::size_t turnsOf(double Rate);
  static std::size_t aheadIn(const Band &Waiting, const std::string &Workspace,
                             double Rate);
  void insert(Item New, bool Late);
  Item remove(Band &From, const std::string &Workspace, std::size_t Index);
  void separateLate(Level &Of, TimePoint Latest);
  std::optional<Item> takeFrom(Band &From,
                               const std::function<bool(Item &)> &Accepts);
  std::optional<Item> takeFrom(Level &From,
                               const std::function<bool(Item &)> &Accepts);
  void recordTurn(unsigned Served, TimePoint Now);
  static void measureTurn(Level &Of, TimePoint Now);

  std::map<unsigned, Level> Levels;
  std::map<ItemId, Place> Places;
  std::set<std::pair<TimePoint, ItemId>> Deadlines;
};

} // namespace lavenderdale
