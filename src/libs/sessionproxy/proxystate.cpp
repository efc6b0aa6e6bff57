#include "proxystate.h"

#include "failover/promotionvote.h"
#include "objectstore.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace lavenderdale {
namespace {

// Time for which a requested promotion is reported to other hosts. It takes
// effect within one or two seconds.
constexpr std::chrono::milliseconds PromotionReportTime{3000};

// Allowance for the transit time of a report on a busy link.
constexpr std::chrono::milliseconds ReportTransit{200};

} // namespace

ProxyState::ProxyState(boost::asio::any_io_executor Executor,
                       const UpstreamProtocol &Protocol, ProxyIdentity Identity,
                       RateTolerance Tolerance,
                       std::chrono::milliseconds EvacuationBound,
                       ColdTolerance ColdUpstreams,
                       MemoryBudget::Limits Allowed)
    : Executor(std::move(Executor)), Protocol(Protocol),
      Identity(std::move(Identity)), Tolerance(Tolerance),
      ColdUpstreams(ColdUpstreams),
      Memory(std::make_shared<MemoryBudget>(Allowed, steadyNow())),
      Access(this->Executor,
             {this->Identity.Host, this->Identity.FailureDomain,
              this->Identity.Capacity},
             EvacuationBound, this->Metrics),
      Fleet(this->Identity.Host) {}

void ProxyState::offerCatalogue(std::shared_ptr<const SessionCatalogue> Offered,
                                const std::string &Source) {
  if (this->Catalogue && Offered->Version <= this->Catalogue->Version)
    return;
  logInfo("event=catalogue_in_force version=" +
          std::to_string(Offered->Version) + " before=" +
          std::to_string(this->Catalogue ? this->Catalogue->Version : 0) +
          " routes=" + std::to_string(Offered->Routes.size()) +
          " source=" + Source);
  this->Catalogue = std::move(Offered);
  std::map<std::string, double> Rates;
  for (const auto &[Name, Workspace] : this->Catalogue->Workspaces) {
    this->setLimits(
        this->Rates.try_emplace(Name, this->StartedAt).first->second,
        Workspace);
    Rates[Name] = Workspace.Rate;
  }
  this->Access.setRates(std::move(Rates));
  std::erase_if(this->Rates, [this](const auto &Each) {
    return !this->Catalogue->Workspaces.count(Each.first);
  });
  this->applyUpstreams();
  this->AppliedHosts = 0;
  this->applyFleet();
}

void ProxyState::setLimits(SharedRate &Rate,
                           const SessionWorkspace &Workspace) const {
  Rate.setLimits(Workspace.Rate, Workspace.Burst);
  Rate.setPriorUseTolerance(
      PriorUseToleranceShare *
      (Rate.limit() * this->Tolerance.Fraction + this->Tolerance.Operations));
}

void ProxyState::offerEvacuations(const EvacuationSet &Read,
                                  const std::string &Source) {
  const Evacuations::Change Change =
      this->Access.evacuations().offer(Read, steadyNow());
  if (Change.empty())
    return;
  const std::string Origin =
      " " + describeRevision(Read.Revision) + " source=" + Source;
  for (const std::string &Each : Change.Withdrawn)
    logInfo(std::string("event=evacuation_withdrawn domain=")
                .append(Each)
                .append(Origin));
  this->applyUpstreams();
  for (const EvacuationProgress &Each : this->evacuationProgress()) {
    if (std::ranges::find(Change.Ordered, Each.Domain) == Change.Ordered.end())
      continue;
    logInfo("event=evacuation_ordered domain=" + Each.Domain +
            " upstreams=" + std::to_string(Each.Upstreams) +
            " connections=" + std::to_string(Each.Connections) + Origin);
    // A host that starts reads the orders before the upstreams.
    if (Each.Upstreams == 0 && this->Directory.size() > 0)
      logWarn("event=evacuation_without_upstreams domain=" + Each.Domain);
  }
  if (!Read.canBeTold())
    logWarn("event=evacuations_not_told domains=" +
            std::to_string(Read.Domains.size()) +
            " max=" + std::to_string(EvacuationSet::MaxToldDomains));
}

