#include "fleetview.h"

#include <algorithm>

namespace lavenderdale {

void FleetView::setRegistered(
    const std::map<std::string, Registration> &Registered, BootTime Now) {
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
    if (!Entry.FailureDomain.empty())
      Each.FailureDomain = Entry.FailureDomain;
  }
  std::erase_if(this->Hosts, [&](const auto &Each) {
    return !Each.second.Registered && !this->isRecentlyHeard(Each.second, Now);
  });
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
  const Result<Endpoint> Address = parseEndpoint(Report.Address);
  if (Address)
    Each.Address = Address.value();
  Each.FailureDomain = Report.FailureDomain;
  Each.Last = Report;
  Each.HeardAt = Now;
  return true;
}

std::size_t FleetView::size(BootTime Now) const {
  const auto Others = std::count_if(
      this->Hosts.begin(), this->Hosts.end(), [&](const auto &Each) {
        if (this->isRecentlyHeard(Each.second, Now))
          return !Each.second.Last->Leaving;
        const BootTime SilentSince =
            std::max(Each.second.HeardAt, Each.second.KnownSince);
        return Each.second.Registered && Now - SilentSince < SilenceLimit;
      });
  return static_cast<std::size_t>(Others) + 1;
}

std::vector<const FleetView::Host *>
FleetView::recentlyHeard(BootTime Now) const {
  std::vector<const Host *> Found;
  for (const auto &[Name, Each] : this->Hosts)
    if (this->isRecentlyHeard(Each, Now))
      Found.push_back(&Each);
  return Found;
}

std::size_t FleetView::inContact(BootTime Now) const {
  const std::chrono::milliseconds Limit =
      contactLifetime(this->Hosts.size() + 1);
  const auto Others = std::count_if(
      this->Hosts.begin(), this->Hosts.end(), [&](const auto &Each) {
        return Each.second.Last && Now - Each.second.HeardAt < Limit;
      });
  return static_cast<std::size_t>(Others) + 1;
}

std::size_t FleetView::assumedInContact(BootTime Now) const {
  const std::chrono::milliseconds Limit =
      contactLifetime(this->Hosts.size() + 1);
  const auto Unheard = std::count_if(
      this->Hosts.begin(), this->Hosts.end(), [&](const auto &Each) {
        return !Each.second.Last && Each.second.Registered &&
               Now - Each.second.KnownSince < Limit;
      });
  return static_cast<std::size_t>(Unheard) + this->inContact(Now);
}

std::map<std::string, const FleetView::Host *>
FleetView::present(BootTime Now) const {
  std::map<std::string, const Host *> Found;
  for (const auto &[Name, Each] : this->Hosts)
    if (this->isPresent(Each, Now))
      Found.emplace_hint(Found.end(), Name, &Each);
  return Found;
}

std::size_t FleetView::rank(BootTime Now) const {
  const auto Before = std::count_if(
      this->Hosts.begin(), this->Hosts.end(), [&](const auto &Each) {
        return Each.first < this->OwnName && this->isPresent(Each.second, Now);
      });
  return static_cast<std::size_t>(Before);
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
