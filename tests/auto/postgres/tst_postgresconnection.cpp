#include "testclient.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

using namespace lavenderdale;
using namespace lavenderdale::test;
using standin::StandinDatabase;

// Guards against lost or mistyped values between the database and the caller.
TEST_CASE("a statement gives columns, rows, tag and count", "[answers]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  CHECK(Client.connection().isIdle());
  CHECK(Client.connection().backendPid() > 0);

  const StatementResult Inserted =
      Client.one("INSERT INTO entry VALUES ($2, $1), (2, $3)",
                 {"it's", "1", std::nullopt});
  CHECK(Inserted.CommandTag == "INSERT 0 2");
  CHECK(Inserted.Affected == 2);
  CHECK(Inserted.Columns.empty());

  const StatementResult Read =
      Client.one("SELECT id, note, 1.5 AS share, pg_is_in_recovery() FROM entry"
                 " WHERE id <= $1 ORDER BY id",
                 {"9"});
  REQUIRE(Read.Columns.size() == 4);
  CHECK(Read.Columns[0].Name == "id");
  CHECK(Read.Columns[0].TypeOid == 20);
  CHECK(Read.Columns[1].TypeOid == 25);
  CHECK(Read.Columns[2].TypeOid == 701);
  CHECK(Read.Columns[3].Name == "pg_is_in_recovery");
  CHECK(Read.Columns[3].TypeOid == 16);
  CHECK(Read.CommandTag == "SELECT 2");
  using Row = std::vector<std::optional<std::string>>;
  CHECK(Read.Rows[0] == Row{"1", "it's", "1.5", "f"});
  CHECK(Read.Rows[1] == Row{"2", std::nullopt, "1.5", "f"});
  CHECK(Client.one("SELECT id FROM entry WHERE id > 9").Columns.size() == 1);
  CHECK(Client.one("").CommandTag.empty());
  CHECK(Client.connection().isIdle());
}

// Guards against results that are assigned to the wrong statement, and against
// a failure that leaks into the next group.
TEST_CASE("groups are pipelined and a failure stays in its group",
          "[answers][transaction-isolation]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const auto Results = Client.run({
      {{"INSERT INTO entry VALUES (1, 'a')", {}}, {"SELECT 1", {}}},
      {{"INSERT INTO entry VALUES (2, 'b')", {}},
       {"INSERT INTO entry VALUES (1, 'c')", {}},
       {"SELECT 2", {}}},
      {},
      {{"SELECT id FROM entry", {}}},
      {{"SELEC", {}}},
      {{"SELECT * FROM absent", {}}},
  });
  REQUIRE(Results.size() == 6);
  CHECK(Results[0][1].Rows[0][0] == "1");
  CHECK_FALSE(Results[1][0].Failure.has_value());
  CHECK(Results[1][1].Failure->SqlState == "23505");
  CHECK(Results[1][2].Failure->SqlState == AbortedSqlState);
  CHECK(Results[2].empty());
  // The group with the failure was rolled back as one transaction.
  CHECK(Results[3][0].Rows.size() == 1);
  CHECK(Results[4][0].Failure->SqlState == "42601");
  CHECK(Results[5][0].Failure->SqlState == "42P01");
  CHECK(Client.connection().isIdle());
}

// Guards against a deadlock when neither side reads while it writes.
TEST_CASE("a pipeline larger than all socket buffers goes through",
          "[answers]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  constexpr std::size_t Count = 400;
  constexpr std::size_t Bytes = 100000;
  std::vector<std::vector<Statement>> Groups(
      Count, {{"SELECT $1", {std::string(Bytes, 'x')}}});
  const auto Results = Client.tryRun(Groups, later(), 100 * Megabyte);
  REQUIRE(Results.has_value());
  for (const auto &Group : Results.value())
    CHECK(Group[0].Rows[0][0]->size() == Bytes);
}

// Guards against an unbounded result that exhausts the proxy's memory.
TEST_CASE("a result over the limit breaks the connection", "[answers]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const std::vector<std::vector<Statement>> Groups = {
      {{"SELECT $1", {std::string(1000, 'x')}}}};
  constexpr std::size_t RowBytes = 1000 + 4 + 7;
  CHECK(Client.tryRun(Groups, later(), RowBytes).has_value());
  const auto Failed = Client.tryRun(Groups, later(), RowBytes - 1);
  REQUIRE(Failed.has_error());
  CHECK(Failed.error().Kind == ErrorKind::ResultTooLarge);
  CHECK(Client.connection().isBroken());
  CHECK_FALSE(Client.connection().isIdle());
}

// Guards against a late answer that reaches the next request.
TEST_CASE("a passed deadline has an unknown outcome and breaks the connection",
          "[answers][not-run]") {
  StandinDatabase Database(withTable());
  TestClient Client(Database);
  Database.freeze(1h);
  const auto Failed = Client.tryRun(
      {{{"INSERT INTO entry VALUES (1, 'late')", {}}}}, later(50ms));
  REQUIRE(Failed.has_error());
  CHECK(Failed.error().Kind == ErrorKind::OutcomeUnknown);
  CHECK(Client.connection().isBroken());
  const auto Again = Client.tryRun({{{"SELECT 1", {}}}});
  REQUIRE(Again.has_error());
  CHECK(Again.error().Kind == ErrorKind::Unavailable);
  Database.freeze(0ms);
  // The outcome is unknown indeed: the statement runs after all, because the
  // database had received it.
  TestClient Other(Database);
  CHECK(Other.waitFor("SELECT count(*) FROM entry", "1"));
}

