#include "freshness.h"

#include <algorithm>
#include <functional>

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
  const auto OwnReport = this->Unreachable.find(this->Own);
  if (!UpToDate || OwnReport == this->Unreachable.end())
    return;
  std::vector<TimePoint> Times;
  Times.reserve(this->Unreachable.size());
  for (const auto &[Domain, At] : this->Unreachable)
    Times.push_back(At);
  std::ranges::sort(Times, std::greater());
  const std::size_t Majority = this->Domains.size() / 2 + 1;
  if (Times.size() < Majority)
    return;
  const TimePoint At = std::min(Times[Majority - 1], OwnReport->second);
  if (isWithin(At, ReportValid, Now))
    this->OutageAt = std::max(this->OutageAt.value_or(At), At);
}

bool Freshness::isFresh(TimePoint Now) const {
  return isWithin(this->ConfirmedAt, ConfirmationValid, Now) ||
         isWithin(this->OutageAt, ReportValid, Now);
}

bool Freshness::isDoubtful(TimePoint Now) const {
  return !isWithin(this->ConfirmedAt, ConfirmationValid, Now) &&
         !isWithin(this->OutageAt, ConfirmationValid, Now);
}

bool Freshness::mayServeKeyed(TimePoint Now) const {
  return isWithin(this->ConfirmedAt, KeysValid, Now) ||
         isWithin(this->OutageAt, KeysValid, Now);
}

} // namespace lavenderdale
