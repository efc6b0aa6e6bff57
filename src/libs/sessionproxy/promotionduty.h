#pragma once

#include "failover/promotionvote.h"
#include "objectstore.h"
#include "proxystate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lavenderdale {

/// Replaces primaries that died or are leaving. One host acts at a time: the
/// claim in the object store is changed conditionally, and the revision of the
/// change is the fencing token of the order, so that no two hosts use one and
/// an order that is carried out late loses against newer ones.
class PromotionDuty : public std::enable_shared_from_this<PromotionDuty> {
public:
  static constexpr std::chrono::milliseconds CheckInterval{100};
  /// Claims are listed at this interval, so that an old one is not taken for
  /// a new one when a promotion is due.
  static constexpr std::chrono::milliseconds ListInterval{4000};
  /// An order that could not be sent this soon after its claim is dropped; the
  /// host may have been suspended meanwhile.
  static constexpr std::chrono::milliseconds OrderAfterClaim{600};
  /// No second order for a group within this time after one was accepted; the
  /// promoted member needs up to a second to lead.
  static constexpr std::chrono::milliseconds OrderLifetime{2500};
  static constexpr std::chrono::milliseconds CallLimit{700};
  /// A member whose promotion was refused does not run, or not yet again.
  static constexpr std::chrono::milliseconds RefusedMemberPause{1500};
  /// Pause after an attempt that did not lead to an order.
  static constexpr std::chrono::milliseconds AttemptPause{300};
  /// Pause after a claim of another host was found; calls are charged.
  static constexpr std::chrono::milliseconds ClaimPause{800};
  /// A leaving primary is replaced by a member that lacks commits only when
  /// it has waited this long for a better one. The primary serves on for
  /// seven seconds and more.
  static constexpr std::chrono::milliseconds LeavingPatience{3000};

  PromotionDuty(boost::asio::any_io_executor Executor, ObjectStore &Store,
                PromotionAuthority &Authority, ProxyState &State);

  void start();
  void stop() { this->Stopped = true; }

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  /// What this host remembers of its duty for one group.
  struct GroupDuty {
    bool Active = false;
    TimePoint NotBefore{};
    ClaimWatch Claim;
    std::map<std::string, TimePoint> RefusedAt;
    std::optional<TimePoint> LeavingSince;
  };

  Task<void> run();
  bool isDue(ProxyGroup &Group, GroupDuty &Duty, TimePoint Now);
  Task<void> attempt(std::shared_ptr<ProxyGroup> Group);
  Task<Result<std::uint64_t>> claim(const std::string &Group, GroupDuty &Duty);
  Task<Result<std::string>> chooseMember(ProxyGroup &Group, GroupDuty &Duty);
  Task<void> listClaims();
  void sawClaim(const StoredObject &Claim);

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  PromotionAuthority &Authority;
  ProxyState &State;
  std::mt19937_64 Random;
  std::map<std::string, GroupDuty> Duties;
  bool Stopped = false;
};

} // namespace lavenderdale
