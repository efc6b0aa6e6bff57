#include "administration/administrator.h"
#include "administration/objectfiles.h"
#include "catalogue/keytext.h"
#include "common/adminserver.h"
#include "platform/apisession.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

/// \param AdminPort 0 for a host without an admin listener.
CatalogueObject hostObject(const std::string &Name, std::uint16_t AdminPort) {
  Host Listed;
  Listed.Name = Name;
  Listed.FailureDomain = "east";
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
  /// version from its third answer on, and one that never does.
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
    this->Platform.Store.create("hosts", hostObject("current", Port).toJson());
    this->Platform.Store.create("hosts", hostObject("h", 0).toJson());
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
