#include "verifiedpositions.h"

#include <algorithm>

namespace lavenderdale {

void VerifiedPositions::add(BootTime Sent, const Position &At) {
  // A proof that arrives out of order or is of an older term is ignored.
  if (!this->Entries.empty() &&
      (Sent <= this->Entries.back().Sent || At < this->Entries.back().At))
    return;
  while (!this->Entries.empty() &&
         this->Entries.front().Sent + Retention < Sent)
    this->Entries.pop_front();
  // The last entry may be replaced if the entry before it is within Spacing of
  // the new one.
  if (this->Entries.size() >= 2 &&
      Sent - this->Entries[this->Entries.size() - 2].Sent < Spacing)
    this->Entries.pop_back();
  this->Entries.push_back({Sent, At});
}

std::optional<VerifiedPositions::Proof>
VerifiedPositions::oldestProofSince(BootTime Since) const {
  const auto Found = std::lower_bound(
      this->Entries.begin(), this->Entries.end(), Since,
      [](const Proof &Each, BootTime Time) { return Each.Sent < Time; });
  if (Found == this->Entries.end())
    return std::nullopt;
  return *Found;
}

std::optional<VerifiedPositions::Proof> VerifiedPositions::newestProof() const {
  if (this->Entries.empty())
    return std::nullopt;
  return this->Entries.back();
}

std::optional<Position>
VerifiedPositions::oldestCovering(BootTime Since) const {
  const std::optional<Proof> Found = this->oldestProofSince(Since);
  if (!Found)
    return std::nullopt;
  return Found->At;
}

BootTime VerifiedPositions::newestProofTime() const {
  return this->Entries.empty() ? BootTime{} : this->Entries.back().Sent;
}

std::optional<Position> VerifiedPositions::newestPosition() const {
  if (this->Entries.empty())
    return std::nullopt;
  return this->Entries.back().At;
}

} // namespace lavenderdale
