#include "fleetfake.h"

#include "base/strictjson.h"
#include "membership/membershipcodec.h"

#include <algorithm>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{10};
constexpr milliseconds TickInterval{50};
constexpr milliseconds PlatformPoll{1000};
// Size of the HTTP headers and the JSON-RPC envelope of a message.
constexpr std::size_t EnvelopeBytes = 170;

} // namespace

FleetFake::FleetFake(std::uint64_t Seed, int HostCount, int DomainCount)
    : Random(Seed) {
  for (int I = 0; I < HostCount; ++I) {
    Host Added;
    Added.Self.Key.Name = "host-" + std::to_string(100 + I);
    Added.Self.FailureDomain = "domain-" + std::to_string(I % DomainCount);
    Added.Self.Address = "10.0.0." + std::to_string(I) + ":8081";
    this->Hosts.push_back(std::move(Added));
  }
  for (Host &Each : this->Hosts)
    this->start(Each);
}

void FleetFake::start(Host &Which) {
  Which.Self.Key.Generation = 1'700'000'000'000 + this->NextGeneration++;
  Which.Agent =
      std::make_unique<Membership>(Which.Self, std::mt19937_64(this->Random()));
  std::vector<HostMember> Seeds;
  Seeds.reserve(this->Hosts.size());
  for (const Host &Each : this->Hosts)
    Seeds.push_back(Each.Self);
  Which.Agent->setSeeds(Seeds);
}

void FleetFake::crash(Host &Which) { Which.Agent.reset(); }

bool FleetFake::isRunning(const Host &Which) const {
  return Which.Agent && this->Now >= Which.PausedUntil;
}

bool FleetFake::isMember(const Host &Which) const {
  return this->Stored.find(Which.Self.Key) != nullptr;
}

int FleetFake::ownerCount(const std::string &Workspace,
                          const std::string &Domain) {
  return static_cast<int>(
      std::ranges::count_if(this->Hosts, [&](const Host &Each) {
        return Each.Self.FailureDomain == Domain && this->isRunning(Each) &&
               Each.Agent->mayGrant(Workspace, this->Now);
      }));
}

FleetFake::ShareUse FleetFake::useShare(const std::string &Workspace,
                                        const std::string &Domain) {
  ShareUse Use;
  for (Host &Each : this->Hosts) {
    if (Each.Self.FailureDomain != Domain || !this->isRunning(Each) ||
        !Each.Agent->mayGrant(Workspace, this->Now))
      continue;
    ++Use.Owners;
    for (const Host &Other : this->Hosts) {
      if (&Other == &Each || Other.Self.FailureDomain != Domain)
        continue;
      const auto Found = Other.GrantEnds.find(Workspace);
      Use.Overlaps |=
          Found != Other.GrantEnds.end() && Found->second > this->Now;
    }
    TimePoint &End = Each.GrantEnds[Workspace];
    End = std::max(End, Each.Agent->sharesUntil(this->Now).value_or(this->Now));
  }
  return Use;
}

bool FleetFake::reaches(const Host &From, const Host &To) const {
  return From.Side == To.Side;
}

Duration FleetFake::latency() { return milliseconds(1 + this->Random() % 20); }

FleetFake::Host *FleetFake::byName(const std::string &Name) {
  const auto Found = std::ranges::find_if(this->Hosts, [&](const Host &Each) {
    return Each.Self.Key.Name == Name;
  });
  return Found == this->Hosts.end() ? nullptr : &*Found;
}

template <typename Message>
void FleetFake::count(Host &From, const Message &Sent) {
  if (!this->CountBytes)
    return;
  From.BytesSent += writeCompactJson(toJson(Sent)).size() + EnvelopeBytes;
  ++From.Messages;
}

void FleetFake::send(Host &From, Host &To,
                     std::function<void(Membership &)> Deliver) {
  const bool Lost = std::uniform_real_distribution<double>(0, 1)(this->Random) <
                    this->LossRate;
  if (!Lost && this->reaches(From, To))
    this->Events.push_back({this->Now + this->latency(),
                            static_cast<std::size_t>(&To - this->Hosts.data()),
                            To.Self.Key.Generation, std::move(Deliver)});
}

void FleetFake::perform(Host &Which, const SendHeartbeat &Action) {
  Host *To = this->byName(Action.To);
  this->count(Which, Action.Message);
  this->send(Which, *To,
             [this, &Which, To, Message = Action.Message,
              SentAt = this->Now](Membership &Agent) {
               const auto Answer = Agent.onHeartbeat(Message, this->Now);
               this->count(*To, Answer);
               this->send(*To, Which, [this, Answer, SentAt](Membership &Own) {
                 Own.onHeartbeatAnswer(Answer, SentAt, this->Now);
               });
             });
}

void FleetFake::perform(Host &Which, const SendRemovalRequest &Action) {
  Host *To = this->byName(Action.To);
  this->send(Which, *To,
             [this, &Which, To, Message = Action.Message](Membership &Agent) {
               const auto Answer = Agent.onRemovalRequest(Message, this->Now);
               this->send(*To, Which, [this, Answer](Membership &Own) {
                 Own.onRemovalAnswer(Answer, this->Now);
               });
             });
}

void FleetFake::perform(Host &Which, const ProposeHostSet &Action) {
  if (!Which.ReachesPlatform)
    return;
  if (this->Stored.Epoch == Action.ExpectedEpoch)
    this->Stored = Action.Proposed;
  if (!this->LosePlatformAnswers)
    Which.Agent->adoptHostSet(this->Stored, this->Now);
}

void FleetFake::perform(Host &Which, const FetchHostSet &Action) {
  Host *From = this->byName(Action.From);
  this->send(Which, *From, [this, &Which, From](Membership &Agent) {
    this->send(*From, Which, [this, Set = Agent.hostSet()](Membership &Own) {
      Own.adoptHostSet(Set, this->Now);
    });
  });
}

void FleetFake::tick(Host &Which) {
  for (const MembershipAction &Action : Which.Agent->tick(this->Now))
    std::visit([&](const auto &Each) { this->perform(Which, Each); }, Action);
}

// A paused host receives its messages when it resumes.
void FleetFake::deliverDue() {
  std::vector<Event> Due;
  std::erase_if(this->Events, [&](Event &Each) {
    const Host &To = this->Hosts[Each.To];
    if (Each.Due > this->Now || this->Now < To.PausedUntil)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (Event &Each : Due) {
    Host &To = this->Hosts[Each.To];
    if (To.Agent && To.Self.Key.Generation == Each.Generation)
      Each.Deliver(*To.Agent);
  }
}

void FleetFake::run(Duration Time, const std::function<void()> &EachStep) {
  const TimePoint End = this->Now + Time;
  for (; this->Now < End; this->Now += Step) {
    // Before messages are delivered: a host that resumes can act immediately.
    if (EachStep)
      EachStep();
    this->deliverDue();
    for (std::size_t I = 0; I < this->Hosts.size(); ++I) {
      Host &Each = this->Hosts[I];
      const auto Offset = this->Now.time_since_epoch() + Step * I;
      if (!this->isRunning(Each))
        continue;
      if (Each.ReachesPlatform && Offset % PlatformPoll == Duration::zero())
        Each.Agent->adoptHostSet(this->Stored, this->Now);
      if (Offset % TickInterval == Duration::zero())
        this->tick(Each);
    }
  }
}

} // namespace lavenderdale
