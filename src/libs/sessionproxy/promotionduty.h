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
  /// A claim of another host that is not marked as done is left alone for
  /// this long after it was first seen; a promotion takes a second.
  static constexpr std::chrono::milliseconds ClaimLifetime{2500};
  /// No second order for a group within this time after one was accepted; the
  /// promoted member needs up to a second to lead.
  static constexpr std::chrono::milliseconds OrderLifetime{2500};
  static constexpr std::chrono::milliseconds CallLimit{700};
  /// A member whose promotion was refused does not run, or not yet again.
  static constexpr std::chrono::milliseconds RefusedMemberPause{1500};
  /// Pause after an attempt that did not lead to an order.
  static constexpr std::chrono::milliseconds AttemptPause{300};
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
    std::uint64_t ClaimRevision = 0;
    TimePoint ClaimSeen{};
    std::map<std::string, TimePoint> RefusedAt;
    std::optional<TimePoint> LeavingSince;
  };

  Task<void> run();
  bool isDue(ProxyGroup &Group, GroupDuty &Duty, TimePoint Now);
  Task<void> attempt(std::shared_ptr<ProxyGroup> Group);
  Task<Result<std::uint64_t>> claim(const std::string &Group, GroupDuty &Duty);
  Task<Result<std::string>> chooseMember(ProxyGroup &Group, GroupDuty &Duty);
  Task<void> markDone(const std::string &Group, std::uint64_t Revision);

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  PromotionAuthority &Authority;
  ProxyState &State;
  std::mt19937_64 Random;
  std::map<std::string, GroupDuty> Duties;
  bool Stopped = false;
};

} // namespace lavenderdale
