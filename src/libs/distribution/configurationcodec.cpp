#include "configurationcodec.h"

#include "base/objectreader.h"

#include <algorithm>
#include <limits>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t MaxAgeMs = 1000ULL * 60 * 60 * 24 * 365;
constexpr std::size_t MaxDomains = 256;

Json::Value number(std::uint64_t Value) {
  return {static_cast<Json::UInt64>(Value)};
}

Json::Value age(milliseconds Value) {
  return number(static_cast<std::uint64_t>(std::max<milliseconds::rep>(
      0, std::min<milliseconds::rep>(Value.count(), MaxAgeMs))));
}

milliseconds readAge(ObjectReader &Reader, const char *Name) {
  return milliseconds(Reader.requiredUnsigned(Name, 0, MaxAgeMs));
}

Json::Value toJson(const ConfigurationObject &Object) {
  Json::Value Value(Json::objectValue);
  Value["name"] = Object.Name;
  Value["version"] = number(Object.Version);
  if (Object.Deleted)
    Value["deleted"] = true;
  else
    Value["payload"] = Object.Payload;
  return Value;
}

Result<ConfigurationObject> readObject(const Json::Value &Value) {
  ObjectReader Reader(Value, "objects");
  ConfigurationObject Object;
  Object.Name = Reader.requiredString("name");
  Object.Version = Reader.requiredUnsigned("version", 1, MaxNumber);
  Object.Deleted = Reader.optionalBool("deleted", false);
  if (!Object.Deleted)
    Object.Payload = Reader.requiredString("payload");
  BOOST_OUTCOME_TRY(Reader.finish());
  return Object;
}

} // namespace

Json::Value toJson(const PullRequest &Message) {
  Json::Value Value(Json::objectValue);
  Value["since"] = number(Message.Since);
  Value["base"] = number(Message.Base);
  return Value;
}

Json::Value toJson(const PullAnswer &Message) {
  Json::Value Value(Json::objectValue);
  Value["version"] = number(Message.Version);
  Value["since"] = number(Message.Since);
  Value["upTo"] = number(Message.UpTo);
  Value["more"] = Message.More;
  Value["replaces"] = Message.Replaces;
  Json::Value &Objects = Value["objects"] = Json::arrayValue;
  for (const ConfigurationObject &Object : Message.Objects)
    Objects.append(toJson(Object));
  return Value;
}

Json::Value toJson(const VersionReport &Message) {
  Json::Value Value(Json::objectValue);
  Value["host"] = Message.Host;
  Value["failureDomain"] = Message.FailureDomain;
  Value["version"] = number(Message.Version);
  if (Message.ConfirmedAge) {
    Value["confirmedAgeMs"] = age(*Message.ConfirmedAge);
    Value["confirmedVersion"] = number(Message.ConfirmedVersion);
  }
  for (const auto &[Domain, Age] : Message.Unreachable)
    Value["unreachableMs"][Domain] = age(Age);
  return Value;
}

Result<PullRequest> pullRequestFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  PullRequest Message;
  Message.Since = Reader.requiredUnsigned("since", 0, MaxNumber);
  Message.Base = Reader.requiredUnsigned("base", 0, MaxNumber);
  BOOST_OUTCOME_TRY(Reader.finish());
  return Message;
}

Result<PullAnswer> pullAnswerFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  PullAnswer Message;
  Message.Version = Reader.requiredUnsigned("version", 1, MaxNumber);
  Message.Since = Reader.requiredUnsigned("since", 0, MaxNumber);
  Message.UpTo = Reader.requiredUnsigned("upTo", 0, MaxNumber);
  Message.More = Reader.optionalBool("more", false);
  Message.Replaces = Reader.optionalBool("replaces", false);
  for (const Json::Value &Each : Reader.optionalArray("objects")) {
    BOOST_OUTCOME_TRY(ConfigurationObject Object, readObject(Each));
    Message.Objects.push_back(std::move(Object));
  }
  BOOST_OUTCOME_TRY(Reader.finish());
  return Message;
}

Result<VersionReport> versionReportFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  VersionReport Message;
  Message.Host = Reader.requiredString("host");
  Message.FailureDomain = Reader.requiredString("failureDomain");
  Message.Version = Reader.requiredUnsigned("version", 0, MaxNumber);
  if (Reader.has("confirmedAgeMs")) {
    Message.ConfirmedAge = readAge(Reader, "confirmedAgeMs");
    Message.ConfirmedVersion =
        Reader.requiredUnsigned("confirmedVersion", 0, MaxNumber);
  }
  const Json::Value &Unreachable = Reader.optionalObject("unreachableMs");
  if (Unreachable.size() > MaxDomains)
    Reader.reject("unreachableMs", "at most 256 entries");
  BOOST_OUTCOME_TRY(Reader.finish());
  ObjectReader Ages(Unreachable, "unreachableMs");
  for (const std::string &Domain : Unreachable.getMemberNames())
    Message.Unreachable[Domain] = readAge(Ages, Domain.c_str());
  BOOST_OUTCOME_TRY(Ages.finish());
  return Message;
}

} // namespace lavenderdale
