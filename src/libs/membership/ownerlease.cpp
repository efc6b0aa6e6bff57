#include "ownerlease.h"

#include <algorithm>
#include <functional>

namespace lavenderdale {

OwnerLease::OwnerLease(HostKey Self) : Self(std::move(Self)) {}

void OwnerLease::heard(const std::string &Name, TimePoint At) {
  const auto [Entry, Inserted] = this->HeardAt.try_emplace(Name, At);
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
  this->heard(Answer.News.Sender.Key.Name, SentAt);
  if (Answer.News.Epoch != Epoch || Answer.Contacts.size() != Domain.size())
    return;
  for (std::size_t I = 0; I < Domain.size(); ++I) {
    if (Answer.Contacts[I] == UnknownContact)
      continue;
    this->heard(Domain[I].Key.Name,
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
  std::erase_if(this->HeardAt, IsGone);
  std::erase_if(this->Epochs, IsGone);
}

bool OwnerLease::isValid(TimePoint Now, const std::vector<HostMember> &Domain,
                         const std::set<HostKey> &Agreed) const {
  if (Domain.size() == 1)
    return true;
  if (!this->RenewedUntil || Now >= *this->RenewedUntil)
    return false;
  const std::size_t Removable = maxRemovedTogether(Domain.size());
  if (Removable < 2)
    return true;
  const auto Count = std::ranges::count_if(
      Domain, [this, Now, &Agreed](const HostMember &Member) {
        if (Member.Key == this->Self)
          return true;
        const auto Found = this->HeardAt.find(Member.Key.Name);
        return !Agreed.contains(Member.Key) && Found != this->HeardAt.end() &&
               Now < Found->second + ContactWindow;
      });
  return static_cast<std::size_t>(Count) > Removable;
}

TimePoint OwnerLease::validUntil(TimePoint Now,
                                 const std::vector<HostMember> &Domain,
                                 const std::set<HostKey> &Agreed) const {
  if (Domain.size() == 1)
    return Now + Length;
  if (!this->RenewedUntil)
    return Now;
  const TimePoint Until = std::min(*this->RenewedUntil, Now + Length);
  const std::size_t Removable = maxRemovedTogether(Domain.size());
  if (Removable < 2)
    return Until;
  std::vector<TimePoint> Ends;
  for (const HostMember &Member : Domain) {
    const auto Found = this->HeardAt.find(Member.Key.Name);
    if (Member.Key != this->Self && !Agreed.contains(Member.Key) &&
        Found != this->HeardAt.end())
      Ends.push_back(Found->second + ContactWindow);
  }
  // With this host there are more than Removable signs of life for as long as
  // there are Removable of others.
  if (Ends.size() < Removable)
    return Now;
  std::ranges::sort(Ends, std::greater<>());
  return std::min(Until, Ends[Removable - 1]);
}

std::uint64_t OwnerLease::epochOf(const HostMember &Member) const {
  const auto Found = this->Epochs.find(Member.Key.Name);
  const std::uint64_t Known = Found == this->Epochs.end() ? 0 : Found->second;
  return std::max(Known, Member.Joined);
}

bool OwnerLease::allReached(std::uint64_t Epoch,
                            const std::vector<HostMember> &Domain) const {
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
    const auto Found = this->HeardAt.find(Member.Key.Name);
    if (Member.Key == this->Self) {
      Age = 0;
    } else if (Found != this->HeardAt.end() && this->epochOf(Member) >= Epoch) {
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
