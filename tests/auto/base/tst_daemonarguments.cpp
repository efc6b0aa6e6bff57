#include "base/daemonarguments.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lavenderdale;

namespace {

struct Outcome {
  std::optional<DaemonArguments> Read;
  int Exit = -1;
};

Outcome read(std::vector<std::string> Words, const std::string &Default = {}) {
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size());
  for (std::string &Each : Words)
    Pointers.push_back(Each.data());
  Outcome Seen;
  Seen.Read =
      readDaemonArguments(static_cast<int>(Pointers.size()), Pointers.data(),
                          "usage\n", "daemon", Default, Seen.Exit);
  return Seen;
}

} // namespace

// Guards against a daemon that starts with a default file although the
// command line names another, or that starts without any.
TEST_CASE("The command line of a daemon names its settings") {
  const Outcome Named = read({"daemon", "--settings", "a.toml"}, "b.toml");
  REQUIRE(Named.Read);
  CHECK(Named.Read->SettingsFile == "a.toml");
  CHECK_FALSE(Named.Read->CheckOnly);
  const Outcome Default = read({"daemon", "-c"}, "b.toml");
  REQUIRE(Default.Read);
  CHECK(Default.Read->SettingsFile == "b.toml");
  CHECK(Default.Read->CheckOnly);
  CHECK(read({"daemon"}).Exit == 1);
}

// Guards against a misspelled option or a stray word that is passed over.
TEST_CASE("A wrong use of a daemon ends with the exit code for it") {
  CHECK(read({"daemon", "--setings", "a.toml"}).Exit == 1);
  CHECK(read({"daemon", "-s", "a.toml", "more"}).Exit == 1);
  CHECK(read({"daemon", "--help"}).Exit == 0);
  CHECK(read({"daemon", "--version"}).Exit == 0);
}
