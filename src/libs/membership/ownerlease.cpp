#include "ownerlease.h"

#include <algorithm>
#include <functional>

namespace lavenderdale {

OwnerLease::OwnerLease(HostKey Self) : Self(std::move(Self)) {}

void OwnerLease::recordContact(const std::string &Name, TimePoint At) {
  const auto [Entry, Inserted] = this->LastContact.try_emplace(Name, At);
  if (!Inserted)
    Entry->second = std::max(Entry->second, At);
}

void OwnerLease::sawEpoch(const std::string &Name, std::uint64_t Epoch) {
  std::uint64_t &Known = this->Epochs[Name];
  Known = std::max(Known, Epoch);
}

void OwnerLease::renew(const HeartbeatAnswer &Answer, TimePoint SentAt,
                       const std::vector<HostMember> &Domain,
                       std::uint64_t Epoch) {
  const TimePoint Until = SentAt + Length;
  this->RenewedUntil = std::max(this->RenewedUntil.value_or(Until), Until);
  this->recordContact(Answer.Gossip.Sender.Key.Name, SentAt);
  if (Answer.Gossip.Epoch != Epoch || Answer.Contacts.size() != Domain.size())
    return;
  for (std::size_t I = 0; I < Domain.size(); ++I) {
    if (Answer.Contacts[I] == UnknownContact)
      continue;
    this->recordContact(Domain[I].Key.Name,
                        SentAt - std::chrono::seconds(Answer.Contacts[I]));
    this->sawEpoch(Domain[I].Key.Name, Epoch);
  }
}

void OwnerLease::retainMembers(const std::vector<HostMember> &Domain) {
  const auto IsGone = [&Domain](const auto &Item) {
    return std::ranges::none_of(Domain, [&Item](const HostMember &Member) {
      return Member.Key.Name == Item.first;
    });
  };
  std::erase_if(this->LastContact, IsGone);
  std::erase_if(this->Epochs, IsGone);
}

TimePoint OwnerLease::contactUntil(const HostMember &Member) const {
  if (Member.Key == this->Self)
    return TimePoint::max();
  const auto Found = this->LastContact.find(Member.Key.Name);
  return Found == this->LastContact.end() ? TimePoint::min()
                                          : Found->second + ContactWindow;
}

std::optional<TimePoint>
OwnerLease::validUntil(TimePoint Now, const std::vector<HostMember> &Domain,
                       const std::set<HostKey> &Agreed) const {
  if (Domain.size() == 1)
    return Now + Length;
  if (!this->RenewedUntil || Now >= *this->RenewedUntil)
    return std::nullopt;
  const std::size_t Removable = maxRemovedTogether(Domain.size());
  if (Removable < 2)
    return this->RenewedUntil;
  std::vector<TimePoint> Contacts;
  for (const HostMember &Member : Domain)
    if (!Agreed.contains(Member.Key))
      Contacts.push_back(this->contactUntil(Member));
  if (Contacts.size() <= Removable)
    return std::nullopt;
  // When this contact expires, only Removable contacts are left.
  const auto Last = Contacts.begin() + static_cast<std::ptrdiff_t>(Removable);
  std::ranges::nth_element(Contacts, Last, std::greater());
  if (Now >= *Last)
    return std::nullopt;
  return std::min(*this->RenewedUntil, *Last);
}

std::uint64_t OwnerLease::epochOf(const HostMember &Member) const {
  const auto Found = this->Epochs.find(Member.Key.Name);
  const std::uint64_t Known = Found == this->Epochs.end() ? 0 : Found->second;
  return std::max(Known, Member.Joined);
}

bool OwnerLease::allMembersReached(
    std::uint64_t Epoch, const std::vector<HostMember> &Domain) const {
  return std::ranges::all_of(Domain, [this, Epoch](const HostMember &Member) {
    return Member.Key == this->Self || this->epochOf(Member) >= Epoch;
  });
}

std::vector<std::uint8_t>
OwnerLease::contacts(TimePoint Now, const std::vector<HostMember> &Domain,
                     std::uint64_t Epoch) const {
  std::vector<std::uint8_t> Ages;
  Ages.reserve(Domain.size());
  for (const HostMember &Member : Domain) {
    std::uint8_t Age = UnknownContact;
    const auto Found = this->LastContact.find(Member.Key.Name);
    if (Member.Key == this->Self) {
      Age = 0;
    } else if (Found != this->LastContact.end() &&
               this->epochOf(Member) >= Epoch) {
      const auto Seconds =
          std::chrono::ceil<std::chrono::seconds>(Now - Found->second).count();
      Age = static_cast<std::uint8_t>(
          std::clamp<std::int64_t>(Seconds, 0, UnknownContact - 1));
    }
    Ages.push_back(Age);
  }
  return Ages;
}

} // namespace lavenderdale
