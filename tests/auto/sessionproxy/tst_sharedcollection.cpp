#include "base/strictjson.h"
#include "sessionproxy/sharedcollection.h"
#include "sessionproxy/sharedmessages.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;

StoredObject object(const std::string &Name, std::uint64_t Revision) {
  StoredObject Object;
  Object.Name = Name;
  Object.Revision = Revision;
  Object.Spec["at"] = Json::UInt64(Revision);
  return Object;
}

StoredObject removal(const std::string &Name, std::uint64_t Revision) {
  StoredObject Object;
  Object.Name = Name;
  Object.Revision = Revision;
  Object.Removed = true;
  return Object;
}

StoredObjects at(std::uint64_t Revision, std::vector<StoredObject> Objects) {
  return {std::move(Objects), Revision, Start, std::nullopt};
}

/// The changes that \p Watcher sends to a host that knows \p After.
StoredObjects sentBy(const SharedCollection &Watcher, std::uint64_t After) {
  const std::optional<std::string> Members = Watcher.changesAfter(After);
  REQUIRE(Members);
  SharedAnswer Answer;
  Answer.Objects.AtRevision = Watcher.revision();
  Answer.StoreAnswers = Watcher.storeAnswers();
  return decodeSharedAnswer(encodeSharedAnswer(Answer, *Members))
      .value()
      .Objects;
}

StoredObjects listOf(SharedCollection &Watcher) {
  SharedAnswer Answer;
  Answer.Objects.AtRevision = Watcher.revision();
  return decodeSharedAnswer(encodeSharedAnswer(Answer, Watcher.allObjects()))
      .value()
      .Objects;
}

} // namespace

// Guards against a change that is lost on its way over a watcher.
TEST_CASE("a watcher passes on what changed since a revision") {
  SharedCollection Watcher;
  CHECK_FALSE(Watcher.changesAfter(0));
  Watcher.recordList(at(10, {object("a", 3), object("b", 4)}), Start);
  CHECK(Watcher.changesAfter(10) == std::string());
  CHECK_FALSE(Watcher.changesAfter(9)); // To be listed.
  Watcher.recordChanges(10, at(12, {object("a", 12)}), Start);
  Watcher.recordChanges(12, at(15, {removal("b", 4), object("c", 15)}), Start);
  CHECK(sentBy(Watcher, 10).Objects.size() == 3);
  CHECK(sentBy(Watcher, 12).Objects.size() == 2);
  CHECK(sentBy(Watcher, 15).Objects.empty());
  CHECK(sentBy(Watcher, 12).AtRevision == 15);
  CHECK(listOf(Watcher).Objects.size() == 2);
  // Of a host that another watcher has told more: nothing is known to be new.
  CHECK(Watcher.changesAfter(20) == std::string());
}

// Guards against a configuration, a key or an upstream that comes back at a
// host because a watcher sends what was true before.
TEST_CASE("a host accepts no older state from another host") {
  SharedCollection Known;
  REQUIRE(Known.acceptList(at(20, {object("a", 18), object("b", 5)})));
  SECTION("a change from before the list") {
    CHECK(Known.acceptChanges(20, at(21, {object("a", 17)}))
              .value()
              .Objects.empty());
    CHECK(Known.acceptChanges(20, at(21, {object("c", 19)}))
              .value()
              .Objects.empty());
  }
  SECTION("an object that was removed since") {
    REQUIRE(Known.acceptChanges(20, at(22, {removal("b", 5)}))
                .value()
                .Objects.size() == 1);
    CHECK(Known.acceptChanges(22, at(23, {object("b", 5)}))
              .value()
              .Objects.empty());
    CHECK_FALSE(Known.acceptList(at(23, {object("a", 18), object("b", 5)})));
    CHECK(Known.acceptChanges(22, at(25, {object("b", 24)}))
              .value()
              .Objects.size() == 1);
  }
  SECTION("a removal from before the object was created again") {
    REQUIRE(Known.acceptChanges(20, at(22, {object("b", 22)})));
    CHECK(Known.acceptChanges(22, at(23, {removal("b", 5)}))
              .value()
              .Objects.empty());
  }
  SECTION("an older list") {
    CHECK_FALSE(Known.acceptList(at(19, {object("a", 18)})));
    CHECK_FALSE(Known.acceptList(at(30, {object("a", 17), object("b", 5)})));
    CHECK(Known.revision() == 20);
  }
  SECTION("the store itself is believed") {
    Known.recordList(at(7, {object("a", 2)}), Start);
    CHECK(Known.revision() == 7);
    CHECK(listOf(Known).Objects.size() == 1);
  }
}

