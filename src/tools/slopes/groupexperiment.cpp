#include "experiments.h"

#include "catalogue/snapshotbuilder.h"
#include "failover/evidence.h"
#include "failover/failoverlimits.h"
#include "failover/failuredetector.h"
#include "failover/promotion.h"
#include "failover/writepermission.h"
#include "server/groupqueries.h"

#include <memory>

namespace lavenderdale::slopes {
namespace {

using std::chrono::seconds;

Group makeGroup(std::size_t Number) {
  Group Made{"group-" + std::to_string(Number), "app", "app", {}};
  for (std::size_t I = 0; I < MembersOfGroup; ++I) {
    Upstream Member;
    Member.Name = Made.Name + "-" + std::to_string(I);
    Member.Address = "10.1.0." + std::to_string(I + 1);
    Member.Port = static_cast<std::uint16_t>(5432 + Number);
    Member.FailureDomain = domainName(Number + I);
    Member.Connections = 16;
    Member.Slots = 2;
    Made.Upstreams.push_back(std::move(Member));
  }
  return Made;
}

StatementResult answerOf(const Group &Members, bool IsPrimary) {
  StatementResult Answer;
  Answer.Columns.resize(7);
  std::optional<std::string> File;
  std::optional<std::string> Received = "1";
  std::string Conninfo = conninfoOf(Members.Upstreams[0], Members);
  if (IsPrimary) {
    File = "000000010000000000000016";
    Received.reset();
    Conninfo.clear();
  }
  Answer.Rows.push_back({IsPrimary ? "f" : "t", "0/16B3748", "0/16B3748", File,
                         Received, "1", Conninfo});
  return Answer;
}

/// What GroupService does with polls, without connections.
struct Watched {
  explicit Watched(std::size_t Number, TimePoint Now)
      : Members(makeGroup(Number)), Promoter("host", "1") {
    std::vector<std::string> Names;
    Names.reserve(this->Members.Upstreams.size());
    for (const Upstream &Each : this->Members.Upstreams)
      Names.push_back(Each.Name);
    this->Permission.setView({Term{1}, Names[0], Names, Term{1}});
    this->Detector.primaryChanged(Term{1}, Now, true);
    this->Promoter.setMembers(Names, Now);
    TermStatus Status;
    Status.Version = 1;
    Status.Current = Term{1};
    Status.Primary = Names[0];
    this->Promoter.handle(StatusSeen{Status}, Now);
    for (const char *Host : {"host-a", "host-b", "host-c"})
      this->Watchers.push_back({Host, Host});
  }

  void poll(TimePoint Now) {
    for (std::size_t I = 0; I < this->Members.Upstreams.size(); ++I) {
      const std::string &Name = this->Members.Upstreams[I].Name;
      if (I == 0)
        this->Detector.pollSent(Now);
      const auto Poll = readPoll(answerOf(this->Members, I == 0), this->Members,
                                 Name, Now, Term{1});
      if (I == 0)
        this->Detector.pollAnswered(Now, Now);
      else
        this->Permission.replicaPolled(*Poll);
      this->Actions += this->Promoter.handle(MemberSeen{*Poll}, Now).size();
    }
    for (const Watcher &Each : this->Watchers)
      this->Board.record(
          {Each.Host, Term{1}, this->Detector.suspects(Now), Now});
    const bool Agreed = this->Board.hasQuorum(this->Watchers, Term{1}, Now);
    this->Actions +=
        this->Promoter.handle(EvidenceCombined{Term{1}, Agreed}, Now).size();
    this->Actions += this->Promoter.handle(Tick{}, Now).size();
  }

