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
constexpr Duration ServiceTime = 4ms;

/// Simulates one upstream and the pools of its hosts. Statements arrive at
/// random hosts for random workspaces.
class UpstreamSimulation {
public:
  UpstreamSimulation(std::size_t Limit, std::vector<ConnectionShare> Shares)
      : Limit(Limit), Pools(Shares.size()) {
    for (std::size_t Index = 0; Index < Shares.size(); ++Index)
      this->Pools[Index].setCapacity(Shares[Index].Guaranteed,
                                     Shares[Index].Max);
  }

  /// Simulates \p Count statements at random intervals of \p Gap on average.
  void simulate(int Count, int Workspaces, Duration Gap) {
    std::exponential_distribution<double> Pause(1.0);
    for (int Number = 0; Number < Count; ++Number) {
      this->Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap) * Pause(this->Random));
      const std::size_t Host = this->Random() % this->Pools.size();
      PoolWaiter Waiter;
      Waiter.Id = static_cast<WaiterId>(Number) + 1;
      Waiter.Workspace = "w" + std::to_string(this->Random() % Workspaces);
      Waiter.Target = this->Now + 100ms;
      Waiter.GiveUpAt = this->Now + 560ms;
      this->processEvents();
      this->Pools[Host].enqueue(Waiter, this->Now);
      this->decide(Host);
    }
    this->Now += 2s;
    this->processEvents();
  }

  int Handshakes = 0;
  int Overflows = 0; ///< Connections refused because of the limit.
  int Refused = 0;

private:
  struct Event {
    TimePoint At;
    std::size_t Host = 0;
    bool HandshakeDone = false;
    ConnectionId Connection = 0;
    std::string Workspace;
    bool operator>(const Event &Other) const { return this->At > Other.At; }
  };

  void processEvents() {
    while (!this->Events.empty() && this->Events.top().At <= this->Now) {
      const Event Next = this->Events.top();
      this->Events.pop();
      const TimePoint ResumeAt = this->Now;
      this->Now = Next.At;
      if (Next.HandshakeDone) {
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
      this->Now = ResumeAt;
    }
  }

  void decide(std::size_t Host) {
    for (const UpstreamPoolAction &Each : this->Pools[Host].decide(this->Now))
      switch (Each.Type) {
      case UpstreamPoolAction::Kind::Open:
        this->Events.push(
            {this->Now + Handshake, Host, true, 0, Each.Workspace});
        break;
      case UpstreamPoolAction::Kind::Close:
        --this->Open;
        break;
      case UpstreamPoolAction::Kind::Assign:
        this->Events.push(
            {this->Now + ServiceTime, Host, false, Each.Connection, {}});
        break;
      case UpstreamPoolAction::Kind::Refuse:
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

// Guards against hosts that keep fewer connections than their callers use
// workspaces. Nearly every statement then needs a handshake, which occupies a
// connection of the upstream for longer than the statement.
TEST_CASE("one holder serves eight workspaces of six hosts without handshakes",
          "[replay]") {
  constexpr std::size_t Limit = 16;
  constexpr int Statements = 2000;
  const ConnectionShare Equal{2, 5}; // For each of six hosts.
  UpstreamSimulation PerHost(Limit, std::vector<ConnectionShare>(6, Equal));
  PerHost.simulate(Statements, 8, 20ms);
  UpstreamSimulation OneHolder(Limit, {connectionShare(Limit, 0)});
  OneHolder.simulate(Statements, 8, 20ms);
  std::cout << "handshakes for 2000 statements: " << PerHost.Handshakes
            << " with connections at each host, " << OneHolder.Handshakes
            << " through one holder\n";
  CHECK(OneHolder.Handshakes <= Statements / 20);
  CHECK(OneHolder.Handshakes * 10 < PerHost.Handshakes);
  CHECK(OneHolder.Overflows == 0);
  CHECK(OneHolder.Refused == 0);
}

// Guards against a second holder that gets no connection because the upstream
// still counts those of a first holder that lost power.
TEST_CASE(
    "the second holder gets connections while those of the first still count",
    "[replay]") {
  for (const std::size_t Limit : {8, 16, 34, 35, 250}) {
    INFO("limit " << Limit);
    const std::size_t StillCounted = connectionShare(Limit, 0).Guaranteed;
    UpstreamSimulation Second(Limit - StillCounted,
                              {connectionShare(Limit, 1)});
    Second.simulate(500, 4, 20ms);
    CHECK(Second.Refused == 0);
    CHECK(Second.Handshakes > 0);
  }
}

// Guards against idle connections of hosts that are not holders. In a fleet
// with more hosts than connections, they would exhaust the limit.
TEST_CASE("idle connections of all hosts stay within the limit") {
  for (std::size_t Limit = 4; Limit <= 250; ++Limit) {
    INFO("limit " << Limit);
    CHECK(connectionShare(Limit, 0).Guaranteed <= Limit);
    CHECK(connectionShare(Limit, 1).Guaranteed == 0);
    CHECK(connectionShare(Limit, 2).Guaranteed == 0);
    for (std::size_t Rank = 0; Rank < 4; ++Rank)
      CHECK(connectionShare(Limit, Rank).Max <= Limit);
  }
}
