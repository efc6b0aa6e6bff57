#include "ownedrate.h"

#include <algorithm>

namespace lavenderdale {

OwnedRate::OwnedRate(std::optional<double> ReportedUse, BootTime Now)
    : Rate(Now), StartedAt(Now), AskedAt(Now),
      TookOver(ReportedUse.has_value()) {
  if (ReportedUse)
    this->Rate.setReportedPriorUse(*ReportedUse);
}

// An owner that reported its use has not left as planned, so the path to it may
// be cut, and the paths to all others as well. Hosts that were heard since show
// how much of the fleet is on this side.
double OwnedRate::fraction(const FleetContact &Contact, BootTime Now) const {
  if (!this->isTakingOver(Contact.Lifetime, Now))
    return Contact.Lowest;
  const double Heard = static_cast<double>(Contact.HeardSince) /
                       static_cast<double>(std::max<std::size_t>(
                           {Contact.Hosts, Contact.HeardSince, 1}));
  return std::min(Contact.Lowest, Heard);
}

bool OwnedRate::admit(const FleetContact &Contact, BootTime Now) {
  this->AskedAt = Now;
  this->Rate.setFraction(this->fraction(Contact, Now));
  return this->Rate.admit(1, Now);
}

} // namespace lavenderdale
