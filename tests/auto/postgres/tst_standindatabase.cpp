#include "testclient.h"

#include "base/strictjson.h"
#include "standins/database/adminserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

using namespace lavenderdale;
using namespace lavenderdale::test;
using standin::StandinDatabase;

namespace {

const std::string CountEntries = "SELECT count(*) FROM entry";
const std::string ReceivedTimeline =
    "SELECT received_tli FROM pg_stat_wal_receiver";

standin::DatabaseSettings withLag(std::chrono::milliseconds Receive,
                                  std::chrono::milliseconds Replay) {
  standin::DatabaseSettings Settings;
  Settings.ReceiveLag = Receive;
  Settings.ReplayLag = Replay;
  return Settings;
}

Json::Value ask(std::uint16_t Port, boost::beast::http::verb Verb,
                const std::string &Target, const std::string &Body) {
  namespace http = boost::beast::http;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  http::request<http::string_body> Asked(Verb, Target, 11, Body);
  Asked.prepare_payload();
  http::write(Socket, Asked);
  boost::beast::flat_buffer Buffer;
  http::response<http::string_body> Answer;
  http::read(Socket, Buffer, Answer);
  Json::Value Value = parseStrictJson(Answer.body()).value();
  Value["status"] = Answer.result_int();
  return Value;
}

void follow(TestClient &Replica, const std::string &Conninfo) {
  CHECK(
      Replica.stateOf("ALTER SYSTEM SET primary_conninfo = '" + Conninfo + "'")
          .empty());
  CHECK(Replica.value("SELECT pg_reload_conf()") == "t");
}

} // namespace

// Guards against statements of one transaction that are seen by another one.
TEST_CASE("transactions are isolated", "[transaction-isolation]") {
  const StandinDatabase Database(withTable());
  TestClient Writer(Database);
  TestClient Reader(Database);
  Writer.run({{{"BEGIN", {}}, {"INSERT INTO entry VALUES (1, 'a')", {}}}});
  CHECK_FALSE(Writer.connection().isIdle());
  CHECK(Writer.value(CountEntries) == "1");
  CHECK(Reader.value(CountEntries) == "0");
  CHECK(Writer.one("COMMIT").CommandTag == "COMMIT");
  CHECK(Writer.connection().isIdle());
  CHECK(Reader.value(CountEntries) == "1");

  Writer.run({{{"BEGIN", {}}, {"DELETE FROM entry", {}}}});
  CHECK(Writer.stateOf("SELEC") == "42601");
  CHECK(Writer.stateOf("SELECT 1") == "25P02");
  CHECK(Writer.one("COMMIT").CommandTag == "ROLLBACK");
  CHECK(Reader.value(CountEntries) == "1");

  Writer.one("BEGIN READ ONLY");
  CHECK(Writer.stateOf("DELETE FROM entry") == "25006");
  Writer.one("ROLLBACK");

  Writer.one("BEGIN ISOLATION LEVEL REPEATABLE READ");
  CHECK(Writer.value(CountEntries) == "1");
  Reader.one("INSERT INTO entry VALUES (2, 'b')");
  CHECK(Writer.value(CountEntries) == "1");
  CHECK(Writer.stateOf("DELETE FROM entry") == "40001");
  Writer.one("ROLLBACK");
  CHECK(Writer.one("SET x.y = 'z'").CommandTag == "SET");
  CHECK(Writer.value("SELECT current_setting('x.y')") == "z");
  CHECK(Writer.one("DISCARD ALL").CommandTag == "DISCARD ALL");
  CHECK(Writer.value("SELECT current_setting('x.y')") == "error 42704");
}

// Guards against lost updates between concurrent writers.
TEST_CASE("concurrent increments are all kept", "[transaction-isolation]") {
  const StandinDatabase Database(withTable());
  TestClient(Database).one("INSERT INTO entry VALUES (1, '0')");
  constexpr int Threads = 4;
  constexpr int Rounds = 50;
  {
    std::vector<std::jthread> Running;
    Running.reserve(Threads);
    for (int I = 0; I < Threads; ++I)
      Running.emplace_back([&Database] {
        TestClient Client(Database);
        for (int Round = 0; Round < Rounds; ++Round)
          Client.run({{{"BEGIN", {}}},
                      {{"SELECT note FROM entry FOR UPDATE", {}}},
                      {{"UPDATE entry SET note = note + 1", {}}},
                      {{"COMMIT", {}}}});
      });
  }
  CHECK(TestClient(Database).value("SELECT note FROM entry") == "200");
}

