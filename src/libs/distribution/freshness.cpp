#include "freshness.h"

#include <algorithm>
#include <ranges>

namespace lavenderdale {
namespace {

bool isWithin(const std::optional<TimePoint> &At, Duration Limit,
              TimePoint Now) {
  return At && Now < *At + Limit;
}

} // namespace

Freshness::Freshness(std::string Own) : Own(std::move(Own)) {}

void Freshness::setDomains(std::set<std::string> NewDomains) {
  this->Domains = std::move(NewDomains);
  this->Domains.insert(this->Own);
  std::erase_if(this->Unreachable, [this](const auto &Item) {
    return !this->Domains.contains(Item.first);
  });
}

void Freshness::confirm(std::uint64_t PlatformVersion, TimePoint At,
                        std::uint64_t VersionInForce) {
  if (PlatformVersion > VersionInForce) {
    if (!this->AwaitedAt || At > *this->AwaitedAt) {
      this->AwaitedAt = At;
      this->AwaitedVersion = PlatformVersion;
    }
    return;
  }
  if (this->ConfirmedAt && At <= *this->ConfirmedAt)
    return;
  this->ConfirmedAt = At;
  this->ConfirmedVersion = PlatformVersion;
}

void Freshness::versionChanged(std::uint64_t VersionInForce) {
  if (!this->AwaitedAt || this->AwaitedVersion > VersionInForce)
    return;
  const TimePoint At = *this->AwaitedAt;
  this->AwaitedAt.reset();
  this->confirm(this->AwaitedVersion, At, VersionInForce);
}

void Freshness::reportUnreachable(const std::string &Domain, TimePoint At) {
  if (!this->Domains.contains(Domain))
    return;
  const auto [Entry, Inserted] = this->Unreachable.try_emplace(Domain, At);
  if (!Inserted)
    Entry->second = std::max(Entry->second, At);
}

void Freshness::reportReachable(const std::string &Domain) {
  this->Unreachable.erase(Domain);
}

void Freshness::update(TimePoint Now, bool UpToDate) {
  // There are reports of known domains only, so equal sizes mean that all
  // domains have reported.
  if (!UpToDate || this->Unreachable.size() != this->Domains.size())
    return;
  const TimePoint At = std::ranges::min(this->Unreachable | std::views::values);
  if (isWithin(At, ReportValid, Now))
    this->OutageAt = std::max(this->OutageAt.value_or(At), At);
}

bool Freshness::isFresh(TimePoint Now) const {
  return isWithin(this->ConfirmedAt, ConfirmationValid, Now) ||
         isWithin(this->OutageAt, ReportValid, Now);
}

bool Freshness::needsConfirmation(TimePoint Now) const {
  return !isWithin(this->ConfirmedAt, ConfirmationValid, Now) &&
         !isWithin(this->OutageAt, ConfirmationValid, Now);
}

bool Freshness::mayAcceptKeys(TimePoint Now) const {
  return isWithin(this->ConfirmedAt, KeysValid, Now) ||
         isWithin(this->OutageAt, KeysValid, Now);
}

} // namespace lavenderdale
