#include "demandmeter.h"

#include <algorithm>

namespace lavenderdale {

void DemandMeter::add(std::int64_t Amount, TimePoint Now) {
  this->roll(Now);
  this->Current += Amount;
}

std::int64_t DemandMeter::perWindow(TimePoint Now) const {
  const Duration Age = Now - this->Start;
  if (Age >= 2 * this->Window)
    return 0;
  if (Age >= this->Window)
    return this->Current;
  return std::max(this->Current, this->Previous);
}

void DemandMeter::roll(TimePoint Now) {
  const Duration Age = Now - this->Start;
  if (Age < this->Window)
    return;
  if (Age < 2 * this->Window) {
    this->Previous = this->Current;
    this->Start += this->Window;
  } else {
    this->Previous = 0;
    this->Start = Now;
  }
  this->Current = 0;
}

} // namespace lavenderdale
