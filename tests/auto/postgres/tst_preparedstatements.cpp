#include "postgres/preparedstatements.h"
#include "testclient.h"

using namespace lavenderdale;
using namespace lavenderdale::test;
using standin::StandinDatabase;

namespace {

Statement named(std::string Sql) { return {std::move(Sql), {}, "counted"}; }

std::string stateOf(const StatementResult &Result) {
  return Result.Failure ? Result.Failure->SqlState : "";
}

} // namespace

// Guards against a poll that sends its whole text each time.
TEST_CASE("a named statement is prepared once in a session", "[control]") {
  const std::vector<std::vector<Statement>> Groups = {
      {named("SELECT 1"), named("SELECT 1")}, {{"SELECT 2", {}}}};
  PreparedStatements Prepared;
  const SentGroups First = Prepared.plan(Groups);
  REQUIRE(First[0].size() == 3);
  CHECK(First[0][0].IsPreparation);
  CHECK(First[1].size() == 1);
  const auto Results = Prepared.take(First, {{{}, {}, {}}, {{}}});
  CHECK(Results[0].size() == 2);
  CHECK(Prepared.plan(Groups)[0].size() == 2);
}

// Guards against a session whose polls fail for ever after its statements were
// dropped, and against results that move to another statement.
TEST_CASE("a dropped named statement is prepared again", "[control]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const std::vector<std::vector<Statement>> Groups = {
      {{"SELECT 7", {}}, named("SELECT 5"), {"SELECT 8", {}}}};
  for (int Use = 0; Use < 3; ++Use) {
    const auto Results = Client.run(Groups);
    REQUIRE(Results[0].size() == 3);
    CHECK(Results[0][0].Rows[0][0] == "7");
    CHECK(Results[0][1].Rows[0][0] == "5");
    CHECK(Results[0][2].Rows[0][0] == "8");
  }
  CHECK(stateOf(Client.one("DISCARD ALL")).empty());
  CHECK(Client.run(Groups)[0][1].Rows[0][0] == "5");
  // In one pipeline the drop is seen too late.
  const auto Late = Client.run({{{"DEALLOCATE ALL", {}}}, {named("SELECT 5")}});
  CHECK(stateOf(Late[1][0]) == "26000");
  CHECK(Client.run(Groups)[0][1].Rows[0][0] == "5");
}

// Guards against the loss of the reason why a named statement did not run.
TEST_CASE("a failed preparation is the statement's failure", "[control]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const auto Results = Client.run(
      {{named("PRAGMA x y z"), {"SELECT 1", {}}}, {named("SELECT 1")}});
  CHECK_FALSE(stateOf(Results[0][0]).empty());
  CHECK(stateOf(Results[0][1]) == AbortedSqlState);
}

// Guards against the use of a statement that somebody else prepared.
TEST_CASE("a taken name is a conflict", "[control]") {
  const std::vector<std::vector<Statement>> Groups = {{named("SELECT 1")}};
  PreparedStatements Prepared;
  StatementResult Taken;
  Taken.Failure = SqlError{"42P05", ""};
  StatementResult Skipped;
  Skipped.Failure = SqlError{std::string(AbortedSqlState), ""};
  const SentGroups Sent = Prepared.plan(Groups);
  const auto Results = Prepared.take(Sent, {{Taken, Skipped}});
  CHECK(stateOf(Results[0][0]) == "42P05");
  CHECK(Prepared.hasConflict());
}
