#include "distribution/configurationcodec.h"
#include "distribution/configurationstore.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lavenderdale;

namespace {

ConfigurationObject object(const std::string &Name, std::uint64_t Version,
                           std::string Payload = "p") {
  return {Name, Version, false, std::move(Payload)};
}

ConfigurationObject deletion(const std::string &Name, std::uint64_t Version) {
  return {Name, Version, true, {}};
}

std::map<std::string, std::uint64_t> versionsOf(const ConfigurationStore &Of) {
  std::map<std::string, std::uint64_t> Versions;
  for (const auto &[Name, Object] : Of.objects())
    Versions[Name] = Object.Version;
  return Versions;
}

// Pulls until no change is missing. Converts each message to JSON and back.
void pullAll(ConfigurationStore &To, const ConfigurationStore &From) {
  for (int I = 0; I < 100; ++I) {
    const auto Request = pullRequestFromJson(toJson(To.nextRequest()));
    const auto Answer = From.answer(Request.value());
    if (!Answer)
      return;
    To.applyPart(pullAnswerFromJson(toJson(*Answer)).value());
  }
  FAIL("the transfer did not finish after 100 pulls");
}

} // namespace

// Guards against an old list or change that restores a withdrawn key.
TEST_CASE("older lists, changes and parts are ignored",
          "[configuration][keys]") {
  ConfigurationStore Store;
  CHECK(Store.applyList(10, {object("keys/a", 8), object("keys/b", 9)}));
  CHECK(Store.applyChange(deletion("keys/a", 11)));
  CHECK_FALSE(Store.applyList(10, {object("keys/a", 8)}));
  CHECK_FALSE(Store.applyChange(object("keys/a", 8)));
  CHECK_FALSE(Store.applyPart(
      {10, 0, 10, false, true, {object("keys/a", 8), object("keys/b", 9)}}));
  CHECK(Store.version() == 11);
  CHECK_FALSE(Store.objects().contains("keys/a"));
}

// Guards against a host that misses a change, in particular a deletion, when it
// pulls in parts from different hosts while the configuration changes.
TEST_CASE("a host that pulls gets the same configuration as its sources",
          "[configuration]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    CAPTURE(Seed);
    ConfigurationStore Relays[2];
    ConfigurationStore Host;
    std::uint64_t Version = 0;
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> History;
    History[0] = {};
    for (int I = 0; I < 120; ++I) {
      const std::string Name = "o" + std::to_string(Random() % 12);
      ++Version;
      ConfigurationObject Change =
          Random() % 3 == 0
              ? deletion(Name, Version)
              : object(Name, Version, std::string(Random() % 300000, 'x'));
      for (ConfigurationStore &Relay : Relays)
        if (&Relay == &Relays[0] || Random() % 4 != 0)
          pullAll(Relay, Relays[0]); // The second relay lags at times.
      Relays[0].applyChange(Change);
      History[Version] = versionsOf(Relays[0]);
      if (Random() % 20 == 0) { // The first relay lists all objects again.
        std::vector<ConfigurationObject> List;
        for (const auto &[Key, Each] : Relays[0].objects())
          List.push_back(Each);
        Relays[0].applyList(Version, List);
      }
      const std::uint64_t Before = Host.version();
      const auto Answer = Relays[Random() % 2].answer(Host.nextRequest());
      if (Answer && Random() % 4 != 0)
        Host.applyPart(*Answer);
      REQUIRE(Host.version() >= Before);
      REQUIRE(versionsOf(Host) == History[Host.version()]);
    }
    pullAll(Host, Relays[0]);
    REQUIRE(Host.version() == Version);
    REQUIRE(Host.objects() == Relays[0].objects());
  }
}

// Guards against changes that are missing between two transfers.
TEST_CASE("a part that does not continue the transfer is rejected",
          "[configuration]") {
  ConfigurationStore Store;
  CHECK_FALSE(
      Store.applyPart({20, 0, 15, true, false, {object("keys/a", 12)}}));
  CHECK(Store.nextRequest().Since == 15);
  CHECK(Store.applyList(5, {}));
  CHECK_FALSE(
      Store.applyPart({20, 15, 20, false, false, {object("keys/b", 18)}}));
  CHECK(Store.version() == 5);
  CHECK(Store.nextRequest().Since == 5);
}

// Guards against the loss of an object that changed between the versions of two
// hosts: the newer host no longer has its old state, and the older host does
// not have its new state yet.
TEST_CASE("a part of an older version is not combined with one of a newer "
          "version",
          "[configuration]") {
  ConfigurationStore Store;
  CHECK_FALSE(
      Store.applyPart({20, 0, 15, true, false, {object("keys/a", 12)}}));
  CHECK_FALSE(
      Store.applyPart({18, 15, 18, false, false, {object("keys/b", 18)}}));
  CHECK(Store.version() == 0);
  CHECK(Store.nextRequest().Since == 0);
}

// Guards against a host that was disconnected for so long that the deletions
// which it has missed are no longer kept.
TEST_CASE("a host that needs earlier deletions than the kept ones gets the "
          "complete configuration",
          "[configuration]") {
  ConfigurationStore Relay;
  ConfigurationStore Host;
  Relay.applyChange(object("keys/a", 1));
  pullAll(Host, Relay);
  Relay.applyChange(deletion("keys/a", 2));
  std::uint64_t Version = 2;
  for (std::size_t I = 0; I <= ConfigurationStore::MaxDeletions; ++I) {
    Relay.applyChange(object("x", ++Version));
    Relay.applyChange(deletion("x", ++Version));
  }
  const auto Answer = Relay.answer(Host.nextRequest());
  REQUIRE(Answer.has_value());
  CHECK(Answer->Replaces);
  pullAll(Host, Relay);
  CHECK(Host.objects().empty());
}
