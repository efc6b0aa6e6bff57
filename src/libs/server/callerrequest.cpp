#include "callerrequest.h"

#include "base/objectreader.h"
#include "base/strictjson.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace lavenderdale {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view RoutesPrefix = "/v1/routes/";
// Thirty days, which is more than a replica lags behind in practice.
constexpr std::int64_t MaxAgeLimitMs = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t DeadlineLimitMs = 3600LL * 1000;

// Headers that must not be repeated: a proxy on the way could check one value
// while this host uses the other.
constexpr std::array<const char *, 7> SingleHeaders = {
    "Authorization",           "Lavenderdale-Session",  "Idempotency-Key",
    "Lavenderdale-Max-Age",    "Lavenderdale-Deadline", "Lavenderdale-Repeat",
    "Lavenderdale-Transaction"};

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Parts;
  while (true) {
    const std::size_t Slash = Path.find('/');
    Parts.emplace_back(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      return Parts;
    Path.remove_prefix(Slash + 1);
  }
}

Result<void> readPath(const HttpRequest &Request, CallerRequest &Caller) {
  const auto Unknown = [&Request] {
    return failure(ErrorKind::NotFound,
                   "no resource " + Request.Target.substr(0, 200));
  };
  if (!Request.Target.starts_with(RoutesPrefix))
    return Unknown();
  const std::vector<std::string> Parts =
      splitPath(std::string_view(Request.Target).substr(RoutesPrefix.size()));
  Caller.Route = Parts[0];
  if (Parts.size() == 2 && Parts[1] == "statements") {
    Caller.Action = Operation::Run;
  } else if (Parts.size() == 2 && Parts[1] == "transactions") {
    Caller.Action = Operation::Begin;
  } else if (Parts.size() == 4 && Parts[1] == "transactions" &&
             (Parts[3] == "commit" || Parts[3] == "rollback")) {
    Caller.Action =
        Parts[3] == "commit" ? Operation::Commit : Operation::Rollback;
    Caller.Transaction = Parts[2];
  } else {
    return Unknown();
  }
  if (Request.Method != "POST")
    return failure(ErrorKind::BadRequest,
                   "expected POST, found " + Request.Method.substr(0, 20));
  return success();
}

Result<std::optional<milliseconds>> readMilliseconds(const HttpRequest &Request,
                                                     const char *Name,
                                                     std::int64_t Min,
                                                     std::int64_t Max) {
  const std::string *Text = Request.Fields.find(Name);
  if (!Text)
    return std::optional<milliseconds>();
  std::int64_t Value = 0;
  const auto [End, Status] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  if (Status != std::errc() || End != Text->data() + Text->size() ||
      Value < Min || Value > Max)
    return failure(ErrorKind::BadRequest,
                   std::string(Name) + ": expected milliseconds from " +
                       std::to_string(Min) + " to " + std::to_string(Max) +
                       ", found '" + Text->substr(0, 40) + "'");
  return std::optional(milliseconds(Value));
}

Result<void> readAuthorization(const HttpRequest &Request,
                               CallerRequest &Caller) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string *Text = Request.Fields.find("Authorization");
  if (!Text)
    return success();
  // The value may contain a key, so the message does not quote it.
  if (!Text->starts_with(Scheme))
    return failure(ErrorKind::BadKey, "Authorization: expected 'Bearer KEY'");
  Caller.KeyText = Text->substr(Scheme.size());
  return success();
}

Result<void> readHeaders(const HttpRequest &Request, CallerRequest &Caller) {
  for (const char *Name : SingleHeaders)
    if (Request.Fields.count(Name) > 1)
      return failure(ErrorKind::BadRequest,
                     std::string(Name) + ": sent more than once");
  BOOST_OUTCOME_TRYV(readAuthorization(Request, Caller));
  BOOST_OUTCOME_TRY(
      Caller.MaxAge,
      readMilliseconds(Request, "Lavenderdale-Max-Age", 0, MaxAgeLimitMs));
  BOOST_OUTCOME_TRY(
      Caller.Deadline,
      readMilliseconds(Request, "Lavenderdale-Deadline", 1, DeadlineLimitMs));
  if (const std::string *Text = Request.Fields.find("Lavenderdale-Session")) {
    // Otherwise an empty token would be taken for the start of a new session.
    if (Text->empty())
      return failure(ErrorKind::BadSession, "Lavenderdale-Session: empty");
    Caller.SessionText = *Text;
  }
  if (const std::string *Text = Request.Fields.find("traceparent"))
    Caller.TraceParent = *Text;
  if (const std::string *Text =
          Request.Fields.find("Lavenderdale-Transaction")) {
    if (Caller.Action != Operation::Run)
      return failure(ErrorKind::BadRequest,
                     "Lavenderdale-Transaction: allowed only with statements");
    Caller.Transaction = *Text;
  }
  if (const std::string *Text = Request.Fields.find("Idempotency-Key")) {
    if (Text->empty() || Text->size() > MaxIdempotencyKeyBytes)
      return failure(ErrorKind::BadRequest,
                     "Idempotency-Key: expected 1 to " +
                         std::to_string(MaxIdempotencyKeyBytes) +
                         " bytes, found " + std::to_string(Text->size()));
    Caller.IdempotencyKey = *Text;
  }
  if (const std::string *Text = Request.Fields.find("Lavenderdale-Repeat")) {
    if (*Text != "never")
      return failure(ErrorKind::BadRequest,
                     "Lavenderdale-Repeat: expected 'never', found '" +
                         Text->substr(0, 40) + "'");
    Caller.NeverRepeat = true;
  }
  return success();
}

std::optional<std::string> paramText(const Json::Value &Param, bool &Valid) {
  Valid = !Param.isArray() && !Param.isObject();
  if (!Valid || Param.isNull())
    return std::nullopt;
  return Param.isString() ? Param.asString() : writeCompactJson(Param);
}

Result<void> readBody(const HttpRequest &Request, CallerRequest &Caller) {
  if (Caller.Action != Operation::Run) {
    if (!Request.Body.empty() && Request.Body != "{}")
      return failure(ErrorKind::BadRequest, "body: expected no content");
    return success();
  }
  BOOST_OUTCOME_TRY(const Json::Value Body, parseStrictJson(Request.Body));
  ObjectReader Reader(Body, "body");
  Caller.Sql.Sql = Reader.requiredString("sql");
  Caller.ReadOnly = Reader.optionalBool("readOnly", false);
  for (const Json::Value &Param : Reader.optionalArray("params")) {
    bool Valid = false;
    Caller.Sql.Params.push_back(paramText(Param, Valid));
    if (!Valid)
      Reader.reject("params", "strings, numbers, true, false and null");
  }
  return Reader.finish();
}

} // namespace

Result<CallerRequest> readCallerRequest(const HttpRequest &Request) {
  CallerRequest Caller;
  BOOST_OUTCOME_TRYV(readPath(Request, Caller));
  BOOST_OUTCOME_TRYV(readHeaders(Request, Caller));
  BOOST_OUTCOME_TRYV(readBody(Request, Caller));
  if (Caller.ReadOnly && !Caller.IdempotencyKey.empty())
    return failure(ErrorKind::BadRequest,
                   "Idempotency-Key: not allowed with readOnly");
  if (!Caller.Transaction.empty() && !Caller.IdempotencyKey.empty())
    return failure(ErrorKind::BadRequest,
                   "Idempotency-Key: not allowed in a transaction");
  return Caller;
}

} // namespace lavenderdale