  Group Members;
  WritePermission Permission;
  FailureDetector Detector;
  EvidenceAggregator Board;
  std::vector<Watcher> Watchers;
  Promotion Promoter;
  std::size_t Actions = 0;
};

double textBytes() { return static_cast<double>(pollStatement().Sql.size()); }

double answerBytes(bool IsPrimary) {
  double Sum = 0;
  const StatementResult Answer = answerOf(makeGroup(0), IsPrimary);
  for (const auto &Cell : Answer.Rows[0])
    Sum += Cell ? static_cast<double>(Cell->size()) : 0;
  return Sum;
}

void measureWatchers(std::vector<Series> &All) {
  Series Time{"groups.time", "groups watched", "us/s", {}};
  Series Memory{"groups.memory", "groups watched", "bytes", {}};
  Series Sql{"groups.poll.sql", "groups watched", "bytes/s of SQL text", {}};
  Series Cells{"groups.poll.answer", "groups watched", "bytes/s of cells", {}};
  constexpr seconds Length{10};
  for (const std::size_t Count : {1U, 2U, 4U, 8U, 16U, 32U}) {
    TimePoint Now{seconds(1000)};
    const double AllocatedBefore = allocatedBytes();
    std::vector<std::unique_ptr<Watched>> Subjects;
    for (std::size_t I = 0; I < Count; ++I)
      Subjects.push_back(std::make_unique<Watched>(I, Now));
    const double Before = processorMicroseconds();
    double Rounds = 0;
    for (const TimePoint End = Now + Length; Now < End;
         Now += failoverlimits::PollInterval, ++Rounds)
      for (const auto &Each : Subjects)
        Each->poll(Now);
    const double Used = processorMicroseconds() - Before;
    const auto Size = static_cast<double>(Count);
    const auto Span = static_cast<double>(Length.count());
    const double Polls = Rounds * Size / Span;
    Time.Points.push_back({Size, Used / Span});
    Memory.Points.push_back({Size, allocatedBytes() - AllocatedBefore});
    Sql.Points.push_back({Size, Polls * MembersOfGroup * textBytes()});
    Cells.Points.push_back(
        {Size, Polls * (answerBytes(true) +
                        (MembersOfGroup - 1) * answerBytes(false))});
  }
  All.insert(All.end(), {Time, Memory, Sql, Cells});
}

CatalogueObject makeRoute(std::size_t Number) {
  CatalogueObject Object;
  Object.Kind = Number == 0 ? ObjectKind::Workspace : ObjectKind::Route;
  Object.Name = "object-" + std::to_string(Number);
  Object.Version = Number + 2;
  if (Number == 0) {
    Object.Spec["rate"] = 100;
    Object.Spec["burst"] = 100;
    return Object;
  }
  Object.Spec["owner"] = "object-0";
  Object.Spec["group"] = "group-0";
  Object.Spec["trafficClass"] = "urgent";
  return Object;
}

void measureSnapshots(std::vector<Series> &All) {
  Series Memory{
      "catalogue.memory", "objects", "bytes of builder and snapshot", {}};
  Series Time{"catalogue.time", "objects", "us for one snapshot", {}};
  for (const std::size_t Count : {250U, 500U, 1000U, 1500U, 2000U, 3000U}) {
    const double AllocatedBefore = allocatedBytes();
    SnapshotBuilder Builder;
    CatalogueObject Database;
    Database.Kind = ObjectKind::Group;
    Database.Name = "group-0";
    Database.Version = 1;
    Database.Spec = makeGroup(0).toJson();
    Builder.apply(Database);
    for (std::size_t I = 0; I + 1 < Count; ++I)
      Builder.apply(makeRoute(I));
    const double Before = processorMicroseconds();
    const SnapshotPointer Snapshot = Builder.build();
    const auto Size = static_cast<double>(Count);
    Time.Points.push_back({Size, processorMicroseconds() - Before});
    Memory.Points.push_back({Size, allocatedBytes() - AllocatedBefore});
  }
  All.insert(All.end(), {Memory, Time});
}

} // namespace

std::vector<Series> measureGroups() {
  std::vector<Series> All;
  measureWatchers(All);
  measureSnapshots(All);
  return All;
}

} // namespace lavenderdale::slopes
