#include "upstreamdirectory.h"

namespace lavenderdale {

void UpstreamDirectory::replaceAll(
    const std::map<std::string, UpstreamEntry> &Current, TimePoint Now) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Each] : this->Entries)
    if (!Current.count(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    this->remove(Id, Now);
  for (const auto &[Id, Entry] : Current)
    this->put(Entry);
}

void UpstreamDirectory::put(const UpstreamEntry &Entry) {
  this->Entries[Entry.Id] = {Entry, {}};
}

void UpstreamDirectory::remove(const std::string &Id, TimePoint Now) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end())
    return;
  const bool ExpiredInOutage = this->StoreFailedAt != TimePoint{} &&
                               Now - this->StoreFailedAt < ReregistrationTime &&
                               !Found->second.Entry.Leaving;
  if (!ExpiredInOutage)
    this->Entries.erase(Found);
  else if (Found->second.RemoveAt == TimePoint{})
    Found->second.RemoveAt = this->StoreFailedAt + ReregistrationTime;
}

bool UpstreamDirectory::removeExpired(TimePoint Now) {
  return std::erase_if(this->Entries, [Now](const auto &Each) {
           return Each.second.RemoveAt != TimePoint{} &&
                  Each.second.RemoveAt <= Now;
         }) > 0;
}

std::map<std::string, std::vector<UpstreamEntry>>
UpstreamDirectory::byGroup() const {
  std::map<std::string, std::vector<UpstreamEntry>> Groups;
  for (const auto &[Id, Each] : this->Entries)
    Groups[Each.Entry.Group].push_back(Each.Entry);
  return Groups;
}

} // namespace lavenderdale
