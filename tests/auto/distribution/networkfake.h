#pragma once

#include "base/strictjson.h"
#include "distribution/configurationcodec.h"
#include "distribution/configurationstate.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Simulates hosts of several domains, their network, the platform and the
/// clock.
class NetworkFake {
public:
  struct Host {
    PlacementHost Self;
    std::unique_ptr<ConfigurationState> State;
    int Side = 0; ///< Hosts on different sides cannot reach each other.
    bool ReachesPlatform = true;
    bool Watches = false;
    TimePoint PausedUntil;
    std::uint64_t BytesSent = 0;
  };

  NetworkFake(std::uint64_t Seed, int HostCount, int DomainCount)
      : Random(Seed) {
    for (int I = 0; I < HostCount; ++I) {
      const std::string Domain = "d" + std::to_string(I % DomainCount);
      this->Domains.insert(Domain);
      this->Hosts.emplace_back().Self = {"h" + std::to_string(I), Domain};
    }
    for (Host &Each : this->Hosts)
      this->start(Each);
  }

  void start(Host &Which) {
    Which.State = std::make_unique<ConfigurationState>(
        Which.Self.Name, Which.Self.FailureDomain,
        std::mt19937_64(this->Random()));
    Which.Watches = false;
    std::vector<PlacementHost> Live;
    Live.reserve(this->Hosts.size());
    for (const Host &Each : this->Hosts)
      Live.push_back(Each.Self);
    Which.State->setHosts(Live, this->Domains);
  }

  void change(const std::string &Name) {
    this->Platform.applyChange(
        {Name, this->Platform.version() + 1, false, "p"});
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += std::chrono::milliseconds(50)) {
      this->deliverDue();
      for (Host &Each : this->Hosts)
        if (this->Now >= Each.PausedUntil)
          this->step(Each);
    }
  }

  void setPlatform(bool Reachable) {
    for (Host &Each : this->Hosts)
      Each.ReachesPlatform = Reachable;
  }

  /// \returns the number of hosts that may accept keys.
  long acceptingCount() const {
    return std::ranges::count_if(this->Hosts, [this](const Host &Each) {
      return Each.State->mayAcceptKeys(this->Now);
    });
  }

  /// \returns the highest number of bytes per second that one host sends.
  std::uint64_t highestRate() {
    for (Host &Each : this->Hosts)
      Each.BytesSent = 0;
    constexpr int Seconds = 10;
    this->run(std::chrono::seconds(Seconds));
    return std::ranges::max_element(this->Hosts, {}, &Host::BytesSent)
               ->BytesSent /
           Seconds;
  }

  /// \returns the number of hosts that have the platform's version.
  long upToDateCount() const {
    return std::ranges::count_if(this->Hosts, [this](const Host &Each) {
      return Each.State->version() == this->Platform.version();
    });
  }

  std::vector<Host> Hosts;
  std::set<std::string> Domains;
  ConfigurationStore Platform;
  TimePoint Now{std::chrono::hours(1)};

private:
  struct Event {
    TimePoint Due;
    Host *To;
    std::function<void()> Run;
  };

  void count(Host &From, const Json::Value &Message) const {
    // Size of the HTTP headers and the JSON-RPC envelope of a message.
    constexpr std::size_t EnvelopeBytes = 170;
    From.BytesSent += writeCompactJson(Message).size() + EnvelopeBytes;
  }

  void post(Host &To, std::function<void()> Run) {
    this->Events.push_back(
        {this->Now + std::chrono::milliseconds(1) * (1 + this->Random() % 40),
         &To, std::move(Run)});
  }

  void deliverDue() {
    std::vector<Event> Due;
    std::erase_if(this->Events, [&](Event &Each) {
      if (Each.Due > this->Now || this->Now < Each.To->PausedUntil)
        return false;
      Due.push_back(std::move(Each));
      return true;
    });
    for (Event &Each : Due)
      Each.Run();
  }

  void step(Host &Each) {
    if (Each.Watches && Each.ReachesPlatform &&
        Each.State->version() < this->Platform.version()) {
      std::vector<ConfigurationObject> List;
      for (const auto &[Name, Object] : this->Platform.objects())
        List.push_back(Object);
      Each.State->onPlatformList(this->Platform.version(), List);
    }
    for (const ConfigurationAction &Action : Each.State->tick(this->Now))
      std::visit([&](const auto &Do) { this->perform(Each, Do); }, Action);
  }

  void perform(Host &From, const WatchPlatform &Action) {
    From.Watches = Action.Watch;
  }

  void perform(Host &From, const CheckPlatform &) {
    if (!From.ReachesPlatform)
      return;
    const std::uint64_t Version = this->Platform.version();
    this->post(From, [this, &From, Version, SentAt = this->Now] {
      From.State->onPlatformVersion(Version, SentAt, this->Now);
    });
  }

  void perform(Host &From, const QueryVersion &Action) {
    Host &To = this->byName(Action.To);
    this->count(From, Json::Value(Json::objectValue));
    if (To.Side != From.Side)
      return;
    this->post(To, [this, &From, &To, SentAt = this->Now] {
      const auto Report = versionReportFromJson(
          toJson(To.State->report(From.Self.FailureDomain, this->Now)));
      this->count(To, toJson(Report.value()));
      this->post(From, [this, &From, Report, SentAt] {
        From.State->onVersionReport(Report.value(), SentAt, this->Now);
      });
    });
  }

  void perform(Host &From, const PullConfiguration &Action) {
    Host &To = this->byName(Action.To);
    if (To.Side == From.Side)
      this->serve(From, To, Action.Message, this->Now + Action.Wait);
    else
      this->fail(From, To.Self.Name);
  }

  void fail(Host &From, const std::string &To) {
    this->post(From,
               [this, &From, To] { From.State->onPullFailed(To, this->Now); });
  }

  void serve(Host &From, Host &To, const PullRequest &Request,
             TimePoint Until) {
    this->post(To, [=, this, &From, &To] {
      if (To.Side != From.Side)
        return;
      const auto Answer = To.State->answerPull(Request);
      if (!Answer && this->Now < Until)
        return this->serve(From, To, Request, Until);
      if (!Answer)
        return this->fail(From, To.Self.Name);
      this->post(From, [this, &From, &To, Answer] {
        From.State->onPullAnswer(To.Self.Name, *Answer, this->Now);
      });
    });
  }

  Host &byName(const std::string &Name) {
    return *std::ranges::find_if(
        this->Hosts, [&](const Host &Each) { return Each.Self.Name == Name; });
  }

  std::mt19937_64 Random;
  std::vector<Event> Events;
};

} // namespace lavenderdale
