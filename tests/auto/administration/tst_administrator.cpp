#include "administration/administrator.h"
#include "administration/objectfiles.h"
#include "base/strictjson.h"
#include "catalogue/keytext.h"
#include "common/adminserver.h"
#include "platform/apisession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

/// \param AdminPort 0 for a host without an admin listener.
CatalogueObject hostObject(const std::string &Name, std::uint16_t AdminPort,
                           const std::string &FailureDomain) {
  Host Listed;
  Listed.Name = Name;
  Listed.FailureDomain = FailureDomain;
  Listed.PeerAddress = "127.0.0.1";
  Listed.PeerPort = 1;
  Listed.AdminAddress = AdminPort == 0 ? "" : "127.0.0.1";
  Listed.AdminPort = AdminPort;
  CatalogueObject Object;
  Object.Kind = ObjectKind::Host;
  Object.Name = Name;
  Object.Spec = Listed.toJson();
  return Object;
}

/// The stand-in's object API on its own thread.
class PlatformThread {
public:
  /// \param HasHosts whether the list of hosts has one that shows the newest
  /// version from its third answer on, and one of another failure domain that
  /// never does.
  explicit PlatformThread(bool HasHosts = false)
      : Endpoint(this->Listener.local_endpoint()), Thread([this, HasHosts] {
          if (HasHosts)
            this->addHosts();
          standins::startApi(std::move(this->Listener), this->Platform);
          this->Io.run();
        }) {}

  ~PlatformThread() {
    this->Io.stop();
    this->Thread.join();
  }

  PlatformThread(const PlatformThread &) = delete;
  PlatformThread &operator=(const PlatformThread &) = delete;

  // The first members outlive the context, whose coroutines refer to them.
  standins::Platform Platform{
      standins::ObjectStore(100),
      standins::CallCounter(10000, 10000, std::chrono::steady_clock::now()),
      {},
      {},
      {}};

private:
  void addHosts() {
    auto Admin = standins::listenOnLoopback(this->Io, 0);
    const std::uint16_t Port = Admin.local_endpoint().port();
    this->Platform.Store.create("hosts",
                                hostObject("current", Port, "east").toJson());
    this->Platform.Store.create("hosts", hostObject("h", 0, "west").toJson());
    standins::startAdminServer(
        std::move(Admin),
        [this](const std::string &, const std::string &, const Json::Value &) {
          constexpr int FirstCurrentAnswer = 3;
          standins::AdminAnswer Answer;
          const bool IsCurrent = ++this->StatusCalls >= FirstCurrentAnswer;
          Answer.Body["configurationVersion"] =
              IsCurrent ? this->Platform.Store.version() : 1;
          return Answer;
        });
  }

  int StatusCalls = 0;
  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::acceptor Listener =
      standins::listenOnLoopback(this->Io, 0);

public:
  boost::asio::ip::tcp::endpoint Endpoint;

private:
  std::thread Thread;
};

std::vector<CatalogueObject> workspace(const std::string &Rate,
                                       const std::string &Version = "") {
  return readObjectText(R"({"kind":"Workspace","metadata":{"name":"w")" +
                            (Version.empty() ? "}"
                                             : R"(,"resourceVersion":")" +
                                                   Version + "\"}") +
                            R"(,"spec":{"rate":)" + Rate + R"(,"burst":5}})",
                        false)
      .value();
}

} // namespace

// Guards against writing part of an invalid change, and against overwriting a
// change that the operator has not seen.
TEST_CASE("apply validates first and is conditional", "[configuration]") {
  PlatformThread Platform;
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  const Report Created =
      Admin.apply(workspace("1"), MissingObjects::Keep, true);
  REQUIRE(Created.Code == ExitCode::Done);
  const std::string Version = Created.Data["version"].asString();
  std::vector<CatalogueObject> Mixed = workspace("2");
  Mixed.push_back(
      readObjectText(R"({"kind":"Route","name":"r","spec":{"owner":"w",)"
                     R"("trafficClass":"urgent","group":"none"}})",
                     false)
          .value()
          .front());
  CHECK(Admin.apply(Mixed, MissingObjects::Keep, false).Code ==
        ExitCode::Refused);
  CHECK(Admin.get(ObjectKind::Workspace, "w").Data["spec"]["rate"] ==
        Json::Value(1));
  CHECK(
      Admin.apply(workspace("3", Version), MissingObjects::Keep, false).Code ==
      ExitCode::Done);
  const Report Lost =
      Admin.apply(workspace("4", Version), MissingObjects::Keep, false);
  CHECK(Lost.Code == ExitCode::LostRace);
  CHECK(Lost.Text.find("version " + Version) != std::string::npos);
  CHECK(Lost.Text.find("\nwanted: ") != std::string::npos);
  CHECK(Lost.Text.find("\nstored: ") != std::string::npos);
  CHECK(Admin.get(ObjectKind::Workspace, "w").Data["spec"]["rate"] ==
        Json::Value(3));
}

