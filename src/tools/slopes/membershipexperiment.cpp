#include "experiments.h"

#include "base/strictjson.h"
#include "membership/membership.h"
#include "membership/membershipcodec.h"

#include <algorithm>
#include <memory>

namespace lavenderdale::slopes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TickInterval{50}; // As in MembershipService.

/// Hosts of one fleet, their messages and the platform's host set.
struct Fleet {
  explicit Fleet(std::size_t Count) {
    this->Stored.Epoch = 1;
    for (std::size_t I = 0; I < Count; ++I) {
      HostMember Member;
      Member.Key = {"host-" + std::to_string(I), 1'700'000'000'000 + I};
      Member.FailureDomain = domainName(I);
      Member.Address = "10.0." + std::to_string(I / 250) + "." +
                       std::to_string(I % 250 + 1) + ":7000";
      Member.Joined = 1;
      this->Stored.Members.push_back(std::move(Member));
    }
  }

  /// Starts the hosts; those of \p Outside are not in the host set yet.
  void start(const std::string &Outside) {
    const std::vector<HostMember> Everybody = this->Stored.Members;
    std::erase_if(this->Stored.Members, [&](const HostMember &Each) {
      return Each.FailureDomain == Outside;
    });
    for (std::size_t I = 0; I < Everybody.size(); ++I) {
      HostMember Self = Everybody[I];
      const bool Joins = Self.FailureDomain == Outside;
      Self.Joined = Joins ? 0 : 1;
      this->Index[Self.Key.Name] = I;
      this->Names.push_back(Self);
      this->Running.push_back(
          std::make_unique<Membership>(Self, std::mt19937_64(I)));
      this->Running.back()->setSeeds(Everybody);
      if (!Joins)
        this->Running.back()->adoptHostSet(this->Stored, this->Now);
    }
    this->Silent.assign(this->Running.size(), false);
  }

  void run(seconds Time) {
    for (const TimePoint Until = this->Now + Time; this->Now < Until;
         this->Now += TickInterval)
      for (std::size_t I = 0; I < this->Running.size(); ++I)
        if (!this->Silent[I])
          for (const MembershipAction &Action :
               this->Running[I]->tick(this->Now))
            std::visit([&](const auto &Each) { this->perform(I, Each); },
                       Action);
  }

  template <typename T, typename Reader>
  auto transfer(const T &Message, Reader Read) {
    const std::string Text = writeCompactJson(toJson(Message));
    this->Bytes += static_cast<double>(Text.size());
    return Read(parseStrictJson(Text).value()).value();
  }

  void perform(std::size_t From, const SendHeartbeat &Action) {
    ++this->Messages;
    const std::size_t To = this->Index.at(Action.To);
    const Heartbeat Sent = this->transfer(Action.Message, heartbeatFromJson);
    if (this->Silent[To])
      return;
    const HeartbeatAnswer Answer =
        this->transfer(this->Running[To]->onHeartbeat(Sent, this->Now),
                       heartbeatAnswerFromJson);
    this->Running[From]->onHeartbeatAnswer(Answer, this->Now, this->Now);
  }

  void perform(std::size_t From, const SendRemovalRequest &Action) {
    ++this->Messages;
    const std::size_t To = this->Index.at(Action.To);
    const RemovalRequest Sent =
        this->transfer(Action.Message, removalRequestFromJson);
    if (this->Silent[To])
      return;
    const RemovalAnswer Answer =
        this->transfer(this->Running[To]->onRemovalRequest(Sent, this->Now),
                       removalAnswerFromJson);
    this->Running[From]->onRemovalAnswer(Answer, this->Now);
  }

  // MembershipService::propose() reads the object before it writes.
  void perform(std::size_t From, const ProposeHostSet &Action) {
    ++this->Reads;
    if (this->Stored.Epoch == Action.ExpectedEpoch) {
      ++this->Writes;
      this->Stored = Action.Proposed;
    }
    this->Running[From]->adoptHostSet(this->Stored, this->Now);
  }

  void perform(std::size_t From, const FetchHostSet &) {
    ++this->Reads;
    this->Running[From]->adoptHostSet(this->Stored, this->Now);
  }