std::vector<ProxyState::EvacuationProgress> ProxyState::evacuationProgress() {
  std::vector<EvacuationProgress> All;
  const Evacuations &Orders = this->Access.evacuations();
  if (!Orders.current())
    return All;
  for (const std::string &Domain : Orders.current()->Domains) {
    EvacuationProgress Each;
    Each.Domain = Domain;
    Each.Revision = Orders.find(Domain)->Revision;
    for (const auto &[Name, Group] : this->Groups)
      for (const auto &[Id, Client] : Group->gates()) {
        if (Client->entry().FailureDomain != Domain)
          continue;
        ++Each.Upstreams;
        Each.Connections += Client->pool().connections();
      }
    All.push_back(std::move(Each));
  }
  return All;
}

void ProxyState::applyUpstreams() {
  const auto ByGroup = this->Directory.byGroup();
  std::set<std::string> Wanted;
  if (this->Catalogue)
    for (const auto &[Name, Group] : this->Catalogue->Groups)
      Wanted.insert(Name);
  for (const std::string &Name : Wanted) {
    std::shared_ptr<ProxyGroup> &Group = this->Groups[Name];
    if (!Group) {
      Group = std::make_shared<ProxyGroup>(this->Executor, this->Protocol,
                                           this->Access, Name,
                                           this->Identity.FailureDomain);
    }
    const auto Members = ByGroup.find(Name);
    Group->setMembers(Members == ByGroup.end() ? std::vector<UpstreamEntry>()
                                               : Members->second);
  }
  std::erase_if(this->Groups, [&Wanted](const auto &Each) {
    if (Wanted.count(Each.first))
      return false;
    Each.second->stop();
    return true;
  });
  this->GroupsByUpstream.clear();
  for (const auto &[Name, Group] : this->Groups)
    for (const auto &[Upstream, Client] : Group->gates())
      this->GroupsByUpstream[Upstream] = Group;
  this->applyGroupSettings();
}

void ProxyState::applyFleet() {
  const BootTime Now = BootClock::now();
  this->Access.setHosts(this->Fleet, Now);
  this->applyGroupSettings();
  const std::size_t Hosts = this->Fleet.size(Now);
  if (Hosts == this->AppliedHosts)
    return;
  this->AppliedHosts = Hosts;
  for (auto &[Name, Rate] : this->Rates)
    Rate.setReportLifetime(reportLifetime(Hosts));
}

void ProxyState::applyGroupSettings() {
  if (!this->Catalogue)
    return;
  for (const auto &[Name, Group] : this->Groups) {
    const auto Found = this->Catalogue->Groups.find(Name);
    if (Found != this->Catalogue->Groups.end()) {
      Group->setConnectionLimit(Found->second.ConnectionLimit);
      Group->setSynchronousReplicas(Found->second.SynchronousReplicas);
      if (!this->Catalogue->Workspaces.empty())
        Group->setProbeWorkspace(this->Catalogue->Workspaces.begin()->first);
      if (this->Access.evacuations().enabled())
        Group->setColdRate(Found->second.ColdPerSecond, this->ColdUpstreams);
    }
  }
}

