#include "statustable.h"

#include <algorithm>

namespace lavenderdale {
namespace {

// An update that each informed host sends this often reaches all of 490 hosts
// with high probability: 3 * log2(490) = 27.
constexpr unsigned SendsPerUpdate = 27;

bool isNewer(const HostStatus &News, const HostStatus &Known) {
  if (News.Key.Generation != Known.Key.Generation)
    return News.Key.Generation > Known.Key.Generation;
  if (Known.State == HostState::Leaving || News.State == HostState::Leaving)
    return Known.State != HostState::Leaving;
  if (News.Incarnation != Known.Incarnation)
    return News.Incarnation > Known.Incarnation;
  return News.State > Known.State;
}

} // namespace

bool StatusTable::merge(const HostStatus &News) {
  const auto Found = this->Entries.find(News.Key.Name);
  if (Found != this->Entries.end() && !isNewer(News, Found->second.Status))
    return false;
  // Hosts are assumed to be alive, so the first sign of life is no news.
  const bool Spread = Found != this->Entries.end() ||
                      News.State != HostState::Alive || News.Incarnation > 0;
  this->Entries[News.Key.Name] = {News, Spread ? SendsPerUpdate : 0};
  return true;
}

const HostStatus *StatusTable::find(std::string_view Name) const {
  const auto Found = this->Entries.find(Name);
  return Found == this->Entries.end() ? nullptr : &Found->second.Status;
}

bool StatusTable::isUsable(const HostKey &Key) const {
  return !this->isSuspected(Key) && !this->isDeparted(Key);
}

bool StatusTable::isSuspected(const HostKey &Key) const {
  const HostStatus *Known = this->find(Key.Name);
  return Known && Known->Key == Key && Known->State == HostState::Suspected;
}

bool StatusTable::isDeparted(const HostKey &Key) const {
  const HostStatus *Known = this->find(Key.Name);
  if (!Known)
    return false;
  return Known->Key.Generation > Key.Generation ||
         (Known->Key == Key && Known->State == HostState::Leaving);
}

std::vector<HostStatus> StatusTable::takeUpdates(std::string_view Peer) {
  std::vector<HostStatus> Updates;
  const HostStatus *OfPeer = this->find(Peer);
  if (OfPeer && OfPeer->State == HostState::Suspected)
    Updates.push_back(*OfPeer);
  std::vector<Entry *> Pending;
  for (auto &[Name, Each] : this->Entries)
    if (Each.SendsLeft > 0 && Name != Peer)
      Pending.push_back(&Each);
  std::ranges::stable_sort(Pending, std::ranges::greater(), &Entry::SendsLeft);
  for (Entry *Each : Pending) {
    if (Updates.size() >= MaxUpdates)
      break;
    --Each->SendsLeft;
    Updates.push_back(Each->Status);
  }
  return Updates;
}

void StatusTable::retainMembers(const MemberSet &Set) {
  std::erase_if(this->Entries, [&Set](const auto &Item) {
    const HostKey &Key = Item.second.Status.Key;
    const HostMember *Member = Set.find(Key.Name);
    return !Member || Member->Key.Generation > Key.Generation;
  });
}

} // namespace lavenderdale
