#include "distribution/networkfake.h"
#include "scenario.h"

#include "base/strictjson.h"
#include "catalogue/keycheck.h"
#include "catalogue/keytext.h"
#include "catalogue/snapshotbuilder.h"
#include "consistency/attemptplan.h"
#include "placement/placement.h"
#include "scheduling/connectionpool.h"

namespace lavenderdale::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int HostCount = 12;
constexpr int DomainCount = 3;
constexpr milliseconds CheckInterval{50};
constexpr milliseconds HeartbeatInterval{500};
/// A change is in force everywhere within this time.
constexpr seconds InForceLimit{6};
/// A withdrawn key works, and a leaving upstream gets work, at most this long
/// on hosts that cannot learn of the change.
constexpr seconds CutOffLimit{10};

/// Twelve hosts in three domains that hold one configuration.
struct Fleet {
  explicit Fleet(const Setting &At)
      : Network(At.Seed, HostCount, DomainCount), Random(At.Seed) {
    this->Network.change("routes/r");
    this->Network.run(seconds(5));
  }

  NetworkFake::Host &relay() {
    return *std::ranges::find_if(
        this->Network.Hosts,
        [](const NetworkFake::Host &Each) { return Each.State->isRelay(); });
  }

  /// \param Hit the host that dies, pauses or has silent connections.
  void inject(const Setting &At, NetworkFake::Host &Hit) {
    if (At.has(Fault::ProxyDies))
      Hit.PausedUntil = TimePoint::max();
    if (At.has(Fault::HolderPaused))
      Hit.PausedUntil =
          this->Network.Now + milliseconds(1000 + this->Random() % 15000);
    if (At.has(Fault::SilentConnections))
      Hit.Side = 2;
    if (At.has(Fault::PlatformDown))
      this->Network.setPlatform(false);
    if (At.has(Fault::DomainsCutOff))
      for (NetworkFake::Host &Each : this->Network.Hosts)
        if (Each.Self.FailureDomain == Hit.Self.FailureDomain) {
          Each.Side = 1;
          Each.ReachesPlatform = false;
        }
  }

  void heal() {
    for (NetworkFake::Host &Each : this->Network.Hosts) {
      Each.Side = 0;
      Each.ReachesPlatform = true;
      if (Each.PausedUntil == TimePoint::max())
        this->Network.start(Each);
      Each.PausedUntil = this->Network.Now;
    }
  }

  bool isRunning(const NetworkFake::Host &Each) const {
    return this->Network.Now >= Each.PausedUntil;
  }

  /// Calls \p Check every 50 ms, before a woken host hears anything.
  template <typename F> void run(Duration Time, const F &Check) {
    for (const TimePoint End = this->Network.Now + Time;
         this->Network.Now < End;) {
      Check();
      if (this->Network.Now.time_since_epoch() % HeartbeatInterval ==
          Duration::zero())
        this->exchangeVersions();
      this->Network.run(CheckInterval);
    }
  }

  // Heartbeats, which the network fake does not have, carry versions.
  void exchangeVersions() {
    for (NetworkFake::Host &To : this->Network.Hosts) {
      const NetworkFake::Host &From =
          this->Network.Hosts[this->Random() % this->Network.Hosts.size()];
      if (this->isRunning(From) && this->isRunning(To) && From.Side == To.Side)
        To.State->onPeerVersion(From.Self.Name, From.State->version());
    }
  }

  milliseconds upTo(int Ms) {
    return milliseconds(this->Random() % static_cast<unsigned>(Ms));
  }

  std::string settle() {
    this->heal();
    this->Network.run(CutOffLimit);
    if (this->Network.upToDateCount() != HostCount)
      return "the change is not in force everywhere after the faults";
    return this->Network.acceptingCount() == HostCount
               ? ""
               : "a host refuses keyed routes after the faults";
  }

  NetworkFake Network;
  std::mt19937_64 Random;
};

// A relay that learns of a change, or its domain, is hit while the change
// spreads. Hosts that the faults leave alone have it in time, and no host goes
// back.
std::string distribute(const Setting &At) {
  Fleet F(At);
  NetworkFake &Network = F.Network;
  std::vector<std::uint64_t> Versions(HostCount);
  std::string Violation;
  const auto Check = [&] {
    for (std::size_t I = 0; I < Network.Hosts.size(); ++I) {
      const std::uint64_t Version = Network.Hosts[I].State->version();
      if (Version < Versions[I])
        Violation = "a host went back to an older configuration";
      Versions[I] = Version;
    }
  };
  if (At.MechanismOff)
    Network.setPlatform(false);
  Network.change("routes/r");
  F.run(F.upTo(300), Check);
  if (At.has(Fault::KeysWithdrawn))
    Network.change("keys/k");
  NetworkFake::Host &Hit = F.relay();
  F.inject(At, Hit);
  F.run(InForceLimit, Check);
  const bool Stored = !At.has(Fault::PlatformDown);
  for (const NetworkFake::Host &Each : Network.Hosts) {
    const bool LeftAlone = Each.Side == 0 && F.isRunning(Each) && &Each != &Hit;
    if (Stored && LeftAlone &&
        Each.State->version() < Network.Platform.version())
      return "a change is not in force in time";
  }
  F.run(F.upTo(12000), Check);
  if (!Violation.empty())
    return Violation;
  return F.settle();
}