void ProxyState::applyReport(const HostReport &Report) {
  const BootTime Now = BootClock::now();
  if (!this->Fleet.recordReport(Report, Now))
    return;
  this->confirmFrom(Report, Now);
  if (Report.Evacuated)
    this->offerEvacuations(*Report.Evacuated, Report.Host);
  if (this->Fleet.size(Now) <= SmallFleet)
    this->applyDemands(Report, Now);
  else
    for (const DemandReport &Each : Report.Demands)
      this->ReportedUses[Each.Workspace] = {Each.Used, Now};
  const TimePoint Steady = steadyNow();
  for (const GroupReport &Each : Report.Groups) {
    const std::shared_ptr<ProxyGroup> Group = this->findGroup(Each.Group);
    if (!Group)
      continue;
    const bool Proven =
        Each.PrimaryProofAgeMs >= 0 &&
        Each.PrimaryProofAgeMs < PromotionLimits().RecentProofAge.count();
    if (!Each.PromotionOrdered.empty()) {
      // The first report of an order; the store tells which one it is.
      if (!Group->tracker().orderedWithin(PrimaryTracker::PromotionTimeout,
                                          Steady))
        Group->requireOrders();
      Group->promotionOrdered(Each.PromotionOrdered);
    } else if (!Proven && this->Access.promotionRank(Each.Group) <
                              UpstreamAccess::PromoterCount)
      Group->recordTroubleOfOthers(Steady);
  }
  this->Access.recordReport(Report.Host, Steady);
}

// A large fleet does not divide rates by demand.
void ProxyState::applyDemands(const HostReport &Report, BootTime Now) {
  // The report leaves out workspaces without demand.
  std::map<std::string, SharedRate::Report> UsageByWorkspace;
  for (const DemandReport &Each : Report.Demands)
    UsageByWorkspace[Each.Workspace] = {
        Report.StartedAt, Report.Leaving ? 0 : Each.Demand, Each.Used};
  for (auto &[Name, Rate] : this->Rates) {
    const auto Found = UsageByWorkspace.find(Name);
    Rate.report(Report.Host,
                Found == UsageByWorkspace.end()
                    ? SharedRate::Report{Report.StartedAt, 0, 0}
                    : Found->second,
                Now);
  }
}

// In a small fleet, each host queries the store often enough itself.
void ProxyState::confirmFrom(const HostReport &Report, BootTime Now) {
  if (this->Fleet.size(Now) <= SmallFleet || Report.CatalogueAgeMs < 0 ||
      !this->Catalogue || Report.CatalogueVersion != this->Catalogue->Version)
    return;
  const TimePoint At = steadyNow() - ReportTransit -
                       std::chrono::milliseconds(Report.CatalogueAgeMs);
  this->ConfirmedAt = std::max(this->ConfirmedAt.value_or(At), At);
}

void ProxyState::supervise(TimePoint Now) {
  this->contactFraction(BootClock::now());
  if (this->Directory.removeExpired(Now))
    this->applyUpstreams();
  for (const auto &[Name, Group] : this->Groups)
    Group->supervise(Now);
}

bool ProxyState::canServe() const {
  if (!this->Catalogue || this->Directory.size() == 0)
    return false;
  return BootClock::now() - this->StartedAt >= GuaranteeWait ||
         std::ranges::all_of(this->Groups, [](const auto &Each) {
           return Each.second->knowsGuarantee();
         });
}

bool ProxyState::confirmed(TimePoint Now) const {
  return this->ConfirmedAt &&
         Now - *this->ConfirmedAt < CatalogueConfirmationLifetime;
}

Result<std::string> ProxyState::admitSession(const SessionStart &Start,
                                             TimePoint Now) const {
  const Error Stale = failure(ErrorKind::ConfigurationStale,
                              "the catalogue could not be confirmed lately");
  if (!this->Catalogue)
    return Stale;
  const SessionRoute *Route = this->Catalogue->findRoute(Start.Database);
  if (!Route)
    return this->confirmed(Now) ? failure(ErrorKind::UnknownRoute,
                                          "no database " + Start.Database)
                                : Stale;
  const SessionWorkspace *Owner =
      this->Catalogue->findWorkspaceByKey(Start.Key);
  if (Owner)
    return Owner->Name;
  if (Route->AllowsAnonymous)
    return std::string();
  if (!this->confirmed(Now))
    return Stale;
  return failure(Start.Key.empty() ? ErrorKind::MissingKey : ErrorKind::BadKey,
                 "the key is not known");
}

