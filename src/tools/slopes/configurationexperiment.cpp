#include "experiments.h"

#include "base/strictjson.h"
#include "distribution/configurationcodec.h"
#include "distribution/configurationstate.h"

#include <list>
#include <map>
#include <memory>

namespace lavenderdale::slopes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TickInterval{100}; // As in ConfigurationService.
constexpr std::size_t ObjectBytes = 512;  // Payload of one object, assumed.
constexpr std::size_t KilobyteBytes = 1000;

ConfigurationObject makeObject(std::size_t Number, std::uint64_t Version) {
  // As most payloads, it consists of quoted words, which grow when they are
  // escaped.
  std::string Payload;
  while (Payload.size() < ObjectBytes)
    Payload += "\"member\":\"value " + std::to_string(Number) + "\",";
  Payload.resize(ObjectBytes);
  return {"routes/route-" + std::to_string(Number), Version, false,
          std::move(Payload)};
}

std::vector<ConfigurationObject> makeObjects(std::size_t Bytes) {
  std::vector<ConfigurationObject> All;
  for (std::size_t I = 0; I * ObjectBytes < Bytes; ++I)
    All.push_back(makeObject(I, I + 1));
  return All;
}

template <typename T> std::string textOf(const T &Message) {
  return writeCompactJson(toJson(Message));
}

/// Fetches all that is missing. \returns the JSON bytes of the answers.
double catchUp(ConfigurationStore &Behind, const ConfigurationStore &Source) {
  double Bytes = 0;
  while (const auto Answer = Source.answer(Behind.nextRequest())) {
    const std::string Text = textOf(*Answer);
    Bytes += static_cast<double>(Text.size());
    Behind.applyPart(pullAnswerFromJson(parseStrictJson(Text).value()).value());
  }
  return Bytes;
}

void measureStore(std::vector<Series> &All) {
  Series Whole{"configuration.start.json", "kB of payload", "JSON bytes", {}};
  Series WholeTime{"configuration.start.time", "kB of payload", "us", {}};
  Series Memory{"configuration.memory", "kB of payload", "bytes", {}};
  Series Single{"configuration.change.json",
                "kB of payload",
                "JSON bytes of one change",
                {}};
  Series SingleTime{"configuration.change.time",
                    "kB of payload",
                    "us for answer, transfer and taking over",
                    {}};
  for (const std::size_t Kilobytes : {50U, 100U, 250U, 500U, 750U, 1000U}) {
    ConfigurationStore Source;
    std::vector<ConfigurationObject> List =
        makeObjects(Kilobytes * KilobyteBytes);
    const std::uint64_t Version = List.size();
    Source.applyList(Version, std::move(List));
    const auto Size = static_cast<double>(Kilobytes);
    const double AllocatedBefore = allocatedBytes();
    ConfigurationStore Behind;
    double Before = processorMicroseconds();
    Whole.Points.push_back({Size, catchUp(Behind, Source)});
    WholeTime.Points.push_back({Size, processorMicroseconds() - Before});
    Memory.Points.push_back({Size, allocatedBytes() - AllocatedBefore});
    constexpr std::size_t Repeats = 20;
    Before = processorMicroseconds();
    double Bytes = 0;
    for (std::size_t I = 0; I < Repeats; ++I) {
      Source.applyChange(makeObject(I, Version + I + 1));
      Bytes += catchUp(Behind, Source);
    }
    Single.Points.push_back({Size, Bytes / Repeats});
    SingleTime.Points.push_back(
        {Size, (processorMicroseconds() - Before) / Repeats});
  }
  All.insert(All.end(), {Whole, WholeTime, Memory, Single, SingleTime});
}

void measureChanges(std::vector<Series> &All) {
  Series Bytes{"configuration.changes.json", "changes", "JSON bytes", {}};
  ConfigurationStore Source;
  Source.applyList(1000, makeObjects(ObjectBytes * 1000));
  ConfigurationStore Behind;
  catchUp(Behind, Source);
  std::uint64_t Version = 1000;
  for (const std::size_t Count : {1U, 4U, 16U, 64U, 256U}) {
    for (std::size_t I = 0; I < Count; ++I)
      Source.applyChange(makeObject(I, ++Version));
    Bytes.Points.push_back(
        {static_cast<double>(Count), catchUp(Behind, Source)});
  }
  All.push_back(Bytes);
}

/// The configuration states of a fleet and the platform's list.
struct Fleet {
  explicit Fleet(std::size_t Count) : Hosts(makeHosts(Count)) {
    std::set<std::string> Names;
    for (const PlacementHost &Each : this->Hosts)
      Names.insert(Each.FailureDomain);
    for (std::size_t I = 0; I < Count; ++I) {
      this->Index[this->Hosts[I].Name] = I;
      this->States.push_back(std::make_unique<ConfigurationState>(
          this->Hosts[I].Name, this->Hosts[I].FailureDomain,
          std::mt19937_64(I)));
      this->States.back()->setHosts(this->Hosts, Names);
    }
  }

