#include "platform/storeeras.h"
#include "sessionproxy/objectstore.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lavenderdale;
using platform::StoreEras;

namespace {

Result<std::uint64_t> record(StoreEras &Eras, const std::string &Field) {
  return Eras.record(&Field);
}

} // namespace

// Guards against fencing tokens that are used twice, because the store returned
// from a copy and gave out a revision once more.
TEST_CASE("Revisions of a later era are larger", "[fencing]") {
  StoreEras Eras;
  REQUIRE(record(Eras, "3").value() == 3);
  const std::uint64_t Before = StoreEras::combine(3, 110).value();
  CHECK(Eras.current(Before) == std::uint64_t{110});
  REQUIRE(record(Eras, "4").value() == 4);
  const std::uint64_t After = StoreEras::combine(4, 90).value();
  CHECK(After > Before);
  CHECK(Eras.current(After) == std::uint64_t{90});
  // Its number may belong to another state of the object now.
  CHECK_FALSE(Eras.current(Before));
  CHECK(StoreEras::combine(MaxStoreEra, MaxStoreRevision).value() <
        std::uint64_t{1} << 53);
  CHECK_FALSE(StoreEras::combine(0, MaxStoreRevision + 1));
}

// Guards against a change of era that did not happen.
TEST_CASE("An era that cannot be read is never a new one", "[configuration]") {
  StoreEras Eras;
  CHECK(Eras.record(nullptr).value() == 0);
  CHECK(record(Eras, "x").value() == 0);
  REQUIRE(record(Eras, "7").value() == 7);
  const std::uint64_t Known = StoreEras::combine(7, 1).value();
  for (const char *Field : {"", "x", "8x", "-8", "6", "8.5", "9999999999",
                            "99999999999999999999999"})
    CHECK_FALSE(record(Eras, Field));
  CHECK_FALSE(Eras.record(nullptr));
  CHECK(Eras.current(Known) == std::uint64_t{1});
  CHECK(record(Eras, "8").value() == 8);
}