// Guards against "not run" for a statement that may have been sent, and
// against "unknown" when nothing can have been.
TEST_CASE("a closed connection is unavailable only if nothing was sent",
          "[not-run]") {
  const StandinDatabase Database(withTable());
  TestClient Idle(Database);
  TestClient Busy(Database);
  TestClient Other(Database);
  const std::string Pid = std::to_string(Idle.connection().backendPid());
  CHECK(Other.value("SELECT pg_terminate_backend(" + Pid + ")") == "t");
  CHECK(Other.waitFor("SELECT count(*) FROM pg_stat_activity", "2"));
  const auto NotSent = Idle.tryRun({{{"SELECT 1", {}}}});
  REQUIRE(NotSent.has_error());
  CHECK(NotSent.error().Kind == ErrorKind::Unavailable);
  CHECK(Idle.connection().isBroken());

  const auto Sent =
      Busy.tryRun({{{"SELECT pg_terminate_backend(pg_backend_pid())", {}}},
                   {{"SELECT 1", {}}}});
  REQUIRE(Sent.has_error());
  CHECK(Sent.error().Kind == ErrorKind::OutcomeUnknown);
}

// Guards against input that libpq would cut off at a zero byte.
TEST_CASE("input that cannot be sent leaves the connection usable",
          "[not-run]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const std::string Zero("a\0b", 3);
  const auto Bad = Client.tryRun({{{"SELECT 1", {}}, {"SELECT $1", {Zero}}}});
  REQUIRE(Bad.has_error());
  CHECK(Bad.error().Kind == ErrorKind::BadRequest);
  const auto Late = Client.tryRun({{{"SELECT 1", {}}}}, later(-1s));
  REQUIRE(Late.has_error());
  CHECK(Late.error().Kind == ErrorKind::DeadlineExceeded);
  CHECK(Client.connection().isIdle());
  CHECK(Client.value("SELECT 7") == "7");
}

// Guards against a connection that is stuck in a copy.
TEST_CASE("COPY is refused", "[answers]") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database);
  const auto Copied = Client.tryRun({{{"COPY entry TO STDOUT", {}}}});
  REQUIRE(Copied.has_error());
  CHECK(Copied.error().Kind == ErrorKind::StatementNotAllowed);
  CHECK(Client.connection().isBroken());
}

// Guards against retries that a full database answers no better.
TEST_CASE("failures to connect are told apart") {
  standin::DatabaseOptions Options = withTable();
  Options.Settings.Connections = 1;
  StandinDatabase Database(Options);
  const TestClient First(Database);
  const TestClient Second(Database);
  REQUIRE(Second.opened().has_error());
  CHECK(Second.opened().error().Kind == ErrorKind::TooManyConnections);

  CHECK(Database.cut("new", true));
  const TestClient Refused(Database);
  REQUIRE(Refused.opened().has_error());
  CHECK(Refused.opened().error().Kind == ErrorKind::Unavailable);
  CHECK(Database.cut("new", false));

  boost::asio::io_context Context;
  const auto Named =
      await(Context,
            PostgresConnection::open({"localhost", 1, "d", "u", "a"}, later()));
  CHECK(Named.error().Kind == ErrorKind::InvalidSettings);
  Database.freeze(1h);
  const auto Late = await(
      Context, PostgresConnection::open(
                   {"127.0.0.1", Database.port(), "d", "u", "a"}, later(30ms)));
  CHECK(Late.error().Kind == ErrorKind::DeadlineExceeded);
}

// Guards against a cancelled request whose answer reaches the next one.
TEST_CASE("a cancelled or closed run breaks the connection", "[answers]") {
  const StandinDatabase Database(withTable());
  boost::asio::io_context Context;
  auto Opened = await(
      Context, PostgresConnection::open(
                   {"127.0.0.1", Database.port(), "d", "u", "a"}, later()));
  REQUIRE(Opened.has_value());
  PostgresConnection &Connection = *Opened.value();
  const bool Closes = GENERATE(false, true);
  boost::asio::cancellation_signal Signal;
  // Built outside of the coroutine, where g++ 12 rejects nested lists.
  const std::vector<std::vector<Statement>> Groups = {
      {{"SELECT pg_sleep(0.2)", {}}}};
  const auto Run = [&]() -> boost::asio::awaitable<void> {
    const auto Stopped = co_await Connection.run(Groups, later(), Megabyte);
    CHECK(Stopped.has_error());
  };
  boost::asio::co_spawn(Context, Run(),
                        boost::asio::bind_cancellation_slot(
                            Signal.slot(), boost::asio::detached));
  boost::asio::post(Context, [&] {
    CHECK_FALSE(Connection.isIdle());
    if (Closes)
      Connection.close();
    else
      Signal.emit(boost::asio::cancellation_type::terminal);
  });
  Context.restart();
  Context.run();
  CHECK(Connection.isBroken());
}
