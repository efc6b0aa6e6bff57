#include "fleetview.h"

#include <algorithm>

namespace lavenderdale {

void FleetView::setRegistered(
    const std::map<std::string, Registration> &Registered, BootTime Now) {
  this->Cached.reset();
  for (auto &[Name, Each] : this->Hosts)
    Each.Registered = false;
  for (const auto &[Name, Entry] : Registered) {
    if (Name == this->OwnName)
      continue;
    Host &Each = this->Hosts[Name];
    if (Each.KnownSince == BootTime{})
      Each.KnownSince = Now;
    Each.Registered = true;
    Each.Address = Entry.Address;
    Each.Internal = Entry.Internal;
    if (!Entry.FailureDomain.empty())
      Each.FailureDomain = Entry.FailureDomain;
    // A report is newer than the registration.
    if (!Each.Last)
      Each.Capacity = Entry.Capacity;
  }
  std::erase_if(this->Hosts, [&](const auto &Each) {
    return !Each.second.Registered && !this->isRecentlyHeard(Each.second, Now);
  });
  this->updateHeardTimes();
}

void FleetView::updateHeardTimes() {
  this->HeardTimes.clear();
  for (const auto &[Name, Each] : this->Hosts)
    if (Each.Last)
      this->HeardTimes.push_back(Each.HeardAt);
  std::ranges::sort(this->HeardTimes);
}

void FleetView::recordHeard(Host &Each, BootTime Now) {
  if (Each.Last) {
    const auto Before =
        std::ranges::lower_bound(this->HeardTimes, Each.HeardAt);
    this->HeardTimes.erase(Before);
  }
  Each.HeardAt = Now;
  this->HeardTimes.insert(std::ranges::upper_bound(this->HeardTimes, Now), Now);
}

bool FleetView::recordReport(const HostReport &Report, BootTime Now) {
  if (Report.Host == this->OwnName)
    return false;
  Host &Each = this->Hosts[Report.Host];
  if (Each.KnownSince == BootTime{})
    Each.KnownSince = Now;
  if (Each.Last && (Report.StartedAt < Each.Last->StartedAt ||
                    (Report.StartedAt == Each.Last->StartedAt &&
                     Report.Sequence <= Each.Last->Sequence)))
    return false;
  const bool CountedBefore = this->isCounted(Each, Now);
  const Endpoint AddressBefore = Each.Address;
  const Result<Endpoint> Address = parseEndpoint(Report.Address);
  if (Address)
    Each.Address = Address.value();
  const bool Moved = !(Each.Address == AddressBefore) ||
                     Each.FailureDomain != Report.FailureDomain ||
                     Each.Capacity != Report.Capacity;
  Each.FailureDomain = Report.FailureDomain;
  Each.Capacity = Report.Capacity;
  this->recordHeard(Each, Now);
  Each.Last = Report;
  if (!CountedBefore || Moved || Report.Leaving)
    this->Cached.reset();
  return true;
}

std::size_t FleetView::size(BootTime Now) const {
  return this->counts(Now).Size;
}

std::size_t FleetView::inContact(BootTime Now) const {
  return this->counts(Now).InContact;
}

std::size_t FleetView::assumedInContact(BootTime Now) const {
  return this->counts(Now).AssumedInContact;
}

std::size_t FleetView::heardSince(BootTime Since) const {
  const auto First = std::ranges::lower_bound(this->HeardTimes, Since);
  return static_cast<std::size_t>(this->HeardTimes.end() - First) + 1;
}

std::size_t FleetView::rank(BootTime Now) const {
  return this->counts(Now).Rank;
}

std::uint64_t FleetView::presentRevision(BootTime Now) const {
  return this->counts(Now).Revision;
}

const FleetView::Counts &FleetView::counts(BootTime Now) const {
  if (!this->Cached || Now < this->Cached->CountedAt ||
      Now >= this->Cached->ValidUntil)
    this->Cached = this->count(Now);
  return *this->Cached;
}

FleetView::Counts FleetView::count(BootTime Now) const {
  Counts Sum{1, 1, 1, 0, ++this->Revision, Now, BootTime::max()};
  const std::chrono::milliseconds Contact =
      contactLifetime(this->Hosts.size() + 1);
  const std::chrono::milliseconds Report =
      reportLifetime(this->Hosts.size() + 1);
  const auto ChangesAt = [&Sum, Now](BootTime Time) {
    if (Time > Now)
      Sum.ValidUntil = std::min(Sum.ValidUntil, Time);
  };
  for (const auto &[Name, Each] : this->Hosts) {
    Sum.Size += this->mayBeServing(Each, Now) ? 1 : 0;
    Sum.InContact += this->isInContact(Each, Now) ? 1 : 0;
    const bool HadNoTimeToReport =
        !Each.Last && Each.Registered && Now - Each.KnownSince < Contact;
    Sum.AssumedInContact +=
        HadNoTimeToReport || this->isInContact(Each, Now) ? 1 : 0;
    if (Name < this->OwnName && this->isPresent(Each, Now))
      ++Sum.Rank;
    for (const BootTime Since : {Each.HeardAt, Each.KnownSince}) {
      ChangesAt(Since + Contact);
      ChangesAt(Since + Report);
    }
    // Before, the report alone decides. In fleets whose report interval exceeds
    // the limit, each host would otherwise change the counts with each report.
    if (!this->isRecentlyHeard(Each, Now))
      ChangesAt(std::max(Each.HeardAt, Each.KnownSince) + SilenceLimit);
  }
  return Sum;
}

bool FleetView::mayBeServing(const Host &Each, BootTime Now) const {
  if (this->isRecentlyHeard(Each, Now))
    return !Each.Last->Leaving;
  const BootTime SilentSince = std::max(Each.HeardAt, Each.KnownSince);
  return Each.Registered && Now - SilentSince < SilenceLimit;
}

bool FleetView::isInContact(const Host &Each, BootTime Now) const {
  return Each.Last &&
         Now - Each.HeardAt < contactLifetime(this->Hosts.size() + 1);
}

bool FleetView::isCounted(const Host &Each, BootTime Now) const {
  return this->isInContact(Each, Now) && this->isRecentlyHeard(Each, Now) &&
         !Each.Last->Leaving;
}

std::vector<const FleetView::Host *>
FleetView::recentlyHeard(BootTime Now) const {
  std::vector<const Host *> Found;
  for (const auto &[Name, Each] : this->Hosts)
    if (this->isRecentlyHeard(Each, Now))
      Found.push_back(&Each);
  return Found;
}

std::map<std::string, const FleetView::Host *>
FleetView::present(BootTime Now) const {
  std::map<std::string, const Host *> Found;
  for (const auto &[Name, Each] : this->Hosts)
    if (this->isPresent(Each, Now))
      Found.emplace_hint(Found.end(), Name, &Each);
  return Found;
}

std::vector<std::string> FleetView::silentHosts(BootTime Now) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : this->Hosts)
    if (Each.Registered &&
        Now - std::max(Each.HeardAt, Each.KnownSince) >= SilenceLimit)
      Names.push_back(Name);
  return Names;
}

bool FleetView::isPresent(const Host &Each, BootTime Now) const {
  if (Each.Last)
    return this->isRecentlyHeard(Each, Now) && !Each.Last->Leaving;
  return Each.Registered && !Each.FailureDomain.empty() &&
         Now - Each.KnownSince < reportLifetime(this->Hosts.size() + 1);
}

bool FleetView::isRecentlyHeard(const Host &Each, BootTime Now) const {
  return Each.Last &&
         Now - Each.HeardAt < reportLifetime(this->Hosts.size() + 1);
}

} // namespace lavenderdale
