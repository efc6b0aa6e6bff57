#include "lineage.h"

#include <algorithm>

namespace lavenderdale {

Result<void> Lineage::append(Term InTerm, LogPosition Start) {
  if (InTerm <= this->newest())
    return failure(ErrorKind::BadRequest,
                   "term " + std::to_string(InTerm.Value) +
                       " does not follow term " +
                       std::to_string(this->newest().Value));
  if (this->Entries.size() == MaxEntries)
    this->Entries.erase(this->Entries.begin());
  this->Entries.push_back({InTerm, Start});
  return success();
}

void Lineage::dropAbove(Term Last) {
  std::erase_if(this->Entries, [&](const Entry &E) { return E.InTerm > Last; });
}

Term Lineage::newest() const {
  return this->Entries.empty() ? Term{} : this->Entries.back().InTerm;
}

WriteStatus Lineage::writeStatus(const Position &Written) const {
  const auto Found =
      std::find_if(this->Entries.begin(), this->Entries.end(),
                   [&](const Entry &E) { return E.InTerm == Written.InTerm; });
  if (Found == this->Entries.end())
    return WriteStatus::Unknown;
  const bool Survived =
      std::all_of(Found + 1, this->Entries.end(),
                  [&](const Entry &E) { return Written.Log <= E.Start; });
  return Survived ? WriteStatus::Survived : WriteStatus::Lost;
}

} // namespace lavenderdale