// Guards against tests that pass because the stand-in replicates at once.
TEST_CASE("replicas receive and replay with their lags", "[read-your-writes]") {
  const StandinDatabase Primary(withTable());
  auto Options = withTable(Primary.conninfo());
  Options.Settings = withLag(0ms, 1h);
  StandinDatabase Replica(Options);
  TestClient Writer(Primary);
  TestClient Reader(Replica);
  CHECK(Reader.waitFor(ReceivedTimeline, "1"));
  CHECK(Reader.value("SELECT pg_is_in_recovery()") == "t");
  CHECK(Reader.stateOf("DELETE FROM entry") == "25006");
  CHECK(Reader.stateOf("SELECT pg_current_wal_lsn()") == "55000");

  Writer.one("INSERT INTO entry VALUES (1, $1)", {"a"});
  const std::string Position = Writer.value("SELECT pg_current_wal_lsn()");
  CHECK(
      Writer.value("SELECT pg_walfile_name('" + Position + "')").substr(0, 8) ==
      "00000001");
  CHECK(Reader.waitFor("SELECT pg_last_wal_receive_lsn()", Position));
  CHECK(Reader.value("SELECT pg_last_wal_replay_lsn()") == "0/03000000");
  CHECK(Reader.value(CountEntries) == "0");
  Replica.setSettings(withLag(1h, 0ms));
  CHECK(Reader.waitFor("SELECT pg_last_wal_replay_lsn()", Position));
  CHECK(Reader.value("SELECT note FROM entry") == "a");

  // In flight, but not received, when the replica is cut off: lost.
  Writer.one("INSERT INTO entry VALUES (2, 'b')");
  CHECK(Replica.cut("replication", true));
  CHECK(Reader.waitFor(ReceivedTimeline, "none"));
  CHECK(Reader.value("SELECT pg_last_wal_receive_lsn()") == Position);
  CHECK(Replica.cut("replication", false));
  Replica.setSettings({});
  CHECK(Reader.waitFor(CountEntries, "2"));
}

