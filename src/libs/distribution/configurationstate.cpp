#include "configurationstate.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds CheckInterval{2};
// Together with CheckInterval, a confirmation is at most 4.5 s old when the
// next one arrives. In a domain of 70 hosts, a relay gets about 14 queries per
// second.
constexpr milliseconds QueryInterval{2500};
// Interval of queries between relays while the platform does not answer.
// Reports about other domains are then newer than 2 s when they are passed on.
constexpr milliseconds OutageQueryInterval{1000};
// A relay reports the platform as unreachable after this time without answers.
constexpr milliseconds UnreachableAfter{3000};
// Additional time for the answer after the time for which a pull is held.
constexpr seconds PullAnswerTime{2};
constexpr milliseconds RetryInterval{500};
// Pending pulls at relays normally deliver changes faster than this.
constexpr milliseconds CatchUpInterval{500};

} // namespace

ConfigurationState::ConfigurationState(std::string Host,
                                       std::string FailureDomain,
                                       std::mt19937_64 Random)
    : Host(std::move(Host)), FailureDomain(std::move(FailureDomain)),
      Random(Random), Fresh(this->FailureDomain) {
  this->setHosts({}, {});
  this->RelayTurn = this->Random() % 2; // Distributes hosts among the relays.
}

void ConfigurationState::setHosts(std::vector<PlacementHost> NewLive,
                                  std::set<std::string> Domains) {
  this->Live = std::move(NewLive);
  this->Fresh.setDomains(std::move(Domains));
  this->Relays = relaysOf(this->FailureDomain, this->Live);
  // Without a live relay in its domain, a host acts as a relay itself.
  this->Relay =
      this->Relays.empty() ||
      std::ranges::find(this->Relays, this->Host) != this->Relays.end();
  const auto IsGone = [this](const std::string &Name) {
    return std::ranges::find(this->Live, Name, &PlacementHost::Name) ==
           this->Live.end();
  };
  std::erase_if(this->PeerVersions,
                [&](const auto &Item) { return IsGone(Item.first); });
  std::erase_if(this->Pulls, [&](const auto &Item) {
    return IsGone(Item.first) || (this->Relay && Item.second.IsPending);
  });
}

std::vector<ConfigurationAction> ConfigurationState::tick(TimePoint Now) {
  std::vector<ConfigurationAction> Actions;
  this->detectPause(Now);
  this->updateRole(Actions);
  this->checkPlatform(Now, Actions);
  if (this->Relay && !this->platformAnswers(Now))
    this->Fresh.reportUnreachable(this->FailureDomain, Now);
  this->Fresh.update(Now, this->isUpToDate());
  // The version cannot change while no domain reaches the platform.
  if (this->Fresh.outageAt())
    this->learnVersionAfterPause(this->version(), *this->Fresh.outageAt());
  this->queryVersions(Now, Actions);
  this->pull(Now, Actions);
  return Actions;
}

void ConfigurationState::detectPause(TimePoint Now) {
  if (this->LastTick && Now - *this->LastTick >= PauseThreshold) {
    this->ResumedAt = Now;
    this->NextCheck = Now;
    this->NextQuery = Now;
  }
  this->LastTick = Now;
}

void ConfigurationState::learnVersionAfterPause(std::uint64_t Version,
                                                TimePoint SentAt) {
  if (!this->ResumedAt || SentAt < *this->ResumedAt)
    return;
  this->VersionAfterPause = Version;
  this->ResumedAt.reset();
}

// Compares Now with the last tick, because threads that serve callers can run
// before the tick that detects a pause.
bool ConfigurationState::isAwake(TimePoint Now) const {
  return !this->ResumedAt && this->version() >= this->VersionAfterPause &&
         (!this->LastTick || Now - *this->LastTick < PauseThreshold);
}

void ConfigurationState::updateRole(std::vector<ConfigurationAction> &Actions) {
  if (this->Relay == this->WatchStarted)
    return;
  this->WatchStarted = this->Relay;
  this->RelaySince.reset();
  Actions.emplace_back(WatchPlatform{this->Relay});
}

// A new relay counts the platform as answering until its first checks had time
// to fail.
bool ConfigurationState::platformAnswers(TimePoint Now) const {
  if (this->PlatformAnsweredAt &&
      Now - *this->PlatformAnsweredAt < UnreachableAfter)
    return true;
  return !this->RelaySince || Now - *this->RelaySince < UnreachableAfter;
}

