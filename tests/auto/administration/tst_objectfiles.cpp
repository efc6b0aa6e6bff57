#include "administration/hostconfirmation.h"
#include "administration/objectfiles.h"
#include "base/strictjson.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

// Guards against two forms of a file that mean different things.
TEST_CASE("TOML and JSON files give the same objects", "[configuration]") {
  const auto FromToml = readObjectText("[[objects]]\nkind = \"Workspace\"\n"
                                       "name = \"w\"\n"
                                       "spec = { rate = 5, burst = 7.5 }\n",
                                       true);
  const auto FromJson =
      readObjectText(R"({"items":[{"kind":"Workspace","metadata":{"name":"w"},)"
                     R"("spec":{"rate":5,"burst":7.5},"status":{}}]})",
                     false);
  REQUIRE(FromToml);
  REQUIRE(FromJson);
  REQUIRE(FromToml.value().size() == 1);
  CHECK(writeCompactJson(FromToml.value().front().toJson()) ==
        writeCompactJson(FromJson.value().front().toJson()));
}

// Guards against a file that is read in part.
TEST_CASE("one wrong object refuses the file", "[configuration]") {
  const auto Wrong = readObjectText(
      R"([{"kind":"Workspace","name":"w"},{"kind":"Wrkspace","name":"v"}])",
      false);
  REQUIRE_FALSE(Wrong);
  CHECK(Wrong.error().Detail ==
        "object 2: kind: expected a known kind, found \"Wrkspace\"");
  CHECK_FALSE(readObjectText("kind = \"Workspace\"\nkind = \"Route\"", true));
  CHECK_FALSE(readObjectFiles("/nonexistent/catalogue.json"));
}

// Guards against leaving out a host in the message to the operator.
TEST_CASE("hosts that did not confirm are named", "[keys]") {
  CHECK(unconfirmedSentence({"a"}).find("Host a did not confirm. It stops") ==
        0);
  CHECK(unconfirmedSentence({"a", "b", "c"}) ==
        "Hosts a, b and c did not confirm. They stop accepting keys 10 s after "
        "they were cut off, except on routes marked serveWhenCutOff.");
}
