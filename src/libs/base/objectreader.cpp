#include "objectreader.h"

#include "strictjson.h"

#include <cmath>

namespace lavenderdale {
namespace {

const Json::Value NullValue;
const Json::Value EmptyArray(Json::arrayValue);
const Json::Value EmptyObject(Json::objectValue);

// Values are quoted in errors only up to this length, in bytes.
constexpr std::size_t MaxQuotedBytes = 80;

std::string quote(const Json::Value &Value) {
  std::string Text = writeCompactJson(Value);
  if (Text.size() > MaxQuotedBytes)
    Text = Text.substr(0, MaxQuotedBytes) + "...";
  return Text;
}

std::string rangeText(const std::string &What, const std::string &Min,
                      const std::string &Max) {
  return What + " from " + Min + " to " + Max;
}

} // namespace

ObjectReader::ObjectReader(const Json::Value &Object, std::string Path,
                           ErrorKind Kind)
    : Object(Object), Path(std::move(Path)), Kind(Kind) {
  if (!this->Object.isObject())
    this->Fault = (this->Path.empty() ? "the value" : this->Path) +
                  ": expected an object, found " + quote(this->Object);
}

bool ObjectReader::has(const char *Name) const {
  return this->Object.isObject() && this->Object.isMember(Name);
}

const Json::Value &ObjectReader::take(const char *Name) {
  this->Known.insert(Name);
  if (!this->has(Name))
    return NullValue;
  return this->Object[Name];
}

bool ObjectReader::requirePresent(const char *Name) {
  this->Known.insert(Name);
  if (this->has(Name))
    return true;
  if (this->Fault.empty())
    this->Fault = this->pathOf(Name) + ": required, but missing";
  return false;
}

void ObjectReader::reject(const char *Name, const std::string &Expected) {
  if (!this->Fault.empty())
    return;
  this->Fault = this->pathOf(Name) + ": expected " + Expected + ", found " +
                quote(this->take(Name));
}

std::string ObjectReader::pathOf(const std::string &Name) const {
  return this->Path.empty() ? Name : this->Path + "." + Name;
}

std::string ObjectReader::requiredString(const char *Name) {
  if (!this->requirePresent(Name))
    return {};
  return this->optionalString(Name);
}

std::string ObjectReader::optionalString(const char *Name,
                                         std::string Default) {
  const Json::Value &Value = this->take(Name);
  if (Value.isNull() && !this->has(Name))
    return Default;
  if (Value.isString())
    return Value.asString();
  this->reject(Name, "a string");
  return Default;
}

std::uint64_t ObjectReader::requiredUnsigned(const char *Name,
                                             std::uint64_t Min,
                                             std::uint64_t Max) {
  if (!this->requirePresent(Name))
    return Min;
  return this->optionalUnsigned(Name, Min, Max, Min);
}

std::uint64_t ObjectReader::optionalUnsigned(const char *Name,
                                             std::uint64_t Min,
                                             std::uint64_t Max,
                                             std::uint64_t Default) {
  const Json::Value &Value = this->take(Name);
  if (!this->has(Name))
    return Default;
  if (Value.isUInt64() && Value.asUInt64() >= Min && Value.asUInt64() <= Max)
    return Value.asUInt64();
  this->reject(Name, rangeText("a whole number", std::to_string(Min),
                               std::to_string(Max)));
  return Default;
}

double ObjectReader::requiredNumber(const char *Name, double Min, double Max) {
  if (!this->requirePresent(Name))
    return Min;
  return this->optionalNumber(Name, Min, Max, Min);
}

double ObjectReader::optionalNumber(const char *Name, double Min, double Max,
                                    double Default) {
  const Json::Value &Value = this->take(Name);
  if (!this->has(Name))
    return Default;
  if (Value.isNumeric() && std::isfinite(Value.asDouble()) &&
      Value.asDouble() >= Min && Value.asDouble() <= Max)
    return Value.asDouble();
  this->reject(Name,
               rangeText("a number", std::to_string(Min), std::to_string(Max)));
  return Default;
}

bool ObjectReader::optionalBool(const char *Name, bool Default) {
  const Json::Value &Value = this->take(Name);
  if (!this->has(Name))
    return Default;
  if (Value.isBool())
    return Value.asBool();
  this->reject(Name, "true or false");
  return Default;
}

const Json::Value &ObjectReader::optionalArray(const char *Name) {
  const Json::Value &Value = this->take(Name);
  if (!this->has(Name))
    return EmptyArray;
  if (Value.isArray())
    return Value;
  this->reject(Name, "an array");
  return EmptyArray;
}

const Json::Value &ObjectReader::optionalObject(const char *Name) {
  const Json::Value &Value = this->take(Name);
  if (!this->has(Name))
    return EmptyObject;
  if (Value.isObject())
    return Value;
  this->reject(Name, "an object");
  return EmptyObject;
}

const Json::Value &ObjectReader::optionalAny(const char *Name) {
  return this->take(Name);
}

Result<void> ObjectReader::finish() const {
  if (!this->Fault.empty())
    return failure(this->Kind, this->Fault);
  for (const std::string &Name : this->Object.getMemberNames())
    if (!this->Known.contains(Name))
      return failure(this->Kind, this->pathOf(Name) + ": unknown member");
  return success();
}

} // namespace lavenderdale
