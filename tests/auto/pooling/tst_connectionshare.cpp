#include "pooling/connectionshare.h"
#include "pooling/upstreampool.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr Duration Handshake = 12ms;
constexpr Duration Work = 4ms;

/// One upstream and the pools of the hosts before it, with a clock. Statements
/// arrive at random hosts for random workspaces.
class UpstreamReplay {
public:
  UpstreamReplay(std::size_t Limit, std::vector<ConnectionShare> Shares)
      : Limit(Limit), Pools(Shares.size()) {
    for (std::size_t Index = 0; Index < Shares.size(); ++Index)
      this->Pools[Index].setCapacity(Shares[Index].Guaranteed,
                                     Shares[Index].Most);
  }

  /// Plays \p Count statements, \p Gap apart on average.
  void play(int Count, int Workspaces, Duration Gap) {
    std::exponential_distribution<double> Pause(1.0);
    for (int Number = 0; Number < Count; ++Number) {
      this->Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap) * Pause(this->Random));
      const std::size_t Host = this->Random() % this->Pools.size();
      PoolWaiter Waiter;
      Waiter.Id = static_cast<WaiterId>(Number) + 1;
      Waiter.Workspace = "w" + std::to_string(this->Random() % Workspaces);
      Waiter.Target = this->Now + 100ms;
      Waiter.GiveUp = this->Now + 560ms;
      this->settle();
      this->Pools[Host].enqueue(Waiter, this->Now);
      this->decide(Host);
    }
    this->Now += 2s;
    this->settle();
  }

  int Handshakes = 0;
  int Overflows = 0; ///< Connections that the upstream refused.
  int Refused = 0;

private:
  struct Event {
    TimePoint At;
    std::size_t Host = 0;
    bool Opens = false;
    ConnectionId Connection = 0;
    std::string Workspace;
    bool operator>(const Event &Other) const { return this->At > Other.At; }
  };

  void settle() {
    while (!this->Events.empty() && this->Events.top().At <= this->Now) {
      const Event Next = this->Events.top();
      this->Events.pop();
      const TimePoint Later = this->Now;
      this->Now = Next.At;
      if (Next.Opens) {
        if (this->Open >= this->Limit) {
          ++this->Overflows;
          this->Pools[Next.Host].openFailed(Next.Workspace, true, this->Now);
        } else {
          ++this->Open;
          ++this->Handshakes;
          this->Pools[Next.Host].opened(this->NextConnection++, Next.Workspace,
                                        this->Now);
        }
      } else {
        this->Pools[Next.Host].released(Next.Connection, this->Now);
      }
      this->decide(Next.Host);
      this->Now = Later;
    }
  }

  void decide(std::size_t Host) {
    for (const PoolAction &Each : this->Pools[Host].decide(this->Now))
      switch (Each.Type) {
      case PoolAction::Kind::Open:
        this->Events.push(
            {this->Now + Handshake, Host, true, 0, Each.Workspace});
        break;
      case PoolAction::Kind::Close:
        --this->Open;
        break;
      case PoolAction::Kind::Assign:
        this->Events.push({this->Now + Work, Host, false, Each.Connection, {}});
        break;
      case PoolAction::Kind::Refuse:
        ++this->Refused;
        break;
      }
  }

  std::size_t Limit;
  std::vector<UpstreamPool> Pools;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::size_t Open = 0;
  ConnectionId NextConnection = 1;
  TimePoint Now{1000s};
  std::mt19937_64 Random{7};
};

} // namespace

// Guards against hosts that keep too few connections for the workspaces of
// their callers, so that nearly every statement needs a handshake, which
// holds a slot of the upstream for longer than the statement.
TEST_CASE("one holder serves eight workspaces of six hosts without handshakes",
          "[replay]") {
  constexpr std::size_t Limit = 16;
  constexpr int Statements = 2000;
  const ConnectionShare Equal{2, 5}; // Of six hosts with their own.
  UpstreamReplay Own(Limit, std::vector<ConnectionShare>(6, Equal));
  Own.play(Statements, 8, 20ms);
  UpstreamReplay Held(Limit, {connectionShare(Limit, 0)});
  Held.play(Statements, 8, 20ms);
  std::cout << "handshakes for 2000 statements: " << Own.Handshakes
            << " with connections of each host, " << Held.Handshakes
            << " over a holder\n";
  CHECK(Held.Handshakes <= Statements / 20);
  CHECK(Held.Handshakes * 10 < Own.Handshakes);
  CHECK(Held.Overflows == 0);
  CHECK(Held.Refused == 0);
}

// Guards against a second holder that gets no connection because the upstream
// still counts those of a first one that lost power.
TEST_CASE("the second holder finds room beside the first one's connections",
          "[replay]") {
  for (const std::size_t Limit : {8, 16, 34, 35, 250}) {
    INFO("limit " << Limit);
    const std::size_t Gone = connectionShare(Limit, 0).Guaranteed;
    UpstreamReplay Second(Limit - Gone, {connectionShare(Limit, 1)});
    Second.play(500, 4, 20ms);
    CHECK(Second.Refused == 0);
    CHECK(Second.Handshakes > 0);
  }
}

// Guards against idle connections of hosts that are no holders, which fill
// the limit in a fleet of more hosts than connections.
TEST_CASE("idle connections of all hosts fit the limit") {
  for (std::size_t Limit = 4; Limit <= 250; ++Limit) {
    INFO("limit " << Limit);
    CHECK(connectionShare(Limit, 0).Guaranteed <= Limit);
    CHECK(connectionShare(Limit, 1).Guaranteed == 0);
    CHECK(connectionShare(Limit, 2).Guaranteed == 0);
    for (std::size_t Rank = 0; Rank < 4; ++Rank)
      CHECK(connectionShare(Limit, Rank).Most <= Limit);
  }
}
