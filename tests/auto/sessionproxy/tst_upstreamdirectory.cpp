#include "sessionproxy/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

UpstreamEntry entryOf(const std::string &Id, bool Leaving = false) {
  UpstreamEntry Entry;
  Entry.Id = Id;
  Entry.Group = "orders";
  Entry.Leaving = Leaving;
  return Entry;
}

} // namespace

TEST_CASE("a removed upstream gets no new work", "[upstream-drain]") {
  UpstreamDirectory Directory;
  Directory.put(entryOf("a"));
  Directory.remove("a", Start);
  CHECK(Directory.size() == 0);
}

// Entries lapse while the store is away although their upstreams live;
// dropping them would leave a group without members.
TEST_CASE("entries that lapsed during an outage may come back") {
  UpstreamDirectory Directory;
  Directory.put(entryOf("a"));
  Directory.put(entryOf("b"));
  Directory.storeWasAway(Start);
  Directory.replaceAll({}, Start + 100ms);
  CHECK(Directory.size() == 2);
  Directory.put(entryOf("a"));
  CHECK_FALSE(Directory.dropLapsed(Start + 1s));
  CHECK(Directory.dropLapsed(Start + UpstreamDirectory::ReturnTime));
  CHECK(Directory.size() == 1);
}

TEST_CASE("an upstream that was leaving does not come back",
          "[upstream-drain]") {
  UpstreamDirectory Directory;
  Directory.put(entryOf("a", true));
  Directory.storeWasAway(Start);
  Directory.remove("a", Start + 100ms);
  CHECK(Directory.size() == 0);
}
