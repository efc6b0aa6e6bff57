#include "sessionproxy/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

UpstreamEntry makeEntry(const std::string &Id, bool Leaving = false) {
  UpstreamEntry Entry;
  Entry.Id = Id;
  Entry.Group = "orders";
  Entry.Leaving = Leaving;
  return Entry;
}

} // namespace

TEST_CASE("a removed upstream leaves the directory at once",
          "[upstream-drain]") {
  UpstreamDirectory Directory;
  Directory.put(makeEntry("a"));
  Directory.remove("a", Start);
  CHECK(Directory.size() == 0);
}

// Guards against a group without members after an outage of the store, during
// which entries expire although their upstreams are alive.
TEST_CASE("entries that expired during a store outage may register again") {
  UpstreamDirectory Directory;
  Directory.put(makeEntry("a"));
  Directory.put(makeEntry("b"));
  Directory.recordStoreFailure(Start);
  Directory.replaceAll({}, Start + 100ms);
  CHECK(Directory.size() == 2);
  Directory.put(makeEntry("a"));
  CHECK_FALSE(Directory.removeExpired(Start + 1s));
  CHECK(Directory.removeExpired(Start + UpstreamDirectory::ReregistrationTime));
  CHECK(Directory.size() == 1);
}

TEST_CASE("a leaving upstream is removed at once after a store outage",
          "[upstream-drain]") {
  UpstreamDirectory Directory;
  Directory.put(makeEntry("a", true));
  Directory.recordStoreFailure(Start);
  Directory.remove("a", Start + 100ms);
  CHECK(Directory.size() == 0);
}
