#include "scheduling/connectionpool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace lavenderdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

/// A pool whose connections open immediately.
struct PoolDriver {
  explicit PoolDriver(PoolLimits Limits = {}) : Pool(Limits) {
    for (int I = 0; I < 8; ++I)
      this->step(Start);
  }

  /// Polls once and reports each Open and Reset as successful.
  /// \returns the actions of the poll.
  std::vector<PoolAction> step(TimePoint Now) {
    std::vector<PoolAction> Actions = this->Pool.poll(Now, this->Random);
    for (const PoolAction &Each : Actions) {
      if (Each.Kind == PoolActionKind::Open)
        this->Pool.opened(Each.Id, Now);
      if (Each.Kind == PoolActionKind::Reset)
        this->Pool.checked(Each.Id, true, Now);
    }
    return Actions;
  }

  ConnectionPool Pool;
  ConnectionPool::Generator Random{7};
};

int countOf(const std::vector<PoolAction> &Actions, PoolActionKind Kind) {
  return int(std::count_if(
      Actions.begin(), Actions.end(),
      [Kind](const PoolAction &Each) { return Each.Kind == Kind; }));
}

} // namespace

// Guards against opening connections on the request path or beyond the limit.
TEST_CASE("connections are opened in advance and within the limit") {
  ConnectionPool Empty({});
  CHECK_FALSE(Empty.acquire(at(100)));
  PoolDriver Driver(
      {.MaxConnections = 4, .MinIdle = 2, .MaxInFlight = 3, .MaxOpening = 1});
  CHECK(Driver.Pool.count(ConnectionState::Idle) == 2);
  for (int I = 0; I < 3; ++I) {
    CHECK(Driver.Pool.acquire(at(100)));
    Driver.step(Start);
  }
  CHECK(Driver.Pool.size() == 4);
  CHECK(Driver.Pool.count(ConnectionState::Idle) == 1);
  // The limit of running statements is lower than the number of connections.
  CHECK_FALSE(Driver.Pool.acquire(at(100)));
}

// Guards against delivering a late answer to the next request.
TEST_CASE("a connection with a late answer is closed and not reused",
          "[answers]") {
  PoolDriver Driver;
  const ConnectionId Late = *Driver.Pool.acquire(at(100));
  CHECK_FALSE(Driver.Pool.release(Late, ConnectionUse::Clean, at(100)));
  const ConnectionId Silent = *Driver.Pool.acquire(at(200));
  CHECK(Driver.Pool.nextPoll() == TimePoint::min());
  CHECK(countOf(Driver.step(at(150)), PoolActionKind::Close) == 1);
  CHECK(countOf(Driver.step(at(200)), PoolActionKind::Close) == 1);
  CHECK_FALSE(Driver.Pool.release(Silent, ConnectionUse::Clean, at(201)));
  CHECK_FALSE(Driver.Pool.state(Late));
  CHECK(Driver.Pool.count(ConnectionState::Idle) == 2);
}

// Guards against session state that is visible to the next request.
TEST_CASE("a tainted connection is replaced", "[transaction-isolation]") {
  PoolDriver Driver;
  const ConnectionId Id = *Driver.Pool.acquire(at(100));
  CHECK(Driver.Pool.release(Id, ConnectionUse::Tainted, at(10)));
  Driver.step(at(10));
  CHECK_FALSE(Driver.Pool.state(Id));
  CHECK(Driver.Pool.count(ConnectionState::Idle) == 2);
}