boost::asio::awaitable<Result<void>>
ProxyState::admitOperation(std::string Workspace) {
  if (this->Fleet.size(BootClock::now()) <= SmallFleet)
    co_return this->admitWithShares(Workspace, BootClock::now());
  const Result<void> Admitted = co_await this->admitByOwner(Workspace);
  if (Admitted)
    this->Metrics.Operations.add();
  co_return Admitted;
}

// An owner that cannot be reached is replaced by the next one, which all hosts
// that cannot reach it ask. Limited, because each silent owner costs a timeout.
boost::asio::awaitable<Result<void>>
ProxyState::admitByOwner(std::string Workspace) {
  constexpr int MaxOwnersAsked = 3;
  std::string Owner = this->Access.rateOwner(Workspace, steadyNow());
  for (int Asked = 0; Asked < MaxOwnersAsked; ++Asked) {
    if (Owner == this->Identity.Host)
      co_return this->admitAsOwner(Workspace, BootClock::now());
    const std::optional<std::string> Refusal =
        co_await this->Access.requestAdmission(Owner, Workspace);
    if (Refusal && Refusal->empty())
      co_return success();
    if (Refusal)
      co_return failure(ErrorKind::RateLimited, *Refusal);
    std::string Next = this->Access.rateOwner(Workspace, steadyNow());
    if (Next == Owner)
      break;
    Owner = std::move(Next);
  }
  co_return this->admitWithoutOwner(Workspace, BootClock::now());
}

Result<void> ProxyState::admitWithShares(const std::string &Workspace,
                                         BootTime Now) {
  const auto Found = this->Rates.find(Workspace);
  if (Found == this->Rates.end())
    return success();
  const std::size_t Hosts = this->Fleet.size(Now);
  if (!Found->second.admit(Hosts, Now))
    return rateLimited(Found->second, Hosts, Now);
  this->Metrics.Operations.add();
  return success();
}

/// Returns the operations that another owner of the rate reported in the last
/// window.
std::optional<double> ProxyState::reportedUse(const std::string &Workspace,
                                              BootTime Now) const {
  const auto Reported = this->ReportedUses.find(Workspace);
  if (Reported == this->ReportedUses.end() ||
      Now - Reported->second.At >= SharedRate::Window)
    return std::nullopt;
  return Reported->second.Operations;
}

double ProxyState::contactFraction(BootTime Now) {
  const auto InContact = static_cast<double>(this->Fleet.assumedInContact(Now));
  const auto Known = static_cast<double>(this->Fleet.size(Now));
  this->Contact.record(std::min(1.0, InContact / std::max(Known, 1.0)), Now);
  return this->Contact.lowest(Now);
}

// Hosts without contact may be in another network partition with an owner of
// their own, so their part of the limit is left to that owner. An owner that
// was not asked during a whole window starts anew: another one may have
// admitted operations meanwhile.
Result<void> ProxyState::admitAsOwner(const std::string &Workspace,
                                      BootTime Now) {
  if (!this->Catalogue)
    return success();
  const auto Declared = this->Catalogue->Workspaces.find(Workspace);
  if (Declared == this->Catalogue->Workspaces.end())
    return success();
  auto Found = this->OwnedRates.find(Workspace);
  if (Found == this->OwnedRates.end() || Found->second.isExpired(Now))
    Found =
        this->OwnedRates
            .insert_or_assign(Workspace,
                              OwnedRate(this->reportedUse(Workspace, Now), Now))
            .first;
  OwnedRate &Owned = Found->second;
  this->setLimits(Owned.rate(), Declared->second);
  FleetContact Contact{this->contactFraction(Now), 1, this->Fleet.size(Now),
                       this->Fleet.contactAge()};
  if (Owned.isTakingOver(Contact.Lifetime, Now))
    Contact.HeardSince = this->Fleet.heardSince(Owned.startedAt());
  return Owned.admit(Contact, Now)
             ? success()
             : Result<void>(rateLimited(Owned.rate(), 1, Now));
}

