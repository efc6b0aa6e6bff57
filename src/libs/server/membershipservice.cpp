#include "membershipservice.h"

#include "http/resumewith.h"
#include "http/runon.h"
#include "membership/membershipcodec.h"
#include "telemetry/logging.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <random>
#include <variant>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds TickInterval{50};
constexpr milliseconds PeerCallTimeout{800};
constexpr milliseconds PlatformTimeout{1000};

std::uint64_t unixMilliseconds() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Since).count());
}

HostMember selfOf(const DaemonContext &Context, const Endpoint &PeerAddress) {
  HostMember Self;
  Self.Key = {Context.hostName(), unixMilliseconds()};
  Self.FailureDomain = Context.Config.Host.FailureDomain;
  Self.Address = toString(PeerAddress);
  return Self;
}

MemberSet toMemberSet(const HostSet &Stored) {
  MemberSet Set;
  Set.Epoch = Stored.Epoch;
  for (const HostSetMember &Each : Stored.Members) {
    HostMember Member;
    Member.Key = {Each.Name, Each.Generation};
    Member.FailureDomain = Each.FailureDomain;
    Member.Address = toString(Endpoint{Each.PeerAddress, Each.PeerPort});
    Member.Joined = Each.Joined;
    Set.Members.push_back(std::move(Member));
  }
  return Set;
}

HostSet toStoredHostSet(const MemberSet &Set) {
  HostSet Stored;
  Stored.Epoch = Set.Epoch;
  for (const HostMember &Each : Set.Members) {
    const Result<Endpoint> PeerEndpoint = parseEndpoint(Each.Address);
    if (!PeerEndpoint)
      continue;
    HostSetMember Member;
    Member.Name = Each.Key.Name;
    Member.Generation = Each.Key.Generation;
    Member.FailureDomain = Each.FailureDomain;
    Member.PeerAddress = PeerEndpoint.value().Address;
    Member.PeerPort = PeerEndpoint.value().Port;
    Member.Joined = Each.Joined;
    Stored.Members.push_back(std::move(Member));
  }
  return Stored;
}

} // namespace

/// Starts the coroutine that executes an action.
struct MembershipService::ActionVisitor {
  MembershipService &Service;

  void operator()(const SendHeartbeat &Action) {
    Service.spawn(Service.heartbeat(Action));
  }
  void operator()(const SendRemovalRequest &Action) {
    Service.spawn(Service.askRemoval(Action));
  }
  void operator()(const ProposeHostSet &Action) {
    Service.spawn(Service.propose(Action));
  }
  void operator()(const FetchHostSet &Action) {
    Service.spawn(Service.fetchFromPeer(Action));
  }
};

MembershipService::MembershipService(const DaemonContext &Context,
                                     PlatformGateway &Platform,
                                     const Endpoint &PeerAddress,
                                     Listeners Notify)
    : Context(Context), Platform(Platform), Notify(std::move(Notify)),
      Worker(Context.Workers.worker(0)),
      State(selfOf(Context, PeerAddress),
            std::mt19937_64(std::random_device{}())) {
  this->Addresses[Context.hostName()] = PeerAddress;
  this->LiveFleet = this->makeFleet(
      {{Context.hostName(), Context.Config.Host.FailureDomain}}, 0);
  this->RateFleet = this->LiveFleet;
}

void MembershipService::addMethods(RpcServer &Server) {
  Server.add("membership.heartbeat",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               BOOST_OUTCOME_TRY(const Heartbeat Message,
                                 heartbeatFromJson(Params));
               const std::lock_guard Guard(this->Lock);
               return toJson(this->State.onHeartbeat(Message, steadyNow()));
             });
  this->addHostSetMethod(Server);
  Server.add("membership.removal",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               BOOST_OUTCOME_TRY(const RemovalRequest Question,
                                 removalRequestFromJson(Params));
               const std::lock_guard Guard(this->Lock);
               return toJson(
                   this->State.onRemovalRequest(Question, steadyNow()));
             });
}

void MembershipService::addHostSetMethod(RpcServer &Server) {
  Server.add("membership.hostset",
             [this](const Json::Value &) -> Result<Json::Value> {
               const std::lock_guard Guard(this->Lock);
               return toStoredHostSet(this->State.hostSet()).toJson();
             });
}

void MembershipService::start() { this->spawn(this->tickLoop()); }

