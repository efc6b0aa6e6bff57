#include "evacuations.h"

#include <algorithm>

namespace lavenderdale {

bool EvacuationSet::canBeTold() const {
  return this->Domains.size() <= MaxToldDomains &&
         std::ranges::all_of(this->Domains, [](const std::string &Each) {
           return Each.size() <= MaxDomainLength;
         });
}

Evacuations::Change Evacuations::offer(const EvacuationSet &Read,
                                       TimePoint Now) {
  Change Made;
  if (!this->enabled() ||
      (this->Current && Read.Revision <= this->Current->Revision))
    return Made;
  for (const std::string &Each : Read.Domains) {
    // An order that was in force before keeps its deadlines.
    if (this->Orders.contains(Each))
      continue;
    this->Orders[Each] = {
        Read.Revision, Now,
        Now + std::chrono::duration_cast<Duration>(this->Bound *
                                                   TransactionShare),
        Now + std::chrono::duration_cast<Duration>(this->Bound * AnswerShare)};
    Made.Ordered.push_back(Each);
  }
  std::erase_if(this->Orders, [&](const auto &Each) {
    if (Read.Domains.contains(Each.first))
      return false;
    Made.Withdrawn.push_back(Each.first);
    return true;
  });
  this->Current = Read;
  return Made;
}

const Evacuations::Order *
Evacuations::find(const std::string &FailureDomain) const {
  const auto Found = this->Orders.find(FailureDomain);
  return Found == this->Orders.end() ? nullptr : &Found->second;
}

} // namespace lavenderdale