Result<void> ProxyState::admitWithoutOwner(const std::string &Workspace,
                                           BootTime Now) {
  const auto Found = this->Rates.find(Workspace);
  if (Found == this->Rates.end())
    return success();
  SharedRate &Rate = Found->second;
  const std::size_t Hosts = this->Fleet.size(Now);
  const double Share =
      Rate.limit() * ShareWithoutOwner / static_cast<double>(Hosts);
  if (Rate.used(Hosts, Now) + 1 <= Share && Rate.admit(Hosts, Now))
    return success();
  return rateLimited(Rate, Hosts, Now);
}

Error ProxyState::rateLimited(const SharedRate &Rate, std::size_t Hosts,
                              BootTime Now) {
  return failure(
      ErrorKind::RateLimited,
      "retry-after-ms=" + std::to_string(Rate.retryAfter(Now).count()) +
          " used=" + std::to_string(std::lround(Rate.usedByAll(Hosts, Now))) +
          " limit=" + std::to_string(std::lround(Rate.limit())) +
          " window-ms=" + std::to_string(SharedRate::Window.count()));
}

std::shared_ptr<ProxyGroup>
ProxyState::findGroupOf(const std::string &Upstream) const {
  const auto Found = this->GroupsByUpstream.find(Upstream);
  return Found == this->GroupsByUpstream.end() ? nullptr : Found->second;
}

std::shared_ptr<ProxyGroup>
ProxyState::findGroup(const std::string &Name) const {
  const auto Found = this->Groups.find(Name);
  return Found == this->Groups.end() ? nullptr : Found->second;
}

std::set<std::string> ProxyState::promotersToTell(TimePoint Now) {
  std::set<std::string> Names;
  for (const auto &[Name, Group] : this->Groups) {
    if (!Group->inTrouble())
      continue;
    // The hosts that may replace the primary agree with each report.
    const bool Promoter =
        this->Access.promotionRank(Name) < UpstreamAccess::PromoterCount;
    for (std::string &Each : this->Access.promoters(Name))
      if (Promoter || this->Notices.due(Each, Now))
        Names.insert(std::move(Each));
  }
  return Names;
}

HostReport ProxyState::report(BootTime Now, bool Leaving) {
  constexpr double MinReportedDemand = 0.5; // Operations per second.
  HostReport Report;
  Report.Host = this->Identity.Host;
  Report.FailureDomain = this->Identity.FailureDomain;
  Report.StartedAt = this->Identity.StartedAt;
  Report.Capacity = this->Identity.Capacity;
  Report.Evacuated = this->Access.evacuations().current();
  Report.Sequence = ++this->Sequence;
  Report.CatalogueVersion = this->Catalogue ? this->Catalogue->Version : 0;
  if (this->ConfirmedAt)
    Report.CatalogueAgeMs = std::chrono::ceil<std::chrono::milliseconds>(
                                steadyNow() - *this->ConfirmedAt)
                                .count();
  Report.Leaving = Leaving;
  const std::size_t Hosts = this->Fleet.size(Now);
  const bool Shares = Hosts <= SmallFleet;
  for (const auto &[Name, Rate] : this->Rates) {
    if (!Shares)
      break;
    const double Demand = Rate.demand(Now);
    const double Used = Rate.used(Hosts, Now);
    if (Demand >= MinReportedDemand || Used > 0)
      Report.Demands.push_back({Name, Demand, Used});
  }
  if (!Shares)
    for (const auto &[Name, Owned] : this->OwnedRates) {
      const double Used = Owned.rate().used(1, Now);
      if (Used >= Owned.rate().limit() * ReportedUseShare)
        Report.Demands.push_back({Name, Owned.rate().demand(Now), Used});
    }
  const TimePoint Steady = steadyNow();
  for (const auto &[Name, Group] : this->Groups) {
    GroupReport Each;
    Each.Group = Name;
    if (const std::optional<Duration> Age = Group->tracker().provenAge(Steady))
      Each.PrimaryProofAgeMs =
          std::chrono::duration_cast<std::chrono::milliseconds>(*Age).count();
    Each.Suspects = Group->suspectedSince().has_value();
    const auto Ordered = this->PromotionOrders.find(Name);
    if (Ordered != this->PromotionOrders.end() &&
        Steady - Ordered->second.At < PromotionReportTime)
      Each.PromotionOrdered = Ordered->second.Member;
    // Other hosts need to know who reaches the primary and who does not, but
    // not which hosts did not try.
    const bool Proven =
        Each.PrimaryProofAgeMs >= 0 &&
        Each.PrimaryProofAgeMs < PromotionLimits().RecentProofAge.count();
    if (Proven || Group->inTrouble() || !Each.PromotionOrdered.empty())
      Report.Groups.push_back(std::move(Each));
  }
  return Report;
}