void MembershipService::leave() {
  const std::lock_guard Guard(this->Lock);
  this->State.leave(steadyNow());
}

void MembershipService::spawn(asio::awaitable<void> Work) {
  asio::co_spawn(
      this->Worker,
      [](std::shared_ptr<MembershipService>,
         asio::awaitable<void> Inner) -> asio::awaitable<void> {
        co_await std::move(Inner);
      }(this->shared_from_this(), std::move(Work)),
      asio::detached);
}

asio::awaitable<void> MembershipService::tickLoop() {
  asio::steady_timer Timer(this->Worker);
  while (!this->Stopped) {
    std::vector<MembershipAction> Actions;
    std::optional<TimePoint> LeaseUntil;
    {
      const std::lock_guard Guard(this->Lock);
      Actions = this->State.tick(steadyNow());
      LeaseUntil = this->State.sharesUntil(steadyNow());
    }
    // Passes on the full lease: grants end with it, and tokens that are not
    // spent before their grant ends are lost.
    if (LeaseUntil)
      this->Notify.LeaseRenewed(*LeaseUntil);
    for (const MembershipAction &Action : Actions)
      std::visit(ActionVisitor{*this}, Action);
    this->refreshFleet();
    Timer.expires_after(TickInterval);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(resumeWith(Ignored));
  }
}

asio::awaitable<void> MembershipService::heartbeat(SendHeartbeat Action) {
  const Result<Endpoint> PeerEndpoint = parseEndpoint(Action.Address);
  if (!PeerEndpoint)
    co_return;
  const TimePoint SentAt = steadyNow();
  const auto Reply = co_await this->Context.Rpc.call(
      PeerEndpoint.value(), "membership.heartbeat", toJson(Action.Message),
      SentAt + PeerCallTimeout);
  if (!Reply)
    co_return;
  const Result<HeartbeatAnswer> Answer = heartbeatAnswerFromJson(Reply.value());
  if (!Answer)
    co_return;
  {
    const std::lock_guard Guard(this->Lock);
    this->State.onHeartbeatAnswer(Answer.value(), SentAt, steadyNow());
  }
  this->Notify.PeerVersionReceived(Action.To,
                                   Answer.value().Gossip.ConfigurationVersion);
}

asio::awaitable<void> MembershipService::askRemoval(SendRemovalRequest Action) {
  const Result<Endpoint> PeerEndpoint = parseEndpoint(Action.Address);
  if (!PeerEndpoint)
    co_return;
  const auto Reply = co_await this->Context.Rpc.call(
      PeerEndpoint.value(), "membership.removal", toJson(Action.Message),
      steadyNow() + PeerCallTimeout);
  if (!Reply)
    co_return;
  const Result<RemovalAnswer> Answer = removalAnswerFromJson(Reply.value());
  if (!Answer)
    co_return;
  const std::lock_guard Guard(this->Lock);
  this->State.onRemovalAnswer(Answer.value(), steadyNow());
}

asio::awaitable<void> MembershipService::propose(ProposeHostSet Action) {
  CatalogueObject Object;
  Object.Kind = ObjectKind::HostSet;
  Object.Name = HostSet::ObjectName;
  Object.Spec = toStoredHostSet(Action.Proposed).toJson();
  if (Action.ExpectedEpoch != 0) {
    const auto Stored =
        co_await this->Platform.get(ObjectKind::HostSet, HostSet::ObjectName,
                                    steadyNow() + PlatformTimeout);
    if (!Stored)
      co_return;
    const auto Known = HostSet::fromJson(Stored.value().Spec);
    if (!Known || Known.value().Epoch != Action.ExpectedEpoch) {
      this->adopt(Stored.value());
      co_return;
    }
    Object.Version = Stored.value().Version;
  }
  const auto Answer =
      co_await this->Platform.replaceIf(Object, steadyNow() + PlatformTimeout);
  if (Answer) {
    logInfo("stored host set epoch " + std::to_string(Action.Proposed.Epoch) +
            " with " + std::to_string(Action.Proposed.Members.size()) +
            " members");
    this->adopt(Answer.value());
    co_return;
  }
  co_await this->fetchFromPlatform();
}

