#pragma once

#include "daemoncontext.h"
#include "fleetview.h"
#include "limits/rateclient.h"
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

/// A rate limit of a workspace or a route that applies to the whole fleet.
struct CountedRate {
  std::string Name;
  RateAndBurst Limit;
};

/// Enforces the rate limits of workspaces and routes over the fleet. It has the
/// rate clients of this host, which request tokens and are sharded with a lock
/// per shard, and the rate owner, which grants tokens to other hosts.
class RateService : public std::enable_shared_from_this<RateService> {
public:
  using FleetSource = std::function<FleetPointer()>;

  /// Whether this host may grant tokens of its share of a rate now.
  using OwnerCheck = std::function<bool(const std::string &Name)>;

  RateService(const DaemonContext &Context, FleetSource Fleet,
              OwnerCheck MayGrant);

  /// Registers the RPC methods "rate.draw" and "rate.borrow".
  void addMethods(RpcServer &Server);

  /// Applies a new list of rates or a new fleet view.
  void configure(const std::vector<CountedRate> &Rates);

  /// Extends the rate owner's lease.
  void renewLease(TimePoint ValidUntil);

  /// Spends one token of rate \p Name; waits up to MaxRateWait for one.
  /// \param Deadline of the request.
  /// \returns RateLimited if no token is available in time.
  boost::asio::awaitable<Result<void>> spendToken(std::string Name,
                                                  TimePoint Deadline);

private:
  struct Entry {
    explicit Entry(RateClient Client) : Client(std::move(Client)) {}
    RateClient Client;
    std::deque<std::uint64_t>
        WaitingTickets; ///< Tickets of waiting requests, in order of arrival.
    bool LoopRunning = false; ///< Whether drawLoop() runs.
  };

  struct Shard {
    std::mutex Lock;
    std::map<std::string, Entry> Entries;
    std::uint64_t LastTicket = 0;
  };

  Shard &shardOf(const std::string &Name);
  bool trySpend(Shard &Place, const std::string &Name, std::uint64_t Ticket,
                TimePoint GiveUpAt, SpendAttempt Attempt,
                SpendDecision &Decision,
                std::optional<AddressedGrantRequest> &Next, bool &StartLoop);
  boost::asio::awaitable<void> drawLoop(std::string Name);
  boost::asio::awaitable<void> draw(std::string Name,
                                    AddressedGrantRequest Request);
  boost::asio::awaitable<void> borrow(std::string Name,
                                      AddressedLoanRequest Loan);
  GrantAnswer grantLocally(const GrantRequest &Request);
  void startDraw(const std::string &Name,
                 std::optional<AddressedGrantRequest> Request);
  void startLoans(const std::string &Name);

  const DaemonContext &Context;
  FleetSource Fleet;
  OwnerCheck MayGrant;
  std::uint64_t Incarnation;
  std::array<Shard, 16> Shards;
  std::mutex OwnerLock;
  RateOwner Owner;
  std::map<std::string, RateAndBurst> OwnedRates;
};

} // namespace lavenderdale