void ProxyState::recordPromotionOrder(const std::string &Group,
                                      const std::string &Member,
                                      TimePoint Now) {
  this->PromotionOrders[Group] = {Member, Now};
}

void ProxyState::updateGauges() {
  this->Metrics.setUse(*this->Memory);
  this->Metrics.CatalogueVersion.set(
      this->Catalogue ? static_cast<std::int64_t>(this->Catalogue->Version)
                      : 0);
  this->Metrics.Hosts.set(
      static_cast<std::int64_t>(this->Fleet.size(BootClock::now())));
  const TimePoint Now = steadyNow();
  std::size_t Connections = 0;
  std::size_t Running = 0;
  std::size_t Waiting = 0;
  std::size_t Limit = 0;
  for (const auto &[Name, Group] : this->Groups)
    for (const auto &[Id, Client] : Group->gates()) {
      const UpstreamPool &Pool = Client->pool();
      Connections += Pool.connections();
      Running += Pool.running();
      Waiting += Pool.waiting();
      if (Client->concurrencyLimit() && Pool.connections() > 0)
        Limit += Client->concurrencyLimit()->limit(Now);
      this->Metrics.RefusedOnArrival.add(Client->takeRefusedOnArrival());
    }
  this->Metrics.UpstreamConnections.set(static_cast<std::int64_t>(Connections));
  const std::optional<EvacuationSet> &Evacuated =
      this->Access.evacuations().current();
  std::size_t Remaining = 0;
  for (const EvacuationProgress &Each : this->evacuationProgress())
    Remaining += Each.Connections;
  std::int64_t Cold = 0;
  for (const auto &[Name, Group] : this->Groups)
    for (const auto &[Id, Client] : Group->gates())
      Cold += Client->isCold(Now) ? 1 : 0;
  this->Metrics.ColdUpstreams.set(Cold);
  this->Metrics.EvacuatedDomains.set(
      static_cast<std::int64_t>(Evacuated ? Evacuated->Domains.size() : 0));
  this->Metrics.EvacuationRevision.set(
      static_cast<std::int64_t>(Evacuated ? Evacuated->Revision : 0));
  this->Metrics.EvacuatedConnections.set(static_cast<std::int64_t>(Remaining));
  this->Metrics.UpstreamRunning.set(static_cast<std::int64_t>(Running));
  this->Metrics.UpstreamWaiting.set(static_cast<std::int64_t>(Waiting));
  this->Metrics.UpstreamLimit.set(static_cast<std::int64_t>(Limit));
}

void ProxyState::stop() {
  for (const auto &[Name, Group] : this->Groups)
    Group->stop();
  this->Groups.clear();
  this->GroupsByUpstream.clear();
}

} // namespace lavenderdale
