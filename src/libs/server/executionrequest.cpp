#include "executionrequest.h"

#include "base/objectreader.h"

#include <array>

namespace lavenderdale {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::array<const char *, 4> OperationNames = {"run", "begin",
                                                        "commit", "rollback"};
constexpr std::array<const char *, 3> ClassNames = {"urgent", "standard",
                                                    "lookup"};
// One hour; readCallerRequest() refuses longer deadlines.
constexpr std::uint64_t MaxMicroseconds = 3'600'000'000;

template <std::size_t Size>
std::size_t indexOf(const std::array<const char *, Size> &Names,
                    const std::string &Name) {
  for (std::size_t I = 0; I < Size; ++I)
    if (Name == Names[I])
      return I;
  return Size;
}

Json::Value microsecondsUntil(TimePoint When, TimePoint Now) {
  const auto Left = duration_cast<microseconds>(When - Now).count();
  return Json::Value::UInt64(Left > 0 ? Left : 0);
}

Json::Value paramsToJson(const Statement &Sql) {
  Json::Value List(Json::arrayValue);
  for (const std::optional<std::string> &Param : Sql.Params)
    List.append(Param ? Json::Value(*Param) : Json::Value());
  return List;
}

bool paramsFromJson(const Json::Value &List, Statement &Sql) {
  for (const Json::Value &Param : List) {
    if (!Param.isNull() && !Param.isString())
      return false;
    Sql.Params.push_back(Param.isNull() ? std::nullopt
                                        : std::optional(Param.asString()));
  }
  return true;
}

void readSeenPosition(ObjectReader &Reader, ExecutionRequest &Request) {
  if (!Reader.has("seenTerm"))
    return;
  Position Seen;
  Seen.InTerm.Value = Reader.requiredUnsigned("seenTerm", 0, UINT64_MAX);
  Seen.Log.Value = Reader.requiredUnsigned("seenLog", 0, UINT64_MAX);
  Request.Seen = Seen;
}

} // namespace

Json::Value ExecutionRequest::toJson(TimePoint Now) const {
  Json::Value Value(Json::objectValue);
  Value["action"] = OperationNames[static_cast<std::size_t>(this->Action)];
  Value["group"] = this->Group;
  Value["upstream"] = this->Upstream;
  Value["replica"] = this->Role == UpstreamRole::Replica;
  Value["workspace"] = this->Workspace;
  Value["class"] = ClassNames[static_cast<std::size_t>(this->Class)];
  Value["queueLength"] = this->QueueLength;
  Value["weight"] = this->Weight;
  Value["deadlineUs"] = microsecondsUntil(this->Deadline, Now);
  Value["sql"] = this->Sql.Sql;
  Value["params"] = paramsToJson(this->Sql);
  Value["readOnly"] = this->ReadOnly;
  Value["replicaAcknowledge"] = this->Mode == Acknowledge::Replica;
  Value["idempotencyKey"] = this->IdempotencyKey;
  Value["transaction"] = this->Transaction;
  Value["traceparent"] = this->TraceParent;
  if (this->Seen) {
    Value["seenTerm"] = Json::Value::UInt64(this->Seen->InTerm.Value);
    Value["seenLog"] = Json::Value::UInt64(this->Seen->Log.Value);
  }
  if (this->AcceptedAge)
    Value["acceptedAgeUs"] = Json::Value::UInt64(
        duration_cast<microseconds>(*this->AcceptedAge).count());
  if (this->WaitUntil)
    Value["waitUs"] = microsecondsUntil(*this->WaitUntil, Now);
  return Value;
}

Result<ExecutionRequest> ExecutionRequest::fromJson(const Json::Value &Value,
                                                    TimePoint Now) {
  ObjectReader Reader(Value, "forward");
  ExecutionRequest Request;
  const auto Action = indexOf(OperationNames, Reader.requiredString("action"));
  const auto Class = indexOf(ClassNames, Reader.requiredString("class"));
  if (Action == OperationNames.size())
    Reader.reject("action", "run, begin, commit or rollback");
  if (Class == ClassNames.size())
    Reader.reject("class", "urgent, standard or lookup");
  Request.Action = static_cast<Operation>(Action);
  Request.Class = static_cast<TrafficClass>(Class);
  Request.Group = Reader.requiredString("group");
  Request.Upstream = Reader.requiredString("upstream");
  Request.Role = Reader.optionalBool("replica", false) ? UpstreamRole::Replica
                                                       : UpstreamRole::Primary;
  Request.Workspace = Reader.requiredString("workspace");
  Request.QueueLength = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("queueLength", 0, UINT32_MAX));
  Request.Weight = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("weight", 1, UINT32_MAX));
  Request.Deadline =
      Now +
      microseconds(Reader.requiredUnsigned("deadlineUs", 0, MaxMicroseconds));
  Request.Sql.Sql = Reader.requiredString("sql");
  if (!paramsFromJson(Reader.optionalArray("params"), Request.Sql))
    Reader.reject("params", "strings or nulls");
  Request.ReadOnly = Reader.optionalBool("readOnly", false);
  Request.Mode = Reader.optionalBool("replicaAcknowledge", false)
                     ? Acknowledge::Replica
                     : Acknowledge::Primary;
  Request.IdempotencyKey = Reader.optionalString("idempotencyKey");
  Request.Transaction = Reader.optionalString("transaction");
  Request.TraceParent = Reader.optionalString("traceparent");
  readSeenPosition(Reader, Request);
  if (Reader.has("acceptedAgeUs"))
    Request.AcceptedAge = microseconds(
        Reader.requiredUnsigned("acceptedAgeUs", 0, UINT32_MAX * 1000000ULL));
  if (Reader.has("waitUs"))
    Request.WaitUntil =
        Now +
        microseconds(Reader.requiredUnsigned("waitUs", 0, MaxMicroseconds));
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Request;
}

ExecutionResult ExecutionResult::answered(ExecutionAnswer Value) {
  ExecutionResult Result;
  Result.Answer = std::move(Value);
  return Result;
}

ExecutionResult ExecutionResult::failed(ErrorKind Kind, std::string Detail,
                                        AttemptOutcome Outcome) {
  return failed(failure(Kind, std::move(Detail)), Outcome);
}

ExecutionResult ExecutionResult::failed(Error Reason, AttemptOutcome Outcome) {
  ExecutionResult Result;
  Result.Failure = {std::move(Reason), Outcome};
  return Result;
}

} // namespace lavenderdale
