#include "configurationstore.h"

#include <algorithm>

namespace lavenderdale {

void ConfigurationStore::put(ConfigurationObject Change) {
  const auto Known = this->Objects.find(Change.Name);
  if (Known != this->Objects.end() && Known->second.Version >= Change.Version)
    return;
  if (!Change.Deleted) {
    this->Objects.insert_or_assign(Change.Name, std::move(Change));
    return;
  }
  if (Known != this->Objects.end())
    this->Objects.erase(Known);
  this->Deletions[Change.Version] = Change.Name;
}

void ConfigurationStore::trimDeletions() {
  while (this->Deletions.size() > MaxDeletions) {
    this->DeletionsFrom = this->Deletions.begin()->first;
    this->Deletions.erase(this->Deletions.begin());
  }
}

// Resets the deletions, because a list does not contain the deleted objects.
bool ConfigurationStore::applyList(std::uint64_t ListVersion,
                                   std::vector<ConfigurationObject> List) {
  if (ListVersion < this->Version || ListVersion == 0)
    return false;
  this->Objects.clear();
  this->Deletions.clear();
  for (ConfigurationObject &Each : List)
    this->put(std::move(Each));
  this->DeletionsFrom = ListVersion;
  this->Version = ListVersion;
  this->Staged.reset();
  return true;
}

bool ConfigurationStore::applyChange(ConfigurationObject Change) {
  if (Change.Version <= this->Version)
    return false;
  this->Version = Change.Version;
  this->put(std::move(Change));
  this->trimDeletions();
  return true;
}

void ConfigurationStore::advance(std::uint64_t Newer) {
  this->Version = std::max(this->Version, Newer);
}

PullRequest ConfigurationStore::nextRequest() const {
  if (this->Staged && this->Staged->UpTo > 0)
    return {this->Staged->UpTo, this->Staged->Base};
  return {this->Version, this->Version};
}

std::optional<PullAnswer>
ConfigurationStore::answer(const PullRequest &Request) const {
  if (this->Version <= Request.Since)
    return std::nullopt;
  PullAnswer Part;
  Part.Version = this->Version;
  Part.Replaces = Request.Base > 0 && Request.Base < this->DeletionsFrom;
  const std::uint64_t Since = Part.Replaces ? 0 : Request.Since;
  Part.Since = Since;
  std::vector<ConfigurationObject> Changed;
  for (const auto &[Name, Object] : this->Objects)
    if (Object.Version > Since)
      Changed.push_back(Object);
  for (auto Each = this->Deletions.upper_bound(Since);
       Each != this->Deletions.end(); ++Each)
    if (!this->Objects.contains(Each->second))
      Changed.push_back({Each->second, Each->first, true, {}});
  std::ranges::sort(Changed, {}, &ConfigurationObject::Version);
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  // Objects with the same version stay in one part, because UpTo cannot
  // separate them.
  while (Count < Changed.size() &&
         (Bytes < MaxPartBytes ||
          Changed[Count].Version == Changed[Count - 1].Version))
    Bytes += Changed[Count++].Payload.size();
  Part.More = Count < Changed.size();
  Part.UpTo = Part.More ? Changed[Count - 1].Version : this->Version;
  Changed.resize(Count);
  Part.Objects = std::move(Changed);
  return Part;
}

// A part must continue where the received objects end. It also must not come
// from an older version than the last part: objects that changed between the
// two versions would be missing from both.
bool ConfigurationStore::continuesTransfer(const PullAnswer &Part) const {
  if (!this->Staged)
    return Part.Since <= this->Version;
  return Part.Since <= this->Staged->UpTo &&
         Part.Version >= this->Staged->Source;
}

bool ConfigurationStore::applyPart(const PullAnswer &Part) {
  if (Part.Version <= this->Version)
    return false;
  if (Part.Replaces)
    this->Staged.reset();
  if (!this->continuesTransfer(Part)) {
    this->Staged.reset(); // The next request restarts the transfer.
    return false;
  }
  if (!this->Staged) {
    const bool Whole = Part.Replaces || this->Version == 0;
    // Deletions that happen after the first part of a complete configuration
    // arrive with later parts.
    this->Staged = Staging{Whole ? 0 : this->Version,
                           Whole ? Part.Version : this->Version,
                           Part.Version,
                           Whole,
                           {}};
  }
  Staging &Into = *this->Staged;
  Into.Source = Part.Version;
  Into.UpTo = std::max(Into.UpTo, Part.UpTo);
  Into.Received.insert(Into.Received.end(), Part.Objects.begin(),
                       Part.Objects.end());
  if (Part.More)
    return false;
  this->install(Part.Version);
  return true;
}

void ConfigurationStore::install(std::uint64_t NewVersion) {
  Staging Complete = std::move(*this->Staged);
  this->Staged.reset();
  if (Complete.Whole) {
    this->Objects.clear();
    this->Deletions.clear();
    this->DeletionsFrom = NewVersion;
  }
  for (ConfigurationObject &Each : Complete.Received)
    this->put(std::move(Each));
  this->trimDeletions();
  this->Version = NewVersion;
}

} // namespace lavenderdale