CatalogueObject object(ObjectKind Kind, const std::string &Name,
                       std::uint64_t Version, const std::string &Spec) {
  CatalogueObject Object;
  Object.Kind = Kind;
  Object.Name = Name;
  Object.Version = Version;
  Object.Spec = parseStrictJson(Spec).value();
  Object.Status = parseStrictJson("{}").value();
  return Object;
}

/// A key before and after its withdrawal.
class KeyStates {
public:
  KeyStates() {
    SnapshotBuilder Builder;
    Builder.apply(
        object(ObjectKind::Workspace, "w", 1, R"({"burst":10,"rate":5})"));
    Builder.apply(
        object(ObjectKind::Group, "g", 2,
               R"({"database":"d","user":"u","upstreams":[{"name":"x",)"
               R"("address":"127.0.0.1","port":1,"failureDomain":"d1",)"
               R"("connections":16,"slots":2}]})"));
    Builder.apply(
        object(ObjectKind::Route, "r", 3,
               R"({"trafficClass":"standard","owner":"w","group":"g"})"));
    Builder.apply(this->key(4, "granted"));
    this->Granted = Builder.build();
    Builder.apply(this->key(5, "withdrawn"));
    this->Withdrawn = Builder.build();
  }

  bool admits(bool KnowsWithdrawal) const {
    const CatalogueSnapshot &Of =
        KnowsWithdrawal ? *this->Withdrawn : *this->Granted;
    const Route *Target = Of.route("r");
    return Target && checkKey(Of, *Target, this->Text.text()).has_value();
  }

private:
  CatalogueObject key(std::uint64_t Version, const std::string &State) const {
    return object(ObjectKind::Key, this->Text.Id, Version,
                  R"({"workspace":"w","state":")" + State + R"(","hash":")" +
                      hashSecret(this->Text.Secret) + "\"}");
  }

  KeyText Text{std::string(16, 'a'), std::string(64, 'b')};
  SnapshotPointer Granted;
  SnapshotPointer Withdrawn;
};

// A caller sends requests with one key to every host all the time. At the step
// "admission" the faults begin before the withdrawal, else after it. A
// withdrawal that the platform could not tell anybody is not learned.
std::string withdrawKey(const Setting &At) {
  const KeyStates Key;
  Fleet F(At);
  NetworkFake &Network = F.Network;
  NetworkFake::Host &Hit = Network.Hosts[F.Random() % Network.Hosts.size()];
  const auto Admits = [&](const NetworkFake::Host &Each,
                          std::uint64_t Withdrawal) {
    return (At.MechanismOff || Each.State->mayAcceptKeys(Network.Now)) &&
           Key.admits(Each.State->version() >= Withdrawal);
  };
  for (const NetworkFake::Host &Each : Network.Hosts)
    if (!Admits(Each, Network.Platform.version() + 1))
      return "a granted key is refused";
  if (At.At == Step::Admission) {
    F.inject(At, Hit);
    Network.run(F.upTo(2000));
  }
  const bool CanStore =
      At.At != Step::Admission || !At.has(Fault::PlatformDown);
  const std::uint64_t Withdrawal = Network.Platform.version() + 1;
  if (CanStore)
    Network.change("keys/k");
  TimePoint Learned = TimePoint::max();
  std::string Violation;
  const auto Check = [&] {
    for (const NetworkFake::Host &Each : Network.Hosts) {
      if (!F.isRunning(Each))
        continue;
      if (Each.State->version() >= Withdrawal)
        Learned = std::min(Learned, Network.Now);
      else if (!CanStore && At.Faults.size() == 1 && !Admits(Each, Withdrawal))
        Violation = "keys are refused in an outage of the platform for all";
    }
    if (Learned == TimePoint::max() || Network.Now <= Learned + CutOffLimit)
      return;
    for (const NetworkFake::Host &Each : Network.Hosts)
      if (F.isRunning(Each) && Admits(Each, Withdrawal))
        Violation = "a withdrawn key is accepted after 10 s";
  };
  F.run(F.upTo(1000), Check);
  if (At.At != Step::Admission)
    F.inject(At, Hit);
  F.run(seconds(14) + F.upTo(4000), Check);
  if (!CanStore)
    Network.change("keys/k");
  const std::string AfterFaults = F.settle();
  Check();
  return Violation.empty() ? AfterFaults : Violation;
}