// Guards against memory that grows with the number of changes.
TEST_CASE("a limited number of changes is kept") {
  SharedCollection Watcher;
  Watcher.recordList(at(1, {}), Start);
  constexpr std::uint64_t Changes = 10 * SharedCollection::MaxChanges;
  for (std::uint64_t Revision = 2; Revision < Changes; ++Revision)
    Watcher.recordChanges(Revision - 1, at(Revision, {object("a", Revision)}),
                          Start);
  CHECK_FALSE(Watcher.changesAfter(1));
  CHECK(sentBy(Watcher, Changes - 1 - SharedCollection::MaxChanges)
            .Objects.size() == SharedCollection::MaxChanges);
}

// Guards against a follower that trusts a watcher whose last call failed.
TEST_CASE("an outage of the store is told until it answers again") {
  SharedCollection Watcher;
  CHECK_FALSE(Watcher.storeAnswers());
  Watcher.recordList(at(1, {}), Start);
  CHECK(Watcher.storeAnswers());
  Watcher.recordFailure(Start + 1s);
  CHECK_FALSE(Watcher.storeAnswers());
  Watcher.recordChanges(1, at(1, {}), Start + 2s);
  CHECK(Watcher.storeAnswers());
  CHECK(Watcher.answeredAt() == Start + 2s);
  CHECK(Watcher.failedAt() == Start + 1s);
}

// Guards against states of a follower that no order of the store's changes can
// explain, when it changes between two watchers that received the changes in
// other portions, and the store, and when messages are repeated.
TEST_CASE("a host that changes its watcher ends with the state of the store") {
  constexpr int Days = 300;
  for (int Seed = 0; Seed < Days; ++Seed) {
    std::mt19937 Random(static_cast<unsigned>(Seed));
    const auto Draw = [&Random](int Below) {
      return std::uniform_int_distribution<int>(0, Below - 1)(Random);
    };
    std::map<std::string, StoredObject> Truth;
    std::vector<std::pair<std::uint64_t, StoredObject>> History;
    std::uint64_t Revision = 1;
    std::array<SharedCollection, 2> Watchers;
    for (SharedCollection &Each : Watchers)
      Each.recordList(at(1, {}), Start);
    SharedCollection Follower;
    REQUIRE(Follower.acceptList(listOf(Watchers[0])));
    std::map<std::string, std::uint64_t> Seen; // Newest revision by name.
    const auto Check = [&Seen](const StoredObjects &New) {
      for (const StoredObject &Each : New.Objects) {
        std::uint64_t &Newest = Seen[Each.Name];
        REQUIRE(
            (Each.Removed ? Each.Revision >= Newest : Each.Revision > Newest));
        Newest = Each.Revision;
      }
    };
    const auto Since = [&History](std::uint64_t After) {
      std::vector<StoredObject> Found;
      for (const auto &[At, Change] : History)
        if (At > After)
          Found.push_back(Change);
      return Found;
    };
    for (int Step = 0; Step < 60; ++Step) {
      switch (Draw(3)) {
      case 0: {
        const std::string Name(1, static_cast<char>('a' + Draw(4)));
        ++Revision;
        if (Truth.count(Name) && Draw(2) == 0) {
          // As in the store, a removal has the revision of the object.
          History.emplace_back(Revision,
                               removal(Name, Truth.at(Name).Revision));
          Truth.erase(Name);
        } else {
          Truth[Name] = object(Name, Revision);
          History.emplace_back(Revision, Truth.at(Name));
        }
        break;
      }
      case 1: {
        SharedCollection &Watcher = Watchers.at(Draw(2));
        const std::uint64_t After = Watcher.revision();
        Watcher.recordChanges(After, at(Revision, Since(After)), Start);
        break;
      }
      default: {
        SharedCollection &Watcher = Watchers.at(Draw(2));
        const std::uint64_t After =
            Draw(4) == 0 ? Watcher.revision() : Follower.revision();
        if (After > Follower.revision() || !Watcher.changesAfter(After))
          break;
        const Result<StoredObjects> New =
            Follower.acceptChanges(After, sentBy(Watcher, After));
        REQUIRE(New);
        Check(New.value());
      }
      }
    }
    const std::uint64_t After = Watchers[0].revision();
    Watchers[0].recordChanges(After, at(Revision, Since(After)), Start);
    const Result<StoredObjects> Last = Follower.acceptChanges(
        Follower.revision(), sentBy(Watchers[0], Follower.revision()));
    REQUIRE(Last);
    Check(Last.value());
    INFO("seed " << Seed);
    const StoredObjects End = listOf(Follower);
    CHECK(End.Objects.size() == Truth.size());
    for (const StoredObject &Each : End.Objects) {
      REQUIRE(Truth.count(Each.Name));
      CHECK(Truth.at(Each.Name).Revision == Each.Revision);
    }
  }
}

