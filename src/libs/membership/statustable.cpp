#include "statustable.h"

#include <algorithm>

namespace lavenderdale {
namespace {

// If each host sends an update this many times, it reaches all of 490 hosts
// with high probability: 3 * log2(490) = 27.
constexpr unsigned SendsPerUpdate = 27;

bool isNewer(const HostStatus &Update, const HostStatus &Known) {
  if (Update.Key.Generation != Known.Key.Generation)
    return Update.Key.Generation > Known.Key.Generation;
  if (Known.State == HostState::Leaving || Update.State == HostState::Leaving)
    return Known.State != HostState::Leaving;
  if (Update.Incarnation != Known.Incarnation)
    return Update.Incarnation > Known.Incarnation;
  return Update.State > Known.State;
}

} // namespace

bool StatusTable::merge(const HostStatus &Update) {
  const auto Found = this->Entries.find(Update.Key.Name);
  if (Found != this->Entries.end() && !isNewer(Update, Found->second.Status))
    return false;
  // Hosts are assumed to be alive, so their first status need not be spread.
  const bool Spread = Found != this->Entries.end() ||
                      Update.State != HostState::Alive ||
                      Update.Incarnation > 0;
  this->Entries[Update.Key.Name] = {Update, Spread ? SendsPerUpdate : 0};
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
