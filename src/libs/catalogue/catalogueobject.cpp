#include "catalogueobject.h"

#include "group.h"
#include "groupstatus.h"
#include "host.h"
#include "hostset.h"
#include "key.h"
#include "route.h"
#include "signingsecret.h"
#include "workspace.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lavenderdale {
namespace {

constexpr std::size_t MaxNameLength = 63;

bool isNameEnd(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isNameCharacter(char C) { return isNameEnd(C) || C == '-' || C == '.'; }

template <typename T>
Result<Json::Value> normalizeNamed(const CatalogueObject &Object) {
  BOOST_OUTCOME_TRY(const T Value, T::fromJson(Object.Name, Object.Spec));
  return Value.toJson();
}

Result<Json::Value> normalizeHostSet(const CatalogueObject &Object) {
  if (Object.Name != HostSet::ObjectName)
    return failure(ErrorKind::InvalidCatalogue,
                   std::string("metadata.name: expected \"") +
                       HostSet::ObjectName + "\", found \"" + Object.Name +
                       "\"");
  BOOST_OUTCOME_TRY(const HostSet Value, HostSet::fromJson(Object.Spec));
  return Value.toJson();
}

using Normalizer = Result<Json::Value> (*)(const CatalogueObject &);

// In the order of ObjectKind.
constexpr std::array<Normalizer, ObjectKindCount> Normalizers = {
    normalizeNamed<Workspace>,     normalizeNamed<Route>, normalizeNamed<Key>,
    normalizeNamed<Group>,         normalizeNamed<Host>,  normalizeHostSet,
    normalizeNamed<SigningSecret>,
};

Error withLabel(const CatalogueObject &Object, const Error &Fault) {
  return failure(Fault.Kind, Object.label() + ": " + Fault.Detail);
}

Error envelopeFault(const std::string &What) {
  return failure(ErrorKind::InvalidCatalogue, What);
}

Result<std::uint64_t> readVersion(const Json::Value &Metadata) {
  const Json::Value &Value = Metadata["resourceVersion"];
  if (Value.isNull())
    return std::uint64_t{0};
  std::uint64_t Version = 0;
  const std::string Text = Value.isString() ? Value.asString() : std::string();
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Version);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return envelopeFault(
        "metadata.resourceVersion: expected a string of decimal digits");
  return Version;
}

Result<Json::Value> readPart(const Json::Value &Object, const char *Name) {
  const Json::Value &Part = Object[Name];
  if (Part.isNull())
    return Json::Value(Json::objectValue);
  if (!Part.isObject())
    return envelopeFault(std::string(Name) + ": expected an object");
  return Part;
}

} // namespace

Result<CatalogueObject> CatalogueObject::fromJson(const Json::Value &Value) {
  if (!Value.isObject() || !Value["kind"].isString())
    return envelopeFault("kind: expected the kind of an object as a string");
  const std::string KindText = Value["kind"].asString();
  const std::optional<ObjectKind> Kind = objectKindFromName(KindText);
  if (!Kind || kindName(*Kind) != KindText)
    return envelopeFault("kind: expected a known kind, found \"" + KindText +
                         "\"");
  const Json::Value &Metadata = Value["metadata"];
  if (!Metadata.isObject() || !Metadata["name"].isString() ||
      !isObjectName(Metadata["name"].asString()))
    return envelopeFault(
        "metadata.name: expected a name of 1 to 63 of a-z, 0-9, '-' and '.'");
  for (const std::string &Name : Value.getMemberNames())
    if (Name != "kind" && Name != "apiVersion" && Name != "metadata" &&
        Name != "spec" && Name != "status")
      return envelopeFault(Name + ": unknown member");
  CatalogueObject Object;
  Object.Kind = *Kind;
  Object.Name = Metadata["name"].asString();
  BOOST_OUTCOME_TRY(Object.Version, readVersion(Metadata));
  BOOST_OUTCOME_TRY(Object.Spec, readPart(Value, "spec"));
  BOOST_OUTCOME_TRY(Object.Status, readPart(Value, "status"));
  return Object;
}

Json::Value CatalogueObject::toJson() const {
  Json::Value Value(Json::objectValue);
  Value["kind"] = std::string(kindName(this->Kind));
  Value["metadata"]["name"] = this->Name;
  if (this->Version != 0)
    Value["metadata"]["resourceVersion"] = std::to_string(this->Version);
  Value["spec"] = this->Spec;
  Value["status"] = this->Status;
  return Value;
}

std::string CatalogueObject::label() const {
  return std::string(pluralName(this->Kind)) + "/" + this->Name;
}

bool isObjectName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         isNameEnd(Name.front()) && isNameEnd(Name.back()) &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

Result<Json::Value> normalizedSpec(const CatalogueObject &Object) {
  Result<Json::Value> Spec =
      Normalizers[static_cast<std::size_t>(Object.Kind)](Object);
  if (!Spec)
    return withLabel(Object, Spec.error());
  return Spec;
}

Result<void> validate(const CatalogueObject &Object) {
  BOOST_OUTCOME_TRYV(normalizedSpec(Object));
  if (Object.Kind != ObjectKind::Group || Object.Status.empty())
    return success();
  const Result<GroupStatus> Status = GroupStatus::fromJson(Object.Status);
  if (!Status)
    return withLabel(Object, Status.error());
  return success();
}

} // namespace lavenderdale