  TimePoint Now{seconds(1000)};
  MemberSet Stored;
  std::vector<HostMember> Names;
  std::map<std::string, std::size_t> Index;
  std::vector<std::unique_ptr<Membership>> Running;
  std::vector<bool> Silent;
  double Messages = 0;
  double Bytes = 0;
  double Reads = 0;
  double Writes = 0;
};

struct Outcome {
  Series Messages{"membership.messages", "hosts", "messages/s per host", {}};
  Series Bytes{"membership.json", "hosts", "JSON bytes/s per host", {}};
  Series Time{"membership.time", "hosts", "us/s per host", {}};

  void add(Fleet &Subject, seconds Length, double Running) {
    Subject.Messages = Subject.Bytes = 0;
    const double Before = processorMicroseconds();
    Subject.run(Length);
    const double Used = processorMicroseconds() - Before;
    const double Share = Running * static_cast<double>(Length.count());
    const auto Size = static_cast<double>(Subject.Running.size());
    this->Messages.Points.push_back({Size, Subject.Messages / Share});
    this->Bytes.Points.push_back({Size, Subject.Bytes / Share});
    this->Time.Points.push_back({Size, Used / Share});
  }
};

constexpr seconds WarmUp{2};
constexpr seconds Length{3};

void measureQuiet(std::vector<Series> &All) {
  Outcome Quiet;
  Outcome Lost;
  Series Memory{"membership.memory", "hosts", "bytes per host", {}};
  for (const std::size_t Count : {14U, 70U, 140U, 245U, 490U}) {
    const double Before = allocatedBytes();
    Fleet Subject(Count);
    Subject.start("none");
    Subject.run(WarmUp);
    const auto Size = static_cast<double>(Count);
    Memory.Points.push_back({Size, (allocatedBytes() - Before) / Size});
    Quiet.add(Subject, Length, Size);
    for (std::size_t I = 0; I < Count; ++I)
      Subject.Silent[I] = Subject.Names[I].FailureDomain == domainName(0);
    const auto Left = std::ranges::count(Subject.Silent, false);
    Lost.add(Subject, Length, static_cast<double>(Left));
  }
  Lost.Messages.Name += ".domain-lost";
  Lost.Bytes.Name += ".domain-lost";
  Lost.Time.Name += ".domain-lost";
  for (const Outcome &Each : {Quiet, Lost})
    All.insert(All.end(), {Each.Messages, Each.Bytes, Each.Time});
  All.push_back(Memory);
}

// All hosts of a domain start at the same moment. The platform's answers take
// no time here, so the figures bound the calls and not the duration.
void measureStart(std::vector<Series> &All) {
  Series Reads{"membership.start.reads", "starting", "platform reads", {}};
  Series Writes{"membership.start.writes", "starting", "platform writes", {}};
  Series Peak{"membership.start.peak", "starting", "calls in busiest s", {}};
  Series Joined{"membership.start.joined", "starting", "hosts in set", {}};
  constexpr int StartSeconds = 10;
  for (const std::size_t Count : {70U, 140U, 245U, 490U}) {
    Fleet Subject(Count);
    Subject.start(domainName(0));
    double Busiest = 0;
    for (int Second = 0; Second < StartSeconds; ++Second) {
      const double Before = Subject.Reads + Subject.Writes;
      Subject.run(seconds(1));
      Busiest = std::max(Busiest, Subject.Reads + Subject.Writes - Before);
    }
    const std::size_t PerDomain = Count / Domains;
    const auto Starting = static_cast<double>(PerDomain);
    Reads.Points.push_back({Starting, Subject.Reads});
    Writes.Points.push_back({Starting, Subject.Writes});
    Peak.Points.push_back({Starting, Busiest});
    Joined.Points.push_back(
        {Starting, static_cast<double>(Subject.Stored.Members.size())});
  }
  All.insert(All.end(), {Reads, Writes, Peak, Joined});
}

} // namespace

std::vector<Series> measureMembership() {
  std::vector<Series> All;
  measureQuiet(All);
  measureStart(All);
  return All;
}

} // namespace lavenderdale::slopes
