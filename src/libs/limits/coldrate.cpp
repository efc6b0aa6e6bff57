#include "coldrate.h"

#include <algorithm>

namespace lavenderdale {

std::optional<std::size_t> ColdRate::permitted(double PerSecond,
                                               const ColdTolerance &Tolerance,
                                               bool FirstHolder) {
  if (PerSecond <= 0)
    return std::nullopt;
  const double Excess = PerSecond * (Tolerance.Factor - 1) + Tolerance.Requests;
  const double Part = FirstHolder ? PerSecond : Excess * StandInShare;
  return static_cast<std::size_t>(std::max(1.0, Part));
}

bool ColdRate::hasRoom(std::size_t Limit, TimePoint Now) {
  while (!this->Sent.empty() && Now - this->Sent.front() >= Window)
    this->Sent.pop_front();
  return this->Sent.size() < Limit;
}

} // namespace lavenderdale
