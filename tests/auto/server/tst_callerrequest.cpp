#include "server/callerrequest.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

HttpRequest statement(std::string Body = R"({"sql":"SELECT 1"})") {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/v1/routes/orders/statements";
  Request.Body = std::move(Body);
  return Request;
}

std::string errorDetailOf(const HttpRequest &Request) {
  const auto Read = readCallerRequest(Request);
  return Read ? std::string() : Read.error().Detail;
}

} // namespace

// Guards against parameters that are changed on their way to the database.
TEST_CASE("a statement request is parsed with its parameters and headers") {
  HttpRequest Request = statement(
      R"({"sql":"s","params":["a",1,1.5,true,null],"readOnly":true})");
  Request.Fields.add("Authorization", "Bearer k");
  Request.Fields.add("lavenderdale-max-age", "250");
  const auto Read = readCallerRequest(Request);
  REQUIRE(Read.has_value());
  CHECK(Read.value().Route == "orders");
  CHECK(Read.value().KeyText == "k");
  CHECK(Read.value().MaxAge == std::chrono::milliseconds(250));
  CHECK(Read.value().ReadOnly);
  const std::vector<std::optional<std::string>> Expected = {
      "a", "1", "1.5", "true", std::nullopt};
  CHECK(Read.value().Sql.Params == Expected);
}

// Guards against a request that begins a transaction within another one: such a
// request reached a holder without an upstream and crashed the daemon.
TEST_CASE("the transaction header is refused on requests other than statements",
          "[transaction-isolation]") {
  for (const char *Target :
       {"/v1/routes/orders/transactions",
        "/v1/routes/orders/transactions/h1~g~1/commit",
        "/v1/routes/orders/transactions/h1~g~1/rollback"}) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = Target;
    Request.Fields.add("Lavenderdale-Transaction", "h1~orders~abc");
    CHECK(errorDetailOf(Request) ==
          "Lavenderdale-Transaction: allowed only with statements");
  }
}

// Guards against repeated headers, of which a proxy could check one value while
// the daemon uses the other, and against error messages that contain a key.
TEST_CASE("errors name the invalid header and do not contain keys", "[keys]") {
  HttpRequest Doubled = statement();
  Doubled.Fields.add("Authorization", "Bearer a");
  Doubled.Fields.add("authorization", "Bearer b");
  CHECK(errorDetailOf(Doubled) == "Authorization: sent more than once");

  HttpRequest Scheme = statement();
  Scheme.Fields.add("Authorization", "ldk_secret");
  CHECK(errorDetailOf(Scheme).find("secret") == std::string::npos);

  HttpRequest Deadline = statement();
  Deadline.Fields.add("Lavenderdale-Deadline", "99999999999999999999");
  CHECK(errorDetailOf(Deadline).find(
            "Lavenderdale-Deadline: expected milliseconds "
            "from 1 to 3600000") == 0);
  HttpRequest Repeat = statement();
  Repeat.Fields.add("Lavenderdale-Repeat", "always");
  CHECK(errorDetailOf(Repeat) ==
        "Lavenderdale-Repeat: expected 'never', found 'always'");
  CHECK(errorDetailOf(statement(R"({"sql":"s","parms":[]})")) ==
        "body.parms: unknown member");
}
