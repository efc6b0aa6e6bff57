#pragma once

#include "fleetview.h"
#include "placement/holderchoice.h"
#include "proxymetrics.h"
#include "relaylink.h"
#include "upstreamgate.h"
#include "upstreamwork.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>

namespace lavenderdale {

/// The connection that a session's transaction holds, of this host or of the
/// upstream's holder.
class HeldConnection {
public:
  HeldConnection() = default;
  HeldConnection(HeldConnection &&Other) noexcept = default;
  HeldConnection &operator=(HeldConnection &&Other) noexcept;
  ~HeldConnection() { this->reset(); }

  explicit operator bool() const { return this->Gate != nullptr; }
  const std::shared_ptr<UpstreamGate> &gate() const { return this->Gate; }
  /// Gives the connection up; another host rolls an open transaction back.
  void reset();

private:
  friend class UpstreamAccess;

  std::shared_ptr<UpstreamGate> Gate;
  ConnectionLease Local;
  std::shared_ptr<RelayLink> Link;
  std::uint64_t Remote = 0;
  std::uint64_t Generation = 0; ///< Of the link when the hold began.
};

/// Carries work out at upstreams, over connections of this host or of the
/// host that holds the upstream's connections.
class UpstreamAccess {
public:
  /// A holder that was not heard for this long is asked whether it is alive
  /// before it gets a write, whose outcome would be unknown if it does not
  /// answer. A little more than the report interval of small fleets.
  static constexpr std::chrono::milliseconds HeardLately{400};
  /// Limit of that question; hosts answer within a few milliseconds.
  static constexpr std::chrono::milliseconds PingLimit{100};

  /// Limit for counting an operation; the owner answers from its memory.
  static constexpr std::chrono::milliseconds SpendLimit{80};

  UpstreamAccess(boost::asio::any_io_executor Executor, std::string OwnName,
                 std::string OwnDomain, ProxyMetrics &Metrics);

  /// Takes the hosts over that can be asked now.
  void setHosts(const FleetView &Fleet, BootTime Now);
  /// \p Name has reported just now.
  void heard(const std::string &Name, TimePoint Now);

  /// Carries \p Work out on any connection for the waiter's workspace.
  /// \param [out] Hold takes the connection if a transaction is open on it
  ///        afterwards; nullptr if none is to be held.
  boost::asio::awaitable<WorkResult> run(std::shared_ptr<UpstreamGate> Gate,
                                         PoolWaiter Waiter, UpstreamWork Work,
                                         WaitHandle &Wait,
                                         HeldConnection *Hold);

  /// Carries \p Work out on a held connection, which stays held while its
  /// transaction is open.
  boost::asio::awaitable<WorkResult> runHeld(HeldConnection &Held,
                                             UpstreamWork Work);

  /// Ends the transaction on \p Held without waiting for the upstream.
  void rollBack(HeldConnection Held);

  /// Whether statements for the upstream go over another host now.
  bool isRemote(const UpstreamEntry &Entry, TimePoint Now);

  /// Place of this host among the holders of the upstream, see HolderChoice.
  std::size_t rank(const UpstreamEntry &Entry);

  /// The host that counts the operations of \p Workspace in a large fleet.
  std::string rateOwner(const std::string &Workspace, TimePoint Now);

  /// Asks \p Owner to count an operation of \p Workspace.
  /// \returns why it is outside of the rate, empty if it is inside; nothing
  ///          if the owner did not answer.
  boost::asio::awaitable<std::optional<std::string>>
  spend(const std::string &Owner, const std::string &Workspace);

  /// Hosts that can be asked, this one included.
  std::size_t liveHosts() const { return this->Hosts.size() + 1; }

  StatementNames &names() { return this->Names; }

private:
  struct Host {
    std::shared_ptr<RelayLink> Link;
    TimePoint HeardAt{};
  };

  std::string choose(const UpstreamEntry &Entry, TimePoint Now);
  boost::asio::awaitable<bool> isAlive(const std::string &Name);
  void judgePath(const std::string &Host, const std::string &Upstream,
                 const WorkResult &Result, bool Statement);
  boost::asio::awaitable<WorkResult>
  runHere(std::shared_ptr<UpstreamGate> Gate, PoolWaiter Waiter,
          UpstreamWork Work, WaitHandle &Wait, HeldConnection *Hold);
  boost::asio::awaitable<WorkResult>
  runThere(const std::string &Name, std::shared_ptr<UpstreamGate> Gate,
           const PoolWaiter &Waiter, UpstreamWork Work, WaitHandle &Wait,
           HeldConnection *Hold);

  boost::asio::any_io_executor Executor;
  const std::string OwnName;
  const std::string OwnDomain;
  ProxyMetrics &Metrics;
  HolderChoice Holders;
  std::map<std::string, Host> Hosts;
  StatementNames Names;
};

} // namespace lavenderdale
