#include "memberrecords.h"

#include "base/objectreader.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr const char *ProcessesField = "processes";
constexpr const char *IdField = "id";
constexpr const char *StartedAtField = "startedAt";
constexpr const char *PrimaryField = "primary";
constexpr const char *RequiredField = "required";

bool isPair(const Json::Value &Value) {
  return Value.isArray() && Value.size() == 2 && Value[0].isUInt64() &&
         Value[1].isUInt64();
}

bool isProcess(const Json::Value &Value) {
  return Value.isObject() && Value[IdField].isString() &&
         Value[StartedAtField].isUInt64();
}

std::string describe(const MemberRecord &Record) {
  std::string Text = "processes=";
  for (const MemberProcess &Each : Record.Processes)
    Text += (Text.back() == '=' ? "" : ",") + Each.Id;
  Text += " primary=" + Record.Primary;
  if (Record.Required)
    Text += " required=" + toString(*Record.Required);
  return Text;
}

} // namespace

Json::Value encodeMemberRecord(const MemberRecord &Record) {
  Json::Value Spec;
  Spec[ProcessesField] = Json::Value(Json::arrayValue);
  for (const MemberProcess &Each : Record.Processes) {
    Json::Value Process;
    Process[IdField] = Each.Id;
    Process[StartedAtField] = Json::UInt64(Each.StartedAt);
    Spec[ProcessesField].append(std::move(Process));
  }
  Spec[PrimaryField] = Record.Primary;
  if (Record.Required) {
    Spec[RequiredField].append(Json::UInt64(Record.Required->InTerm.Value));
    Spec[RequiredField].append(Json::UInt64(Record.Required->Log.Value));
  }
  return Spec;
}

Result<MemberRecord> decodeMemberRecord(const Json::Value &Spec) {
  const Error Invalid =
      failure(ErrorKind::BadRequest, "not a record of members");
  if (!Spec.isObject() || !Spec[ProcessesField].isArray() ||
      !Spec[PrimaryField].isString())
    return Invalid;
  MemberRecord Record;
  Record.Primary = Spec[PrimaryField].asString();
  for (const Json::Value &Each : Spec[ProcessesField]) {
    if (!isProcess(Each))
      return Invalid;
    Record.Processes.insert(
        {Each[IdField].asString(), Each[StartedAtField].asUInt64()});
  }
  const Json::Value &Required = Spec[RequiredField];
  if (Required.isNull())
    return Record;
  if (!isPair(Required))
    return Invalid;
  Record.Required = Position{Term{Required[0].asUInt64()},
                             LogPosition{Required[1].asUInt64()}};
  return Record;
}

MemberRecords::MemberRecords(asio::any_io_executor Executor, ObjectStore &Store,
                             ProxyState &State)
    : Executor(std::move(Executor)), Store(Store), State(State) {}

void MemberRecords::start() {
  asio::co_spawn(this->Executor, this->run(), asio::detached);
}

MemberRecords::Task<void> MemberRecords::run() {
  const std::shared_ptr<MemberRecords> Keep = this->shared_from_this();
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + CheckInterval);
    // Groups may come and go during a call.
    const std::map<std::string, std::shared_ptr<ProxyGroup>> Groups =
        this->State.groups();
    for (const auto &[Name, Group] : Groups) {
      if (Group->synchronousReplicas() == 0 || this->Stopped)
        continue;
      if (!this->Read && !co_await this->readAll()) {
        co_await sleepUntil(steadyNow() + RetryPause);
        break;
      }
      Known &Record = this->Records[Name];
      if (this->isWriteDue(*Group, Record, steadyNow()))
        co_await this->write(Group, Record);
    }
  }
}