// Fetches the host set from the peer that announced the epoch. If every host
// asked the platform for every epoch instead, the platform would get thousands
// of calls per second when a failure domain starts.
asio::awaitable<void> MembershipService::fetchFromPeer(FetchHostSet Action) {
  std::optional<Endpoint> Peer;
  {
    const std::lock_guard Guard(this->Lock);
    const auto Found = this->Addresses.find(Action.From);
    if (Found != this->Addresses.end())
      Peer = Found->second;
  }
  if (Peer) {
    const auto Reply = co_await this->Context.Rpc.call(
        *Peer, "membership.hostset", Json::Value(Json::objectValue),
        steadyNow() + PeerCallTimeout);
    const auto Set = Reply ? HostSet::fromJson(Reply.value())
                           : Result<HostSet>(Reply.error());
    if (Set && Set.value().Epoch >= Action.Epoch) {
      this->adoptSet(Set.value());
      co_return;
    }
  }
  co_await this->fetchFromPlatform();
}

asio::awaitable<void> MembershipService::fetchFromPlatform() {
  const auto Stored = co_await this->Platform.get(
      ObjectKind::HostSet, HostSet::ObjectName, steadyNow() + PlatformTimeout);
  if (Stored)
    this->adopt(Stored.value());
}

void MembershipService::adopt(const CatalogueObject &Object) {
  const Result<HostSet> Stored = HostSet::fromJson(Object.Spec);
  if (Stored)
    this->adoptSet(Stored.value());
}

void MembershipService::adoptSet(const HostSet &Stored) {
  {
    const std::lock_guard Guard(this->Lock);
    for (const HostSetMember &Each : Stored.Members)
      this->Addresses[Each.Name] = {Each.PeerAddress, Each.PeerPort};
    this->State.adoptHostSet(toMemberSet(Stored), steadyNow());
  }
  this->refreshFleet();
}

void MembershipService::configure(const SnapshotPointer &Snapshot,
                                  std::uint64_t Version) {
  std::vector<HostMember> Seeds;
  {
    const std::lock_guard Guard(this->Lock);
    for (const auto &[Name, Each] : Snapshot->hosts()) {
      const Endpoint PeerEndpoint{Each->PeerAddress, Each->PeerPort};
      this->Addresses.try_emplace(Name, PeerEndpoint);
      HostMember Seed;
      Seed.Key.Name = Name;
      Seed.FailureDomain = Each->FailureDomain;
      Seed.Address = toString(PeerEndpoint);
      if (Name != this->Context.hostName())
        Seeds.push_back(std::move(Seed));
    }
    this->State.setSeeds(std::move(Seeds));
    this->State.setConfigurationVersion(Version);
  }
  const CatalogueObject *Object =
      Snapshot->object(ObjectKind::HostSet, HostSet::ObjectName);
  if (Object)
    this->adopt(*Object);
}

FleetPointer
MembershipService::makeFleet(const std::vector<PlacementHost> &Hosts,
                             std::uint64_t Epoch) const {
  std::vector<FleetView::Member> Members;
  for (const PlacementHost &Host : Hosts) {
    const auto Found = this->Addresses.find(Host.Name);
    if (Found != this->Addresses.end())
      Members.push_back({Host.Name, Host.FailureDomain, Found->second});
  }
  return std::make_shared<FleetView>(Epoch, std::move(Members));
}

void MembershipService::refreshFleet() {
  {
    const std::lock_guard Guard(this->Lock);
    if (this->State.version() == this->FleetVersion)
      return;
    this->FleetVersion = this->State.version();
    const std::vector<PlacementHost> Alive = this->State.liveHosts();
    const MemberSet &Set = this->State.hostSet();
    if (!Alive.empty())
      this->LiveFleet = this->makeFleet(Alive, Set.Epoch);
    if (!Set.Members.empty())
      this->RateFleet =
          this->makeFleet(toPlacementHosts(Set.Members), Set.Epoch);
  }
  this->Notify.FleetChanged();
}

bool MembershipService::mayGrant(const std::string &Name) const {
  const std::lock_guard Guard(this->Lock);
  return this->State.mayGrant(Name, steadyNow());
}

FleetPointer MembershipService::liveFleet() const {
  const std::lock_guard Guard(this->Lock);
  return this->LiveFleet;
}

FleetPointer MembershipService::rateFleet() const {
  const std::lock_guard Guard(this->Lock);
  return this->RateFleet;
}

} // namespace lavenderdale