// Guards against a key whose secret is stored or shown again, and against a
// withdrawal that is reported as in force although a host did not confirm.
TEST_CASE("keys are granted and withdrawn", "[keys]") {
  PlatformThread Platform(true);
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  REQUIRE(Admin.apply(workspace("1"), MissingObjects::Keep, false).Code ==
          ExitCode::Done);
  const Report Granted = Admin.grantKey("w");
  REQUIRE(Granted.Code == ExitCode::Done);
  const auto Text = parseKeyText(Granted.Data["key"].asString());
  REQUIRE(Text);
  const Report Stored = Admin.get(ObjectKind::Key, Text->Id);
  CHECK(Stored.Text.find(Text->Secret) == std::string::npos);
  CHECK(secretMatches(Text->Secret, Stored.Data["spec"]["hash"].asString()));
  CHECK(Admin.listKeys().Text == Text->Id + " w granted\n");
  CHECK(Admin.grantKey("nobody").Code == ExitCode::Refused);

  const Report Withdrawn = Admin.withdrawKey(Text->Id, true);
  CHECK(Withdrawn.Code == ExitCode::NotInForce);
  CHECK(Withdrawn.Data["unconfirmed"].size() == 1);
  CHECK(Withdrawn.Text.find("The withdrawal is stored. Host h did not "
                            "confirm. It stops accepting keys 10 s after") !=
        std::string::npos);
}

// Guards against a secret that is shown, and against one that does not become
// the newest and so does not sign.
TEST_CASE("signing secrets are created and listed by name", "[keys]") {
  PlatformThread Platform;
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  const std::chrono::sys_days Day{std::chrono::year{2026} / 9 / 30};
  const Report First = Admin.createSecret(Day + 9h + 5ms);
  REQUIRE(First.Code == ExitCode::Done);
  CHECK(First.Text == "20260930t090000.005z\n");
  const Report Second = Admin.createSecret(Day + 24h);
  CHECK(Second.Text == "20261001t000000.000z\n");
  CHECK(Admin.createSecret(Day + 24h).Code == ExitCode::Refused);
  CHECK(Admin.createSecret(Day + 23h).Code == ExitCode::Refused);
  CHECK(Admin.listSecrets().Text == First.Text + Second.Text);

  boost::asio::io_context Io;
  PlatformClient Client(Io.get_executor(), Platform.Endpoint);
  std::vector<CatalogueObject> Stored;
  boost::asio::co_spawn(
      Io,
      [&]() -> boost::asio::awaitable<void> {
        const Result<ObjectList> List = co_await Client.list(
            ObjectKind::Secret, std::chrono::steady_clock::now() + 60s);
        if (List)
          Stored = List.value().Objects;
      },
      boost::asio::detached);
  Io.run();
  REQUIRE(Stored.size() == 2);
  CHECK(Stored[0].Spec["hex"] != Stored[1].Spec["hex"]);
  for (const CatalogueObject &Object : Stored) {
    const auto Secret = SigningSecret::fromJson(Object.Name, Object.Spec);
    REQUIRE(Secret);
    REQUIRE(Secret.value().Hex.size() == 64);
    for (const Report &Shown :
         {First, Second, Admin.listSecrets(), Admin.status(),
          Admin.get(ObjectKind::Secret, Object.Name)}) {
      CHECK(Shown.Text.find(Secret.value().Hex) == std::string::npos);
      CHECK(writeCompactJson(Shown.Data).find(Secret.value().Hex) ==
            std::string::npos);
    }
  }
}

// Guards against a second "first" status, which would take back a promotion.
TEST_CASE("a group gets its first status once", "[fencing]") {
  PlatformThread Platform;
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  CHECK(Admin.initGroup("g", "g-1", 1).Code == ExitCode::Refused);
  const auto Group = readObjectText(
      R"({"kind":"Group","name":"g","spec":{"database":"d","user":"u",)"
      R"("upstreams":[{"name":"g-1","address":"127.0.0.1","port":1,)"
      R"("failureDomain":"east","connections":16,"slots":2}]}})",
      false);
  REQUIRE(Group);
  REQUIRE(Admin.apply(Group.value(), MissingObjects::Keep, false).Code ==
          ExitCode::Done);
  CHECK(Admin.initGroup("g", "other", 1).Code == ExitCode::Refused);
  CHECK(Admin.initGroup("g", "g-1", 0).Code == ExitCode::Refused);
  CHECK(Admin.get(ObjectKind::Group, "g").Data["status"].empty());
  REQUIRE(Admin.initGroup("g", "g-1", 3).Code == ExitCode::Done);
  const Report Again = Admin.initGroup("g", "g-1", 4);
  CHECK(Again.Code == ExitCode::Refused);
  CHECK(Again.Text.find("has a status already") != std::string::npos);
  const Json::Value Status = Admin.get(ObjectKind::Group, "g").Data["status"];
  CHECK(Status["term"].asUInt64() == 3);
  CHECK(Status["primary"] == "g-1");
  CHECK(Admin.status().Text.find("term 3, primary g-1") != std::string::npos);
}

