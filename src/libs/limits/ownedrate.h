#pragma once

#include "base/boottime.h"
#include "sharedrate.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace lavenderdale {

/// What a host knows about its contact to the other hosts.
struct FleetContact {
  /// Lowest fraction of the hosts in contact during the last window.
  double Lowest = 1;
  /// Hosts that were heard since the count began, this one included; needed
  /// while OwnedRate::isTakingOver().
  std::size_t HeardSince = 1;
  std::size_t Hosts = 1; ///< Hosts of the fleet, this one included.
  /// Age up to which a report counts as contact.
  std::chrono::milliseconds Lifetime{};
};

/// The count of a workspace's operations at the host that owns its rate in a
/// large fleet.
///
/// Load pattern: a workspace sends many times its limit to all hosts while a
/// third of them is cut off, each from all others. Each of these hosts finds
/// the owner silent and becomes an owner itself. Until it notices that it has
/// no contact, each would grant what the silent owner had left of the limit.
class OwnedRate {
public:
  /// \param ReportedUse operations that the owner before this one admitted in
  ///        the window before \p Now, if it reported them lately.
  OwnedRate(std::optional<double> ReportedUse, BootTime Now);

  /// Returns whether the count is out of date at \p Now, because no operation
  /// was counted for a window. Another owner may have counted meanwhile.
  bool isExpired(BootTime Now) const {
    return Now - this->AskedAt >= SharedRate::Window;
  }

  /// Returns whether this host took over from an owner so lately that it does
  /// not know yet which hosts it has contact to.
  /// \param ContactLifetime FleetContact::Lifetime.
  bool isTakingOver(std::chrono::milliseconds ContactLifetime,
                    BootTime Now) const {
    return this->TookOver && Now - this->StartedAt < ContactLifetime;
  }

  /// Counts an operation and returns whether it is within the limit.
  bool admit(const FleetContact &Contact, BootTime Now);

  /// Returns when the count began.
  BootTime startedAt() const { return this->StartedAt; }

  SharedRate &rate() { return this->Rate; }
  const SharedRate &rate() const { return this->Rate; }

private:
  double fraction(const FleetContact &Contact, BootTime Now) const;

  SharedRate Rate;
  BootTime StartedAt;
  BootTime AskedAt; ///< When an operation was last counted.
  bool TookOver;    ///< The owner before reported its use lately.
};

} // namespace lavenderdale
