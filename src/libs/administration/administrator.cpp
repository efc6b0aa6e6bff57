#include "administrator.h"

#include "hostconfirmation.h"
#include "plancheck.h"

#include "base/strictjson.h"
#include "catalogue/keytext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

/// For example "20261204t060638.123z": the names sort by time.
std::string secretName(std::chrono::system_clock::time_point Now) {
  const auto Ms = std::chrono::floor<std::chrono::milliseconds>(Now);
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Ms);
  const std::time_t Time = std::chrono::system_clock::to_time_t(Seconds);
  std::tm Utc{};
  gmtime_r(&Time, &Utc);
  std::ostringstream Text;
  Text << std::put_time(&Utc, "%Y%m%dt%H%M%S") << '.' << std::setw(3)
       << std::setfill('0') << (Ms - Seconds).count() << 'z';
  return Text.str();
}

/// A result has no default value, which asio::co_spawn() needs for one.
template <typename T>
asio::awaitable<void> storeAnswer(PlatformClient::Call<T> Call,
                                  std::optional<Result<T>> &Answer) {
  Answer.emplace(co_await std::move(Call));
}

} // namespace

struct Administrator::Planned {
  ObjectList Stored;
  std::vector<Change> Steps;
};

Administrator::Administrator(asio::ip::tcp::endpoint Platform,
                             TimePoint Deadline)
    : Client(this->Io.get_executor(), std::move(Platform)), Deadline(Deadline) {
}

template <typename T>
Result<T> Administrator::run(PlatformClient::Call<T> Call) {
  std::optional<Result<T>> Answer;
  asio::co_spawn(this->Io, storeAnswer(std::move(Call), Answer),
                 asio::detached);
  this->Io.restart();
  this->Io.run();
  if (!Answer)
    return failure(ErrorKind::Internal, "the call ended with an exception");
  return std::move(*Answer);
}

Result<ObjectList> Administrator::listAll() {
  return this->run(this->Client.list(std::nullopt, this->Deadline));
}

Result<Administrator::Planned>
Administrator::makePlan(const std::vector<CatalogueObject> &Desired,
                        MissingObjects Missing) {
  BOOST_OUTCOME_TRYV(checkKinds(Desired));
  Planned Made;
  BOOST_OUTCOME_TRY(Made.Stored, this->listAll());
  BOOST_OUTCOME_TRYV(checkVersions(Made.Stored, Desired));
  BOOST_OUTCOME_TRY(Made.Steps,
                    planChanges(Made.Stored.Objects, Desired, Missing));
  BOOST_OUTCOME_TRYV(checkBursts(Made.Stored, Desired));
  BOOST_OUTCOME_TRYV(checkMembers(Made.Stored, Desired));
  BOOST_OUTCOME_TRYV(checkTogether(Made.Stored, Made.Steps));
  return Made;
}

Report Administrator::plan(const std::vector<CatalogueObject> &Desired,
                           MissingObjects Missing) {
  const Result<Planned> Made = this->makePlan(Desired, Missing);
  if (!Made)
    return failureReport(Made.error());
  Report Outcome;
  Outcome.Text =
      Made.value().Steps.empty() ? "no change\n" : describe(Made.value().Steps);
  Outcome.Data["changes"] = toJson(Made.value().Steps);
  return Outcome;
}

Result<std::uint64_t> Administrator::write(const Change &Step) {
  const CatalogueObject &Object = Step.Object;
  if (Step.Action == ChangeAction::Delete) {
    BOOST_OUTCOME_TRYV(this->run(this->Client.removeResolved(
        Object.Kind, Object.Name, Object.Version, this->Deadline)));
    BOOST_OUTCOME_TRY(const ObjectList After, this->listAll());
    return After.Version;
  }
  BOOST_OUTCOME_TRY(
      const CatalogueObject Stored,
      this->run(Step.Action == ChangeAction::Create
                    ? this->Client.createResolved(Object, this->Deadline)
                    : this->Client.replaceIfResolved(Object, this->Deadline)));
  return Stored.Version;
}

