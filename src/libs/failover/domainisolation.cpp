#include "domainisolation.h"

namespace lavenderdale {

void DomainIsolation::update(bool OthersSilent, TimePoint Now) {
  if (!OthersSilent) {
    this->SilentSince.reset();
    this->Moved = false;
  } else if (!this->SilentSince) {
    this->SilentSince = Now;
  }
}

bool DomainIsolation::isIsolated(TimePoint Now) const {
  return this->SilentSince && Now - *this->SilentSince >= ConfirmationTime;
}

bool DomainIsolation::takeMoveSessions(TimePoint Now) {
  const bool Due = this->SilentSince && !this->Moved &&
                   Now - *this->SilentSince >= ConfirmationTime + BalancerTime;
  this->Moved = this->Moved || Due;
  return Due;
}

} // namespace lavenderdale
