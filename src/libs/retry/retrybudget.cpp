#include "retrybudget.h"

#include <algorithm>

namespace lavenderdale {

void RetryBudget::countRequest(TimePoint Now) { ++this->slotAt(Now).Requests; }

// Sums the requests of the slots that lie entirely within the window, but the
// retries of all slots that overlap it, so that the limit holds for every
// position of the window.
bool RetryBudget::tryRetry(TimePoint Now) {
  Slot &Current = this->slotAt(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;
  for (const Slot &Each : this->Slots) {
    const std::int64_t Age = Current.Index - Each.Index;
    if (Each.Index < 0 || Age < 0 || Age > Window / SlotLength)
      continue;
    Retries += Each.Retries;
    if (Age < Window / SlotLength)
      Requests += Each.Requests;
  }
  if (Retries >= std::max(Minimum, Requests * Percent / 100))
    return false;
  ++Current.Retries;
  return true;
}

RetryBudget::Slot &RetryBudget::slotAt(TimePoint Now) {
  const std::int64_t Index = Now.time_since_epoch() / SlotLength;
  Slot &Found = this->Slots[static_cast<std::size_t>(Index) % SlotCount];
  if (Found.Index < Index)
    Found = {.Index = Index};
  return Found;
}

} // namespace lavenderdale