MemberRecords::Task<Result<void>> MemberRecords::readAll() {
  const Result<StoredObjects> Listed = co_await this->Store.list(
      Collection::Members, ListFreshness::Current, steadyNow() + CallTimeout);
  if (!Listed) {
    logInfo("event=members_unknown error=\"" + Listed.error().Detail + "\"");
    co_return Listed.error();
  }
  this->Read = true;
  std::map<std::string, StoredObject> ByName;
  for (const StoredObject &Each : Listed.value().Objects)
    ByName[Each.Name] = Each;
  for (const auto &[Name, Group] : this->State.groups())
    this->recordRead(*Group, ByName[Name]);
  co_return success();
}

asio::awaitable<Result<void>>
MemberRecords::refresh(std::shared_ptr<ProxyGroup> Group) {
  const std::shared_ptr<MemberRecords> Keep = this->shared_from_this();
  const Result<StoredObject> Present = co_await this->Store.get(
      Collection::Members, Group->name(), steadyNow() + CallTimeout);
  if (!Present && Present.error().Kind != ErrorKind::NotFound)
    co_return Present.error();
  this->recordRead(*Group, Present ? Present.value() : StoredObject());
  co_return success();
}

/// \param Object as read; without a revision if there is none.
void MemberRecords::recordRead(ProxyGroup &Group, const StoredObject &Object) {
  Known &Record = this->Records[Group.name()];
  Record.Revision = Object.Revision;
  Record.Stored = {};
  if (Object.Revision != 0) {
    const Result<MemberRecord> Decoded = decodeMemberRecord(Object.Spec);
    if (Decoded)
      Record.Stored = Decoded.value();
    else
      logWarn("event=members_unreadable group=" + Group.name() + " error=\"" +
              Decoded.error().Detail + "\"");
  }
  Group.restoreMembers(Record.Stored);
  logInfo("event=members_read group=" + Group.name() + " " +
          describeRevision(Record.Revision) + " " + describe(Record.Stored));
}

bool MemberRecords::isWriteDue(ProxyGroup &Group, Known &Record,
                               TimePoint Now) {
  const std::size_t Rank = this->State.access().promotionRank(Group.name());
  // Before the upstreams are listed, all members seem to be gone.
  if (Group.gates().empty() || Group.memberRecord() == Record.Stored ||
      Rank >= UpstreamAccess::PromoterCount) {
    Record.WriteAt.reset();
    return false;
  }
  if (!Record.WriteAt)
    Record.WriteAt = Now + RankDelay * static_cast<int>(Rank);
  return Now >= *Record.WriteAt;
}

MemberRecords::Task<void>
MemberRecords::write(std::shared_ptr<ProxyGroup> Group, Known &Record) {
  StoredObject Object;
  Object.Name = Group->name();
  Object.Revision = Record.Revision;
  const MemberRecord Wanted = Group->memberRecord();
  Object.Spec = encodeMemberRecord(Wanted);
  Record.WriteAt = steadyNow() + RetryPause;
  // g++ 12 frees a temporary twice when a conditional operator awaits.
  Result<StoredObject> Stored =
      failure(ErrorKind::PlatformUnavailable, "not written");
  if (Object.Revision == 0)
    Stored = co_await this->Store.create(Collection::Members, Object,
                                         steadyNow() + CallTimeout);
  else
    Stored = co_await this->Store.replaceIfUnchanged(
        Collection::Members, Object, steadyNow() + CallTimeout);
  logInfo("event=members_written group=" + Group->name() + " " +
          describe(Wanted) +
          (Stored ? " outcome=stored"
                  : " outcome=failed error=\"" + Stored.error().Detail + "\""));
  if (Stored) {
    Record.Revision = Stored.value().Revision;
    Record.Stored = Wanted;
    Group->restoreMembers(Wanted);
    // Until the primary is recorded, hosts that start cannot replace it.
    if (Wanted.Primary.empty())
      Record.WriteAt.reset();
    co_return;
  }
  // Another host has changed it, or the answer was lost.
  if (const Result<void> Refreshed = co_await this->refresh(Group); !Refreshed)
    logInfo("event=members_unknown group=" + Group->name() + " error=\"" +
            Refreshed.error().Detail + "\"");
}

} // namespace lavenderdale
