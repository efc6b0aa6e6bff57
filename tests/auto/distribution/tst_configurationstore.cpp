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

// Pulls until nothing is missing; each message passes through JSON.
void pullAll(ConfigurationStore &To, const ConfigurationStore &From) {
  for (int I = 0; I < 100; ++I) {
    const auto Request = pullRequestFromJson(toJson(To.nextRequest()));
    const auto Answer = From.answer(Request.value());
    if (!Answer)
      return;
    To.applyPart(pullAnswerFromJson(toJson(*Answer)).value());
  }
  FAIL("the transfer does not end");
}

} // namespace

// Guards against an old list or change that brings a withdrawn key back.
TEST_CASE("an older answer after a newer one is ignored",
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

// Guards against a host that misses a change, in particular a deletion, by
// pulls in parts, from different hosts, while the configuration changes.
TEST_CASE("pulls bring every host to the same configuration",
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
          pullAll(Relay, Relays[0]); // The second relay catches up at times.
      Relays[0].applyChange(Change);
      History[Version] = versionsOf(Relays[0]);
      if (Random() % 20 == 0) { // A relay that reads the list again.
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

// Guards against changes that are left out between two transfers.
TEST_CASE("a part that does not join what is here is refused",
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

// Guards against an object that changed between the versions of two hosts:
// the first no longer has its old state, the second not yet its new one.
TEST_CASE("parts of a newer and an older version are not combined",
          "[configuration]") {
  ConfigurationStore Store;
  CHECK_FALSE(
      Store.applyPart({20, 0, 15, true, false, {object("keys/a", 12)}}));
  CHECK_FALSE(
      Store.applyPart({18, 15, 18, false, false, {object("keys/b", 18)}}));
  CHECK(Store.version() == 0);
  CHECK(Store.nextRequest().Since == 0);
}

// Guards against a host that was away for so long that deletions which it
// needs are no longer known.
TEST_CASE("a host behind the kept deletions gets the whole configuration",
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
