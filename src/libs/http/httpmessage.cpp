#include "httpmessage.h"

#include "base/strictjson.h"

#include <algorithm>
#include <cctype>

namespace lavenderdale {
namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

} // namespace

void HttpFields::add(std::string Name, std::string Value) {
  this->Fields.emplace_back(std::move(Name), std::move(Value));
}

const std::string *HttpFields::find(std::string_view Name) const {
  for (const auto &[FieldName, Value] : this->Fields)
    if (equalsIgnoringCase(FieldName, Name))
      return &Value;
  return nullptr;
}

std::size_t HttpFields::count(std::string_view Name) const {
  return static_cast<std::size_t>(std::count_if(
      this->Fields.begin(), this->Fields.end(), [Name](const auto &Field) {
        return equalsIgnoringCase(Field.first, Name);
      }));
}

HttpResponse problemResponse(const Error &Failure) {
  const ErrorAnswer &Answer = errorAnswer(Failure.Kind);
  Json::Value Problem(Json::objectValue);
  Problem["type"] = "urn:lavenderdale:error:" + std::string(Answer.Name);
  Problem["title"] = std::string(Answer.Title);
  Problem["status"] = Answer.Status;
  Problem["detail"] = Failure.Detail;
  Problem["kind"] = std::string(Answer.Name);
  Problem["outcome"] = std::string(toString(Answer.Outcome));
  Problem["retry"] = std::string(toString(Answer.Retry));

  HttpResponse Response;
  Response.Status = Answer.Status;
  Response.ContentType = "application/problem+json";
  Response.Body = writeCompactJson(Problem);
  return Response;
}

Error errorFromResponse(const HttpResponse &Response) {
  const Result<Json::Value> Problem = parseStrictJson(Response.Body);
  if (!Problem || !Problem.value().isObject() ||
      !Problem.value()["kind"].isString())
    return failure(ErrorKind::Internal, "unexpected answer with status " +
                                            std::to_string(Response.Status));
  const Json::Value &Object = Problem.value();
  const std::optional<ErrorKind> Kind =
      errorKindFromName(Object["kind"].asString());
  const std::string Detail =
      Object["detail"].isString() ? Object["detail"].asString() : "";
  return failure(Kind.value_or(ErrorKind::Internal), Detail);
}

} // namespace lavenderdale
