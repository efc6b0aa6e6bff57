#pragma once

#include "daemoncontext.h"
#include "fleetview.h"
#include "limits/ratedrawer.h"
#include "limits/rateowner.h"
#include "rpc/rpcserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace lavenderdale {

/// A rate that is counted over the fleet, of a workspace or of one route.
struct CountedRate {
  std::string Name;
  RateAndBurst Limit;
};

/// Counts the rates of workspaces and routes over the fleet: the drawers of
/// this host, sharded with a lock per shard, and its rate owner.
class RateService : public std::enable_shared_from_this<RateService> {
public:
  using FleetSource = std::function<FleetPointer()>;

  /// Whether this host may use its share of a rate at this moment.
  using OwnerCheck = std::function<bool(const std::string &Name)>;

  RateService(const DaemonContext &Context, FleetSource Fleet,
              OwnerCheck MayGrant);

  /// Registers "rate.draw" and "rate.borrow".
  void addMethods(RpcServer &Server);

  /// Applies a new list of rates or a new fleet view.
  void configure(const std::vector<CountedRate> &Rates);

  /// Extends the rate owner's lease.
  void renewLease(TimePoint ValidUntil);

  /// Spends one token, after a short wait if necessary.
  /// \param Deadline of the request.
  /// \returns RateLimited if there is none.
  boost::asio::awaitable<Result<void>> spend(std::string Name,
                                             TimePoint Deadline);

private:
  struct Entry {
    explicit Entry(RateDrawer Drawer) : Drawer(std::move(Drawer)) {}
    RateDrawer Drawer;
    std::deque<std::uint64_t> Waiting; ///< Order of arrival.
    bool Drawing = false;              ///< A draw loop runs.
  };

  struct Shard {
    std::mutex Lock;
    std::map<std::string, Entry> Entries;
    std::uint64_t LastTicket = 0;
  };

  Shard &shardOf(const std::string &Name);
  bool trySpend(Shard &Owner, const std::string &Name, std::uint64_t Ticket,
                TimePoint GiveUpAt, SpendAttempt Attempt,
                SpendDecision &Decision, std::optional<DrawRequest> &Next,
                bool &StartLoop);
  boost::asio::awaitable<void> drawLoop(std::string Name);
  boost::asio::awaitable<void> draw(std::string Name, DrawRequest Request);
  boost::asio::awaitable<void> borrow(std::string Name, LoanDraw Draw);
  GrantAnswer grantLocally(const GrantRequest &Request);
  void startDrawing(const std::string &Name,
                    std::optional<DrawRequest> Request);
  void startBorrowing(const std::string &Name);

  const DaemonContext &Context;
  FleetSource Fleet;
  OwnerCheck MayGrant;
  std::uint64_t Incarnation;
  std::array<Shard, 16> Shards;
  std::mutex OwnerLock;
  RateOwner Owner;
  std::map<std::string, RateAndBurst> Owned;
};

} // namespace lavenderdale
