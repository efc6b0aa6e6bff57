#include "groupdirectory.h"

#include "base/objectreader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

// Older evidence is ignored, so there is no point in waiting longer.
constexpr std::chrono::milliseconds EvidenceTimeout{400};
constexpr std::chrono::milliseconds ViewTimeout{300};

} // namespace

Result<TermStatus> termStatusOf(const GroupStatus &Stored,
                                std::uint64_t Version) {
  TermStatus Status;
  Status.Version = Version;
  Status.Current = Term{Stored.Term};
  Status.Primary = Stored.Primary;
  for (const LineageEntry &Entry : Stored.Lineage) {
    BOOST_OUTCOME_TRY(const LogPosition Start,
                      LogPosition::parse(Entry.StartPosition));
    BOOST_OUTCOME_TRYV(Status.History.append(Term{Entry.Term}, Start));
  }
  Status.Replaced.insert(Stored.Replaced.begin(), Stored.Replaced.end());
  if (Stored.PromotionStart) {
    BOOST_OUTCOME_TRY(Status.PromotionStart,
                      LogPosition::parse(*Stored.PromotionStart));
  }
  if (Stored.Attempt)
    Status.Claim = PromotionClaim{Stored.Attempt->Id, Stored.Attempt->By};
  return Status;
}

GroupStatus storedStatusOf(const TermStatus &Status) {
  GroupStatus Stored;
  Stored.Term = Status.Current.Value;
  Stored.Primary = Status.Primary;
  for (const Lineage::Entry &Entry : Status.History.entries())
    Stored.Lineage.push_back({Entry.InTerm.Value, Entry.Start.toString()});
  Stored.Replaced.assign(Status.Replaced.begin(), Status.Replaced.end());
  if (Status.PromotionStart)
    Stored.PromotionStart = Status.PromotionStart->toString();
  if (Status.Claim) {
    PromotionAttempt Attempt;
    Attempt.Id = Status.Claim->AttemptId;
    Attempt.By = Status.Claim->Owner;
    Attempt.Term = Status.Current.Value + 1;
    Stored.Attempt = std::move(Attempt);
  }
  return Stored;
}

GroupDirectory::GroupDirectory(const DaemonContext &Context,
                               GroupStatusStore &Store, GroupViews &Views)
    : Context(Context), Store(Store), Views(Views) {}

void GroupDirectory::addMethods(RpcServer &Server) {
  Server.add("group.evidence",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               ObjectReader Reader(Params, "evidence");
               const std::string Group = Reader.requiredString("group");
               const Term Current{
                   Reader.requiredUnsigned("term", 0, UINT64_MAX)};
               BOOST_OUTCOME_TRYV(Reader.finish());
               const ServicePointer Service = this->find(Group);
               Json::Value Answer(Json::objectValue);
               Answer["suspects"] = Service && Service->suspects(Current);
               return Answer;
             });
  Server.add(
      "group.view", [this](const Json::Value &Params) -> Result<Json::Value> {
        ObjectReader Reader(Params, "view");
        const std::string Group = Reader.requiredString("group");
        BOOST_OUTCOME_TRYV(Reader.finish());
        const GroupViewPointer View = this->Views.find(Group);
        if (!View)
          return failure(ErrorKind::NotFound, "no view of group " + Group);
        PublishedGroupView Current = *View;
        for (UpstreamView &Member : Current.Routing.Upstreams)
          if (Member.Age)
            *Member.Age += steadyNow() - View->At;
        return Current.toJson();
      });
}

std::shared_ptr<GroupService>
GroupDirectory::find(const std::string &Group) const {
  const std::lock_guard Guard(this->Lock);
  const auto Found = this->Services.find(Group);
  return Found == this->Services.end() ? nullptr : Found->second;
}

FleetPointer GroupDirectory::fleet() const {
  const std::lock_guard Guard(this->Lock);
  return this->Fleet;
}

GroupDirectory::ServicePointer GroupDirectory::create(const Group &Members) {
  asio::io_context &Worker = this->Context.Workers.worker(
      std::hash<std::string>()(Members.Name) % this->Context.Workers.size());
  auto Service = std::make_shared<GroupService>(
      this->Context, Worker, Members, this->Store, this->Views,
      [this](const std::string &Group, Term Current,
             const std::vector<Watcher> &Watchers) {
        this->requestEvidence(Group, Current, Watchers);
      });
  asio::post(Worker, [Service] { Service->start(); });
  return Service;
}

