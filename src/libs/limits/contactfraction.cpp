#include "contactfraction.h"

#include <algorithm>

namespace lavenderdale {

std::int64_t ContactFraction::slotOf(BootTime Time) {
  return Time.time_since_epoch() / SlotLength;
}

void ContactFraction::record(double Fraction, BootTime Now) {
  const std::int64_t Number = slotOf(Now);
  Slot &Current =
      this->Slots[static_cast<std::size_t>(Number) % this->Slots.size()];
  if (Current.Number != Number)
    Current = {Number, Fraction};
  Current.Lowest = std::min(Current.Lowest, Fraction);
}

double ContactFraction::lowest(BootTime Now) const {
  const std::int64_t Newest = slotOf(Now);
  double Lowest = 1;
  for (const Slot &Each : this->Slots)
    if (Each.Number >= 0 &&
        Newest - Each.Number <= static_cast<std::int64_t>(SlotCount))
      Lowest = std::min(Lowest, Each.Lowest);
  return Lowest;
}

} // namespace lavenderdale
