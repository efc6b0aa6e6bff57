#include "platform/settingsfile.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace lavenderdale;
using namespace lavenderdale::platform;

namespace {

/// Settings with \p Limits as the contents of the section "limits".
Result<PlatformSettings> load(const std::string &Limits) {
  const std::string Path =
      "/tmp/tst_hostlimits-" + std::to_string(getpid()) + ".toml";
  std::ofstream(Path) << R"(
node-name = "a"
ip-address = "127.0.0.1"
zone = "z1"
internal-port-range = [7001, 7002]
[listen]
front = "127.0.0.1:7003"
readiness = "127.0.0.1:7004"
[bounds]
grace-period-s = 6
[platform]
address = "127.0.0.1:1"
[cloud]
address = "127.0.0.1:1"
[limits]
)" << Limits;
  Result<PlatformSettings> Loaded = loadPlatformSettings(Path);
  std::remove(Path.c_str());
  return Loaded;
}

} // namespace

// Guards against a host that does not start, or has no room for callers,
// because of an unusable limit, and against a limit that is ignored silently.
TEST_CASE("limits of the host are read, and unusable ones reported",
          "[memory]") {
  struct Row {
    std::string Limits;
    std::size_t Megabytes;
    std::size_t Descriptors;
    std::size_t Warnings;
  };
  for (const Row &Each : std::vector<Row>{
           {"", 0, 0, 0},
           {"memory-mb = 112\nfile-descriptors = 512", 112, 512, 0},
           {"memory-mb = 112.9", 112, 0, 0},
           {"memory-mb = 1\nfile-descriptors = 1", 64, 300, 2},
           {"memory-mb = 0\nfile-descriptors = 0", 0, 0, 2},
           {"memory-mb = -5\nfile-descriptors = -5", 0, 0, 2},
           {"memory-mb = \"much\"\nfile-descriptors = []", 0, 0, 2},
           {"memory-mb = 1e30\nfile-descriptors = inf", 0, 0, 2},
       }) {
    INFO(Each.Limits);
    const Result<PlatformSettings> Loaded = load(Each.Limits);
    REQUIRE(Loaded);
    CHECK(Loaded.value().Proxy.MemoryBytes == Each.Megabytes << 20);
    CHECK(Loaded.value().Proxy.Descriptors == Each.Descriptors);
    CHECK(Loaded.value().Warnings.size() == Each.Warnings);
  }
}

// Guards against limits beyond what the system gives: the host would run out of
// memory or descriptors before it refuses anybody.
TEST_CASE("limits beyond the system's are lowered", "[memory]") {
  const Result<PlatformSettings> Loaded = load("memory-mb = 900000000");
  REQUIRE(Loaded);
  CHECK(Loaded.value().Proxy.MemoryBytes < std::size_t{900000000} << 20);
  CHECK(Loaded.value().Warnings.size() == 1);
}
