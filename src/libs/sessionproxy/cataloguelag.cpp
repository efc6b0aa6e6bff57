#include "cataloguelag.h"

#include <algorithm>

namespace lavenderdale {

bool CatalogueLag::reportReceived(std::uint64_t Reported,
                                  std::uint64_t OwnVersion, TimePoint Now) {
  this->Newest = std::max(this->Newest, Reported);
  if (OwnVersion >= this->Newest || OwnVersion != this->Own)
    this->BehindSince.reset();
  this->Own = OwnVersion;
  if (OwnVersion >= this->Newest)
    return false;
  if (!this->BehindSince)
    this->BehindSince = Now;
  return Reported > OwnVersion && Now - *this->BehindSince >= FetchDelay;
}

void CatalogueLag::fetchEnded(TimePoint Now) { this->BehindSince = Now; }

} // namespace lavenderdale