Report Administrator::lostRace(const Change &Step, const Error &Failure) {
  Report Outcome = failureReport(Failure);
  const Result<CatalogueObject> Stored = this->run(
      this->Client.get(Step.Object.Kind, Step.Object.Name, this->Deadline));
  Outcome.Data["wanted"] = shownObject(Step.Object);
  Outcome.Data["stored"] = Stored ? shownObject(Stored.value()) : Json::Value();
  Outcome.Text = Step.Object.label() +
                 " was changed by somebody else; nothing was overwritten.\n" +
                 "wanted: " + writeCompactJson(Outcome.Data["wanted"]) +
                 "\nstored: " + writeCompactJson(Outcome.Data["stored"]) + "\n";
  return Outcome;
}

Report Administrator::apply(const std::vector<CatalogueObject> &Desired,
                            MissingObjects Missing, bool Wait) {
  const Result<Planned> Made = this->makePlan(Desired, Missing);
  if (!Made)
    return failureReport(Made.error());
  Report Outcome;
  std::uint64_t Version = Made.value().Stored.Version;
  std::vector<Change> Done;
  for (const Change &Step : Made.value().Steps) {
    const Result<std::uint64_t> Written = this->write(Step);
    if (!Written) {
      Outcome = Written.error().Kind == ErrorKind::VersionConflict
                    ? this->lostRace(Step, Written.error())
                    : failureReport(Written.error());
      Outcome.Text += "written before: " + std::to_string(Done.size()) +
                      " of " + std::to_string(Made.value().Steps.size()) +
                      " changes\n" + describe(Done);
      Outcome.Data["changes"] = toJson(Done);
      return Outcome;
    }
    Version = std::max(Version, Written.value());
    Done.push_back(Step);
  }
  Outcome.Text = Done.empty() ? "no change\n" : describe(Done);
  Outcome.Data["changes"] = toJson(Done);
  Outcome.Data["version"] = static_cast<Json::UInt64>(Version);
  if (Wait)
    this->waitForHosts(Version, "The change is stored.", Outcome);
  return Outcome;
}

void Administrator::waitForHosts(std::uint64_t Version,
                                 const std::string &Stored, Report &Outcome) {
  const Result<ObjectList> List =
      this->run(this->Client.list(ObjectKind::Host, this->Deadline));
  if (!List) {
    Outcome.Code = ExitCode::NotInForce;
    Outcome.Text += Stored + " The list of hosts could not be read.\n";
    return;
  }
  SnapshotBuilder Builder;
  Builder.replaceAll(List.value());
  std::vector<Host> Hosts;
  const SnapshotPointer Snapshot = Builder.build();
  for (const auto &[Name, Item] : Snapshot->hosts())
    Hosts.push_back(*Item);
  std::vector<std::string> Missing;
  asio::co_spawn(
      this->Io, hostsWithout(Version, std::move(Hosts), this->Deadline),
      [&](const std::exception_ptr &, std::vector<std::string> Names) {
        Missing = std::move(Names);
      });
  this->Io.restart();
  this->Io.run();
  Outcome.Data["unconfirmed"] = Json::Value(Json::arrayValue);
  for (const std::string &Name : Missing)
    Outcome.Data["unconfirmed"].append(Name);
  if (Missing.empty()) {
    Outcome.Text +=
        "in force on all hosts (version " + std::to_string(Version) + ")\n";
    return;
  }
  Outcome.Code = ExitCode::NotInForce;
  Outcome.Text += Stored + " " + unconfirmedSentence(Missing) + "\n";
}