// Guards against a host that ends, or believes anything, when another one sends
// what it does not understand.
TEST_CASE("messages of the shared store are read strictly") {
  const SharedRequest Request{Collection::Upstreams, 17, 2000ms};
  const Result<SharedRequest> Read =
      decodeSharedTarget(encodeSharedTarget(Request));
  REQUIRE(Read);
  CHECK(Read.value().From == Collection::Upstreams);
  CHECK(Read.value().After == 17U);
  CHECK(Read.value().Wait == 2000ms);
  CHECK_FALSE(
      decodeSharedTarget(encodeSharedTarget({Collection::Catalogue, {}, 0ms}))
          .value()
          .After);
  for (const char *Bad :
       {"", "/shared-store/", "/shared-store/hosts/1/0",
        "/shared-store/catalogue/x/0", "/shared-store/catalogue/-1/0",
        "/shared-store/catalogue/1/", "/shared-store/catalogue/1/-5",
        "/shared-store/catalogue/1/99999999", "/shared-store/catalogue/1/0/0"})
    CHECK_FALSE(decodeSharedTarget(Bad));

  SharedAnswer Answer;
  Answer.Objects.AtRevision = 9;
  Answer.StoreAnswers = true;
  Answer.StoreAge = 12ms;
  Answer.FailureAge = 3000ms;
  Answer.Held = 1500ms;
  const std::string Text =
      encodeSharedAnswer(Answer, encodeSharedObject(object("a", 8)) + "," +
                                     encodeSharedObject(removal("b", 7)));
  const Result<SharedAnswer> Back = decodeSharedAnswer(Text);
  REQUIRE(Back);
  CHECK(Back.value().Objects.AtRevision == 9);
  CHECK(Back.value().StoreAnswers);
  CHECK(Back.value().StoreAge == 12ms);
  CHECK(Back.value().FailureAge == 3000ms);
  CHECK(Back.value().Held == 1500ms);
  REQUIRE(Back.value().Objects.Objects.size() == 2);
  CHECK(writeCompactJson(Back.value().Objects.Objects[0].Spec) ==
        writeCompactJson(object("a", 8).Spec));
  CHECK(Back.value().Objects.Objects[1].Removed);
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    CHECK_FALSE(decodeSharedAnswer(Text.substr(0, Length)));
  for (
      const char *Bad :
      {"[]", "{}", R"({"revision":-1,"storeAnswers":true,"objects":[]})",
       R"({"revision":1,"storeAnswers":true,"storeAgeMs":-1,"heldMs":0,"objects":[]})",
       R"({"revision":1,"storeAnswers":true,"storeAgeMs":1,"heldMs":0,"objects":[1]})"})
    CHECK_FALSE(decodeSharedAnswer(Bad));
}
