#include "strictjson.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>

namespace lavenderdale {
namespace {

constexpr int MaxNesting = 64;

Json::CharReaderBuilder makeReaderBuilder() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["stackLimit"] = MaxNesting;
  Builder["strictRoot"] = false; // Scalars are valid JSON texts (RFC 8259).
  return Builder;
}

std::string oneLine(std::string Text) {
  std::replace(Text.begin(), Text.end(), '\n', ' ');
  while (!Text.empty() && Text.back() == ' ')
    Text.pop_back();
  return Text;
}

// jsoncpp accepts comments beside values in objects and arrays even in strict
// mode. Outside strings, no JSON text contains a slash.
bool hasComment(std::string_view Text) {
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (InString && Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      InString = !InString;
    else if (Text[I] == '/' && !InString)
      return true;
  }
  return false;
}

} // namespace

Result<Json::Value> parseStrictJson(std::string_view Text) {
  if (hasComment(Text))
    return failure(ErrorKind::BadRequest, "invalid JSON: '/' outside a string");
  static const Json::CharReaderBuilder Builder = makeReaderBuilder();
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return failure(ErrorKind::BadRequest, "invalid JSON: " + oneLine(Errors));
  } catch (const std::exception &) {
    // jsoncpp throws when the nesting limit is exceeded.
    return failure(ErrorKind::BadRequest, "invalid JSON: nested deeper than " +
                                              std::to_string(MaxNesting) +
                                              " levels");
  }
  return Value;
}

std::string writeCompactJson(const Json::Value &Value) {
  static const Json::StreamWriterBuilder Builder = [] {
    Json::StreamWriterBuilder Result;
    Result["indentation"] = "";
    Result["emitUTF8"] = true;
    return Result;
  }();
  return Json::writeString(Builder, Value);
}

} // namespace lavenderdale