  void run(seconds Time) {
    for (const TimePoint Until = this->Now + Time; this->Now < Until;
         this->Now += TickInterval) {
      for (std::size_t I = 0; I < this->States.size(); ++I)
        for (const ConfigurationAction &Action :
             this->States[I]->tick(this->Now))
          std::visit([&](const auto &Each) { this->perform(I, Each); }, Action);
      this->answerPulls();
    }
  }

  void perform(std::size_t From, const QueryVersion &Action) {
    ++this->Messages;
    const VersionReport Report =
        this->States[this->Index.at(Action.To)]->report(
            this->Hosts[From].FailureDomain, this->Now);
    const std::string Text = textOf(Report);
    this->Bytes += static_cast<double>(Text.size());
    this->States[From]->onVersionReport(
        versionReportFromJson(parseStrictJson(Text).value()).value(), this->Now,
        this->Now);
  }

  void perform(std::size_t From, const PullConfiguration &Action) {
    ++this->Messages;
    this->Bytes += static_cast<double>(textOf(Action.Message).size());
    this->Pulls.push_back({From, Action, this->Now + Action.Wait});
  }

  void perform(std::size_t From, const CheckPlatform &) {
    ++this->Reads;
    if (this->PlatformAnswers)
      this->States[From]->onPlatformVersion(this->Version, this->Now,
                                            this->Now);
  }

  void perform(std::size_t From, const WatchPlatform &Action) {
    if (!Action.Watch || !this->PlatformAnswers)
      return;
    ++this->Watches;
    this->States[From]->onPlatformList(
        this->Version, makeObjects(ObjectBytes * this->Version));
  }

  void answerPulls() {
    for (auto Each = this->Pulls.begin(); Each != this->Pulls.end();) {
      const std::string &To = Each->Action.To;
      const auto Answer =
          this->States[this->Index.at(To)]->answerPull(Each->Action.Message);
      if (!Answer && this->Now < Each->Until) {
        ++Each;
        continue;
      }
      if (Answer) {
        this->Bytes += static_cast<double>(textOf(*Answer).size());
        this->States[Each->From]->onPullAnswer(To, *Answer, this->Now);
      } else {
        this->States[Each->From]->onPullFailed(To, this->Now);
      }
      Each = this->Pulls.erase(Each);
    }
  }

  struct Pull {
    std::size_t From = 0;
    PullConfiguration Action;
    TimePoint Until;
  };

  std::vector<PlacementHost> Hosts;
  std::map<std::string, std::size_t> Index;
  std::vector<std::unique_ptr<ConfigurationState>> States;
  std::list<Pull> Pulls;
  TimePoint Now{seconds(1000)};
  std::uint64_t Version = 20;
  bool PlatformAnswers = true;
  double Messages = 0;
  double Bytes = 0;
  double Reads = 0;
  double Watches = 0;
};

constexpr seconds WarmUp{10};
constexpr seconds Length{20};

struct Outcome {
  explicit Outcome(const std::string &Suffix)
      : Messages{"configuration.messages" + Suffix,
                 "hosts",
                 "messages/s per host",
                 {}},
        Bytes{"configuration.json" + Suffix,
              "hosts",
              "JSON bytes/s per host",
              {}},
        Time{"configuration.time" + Suffix, "hosts", "us/s per host", {}},
        Reads{"configuration.reads" + Suffix, "hosts", "platform reads/s", {}} {
  }

  void add(Fleet &Subject) {
    Subject.run(WarmUp);
    Subject.Messages = Subject.Bytes = Subject.Reads = 0;
    const double Before = processorMicroseconds();
    Subject.run(Length);
    const double Used = processorMicroseconds() - Before;
    const auto Size = static_cast<double>(Subject.Hosts.size());
    const auto Span = static_cast<double>(Length.count());
    this->Messages.Points.push_back({Size, Subject.Messages / Size / Span});
    this->Bytes.Points.push_back({Size, Subject.Bytes / Size / Span});
    this->Time.Points.push_back({Size, Used / Size / Span});
    this->Reads.Points.push_back({Size, Subject.Reads / Span});
  }

  Series Messages;
  Series Bytes;
  Series Time;
  Series Reads;
};

void measureFleet(std::vector<Series> &All) {
  Outcome Quiet("");
  Outcome Outage(".platform-down");
  Series Watches{"configuration.watches", "hosts", "waiting watches", {}};
  for (const std::size_t Count : {14U, 70U, 140U, 245U, 350U, 490U}) {
    Fleet Subject(Count);
    Quiet.add(Subject);
    Watches.Points.push_back({static_cast<double>(Count), Subject.Watches});
    Subject.PlatformAnswers = false;
    Outage.add(Subject);
  }
  for (const Outcome &Each : {Quiet, Outage})
    All.insert(All.end(), {Each.Messages, Each.Bytes, Each.Time, Each.Reads});
  All.push_back(Watches);
}

} // namespace

std::vector<Series> measureConfiguration() {
  std::vector<Series> All;
  measureStore(All);
  measureChanges(All);
  measureFleet(All);
  return All;
}

} // namespace lavenderdale::slopes