/// The pools that hosts keep for one upstream, and what they accepted.
class UpstreamPools {
public:
  ConnectionPool &at(const std::string &Host, TimePoint Now) {
    const auto [Found, Added] =
        this->Pools.try_emplace(Host, ConnectionPool(PoolLimits{}));
    for (const PoolAction &Each : Found->second.poll(Now, this->Random)) {
      if (Each.Kind == PoolActionKind::Open)
        Found->second.opened(Each.Id, Now);
      if (Each.Kind == PoolActionKind::Check)
        Found->second.checked(Each.Id, true, Now);
    }
    return Found->second;
  }

private:
  std::map<std::string, ConnectionPool> Pools;
  ConnectionPool::Generator Random{1};
};

// Every host sends writes to an upstream in d1 all the time, while it becomes
// a leaving one and its first holder, or the holder's domain, is hit. A dead
// holder's duty goes to another host after 2 s.
std::string drain(const Setting &At) {
  Fleet F(At);
  NetworkFake &Network = F.Network;
  std::vector<PlacementHost> Live;
  Live.reserve(Network.Hosts.size());
  for (const NetworkFake::Host &Each : Network.Hosts)
    Live.push_back(Each.Self);
  std::vector<std::string> Holders = holdersOf("db-a", "d1", Live);
  const auto Named = [&](const std::string &Name) -> NetworkFake::Host & {
    return *std::ranges::find_if(Network.Hosts, [&](const auto &Each) {
      return Each.Self.Name == Name;
    });
  };
  NetworkFake::Host &First = Named(Holders.front());
  UpstreamPools Pools;
  std::uint64_t LeavingFrom = ~0ULL;
  TimePoint NewestWork;
  const auto Knows = [&](const NetworkFake::Host &Each) {
    return !At.MechanismOff && Each.State->version() >= LeavingFrom;
  };
  const auto TryAt = [&](const NetworkFake::Host &Entry,
                         const std::string &Name) {
    const NetworkFake::Host &Holder = Named(Name);
    if (!F.isRunning(Holder) || Holder.Side != Entry.Side)
      return false;
    ConnectionPool &Pool = Pools.at(Name, Network.Now);
    Pool.setLeaving(Knows(Holder));
    const auto Id = Pool.acquire(Network.Now + seconds(1));
    if (!Id)
      return false;
    Pool.release(*Id, ConnectionUse::Clean, Network.Now);
    NewestWork = Network.Now;
    return true;
  };
  // A replica: a leaving primary serves until a planned change replaced it.
  ReadGroupView Reads;
  Reads.Upstreams.emplace_back();
  Reads.Upstreams.back().Name = "db-a";
  const std::string Primary = "db-p";
  const auto Send = [&] {
    for (const NetworkFake::Host &Entry : Network.Hosts) {
      if (!F.isRunning(Entry) || !Entry.State->mayAcceptKeys(Network.Now))
        continue;
      const auto Plan = planAttempts(
          {Reads, Primary, Network.Now}, ReadRequest(),
          [&](const std::string &) {
            return std::optional(UpstreamLocation{Knows(Entry), Holders});
          },
          Entry.Self.Name, Network.Now);
      for (const Attempt &Each : Plan.value().Attempts)
        if (TryAt(Entry, Each.Host))
          break;
    }
  };
  F.run(seconds(1), Send);
  if (NewestWork + seconds(1) < Network.Now)
    return "a serving upstream gets no work";
  LeavingFrom = Network.Platform.version() + 1;
  Network.change("groups/g");
  const TimePoint Ordered = Network.Now;
  F.run(F.upTo(200), Send);
  F.inject(At, First);
  F.run(seconds(2), Send);
  if (At.has(Fault::ProxyDies)) {
    std::erase(Live, First.Self);
    Holders = holdersOf("db-a", "d1", Live);
  }
  F.run(seconds(16), Send);
  if (NewestWork > Ordered + CutOffLimit)
    return "a leaving upstream gets new work";
  F.heal();
  F.run(seconds(5), Send);
  if (NewestWork > Ordered + CutOffLimit)
    return "a leaving upstream gets new work after the faults";
  for (const std::string &Each : Holders) {
    ConnectionPool &Pool = Pools.at(Each, Network.Now);
    Pool.setLeaving(Knows(Named(Each)));
    Pools.at(Each, Network.Now);
    if (!Pool.drained())
      return "connections to a leaving upstream stay open";
  }
  return {};
}

} // namespace

const Scenario DistributedChange{"distributed-change", "configuration",
                                 "hosts left alone have a change in 6 s; no "
                                 "host goes back; all have it afterwards",
                                 &distribute};
const Scenario WithdrawnKey{
    "withdrawn-key", "keys",
    "no host accepts the key 10 s after another learned of its withdrawal; an "
    "outage of the platform for all refuses no key",
    &withdrawKey};
const Scenario DrainedUpstream{
    "drained-upstream", "upstream-drain",
    "a leaving upstream gets no new work after 10 s, at its new holder neither",
    &drain};

} // namespace lavenderdale::matrix
