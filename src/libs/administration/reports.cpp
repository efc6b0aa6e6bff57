#include "reports.h"

#include "base/strictjson.h"

namespace lavenderdale {
namespace {

ExitCode exitCodeOf(ErrorKind Kind) {
  if (Kind == ErrorKind::VersionConflict)
    return ExitCode::LostRace;
  if (Kind == ErrorKind::PlatformUnavailable)
    return ExitCode::Unreachable;
  return ExitCode::Refused;
}

Json::Value groupData(const CatalogueSnapshot &Snapshot, const Group &Shown) {
  Json::Value Data = Shown.toJson();
  const GroupStatus *Status = Snapshot.groupStatus(Shown.Name);
  if (Status != nullptr)
    Data["status"] = Status->toJson();
  return Data;
}

std::string groupText(const CatalogueSnapshot &Snapshot, const Group &Shown) {
  const GroupStatus *Status = Snapshot.groupStatus(Shown.Name);
  std::string Text = "group " + Shown.Name;
  if (Status == nullptr)
    Text += ": no term yet\n";
  else
    Text += ": term " + std::to_string(Status->Term) + ", primary " +
            Status->Primary + "\n";
  if (Status != nullptr && Status->Attempt)
    Text += "  promotion to term " + std::to_string(Status->Attempt->Term) +
            " claimed by " + Status->Attempt->By + "\n";
  for (const Upstream &Member : Shown.Upstreams)
    Text += "  " + Member.Name + " " + Member.Address + ":" +
            std::to_string(Member.Port) + " " + Member.FailureDomain + " " +
            std::string(toString(Member.State)) + "\n";
  return Text;
}

std::string workspaceText(const CatalogueSnapshot &Snapshot,
                          const Workspace &Shown) {
  std::string Text = "workspace " + Shown.Name + ": " +
                     writeCompactJson(Shown.toJson()) + "\n";
  for (const auto &[Name, Item] : Snapshot.routes())
    if (Item->Owner == Shown.Name)
      Text +=
          "  route " + Name + ": " + writeCompactJson(Item->toJson()) + "\n";
  return Text;
}

std::string keyState(const CatalogueSnapshot &Snapshot, const Route &Used,
                     const std::string &Id) {
  if (Used.Open)
    return "not needed: the route is open to all";
  if (Id.empty())
    return "missing: refused with missing-key";
  const Key *Found = Snapshot.key(Id);
  if (Found == nullptr)
    return "unknown: refused with bad-key";
  if (Found->State == KeyState::Withdrawn)
    return "withdrawn: refused with key-withdrawn";
  if (Found->Workspace != Used.Owner)
    return "of workspace " + Found->Workspace + ": refused with forbidden";
  return "granted";
}

Json::Value candidateReplicas(const CatalogueSnapshot &Snapshot,
                              const Route &Used,
                              const ExplainedRequest &Request) {
  Json::Value Names(Json::arrayValue);
  const Group *Target = Snapshot.group(Used.Group);
  const GroupStatus *Status = Snapshot.groupStatus(Used.Group);
  const bool IsStrong = Request.MaxAge && Request.MaxAge->count() == 0;
  if (Target == nullptr || Status == nullptr || !Request.ReadOnly || IsStrong)
    return Names;
  for (const Upstream &Member : Target->Upstreams)
    if (Member.State == UpstreamState::Serving &&
        Member.Name != Status->Primary)
      Names.append(Member.Name);
  return Names;
}

} // namespace

Report failureReport(const Error &Failure) {
  Report Outcome;
  Outcome.Code = exitCodeOf(Failure.Kind);
  Outcome.Text = Failure.Detail + "\n";
  Outcome.Data["error"]["kind"] = std::string(errorAnswer(Failure.Kind).Name);
  Outcome.Data["error"]["detail"] = Failure.Detail;
  return Outcome;
}

Report statusReport(const CatalogueSnapshot &Snapshot,
                    const std::vector<CatalogueFault> &Faults) {
  Report Outcome;
  Json::Value &Data = Outcome.Data;
  Data["version"] = static_cast<Json::UInt64>(Snapshot.version());
  Outcome.Text = "version " + std::to_string(Snapshot.version()) + "\n";
  for (const auto &[Name, Item] : Snapshot.groups()) {
    Data["groups"][Name] = groupData(Snapshot, *Item);
    Outcome.Text += groupText(Snapshot, *Item);
  }
  if (const HostSet *Fleet = Snapshot.hostSet()) {
    Data["hostSet"] = Fleet->toJson();
    Outcome.Text += "host set: epoch " + std::to_string(Fleet->Epoch) + ", " +
                    std::to_string(Fleet->Members.size()) + " members\n";
  }
  for (const auto &[Name, Item] : Snapshot.hosts()) {
    Data["hosts"][Name] = Item->toJson();
    Outcome.Text += "host " + Name + ": " + Item->FailureDomain +
                    (Item->Leaving ? ", leaving\n" : "\n");
  }
  for (const auto &[Name, Item] : Snapshot.workspaces()) {
    Data["workspaces"][Name] = Item->toJson();
    Outcome.Text += workspaceText(Snapshot, *Item);
  }
  for (const auto &[Name, Item] : Snapshot.routes())
    Data["routes"][Name] = Item->toJson();
  Data["faults"] = Json::Value(Json::arrayValue);
  for (const CatalogueFault &Fault : Faults) {
    Data["faults"].append(Fault.Detail);
    Outcome.Text += "not in force (version " + std::to_string(Fault.Version) +
                    "): " + Fault.Detail + "\n";
  }
  return Outcome;
}

Report explainReport(const CatalogueSnapshot &Snapshot,
                     const ExplainedRequest &Request) {
  const Route *Used = Snapshot.route(Request.RouteName);
  if (Used == nullptr)
    return failureReport(
        failure(ErrorKind::NotFound, "no route \"" + Request.RouteName + "\""));
  Report Outcome;
  Json::Value &Data = Outcome.Data;
  Data["route"] = Used->Name;
  Data["spec"] = Used->toJson();
  if (const Workspace *Owner = Snapshot.workspace(Used->Owner))
    Data["workspace"] = Owner->toJson();
  const GroupStatus *Status = Snapshot.groupStatus(Used->Group);
  Data["primary"] = Status == nullptr ? "" : Status->Primary;
  Data["candidateReplicas"] = candidateReplicas(Snapshot, *Used, Request);
  Data["key"] = keyState(Snapshot, *Used, Request.KeyId);
  Data["maxAgeMs"] = Json::Value();
  if (Request.MaxAge)
    Data["maxAgeMs"] = static_cast<Json::Int64>(Request.MaxAge->count());
  else if (Used->Limits.MaxAge)
    Data["maxAgeMs"] = static_cast<Json::Int64>(Used->Limits.MaxAge->count());
  for (const std::string &Name : Data.getMemberNames())
    Outcome.Text += Name + ": " + writeCompactJson(Data[Name]) + "\n";
  return Outcome;
}

} // namespace lavenderdale