void GroupDirectory::reconcile(const SnapshotPointer &Snapshot,
                               const FleetPointer &NewFleet) {
  const std::lock_guard Guard(this->Lock);
  this->Fleet = NewFleet;
  for (const auto &[Name, Members] : Snapshot->groups()) {
    const GroupDuties NewDuties =
        NewFleet->dutiesOf(this->Context.hostName(), *Members);
    this->Duties[Name] = NewDuties;
    const GroupStatus *Stored = Snapshot->groupStatus(Name);
    if (Stored)
      this->Primaries[Name] = Stored->Primary;
    // An idle service costs processor time and memory too, and a large fleet
    // has several hundred groups.
    if (!NewDuties.any() && !this->Services.contains(Name))
      continue;
    ServicePointer &Service = this->Services[Name];
    if (!Service)
      Service = this->create(*Members);
    asio::post(Service->worker(), [Service, Members = Members, NewDuties] {
      Service->update(*Members, NewDuties);
    });
    const CatalogueObject *Object = Snapshot->object(ObjectKind::Group, Name);
    if (!Stored || !Object)
      continue;
    const Result<TermStatus> Status = termStatusOf(*Stored, Object->Version);
    if (!Status)
      continue;
    asio::post(Service->worker(), [Service, Status = Status.value()] {
      Service->handleStatus(Status);
    });
  }
  std::vector<std::string> Removed;
  for (const auto &[Name, Service] : this->Services)
    if (!Snapshot->group(Name))
      Removed.push_back(Name);
  for (const std::string &Name : Removed)
    this->retire(Name);
}

void GroupDirectory::retire(const std::string &Name) {
  const auto Found = this->Services.find(Name);
  if (Found == this->Services.end())
    return;
  asio::post(Found->second->worker(),
             [Service = Found->second] { Service->stop(); });
  this->Services.erase(Found);
}

void GroupDirectory::requestEvidence(const std::string &Group, Term Current,
                                     const std::vector<Watcher> &Watchers) {
  for (const Watcher &Other : Watchers) {
    if (Other.Host == this->Context.hostName())
      continue;
    asio::co_spawn(this->Context.Workers.next(),
                   this->requestEvidenceFrom(Group, Current, Other.Host),
                   asio::detached);
  }
}

asio::awaitable<void> GroupDirectory::requestEvidenceFrom(std::string Group,
                                                          Term Current,
                                                          std::string Host) {
  const FleetPointer View = this->fleet();
  const FleetView::Member *Peer = View ? View->find(Host) : nullptr;
  if (!Peer)
    co_return;
  Json::Value Params(Json::objectValue);
  Params["group"] = Group;
  Params["term"] = Json::Value::UInt64(Current.Value);
  const TimePoint AskedAt = steadyNow();
  const auto Answer = co_await this->Context.Rpc.call(
      Peer->Peer, "group.evidence", Params, AskedAt + EvidenceTimeout);
  if (!Answer || !Answer.value()["suspects"].isBool())
    co_return;
  const Evidence Received{Host, Current, Answer.value()["suspects"].asBool(),
                          AskedAt};
  if (const ServicePointer Service = this->find(Group))
    asio::post(Service->worker(),
               [Service, Received] { Service->recordEvidence(Received); });
}

asio::awaitable<void> GroupDirectory::refreshView(std::string Group) {
  std::vector<Watcher> Watchers;
  {
    const std::lock_guard Guard(this->Lock);
    const auto Found = this->Duties.find(Group);
    if (Found == this->Duties.end() ||
        Found->second.pollsMembers(this->Primaries[Group]) ||
        !this->Refreshing.insert(Group).second)
      co_return;
    Watchers = Found->second.Watchers;
  }
  const FleetPointer View = this->fleet();
  for (const Watcher &Each : Watchers) {
    const FleetView::Member *Peer = View->find(Each.Host);
    if (!Peer)
      continue;
    Json::Value Params(Json::objectValue);
    Params["group"] = Group;
    this->Context.Metrics
        .counter("lavenderdale_view_calls_total",
                 "Calls to watchers for their view of a group")
        .add();
    const TimePoint AskedAt = steadyNow();
    const auto Answer = co_await this->Context.Rpc.call(
        Peer->Peer, "group.view", Params, AskedAt + ViewTimeout);
    if (!Answer)
      continue;
    auto Read = PublishedGroupView::fromJson(Answer.value(), AskedAt);
    if (!Read)
      continue;
    this->Views.publish(
        Group, std::make_shared<PublishedGroupView>(std::move(Read.value())));
    break;
  }
  const std::lock_guard Guard(this->Lock);
  this->Refreshing.erase(Group);
}

std::size_t GroupDirectory::transactions() const {
  const std::lock_guard Guard(this->Lock);
  std::size_t Sum = 0;
  for (const auto &[Name, Service] : this->Services)
    Sum += Service->transactions();
  return Sum;
}

void GroupDirectory::stop() {
  const std::lock_guard Guard(this->Lock);
  for (const auto &[Name, Service] : this->Services)
    asio::post(Service->worker(), [Service = Service] { Service->stop(); });
}

} // namespace lavenderdale