Report Administrator::get(std::optional<ObjectKind> Kind,
                          const std::string &Name) {
  Report Outcome;
  if (Kind && !Name.empty()) {
    const auto Object =
        this->run(this->Client.get(*Kind, Name, this->Deadline));
    if (!Object)
      return failureReport(Object.error());
    Outcome.Data = shownObject(Object.value());
    Outcome.Text = Outcome.Data.toStyledString();
    return Outcome;
  }
  const auto List = this->run(this->Client.list(Kind, this->Deadline));
  if (!List)
    return failureReport(List.error());
  Outcome.Data["objects"] = Json::Value(Json::arrayValue);
  for (const CatalogueObject &Object : List.value().Objects) {
    Outcome.Data["objects"].append(shownObject(Object));
    Outcome.Text +=
        Object.label() + " (version " + std::to_string(Object.Version) + ")\n";
  }
  return Outcome;
}

Report Administrator::create(ObjectKind Kind, const std::string &Name,
                             Json::Value Spec) {
  CatalogueObject Object;
  Object.Kind = Kind;
  Object.Name = Name;
  Object.Spec = std::move(Spec);
  const auto Stored =
      this->run(this->Client.createResolved(Object, this->Deadline));
  if (!Stored)
    return failureReport(Stored.error());
  Report Outcome;
  Outcome.Data["id"] = Name;
  Outcome.Data["version"] = static_cast<Json::UInt64>(Stored.value().Version);
  Outcome.Text = Name + "\n";
  return Outcome;
}

Report Administrator::grantKey(const std::string &WorkspaceName) {
  const auto Owner = this->run(
      this->Client.get(ObjectKind::Workspace, WorkspaceName, this->Deadline));
  if (!Owner)
    return failureReport(Owner.error());
  const Result<KeyText> Generated = generateKey();
  if (!Generated)
    return failureReport(Generated.error());
  Key Granted;
  Granted.Id = Generated.value().Id;
  Granted.Workspace = WorkspaceName;
  Granted.Hash = hashSecret(Generated.value().Secret);
  Report Outcome = this->create(ObjectKind::Key, Granted.Id, Granted.toJson());
  if (Outcome.Code != ExitCode::Done)
    return Outcome;
  Outcome.Data["key"] = Generated.value().text();
  Outcome.Text = Generated.value().text() + "\n";
  return Outcome;
}

Report Administrator::withdrawKey(const std::string &Id, bool Wait) {
  const auto Stored =
      this->run(this->Client.get(ObjectKind::Key, Id, this->Deadline));
  if (!Stored)
    return failureReport(Stored.error());
  Change Step{ChangeAction::Update, Stored.value(), {}};
  Step.Object.Spec["state"] = std::string(toString(KeyState::Withdrawn));
  const Result<std::uint64_t> Written = this->write(Step);
  if (!Written)
    return Written.error().Kind == ErrorKind::VersionConflict
               ? this->lostRace(Step, Written.error())
               : failureReport(Written.error());
  Report Outcome;
  Outcome.Data["id"] = Id;
  Outcome.Data["version"] = static_cast<Json::UInt64>(Written.value());
  Outcome.Text = "key " + Id + " is withdrawn (version " +
                 std::to_string(Written.value()) + ")\n";
  if (Wait)
    this->waitForHosts(Written.value(), "The withdrawal is stored.", Outcome);
  return Outcome;
}

Report Administrator::listKeys() {
  const auto List =
      this->run(this->Client.list(ObjectKind::Key, this->Deadline));
  if (!List)
    return failureReport(List.error());
  Report Outcome;
  Outcome.Data["keys"] = Json::Value(Json::arrayValue);
  for (const CatalogueObject &Object : List.value().Objects) {
    const Result<Key> Item = Key::fromJson(Object.Name, Object.Spec);
    if (!Item)
      continue;
    Json::Value Entry(Json::objectValue);
    Entry["id"] = Item.value().Id;
    Entry["workspace"] = Item.value().Workspace;
    Entry["state"] = std::string(toString(Item.value().State));
    Outcome.Data["keys"].append(Entry);
    Outcome.Text += Item.value().Id + " " + Item.value().Workspace + " " +
                    std::string(toString(Item.value().State)) + "\n";
  }
  return Outcome;
}