// Guards against running statements of two transactions on one connection.
TEST_CASE("a pinned connection belongs to one transaction",
          "[transaction-isolation]") {
  PoolDriver Driver(
      {.MaxConnections = 2, .MinIdle = 2, .MaxInFlight = 1, .MaxPinned = 1});
  const ConnectionId Id = *Driver.Pool.pin(at(5000));
  CHECK_FALSE(Driver.Pool.pin(at(5000)));
  CHECK(Driver.Pool.beginStatement(Id, at(1000)));
  CHECK_FALSE(Driver.Pool.beginStatement(Id, at(1000)));
  CHECK_FALSE(Driver.Pool.acquire(at(100)));
  CHECK(Driver.Pool.endStatement(Id, at(10)));
  const ConnectionId Other = *Driver.Pool.acquire(at(100));
  CHECK(Other != Id);
  // A statement of the transaction may release the lock that Other waits for.
  CHECK(Driver.Pool.beginStatement(Id, at(1000)));
  CHECK_FALSE(Driver.Pool.canAcquire());
  CHECK(Driver.Pool.endStatement(Id, at(15)));
  CHECK(Driver.Pool.release(Other, ConnectionUse::Clean, at(20)));
  // The connection is reset before it can be used again.
  CHECK(Driver.Pool.unpin(Id, ConnectionUse::Clean, at(30)));
  CHECK(Driver.Pool.state(Id) == ConnectionState::Checking);
  CHECK(countOf(Driver.step(at(30)), PoolActionKind::Reset) == 1);
  CHECK(Driver.Pool.state(Id) == ConnectionState::Idle);
  // A transaction that exceeds its deadline is ended.
  const ConnectionId Left = *Driver.Pool.pin(at(5000));
  CHECK(countOf(Driver.step(at(5000)), PoolActionKind::Close) >= 1);
  CHECK_FALSE(Driver.Pool.unpin(Left, ConnectionUse::Clean, at(5001)));
}

// Guards against idle connections that no longer respond, and against checks
// that leave no connection for requests.
TEST_CASE("idle connections are checked, unresponsive ones are closed") {
  PoolDriver Driver({.MaxConnections = 4, .MinIdle = 4, .MaxInFlight = 4});
  const std::vector<PoolAction> First = Driver.step(at(2000));
  CHECK(countOf(First, PoolActionKind::Check) == 2);
  CHECK(Driver.Pool.canAcquire());
  Driver.Pool.checked(First[0].Id, true, at(2001));
  const std::vector<PoolAction> Closed = Driver.step(at(2500));
  REQUIRE(countOf(Closed, PoolActionKind::Close) == 1);
  CHECK(Closed[0].Id == First[1].Id);
  CHECK(Driver.Pool.state(First[0].Id) == ConnectionState::Idle);
}

// Guards against too many connection attempts while the database refuses them.
TEST_CASE("refused connections are retried with increasing back-off") {
  ConnectionPool Pool({.MaxConnections = 2, .MinIdle = 1, .MaxOpening = 1});
  ConnectionPool::Generator Random{7};
  std::vector<Duration> Pauses;
  std::set<Duration> Distinct;
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I) {
    const std::vector<PoolAction> Actions = Pool.poll(Now, Random);
    REQUIRE(Actions.size() == 1);
    Pool.openFailed(Actions[0].Id, OpenFailure::LimitReached, Now, Random);
    CHECK(Pool.poll(Now, Random).empty());
    Pauses.push_back(Pool.nextPoll() - Now);
    Distinct.insert(Pauses.back());
    Now = Pool.nextPoll();
  }
  CHECK(Pauses.front() >= milliseconds(100));
  CHECK(Pauses.back() >= seconds(1));
  CHECK(*std::max_element(Pauses.begin(), Pauses.end()) <= seconds(2));
  CHECK(Distinct.size() >= 9);
}

// Guards against assigning new work to a leaving upstream, and against aborting
// its running work.
TEST_CASE("a leaving upstream finishes its work and gets no new work",
          "[upstream-drain]") {
  PoolDriver Driver({.MaxConnections = 4, .MinIdle = 4, .MaxInFlight = 4});
  const ConnectionId Running = *Driver.Pool.acquire(at(1000));
  const ConnectionId Open = *Driver.Pool.pin(at(3000));
  Driver.Pool.setLeaving(true);
  CHECK_FALSE(Driver.Pool.acquire(at(1000)));
  CHECK_FALSE(Driver.Pool.pin(at(1000)));
  CHECK(countOf(Driver.step(at(0)), PoolActionKind::Close) == 2);
  CHECK(Driver.Pool.beginStatement(Open, at(500)));
  CHECK(Driver.Pool.endStatement(Open, at(100)));
  CHECK(Driver.Pool.release(Running, ConnectionUse::Clean, at(200)));
  CHECK_FALSE(Driver.Pool.drained());
  Driver.step(at(200));
  CHECK(Driver.Pool.size() == 1);
  Driver.step(at(3000));
  CHECK(Driver.Pool.drained());
}