void ConfigurationState::checkPlatform(
    TimePoint Now, std::vector<ConfigurationAction> &Actions) {
  if (!this->Relay || Now < this->NextCheck)
    return;
  if (!this->RelaySince)
    this->RelaySince = Now;
  this->NextCheck = Now + CheckInterval;
  Actions.emplace_back(CheckPlatform{});
}

// Relays that cannot reach the platform, or have no usable configuration yet,
// ask a relay of each domain. Other hosts ask one relay of their domain;
// without a usable and recently confirmed configuration, all of them and a
// random host.
std::set<std::string> ConfigurationState::hostsToQuery(TimePoint Now) {
  std::set<std::string> Hosts;
  if (!this->Relay) {
    Hosts.insert(this->nextRelay());
    if (!this->Usable || this->Fresh.needsConfirmation(Now)) {
      Hosts.insert(this->Relays.begin(), this->Relays.end());
      Hosts.insert(this->anyPeer());
    }
  } else if (!this->platformAnswers(Now) || !this->Usable) {
    std::set<std::string> Domains;
    for (const PlacementHost &Each : this->Live)
      Domains.insert(Each.FailureDomain);
    for (const std::string &Domain : Domains) {
      const std::vector<std::string> Candidates = relaysOf(Domain, this->Live);
      Hosts.insert(Candidates[this->Random() % Candidates.size()]);
    }
  }
  Hosts.erase(this->Host);
  Hosts.erase(std::string());
  return Hosts;
}

void ConfigurationState::queryVersions(
    TimePoint Now, std::vector<ConfigurationAction> &Actions) {
  if (Now < this->NextQuery)
    return;
  const bool Outage = this->Relay && !this->platformAnswers(Now);
  this->NextQuery = Now + (Outage ? OutageQueryInterval : QueryInterval);
  for (const std::string &Name : this->hostsToQuery(Now))
    Actions.emplace_back(QueryVersion{Name});
}

std::string ConfigurationState::nextRelay() {
  if (this->Relays.empty())
    return {};
  return this->Relays[this->RelayTurn % this->Relays.size()];
}

std::string ConfigurationState::anyPeer() {
  if (this->Live.empty())
    return {};
  const std::string &Name = this->Live[this->Random() % this->Live.size()].Name;
  return Name == this->Host ? std::string() : Name;
}

// Skips peers with a pull in progress: the connection may have stopped
// responding, which is detected only when the pull expires.
std::string ConfigurationState::newestPeer() const {
  std::string Newest;
  std::uint64_t Highest = this->version();
  for (const auto &[Name, Version] : this->PeerVersions) {
    if (Version <= Highest || this->Pulls.contains(Name))
      continue;
    Highest = Version;
    Newest = Name;
  }
  return Newest;
}

void ConfigurationState::startPull(const std::string &From, bool IsPending,
                                   TimePoint Now,
                                   std::vector<ConfigurationAction> &Actions) {
  if (From.empty() || From == this->Host || this->Pulls.contains(From))
    return;
  const milliseconds Wait =
      IsPending ? milliseconds(PullWait) : milliseconds(0);
  this->Pulls[From] = {From, Now + Wait + PullAnswerTime, IsPending};
  Actions.emplace_back(
      PullConfiguration{From, this->Store.nextRequest(), Wait});
}

// In addition to the pending pull, a host that knows of a newer version pulls
// from the peer that has it, because the relay may be paused or cut off.
void ConfigurationState::pull(TimePoint Now,
                              std::vector<ConfigurationAction> &Actions) {
  const bool Expired = std::erase_if(this->Pulls, [Now](const auto &Item) {
                         return Now >= Item.second.Until;
                       }) > 0;
  if (Expired)
    ++this->RelayTurn;
  const bool HasPending = std::ranges::any_of(
      this->Pulls, [](const auto &Item) { return Item.second.IsPending; });
  if (!this->Relay && !HasPending && Now >= this->NextPull)
    this->startPull(this->nextRelay(), true, Now, Actions);
  if (this->isUpToDate() && this->version() > 0) {
    this->NextCatchUp = Now + CatchUpInterval;
    return;
  }
  if (Now < this->NextCatchUp)
    return;
  this->NextCatchUp = Now + CatchUpInterval;
  const std::string Newest = this->newestPeer();
  this->startPull(Newest.empty() ? this->anyPeer() : Newest, false, Now,
                  Actions);
}