Report Administrator::createSecret(std::chrono::system_clock::time_point Now) {
  const auto List =
      this->run(this->Client.list(ObjectKind::Secret, this->Deadline));
  if (!List)
    return failureReport(List.error());
  SigningSecret Created;
  Created.Id = secretName(Now);
  for (const CatalogueObject &Object : List.value().Objects)
    if (Object.Name >= Created.Id)
      return failureReport(
          {ErrorKind::InvalidCatalogue,
           Object.label() + " sorts after the new name " + Created.Id +
               ", so that the new secret would not be used for signing; "
               "nothing was written"});
  Result<std::string> Hex = generateSecret();
  if (!Hex)
    return failureReport(Hex.error());
  Created.Hex = std::move(Hex.value());
  return this->create(ObjectKind::Secret, Created.Id, Created.toJson());
}

Report Administrator::listSecrets() {
  const auto List =
      this->run(this->Client.list(ObjectKind::Secret, this->Deadline));
  if (!List)
    return failureReport(List.error());
  std::set<std::string> Names;
  for (const CatalogueObject &Object : List.value().Objects)
    Names.insert(Object.Name);
  Report Outcome;
  Outcome.Data["secrets"] = Json::Value(Json::arrayValue);
  for (const std::string &Name : Names) {
    Outcome.Data["secrets"].append(Name);
    Outcome.Text += Name + "\n";
  }
  return Outcome;
}

Report Administrator::initGroup(const std::string &Name,
                                const std::string &Primary,
                                std::uint64_t Term) {
  const auto Stored =
      this->run(this->Client.get(ObjectKind::Group, Name, this->Deadline));
  if (!Stored)
    return failureReport(Stored.error());
  const std::string Label = Stored.value().label();
  if (!Stored.value().Status.empty())
    return failureReport({ErrorKind::InvalidCatalogue,
                          Label + ": has a status already; it is changed by "
                                  "promotions only"});
  const Result<Group> Spec = Group::fromJson(Name, Stored.value().Spec);
  if (!Spec)
    return failureReport(
        {Spec.error().Kind, Label + ": " + Spec.error().Detail});
  if (Spec.value().upstream(Primary) == nullptr)
    return failureReport({ErrorKind::InvalidCatalogue,
                          Label +
                              ": expected an upstream of the group as "
                              "primary, found \"" +
                              Primary + "\""});
  GroupStatus First;
  First.Term = Term;
  First.Primary = Primary;
  First.Lineage = {{Term, "0/0"}};
  Change Step{ChangeAction::Update, Stored.value(), {}};
  Step.Object.Status = First.toJson();
  const Result<GroupStatus> Checked = GroupStatus::fromJson(Step.Object.Status);
  if (!Checked)
    return failureReport(Checked.error());
  const Result<std::uint64_t> Written = this->write(Step);
  if (!Written)
    return Written.error().Kind == ErrorKind::VersionConflict
               ? this->lostRace(Step, Written.error())
               : failureReport(Written.error());
  Report Outcome;
  Outcome.Data["group"] = Name;
  Outcome.Data["status"] = Step.Object.Status;
  Outcome.Data["version"] = static_cast<Json::UInt64>(Written.value());
  Outcome.Text = "group " + Name + " begins with primary " + Primary +
                 " in term " + std::to_string(Term) + " (version " +
                 std::to_string(Written.value()) + ")\n";
  return Outcome;
}

Report Administrator::status() {
  const Result<ObjectList> List = this->listAll();
  if (!List)
    return failureReport(List.error());
  SnapshotBuilder Builder;
  Builder.replaceAll(List.value());
  const SnapshotPointer Snapshot = Builder.build();
  return statusReport(*Snapshot, Builder.faults());
}

Report Administrator::explain(const ExplainedRequest &Request) {
  const Result<ObjectList> List = this->listAll();
  if (!List)
    return failureReport(List.error());
  SnapshotBuilder Builder;
  Builder.replaceAll(List.value());
  const SnapshotPointer Snapshot = Builder.build();
  return explainReport(*Snapshot, Request);
}

} // namespace lavenderdale