// Guards against two changes of members at once: a holder that still has the
// members before may then keep its permission when the primary is replaced.
TEST_CASE("members of a group are added and removed one at a time",
          "[fencing]") {
  PlatformThread Platform;
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  const auto Apply = [&](const std::vector<std::string> &Names) {
    Json::Value Object;
    Object["kind"] = "Group";
    Object["name"] = "g";
    Object["spec"]["database"] = Object["spec"]["user"] = "app";
    for (const std::string &Name : Names) {
      Json::Value Member;
      Member["name"] = Name;
      Member["address"] = "127.0.0.1";
      Member["port"] =
          static_cast<Json::UInt>(1 + Object["spec"]["upstreams"].size());
      Member["failureDomain"] = "d";
      Member["connections"] = 16;
      Member["slots"] = 2;
      Object["spec"]["upstreams"].append(Member);
    }
    return Admin.apply(readObjectText(writeCompactJson(Object), false).value(),
                       MissingObjects::Keep, false);
  };
  REQUIRE(Apply({"a", "b", "c"}).Code == ExitCode::Done);
  REQUIRE(Apply({"a", "b", "c", "d", "e"}).Code == ExitCode::Done);
  REQUIRE(Admin.initGroup("g", "a", 1).Code == ExitCode::Done);
  for (const auto &Names : std::vector<std::vector<std::string>>{
           {"a", "b", "c"}, {"a", "b", "c", "d", "f"}}) {
    const Report Refused = Apply(Names);
    CHECK(Refused.Code == ExitCode::Refused);
    CHECK(Refused.Text.find("at most one added or removed, found 2") !=
          std::string::npos);
  }
  CHECK(Apply({"a", "b", "c", "d"}).Code == ExitCode::Done);
}

// Guards against a burst of which no failure domain's share is a whole token,
// so that every request is refused.
TEST_CASE("a burst below the number of failure domains is refused", "[rate]") {
  PlatformThread Platform(true);
  Administrator Admin(Platform.Endpoint,
                      std::chrono::steady_clock::now() + 60s);
  const auto Read = [](const std::string &Burst) {
    return readObjectText(R"([{"kind":"Workspace","name":"w","spec":)"
                          R"({"rate":9,"burst":)" +
                              Burst + "}}]",
                          false)
        .value();
  };
  for (const Report &Refused :
       {Admin.plan(Read("1.9"), MissingObjects::Keep),
        Admin.apply(Read("1.9"), MissingObjects::Keep, false)}) {
    CHECK(Refused.Code == ExitCode::Refused);
    CHECK(Refused.Text.find("workspaces/w: spec.burst: expected at least 2, "
                            "found 1.9") != std::string::npos);
    CHECK(Refused.Text.find("a share below 1 grants nothing") !=
          std::string::npos);
  }
  CHECK(Admin.get(ObjectKind::Workspace, "w").Code == ExitCode::Refused);
  std::vector<CatalogueObject> Both = Read("2");
  CHECK(Admin.plan(Both, MissingObjects::Keep).Code == ExitCode::Done);
  Both.push_back(
      readObjectText(R"({"kind":"Route","name":"r","spec":{"owner":"w",)"
                     R"("trafficClass":"urgent","group":"g",)"
                     R"("limits":{"rate":1,"burst":1}}})",
                     false)
          .value()
          .front());
  CHECK(Admin.apply(Both, MissingObjects::Keep, false)
            .Text.find("routes/r: spec.limits.burst: expected at least 2") !=
        std::string::npos);
  CHECK(Admin.apply(Read("2"), MissingObjects::Keep, false).Code ==
        ExitCode::Done);
}

// Guards against taking an unreachable platform for an empty one.
TEST_CASE("an unreachable platform is reported", "[configuration]") {
  boost::asio::ip::tcp::endpoint Closed;
  {
    PlatformThread Platform;
    Closed = Platform.Endpoint;
  }
  Administrator Admin(Closed, std::chrono::steady_clock::now() + 2s);
  CHECK(Admin.status().Code == ExitCode::Unreachable);
  CHECK(Admin.apply(workspace("1"), MissingObjects::Delete, false).Code ==
        ExitCode::Unreachable);
}