// Guards against acknowledged writes at a replaced primary and against a
// fence that does not hold: the whole promotion uses published SQL.
TEST_CASE("a group is fenced and promoted through SQL", "[fencing]") {
  StandinDatabase A(withTable());
  const StandinDatabase B(withTable(A.conninfo()));
  const StandinDatabase C(withTable(A.conninfo()));
  TestClient OnA(A);
  TestClient OnB(B);
  TestClient OnC(C);
  OnA.one("INSERT INTO entry VALUES (1, 'a')");
  const std::string Position = OnA.value("SELECT pg_current_wal_lsn()");
  for (TestClient *Replica : {&OnB, &OnC}) {
    CHECK(Replica->waitFor("SELECT pg_last_wal_receive_lsn()", Position));
    follow(*Replica, "");
    CHECK(Replica->waitFor("SELECT current_setting('primary_conninfo')", ""));
    CHECK(Replica->waitFor(ReceivedTimeline, "none"));
  }
  // Writes at the old primary no longer reach the fenced replicas.
  OnA.one("INSERT INTO entry VALUES (2, 'lost')");
  CHECK(OnB.value("SELECT pg_promote()") == "t");
  CHECK(OnB.value("SELECT pg_is_in_recovery()") == "f");
  CHECK(OnB.stateOf("SELECT pg_promote()") == "55000");
  CHECK(
      OnB.value("SELECT pg_walfile_name(pg_current_wal_lsn())").substr(0, 8) ==
      "00000002");
  follow(OnC, B.conninfo());
  CHECK(OnC.waitFor(ReceivedTimeline, "2"));
  OnB.one("INSERT INTO entry VALUES (3, 'new')");
  CHECK(OnC.waitFor("SELECT note FROM entry WHERE id = 3", "new"));
  CHECK(OnC.value("SELECT note FROM entry WHERE id = 2") == "none");

  // The old primary keeps its timeline and cannot be followed any more.
  CHECK(
      OnA.value("SELECT pg_walfile_name(pg_current_wal_lsn())").substr(0, 8) ==
      "00000001");
  follow(OnC, A.conninfo());
  CHECK(OnC.waitFor(ReceivedTimeline, "none"));
  const TimePoint End = later();
  while (C.state()["receiverProblem"].asString().find("older") ==
             std::string::npos &&
         std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(2ms);
  CHECK(C.state()["receiverProblem"].asString() ==
        "the primary's timeline is older than the replica's");

  CHECK(A.rejoin(B.conninfo()));
  TestClient Rejoined(A);
  CHECK(Rejoined.waitFor(ReceivedTimeline, "2"));
  CHECK(Rejoined.value("SELECT group_concat(note) FROM entry") == "a,new");
}

// Guards against a delayed command of an earlier promoter.
TEST_CASE("control sessions can be found and ended", "[fencing]") {
  const StandinDatabase Database(withTable());
  TestClient Old(Database, "lavenderdale-control");
  TestClient New(Database, "other");
  Old.run({{{"BEGIN", {}}, {"INSERT INTO entry VALUES (1, 'a')", {}}}});
  CHECK(New.value("SELECT count(pg_terminate_backend(pid)) FROM"
                  " pg_stat_activity WHERE application_name ="
                  " 'lavenderdale-control'") == "1");
  CHECK(New.waitFor("SELECT count(*) FROM pg_stat_activity", "1"));
  CHECK(New.stateOf("INSERT INTO entry VALUES (2, 'b')").empty());
  CHECK(New.value("SELECT group_concat(id) FROM entry") == "2");
  CHECK(Old.tryRun({{{"COMMIT", {}}}}).has_error());
}

// Guards against load figures that no database could reach.
TEST_CASE("slots bound the statements that run at once") {
  auto Options = withTable();
  Options.Settings.Slots = 1;
  Options.Settings.ServiceTime = 20ms;
  const StandinDatabase Database(Options);
  const auto Start = std::chrono::steady_clock::now();
  {
    std::vector<std::jthread> Running;
    Running.reserve(3);
    for (int I = 0; I < 3; ++I)
      Running.emplace_back(
          [&Database] { TestClient(Database).one(CountEntries); });
  }
  CHECK(std::chrono::steady_clock::now() - Start >= 60ms);
}

// Guards against a log in which tests cannot find leaked or doubled writes.
TEST_CASE("the statement log names session and transaction") {
  const StandinDatabase Database(withTable());
  TestClient Client(Database, "logged");
  Client.run({{{"BEGIN", {}}},
              {{"INSERT INTO entry VALUES ($1, 'a')", {"1"}}},
              {{"COMMIT", {}}}});
  const Json::Value Log = Database.log(2);
  REQUIRE(Log.size() == 2);
  CHECK(Log[0]["sql"] == "INSERT INTO entry VALUES ($1, 'a')");
  CHECK(Log[0]["params"][0] == "1");
  CHECK(Log[0]["answer"] == "INSERT 0 1");
  CHECK(Log[0]["applicationName"] == "logged");
  CHECK(Log[0]["pid"] == Client.connection().backendPid());
  CHECK(Log[1]["transaction"] == Log[0]["transaction"]);
}

// Guards against faults that a test believes to have injected, but did not.
TEST_CASE("the admin interface sets faults and refuses wrong input") {
  using boost::beast::http::verb;
  StandinDatabase Primary(withTable());
  StandinDatabase Replica(withTable(Primary.conninfo()));
  const standin::AdminServer Admin(Replica, "127.0.0.1", 0);
  const auto Post = [&](const std::string &Target, const std::string &Body) {
    return ask(Admin.port(), verb::post, Target, Body)["status"].asUInt();
  };
  CHECK(Post("/set", R"({"slots":3,"replayLagMs":7})") == 200);
  CHECK(Replica.settings().Slots == 3);
  CHECK(Replica.settings().ReplayLag == 7ms);
  CHECK(Post("/set", R"({"slot":3})") == 400);
  CHECK(Post("/cut", R"({"what":"some"})") == 400);
  CHECK(Post("/freeze", "{}") == 400);
  CHECK(Post("/nothing", "") == 404);

  TestClient Client(Replica);
  CHECK(Post("/cut", R"({"what":"all"})") == 200);
  CHECK(Client.tryRun({{{"SELECT 1", {}}}}).has_error());
  CHECK(TestClient(Replica).opened().has_error());
  CHECK(Post("/cut", R"({"what":"all","on":false})") == 200);
  CHECK(TestClient(Replica).value("SELECT 1") == "1");
  CHECK(Post("/promote", "") == 200);
  CHECK(Post("/promote", "") == 409);
  CHECK(ask(Admin.port(), verb::get, "/state", "")["timeline"] == 2);
  CHECK(Post("/rejoin",
             R"({"primaryConninfo":")" + Primary.conninfo() + R"("})") == 200);
  CHECK(ask(Admin.port(), verb::get, "/state", "")["timeline"] == 1);
}