bool ConfigurationState::isUpToDate() const {
  return this->version() >= this->NewestSeen;
}

void ConfigurationState::updateAfterVersionChange() {
  this->NewestSeen = std::max(this->NewestSeen, this->version());
  this->Fresh.versionChanged(this->version());
  if (this->version() > 0 && this->isUpToDate())
    this->Usable = true;
}

void ConfigurationState::onPlatformList(
    std::uint64_t Version, std::vector<ConfigurationObject> Objects) {
  if (this->Store.applyList(Version, std::move(Objects)))
    this->updateAfterVersionChange();
}

void ConfigurationState::onPlatformChange(ConfigurationObject Change) {
  if (this->Store.applyChange(std::move(Change)))
    this->updateAfterVersionChange();
}

void ConfigurationState::onPlatformBookmark(std::uint64_t Version) {
  if (this->version() == 0)
    return;
  this->Store.advance(Version);
  this->updateAfterVersionChange();
}

void ConfigurationState::onPlatformVersion(std::uint64_t Version,
                                           TimePoint SentAt, TimePoint Now) {
  this->PlatformAnsweredAt =
      std::max(this->PlatformAnsweredAt.value_or(SentAt), SentAt);
  this->Fresh.confirm(Version, SentAt, this->version());
  this->learnVersionAfterPause(Version, SentAt);
  if (this->platformAnswers(Now))
    this->Fresh.reportReachable(this->FailureDomain);
}

void ConfigurationState::onPeerVersion(const std::string &Peer,
                                       std::uint64_t Version) {
  if (Peer == this->Host)
    return;
  std::uint64_t &Known = this->PeerVersions[Peer];
  Known = std::max(Known, Version);
  this->NewestSeen = std::max(this->NewestSeen, Version);
}

void ConfigurationState::onVersionReport(const VersionReport &Report,
                                         TimePoint SentAt, TimePoint Now) {
  this->onPeerVersion(Report.Host, Report.Version);
  this->learnVersionAfterPause(
      std::max(Report.Version, Report.ConfirmedVersion), SentAt);
  if (Report.ConfirmedAge) {
    const TimePoint At = SentAt - *Report.ConfirmedAge;
    this->Fresh.confirm(Report.ConfirmedVersion, At, this->version());
  }
  if (!Report.Unreachable.contains(Report.FailureDomain))
    this->Fresh.reportReachable(Report.FailureDomain);
  for (const auto &[Domain, Age] : Report.Unreachable)
    if (Domain != this->FailureDomain || !this->Relay)
      this->Fresh.reportUnreachable(Domain, SentAt - Age);
  this->Fresh.update(Now, this->isUpToDate());
}

void ConfigurationState::onPullAnswer(const std::string &From,
                                      const PullAnswer &Answer, TimePoint Now) {
  this->Pulls.erase(From);
  this->NextPull = Now;
  if (Answer.More)
    this->NextCatchUp = Now;
  this->onPeerVersion(From, Answer.Version);
  if (this->Store.applyPart(Answer))
    this->updateAfterVersionChange();
}

void ConfigurationState::onPullFailed(const std::string &From, TimePoint Now) {
  this->Pulls.erase(From);
  this->PeerVersions.erase(From); // Another peer is asked next.
  this->NextPull = Now + RetryInterval;
  if (std::ranges::find(this->Relays, From) != this->Relays.end())
    ++this->RelayTurn;
}

VersionReport ConfigurationState::report(const std::string &AskerDomain,
                                         TimePoint Now) const {
  VersionReport Report{this->Host,
                       this->FailureDomain,
                       this->version(),
                       {},
                       this->Fresh.confirmedVersion(),
                       {}};
  if (this->Fresh.confirmedAt())
    Report.ConfirmedAge =
        std::chrono::ceil<milliseconds>(Now - *this->Fresh.confirmedAt());
  for (const auto &[Domain, At] : this->Fresh.unreachable())
    if (Domain == this->FailureDomain || AskerDomain == this->FailureDomain)
      Report.Unreachable[Domain] = std::chrono::ceil<milliseconds>(Now - At);
  return Report;
}

std::optional<PullAnswer>
ConfigurationState::answerPull(const PullRequest &Request) const {
  return this->Store.answer(Request);
}

bool ConfigurationState::mayAcceptKeys(TimePoint Now) const {
  return this->Usable && this->isAwake(Now) && this->Fresh.mayAcceptKeys(Now);
}

} // namespace lavenderdale
