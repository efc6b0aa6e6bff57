#include "objectstore.h"

#include "base/strictjson.h"

namespace lavenderdale::standins {
namespace {

std::string versionOf(const Json::Value &Object) {
  const Json::Value &Metadata = Object["metadata"];
  if (!Metadata.isObject() || !Metadata["resourceVersion"].isString())
    return {};
  return Metadata["resourceVersion"].asString();
}

bool isWellFormed(const Json::Value &Object) {
  return Object.isObject() && Object["kind"].isString() &&
         Object["metadata"].isObject() &&
         Object["metadata"]["name"].isString() &&
         !Object["metadata"]["name"].asString().empty();
}

ApiAnswer notFound(const std::string &Plural, const std::string &Name) {
  return apiFailure(404, "NotFound", Plural + " \"" + Name + "\" not found");
}

ApiAnswer conflict(const std::string &Plural, const std::string &Name) {
  return apiFailure(409, "Conflict",
                    Plural + " \"" + Name +
                        "\": the object has been modified; apply the change to "
                        "the latest version");
}

std::string eventLine(const char *Type, const Json::Value &Object) {
  Json::Value Event(Json::objectValue);
  Event["type"] = Type;
  Event["object"] = Object;
  return writeCompactJson(Event);
}

bool sameContent(const Json::Value &Left, const Json::Value &Right) {
  return writeCompactJson(Left["spec"]) == writeCompactJson(Right["spec"]) &&
         writeCompactJson(Left["status"]) == writeCompactJson(Right["status"]);
}

} // namespace

ApiAnswer apiFailure(int Code, const std::string &Reason,
                     const std::string &Message) {
  ApiAnswer Answer{Code, Json::Value(Json::objectValue)};
  Answer.Body["kind"] = "Status";
  Answer.Body["status"] = "Failure";
  Answer.Body["reason"] = Reason;
  Answer.Body["message"] = Message;
  Answer.Body["code"] = Code;
  return Answer;
}

ObjectStore::ObjectStore(std::size_t HistoryLength)
    : HistoryLength(HistoryLength) {}

ApiAnswer ObjectStore::list(const std::string &Plural) const {
  ApiAnswer Answer{200, Json::Value(Json::objectValue)};
  Answer.Body["kind"] = "List";
  Answer.Body["metadata"]["resourceVersion"] = std::to_string(this->Version);
  Answer.Body["items"] = Json::Value(Json::arrayValue);
  for (const auto &[Place, Object] : this->Objects)
    if (Plural.empty() || Place.first == Plural)
      Answer.Body["items"].append(Object);
  return Answer;
}

ApiAnswer ObjectStore::get(const std::string &Plural,
                           const std::string &Name) const {
  const auto Found = this->Objects.find({Plural, Name});
  if (Found == this->Objects.end())
    return notFound(Plural, Name);
  return {200, Found->second};
}

ApiAnswer ObjectStore::create(const std::string &Plural,
                              const Json::Value &Object) {
  if (!isWellFormed(Object))
    return apiFailure(422, "Invalid", "kind and metadata.name are required");
  if (!versionOf(Object).empty())
    return apiFailure(422, "Invalid",
                      "metadata.resourceVersion must not be set on creation");
  const std::string Name = Object["metadata"]["name"].asString();
  if (this->Objects.contains({Plural, Name}))
    return apiFailure(409, "AlreadyExists",
                      Plural + " \"" + Name + "\" already exists");
  Json::Value &Stored = this->Objects[{Plural, Name}];
  Stored = Object;
  Stored["metadata"]["resourceVersion"] = std::to_string(++this->Version);
  this->record(Plural, "ADDED", Stored);
  return {201, Stored};
}

ApiAnswer ObjectStore::update(const std::string &Plural,
                              const std::string &Name,
                              const Json::Value &Object) {
  if (!isWellFormed(Object) || Object["metadata"]["name"].asString() != Name)
    return apiFailure(422, "Invalid",
                      "kind is required and metadata.name must be the name in "
                      "the path");
  if (versionOf(Object).empty())
    return apiFailure(422, "Invalid",
                      "metadata.resourceVersion is required on update");
  const auto Found = this->Objects.find({Plural, Name});
  if (Found == this->Objects.end())
    return notFound(Plural, Name);
  Json::Value &Stored = Found->second;
  if (versionOf(Object) != versionOf(Stored))
    return conflict(Plural, Name);
  // An update without a difference changes nothing, as on a real platform.
  if (sameContent(Object, Stored))
    return {200, Stored};
  Stored = Object;
  Stored["metadata"]["resourceVersion"] = std::to_string(++this->Version);
  this->record(Plural, "MODIFIED", Stored);
  return {200, Stored};
}

ApiAnswer ObjectStore::remove(const std::string &Plural,
                              const std::string &Name,
                              const Json::Value &Options) {
  const auto Found = this->Objects.find({Plural, Name});
  if (Found == this->Objects.end())
    return notFound(Plural, Name);
  Json::Value Object = Found->second;
  if (Options.isObject() && Options["preconditions"].isObject()) {
    const Json::Value &Wanted = Options["preconditions"]["resourceVersion"];
    if (!Wanted.isString() || Wanted.asString() != versionOf(Object))
      return conflict(Plural, Name);
  }
  this->Objects.erase(Found);
  Object["metadata"]["resourceVersion"] = std::to_string(++this->Version);
  this->record(Plural, "DELETED", Object);
  return {200, Object};
}

void ObjectStore::record(const std::string &Plural, const char *Type,
                         const Json::Value &Object) {
  this->History.push_back({this->Version, Plural, eventLine(Type, Object)});
  if (this->History.size() > this->HistoryLength)
    this->History.pop_front();
}

bool ObjectStore::hasHistorySince(std::uint64_t Since) const {
  // Versions are consecutive, so that the length of the history gives the
  // oldest version from which it is complete.
  return Since <= this->Version &&
         Since + this->History.size() >= this->Version;
}

std::vector<std::string> ObjectStore::eventsSince(const std::string &Plural,
                                                  std::uint64_t Since) const {
  std::vector<std::string> Lines;
  for (const WatchEvent &Event : this->History)
    if (Event.Version > Since && (Plural.empty() || Event.Plural == Plural))
      Lines.push_back(Event.Line);
  return Lines;
}

std::vector<std::string>
ObjectStore::eventsOfState(const std::string &Plural) const {
  std::vector<std::string> Lines;
  for (const auto &[Place, Object] : this->Objects)
    if (Plural.empty() || Place.first == Plural)
      Lines.push_back(eventLine("ADDED", Object));
  return Lines;
}

} // namespace lavenderdale::standins
