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

CatalogueObject silentHost() {
  Host Silent;
  Silent.Name = "h";
  Silent.FailureDomain = "east";
  Silent.PeerAddress = "127.0.0.1";
  Silent.PeerPort = 1;
  CatalogueObject Object;
  Object.Kind = ObjectKind::Host;
  Object.Name = Silent.Name;
  Object.Spec = Silent.toJson();
  return Object;
}

/// The stand-in's object API on its own thread.
class PlatformThread {
public:
  /// \param HasHost whether the list of hosts has one that does not answer.
  explicit PlatformThread(bool HasHost = false)
      : Endpoint(this->Listener.local_endpoint()), Thread([this, HasHost] {
          if (HasHost)
            this->Platform.Store.create("hosts", silentHost().toJson());
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
  Administrator Admin(Platform.Endpoint, std::chrono::steady_clock::now() + 3s);
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
