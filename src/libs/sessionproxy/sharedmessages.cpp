#include "sharedmessages.h"

#include "base/strictjson.h"

#include <array>
#include <charconv>
#include <utility>

namespace lavenderdale {
namespace {

struct SharedCollectionName {
  Collection Which = Collection::Catalogue;
  const char *Name = "";
};

constexpr std::array<SharedCollectionName, 2> Names = {
    {{Collection::Catalogue, "catalogue"},
     {Collection::Upstreams, "upstreams"}}};

constexpr std::string_view AllObjects = "all";
/// No watcher holds a request for longer.
constexpr std::chrono::milliseconds MaxWait{30000};

constexpr const char *RevisionMember = "revision";
constexpr const char *AnswersMember = "storeAnswers";
constexpr const char *AgeMember = "storeAgeMs";
constexpr const char *FailureMember = "failureAgeMs";
constexpr const char *HeldMember = "heldMs";
constexpr const char *ObjectsMember = "objects";
constexpr const char *NameMember = "name";
constexpr const char *RemovedMember = "removed";
constexpr const char *ContentMember = "content";

template <typename Number> std::optional<Number> parse(std::string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

/// Removes the first part of a path from \p Path, and returns it.
std::string_view takePart(std::string_view &Path) {
  const std::size_t End = std::min(Path.find('/'), Path.size());
  const std::string_view Part = Path.substr(0, End);
  Path.remove_prefix(std::min(End + 1, Path.size()));
  return Part;
}

std::optional<std::chrono::milliseconds> age(const Json::Value &Value) {
  if (!Value.isInt64() || Value.asInt64() < 0)
    return std::nullopt;
  return std::chrono::milliseconds(Value.asInt64());
}

Error unreadable(const char *What) {
  return failure(ErrorKind::BadRequest,
                 std::string("unreadable message of the shared store: ") +
                     What);
}

} // namespace

bool isShared(Collection Which) { return *sharedName(Which) != '\0'; }

const char *sharedName(Collection Which) {
  for (const SharedCollectionName &Each : Names)
    if (Each.Which == Which)
      return Each.Name;
  return "";
}

std::string encodeSharedTarget(const SharedRequest &Request) {
  return std::string(SharedStorePath) + sharedName(Request.From) + '/' +
         (Request.After ? std::to_string(*Request.After)
                        : std::string(AllObjects)) +
         '/' + std::to_string(Request.Wait.count());
}

Result<SharedRequest> decodeSharedTarget(std::string_view Target) {
  if (!Target.starts_with(SharedStorePath))
    return unreadable("path");
  Target.remove_prefix(SharedStorePath.size());
  SharedRequest Request;
  const std::string_view Name = takePart(Target);
  bool Found = false;
  for (const SharedCollectionName &Each : Names)
    if (Name == Each.Name) {
      Request.From = Each.Which;
      Found = true;
    }
  const std::string_view After = takePart(Target);
  if (After != AllObjects)
    Request.After = parse<std::uint64_t>(After);
  const auto Wait = parse<std::int64_t>(takePart(Target));
  if (!Found || (After != AllObjects && !Request.After) || !Wait || *Wait < 0 ||
      *Wait > MaxWait.count() || !Target.empty())
    return unreadable("request");
  Request.Wait = std::chrono::milliseconds(*Wait);
  return Request;
}

std::string encodeSharedObject(const StoredObject &Object) {
  Json::Value Value;
  Value[NameMember] = Object.Name;
  Value[RevisionMember] = Json::UInt64(Object.Revision);
  if (Object.Removed)
    Value[RemovedMember] = true;
  else
    Value[ContentMember] = Object.Spec;
  return writeCompactJson(Value);
}

std::string encodeSharedAnswer(const SharedAnswer &Answer,
                               const std::string &Members) {
  Json::Value Value;
  Value[RevisionMember] = Json::UInt64(Answer.Objects.AtRevision);
  Value[AnswersMember] = Answer.StoreAnswers;
  Value[AgeMember] = Json::Int64(Answer.StoreAge.count());
  if (Answer.FailureAge)
    Value[FailureMember] = Json::Int64(Answer.FailureAge->count());
  Value[HeldMember] = Json::Int64(Answer.Held.count());
  std::string Text = writeCompactJson(Value);
  while (Text.back() != '}')
    Text.pop_back();
  Text.pop_back();
  return Text + ",\"" + ObjectsMember + "\":[" + Members + "]}";
}

Result<SharedAnswer> decodeSharedAnswer(std::string_view Text) {
  const Result<Json::Value> Parsed = parseStrictJson(Text);
  if (!Parsed)
    return Parsed.error();
  const Json::Value &Value = Parsed.value();
  if (!Value.isObject() || !Value[RevisionMember].isUInt64() ||
      !Value[AnswersMember].isBool() || !Value[ObjectsMember].isArray())
    return unreadable("answer");
  const auto StoreAge = age(Value[AgeMember]);
  const auto Held = age(Value[HeldMember]);
  if (!StoreAge || !Held)
    return unreadable("age");
  SharedAnswer Answer;
  Answer.Objects.AtRevision = Value[RevisionMember].asUInt64();
  Answer.StoreAnswers = Value[AnswersMember].asBool();
  Answer.StoreAge = *StoreAge;
  Answer.FailureAge = age(Value[FailureMember]);
  Answer.Held = *Held;
  for (const Json::Value &Each : Value[ObjectsMember]) {
    if (!Each.isObject() || !Each[NameMember].isString() ||
        !Each[RevisionMember].isUInt64())
      return unreadable("object");
    StoredObject Object;
    Object.Name = Each[NameMember].asString();
    Object.Revision = Each[RevisionMember].asUInt64();
    Object.Removed =
        Each[RemovedMember].isBool() && Each[RemovedMember].asBool();
    Object.Spec = Each[ContentMember];
    Answer.Objects.Objects.push_back(std::move(Object));
  }
  return Answer;
}

} // namespace lavenderdale
